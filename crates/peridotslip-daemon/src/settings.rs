//! The daemon's settings: a YAML file that is fully validated at startup.

use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use quick_error::quick_error;
use serde::Deserialize;

quick_error! {
    /// The reason why settings are invalid.
    #[derive(Debug)]
    pub enum Error {
        /// The file is not readable.
        Read(file: PathBuf, err: std::io::Error) {
            display("{}: {err}; name a readable file with --settings", file.display())
        }
        /// The file is not YAML, or a field is unknown, missing or of the
        /// wrong type.
        Parse(file: PathBuf, err: String) {
            display("{}: {err}; see docs/OPERATORS.md for the fields", file.display())
        }
        /// A field's value is invalid or conflicts with another field.
        Field(file: PathBuf, line: usize, field: &'static str, remedy: &'static str) {
            display("{}: line {line}: field `{field}`: {remedy}", file.display())
        }
    }
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// An `IP:port` address. It is deserialised as text and validated with the
/// other rules, so that an invalid one is reported with its line.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub(crate) struct Address(String);

impl Address {
    fn parsed(&self) -> Option<SocketAddr> {
        self.0.parse().ok()
    }

    /// Returns the address as text, for binding and connecting.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// All settings of a router process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// The firm whose requests this router serves.
    pub(crate) firm: String,
    /// This VM's name, for logs and the `members` command.
    pub(crate) vm: String,
    /// The data centre that this VM is in.
    pub(crate) data_centre: String,
    pub(crate) listen: Listen,
    pub(crate) store: StoreSettings,
    #[serde(default)]
    pub(crate) vm_list: Option<VmListSettings>,
    /// Addresses of the first peers to contact, where there is no VM list.
    #[serde(default)]
    pub(crate) peers: Vec<Address>,
    #[serde(default)]
    pub(crate) ledger: LedgerSettings,
    #[serde(default)]
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) backends: BackendSettings,
    #[serde(default)]
    pub(crate) shutdown: ShutdownSettings,
    #[serde(default)]
    pub(crate) log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    pub(crate) callers: Address,
    pub(crate) operators: Address,
    pub(crate) peers: Address,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoreSettings {
    pub(crate) address: Address,
    #[serde(default = "default_store_timeout_ms")]
    pub(crate) timeout_ms: u64,
}

fn default_store_timeout_ms() -> u64 {
    1_000
}

/// The platform's VM list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VmListSettings {
    pub(crate) address: Address,
    #[serde(default = "default_vm_poll_ms")]
    pub(crate) poll_ms: u64,
}

fn default_vm_poll_ms() -> u64 {
    1_000
}

/// Ledger settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LedgerSettings {
    /// Number of ledger shards. It must be the same on all routers and can't
    /// be changed later.
    pub(crate) shards: u16,
    /// Minimum time between two compare-and-swap writes of a shard's record,
    /// and maximum wait of bills for the next exchange, in milliseconds.
    pub(crate) group_ms: u64,
    /// Maximum wait of a request for tokens, in milliseconds.
    pub(crate) refill_wait_ms: u64,
    /// How long the grants of a router that the platform no longer lists are
    /// withheld, in seconds. A longer time leaves tokens idle; a shorter one
    /// may release tokens that a late bill still needs.
    pub(crate) in_doubt_hold_s: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shards: 8,
            group_ms: 50,
            refill_wait_ms: 1_500,
            in_doubt_hold_s: 10,
        }
    }
}

/// Limits on requests, responses and the replay buffer.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Limits {
    pub(crate) max_header_bytes: usize,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) header_timeout_ms: u64,
    pub(crate) body_timeout_ms: u64,
    /// Maximum number of open requests in this router.
    pub(crate) max_open_requests: usize,
    /// Bytes of finished responses retained for replay.
    pub(crate) replay_bytes: usize,
    /// How long a finished response is retained for replay, in milliseconds.
    pub(crate) replay_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 * 1024,
            max_body_bytes: 2 * 1024 * 1024,
            max_answer_bytes: 8 * 1024 * 1024,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            max_open_requests: 4_096,
            replay_bytes: 24 * 1024 * 1024,
            replay_ms: 15 * 60 * 1_000,
        }
    }
}

/// Settings for the connections to backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct BackendSettings {
    pub(crate) connect_timeout_ms: u64,
    /// Silence of a stream after which another connection resumes it beside the
    /// silent one, and of a whole response after which it fails once its
    /// deadline has passed, in milliseconds.
    pub(crate) silence_timeout_ms: u64,
    /// Interval at which the load of each model engine is polled, in milliseconds.
    pub(crate) load_poll_ms: u64,
    /// `round-robin`, `least-loaded`, `two-choices` or `prefix-affinity`.
    pub(crate) policy: String,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            silence_timeout_ms: 5_000,
            load_poll_ms: 500,
            policy: "prefix-affinity".to_owned(),
        }
    }
}

/// Settings of the graceful shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ShutdownSettings {
    /// How long new requests are still accepted after `/readyz` reports the
    /// shutdown, so that the load balancer can react, in milliseconds.
    pub(crate) grace_ms: u64,
    /// Maximum wait for running requests, in seconds.
    pub(crate) limit_s: u64,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            grace_ms: 1_000,
            limit_s: 600,
        }
    }
}

/// Log settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub(crate) level: log::LevelFilter,
    /// File to append to; standard error if not set.
    pub(crate) file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            file: None,
        }
    }
}

/// Minimum size of the buffer for a request's head, in bytes; the HTTP library
/// requires it.
const MIN_HEADER_BYTES: usize = 8_192;

/// A rule for one field: the field's path, whether the rule holds, and the
/// remedy.
type Rule = (&'static str, bool, &'static str);

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] with the file, line and field of the first invalid value.
    pub(crate) fn load(file: &Path) -> Result<Self> {
        let text =
            std::fs::read_to_string(file).map_err(|err| Error::Read(file.to_owned(), err))?;
        Self::parse(&text, file)
    }

    pub(crate) fn parse(text: &str, file: &Path) -> Result<Self> {
        let settings: Self = serde_saphyr::from_str(text)
            .map_err(|err| Error::Parse(file.to_owned(), first_line(&err.to_string())))?;
        match settings.rules().into_iter().find(|(_, holds, _)| !holds) {
            None => Ok(settings),
            Some((field, _, remedy)) => {
                let line = line_of(text, field);
                Err(Error::Field(file.to_owned(), line, field, remedy))
            }
        }
    }

    fn rules(&self) -> Vec<Rule> {
        let mut rules = self.address_rules();
        rules.extend(self.number_rules());
        rules.extend([
            ("firm", !self.firm.is_empty(), "set the name of the firm"),
            ("vm", !self.vm.is_empty(), "set the name of this VM"),
            (
                "data_centre",
                !self.data_centre.is_empty(),
                "set the name of the data centre",
            ),
            (
                "backends.policy",
                crate::backend::policy(&self.backends.policy).is_some(),
                "use `round-robin`, `least-loaded`, `two-choices` or `prefix-affinity`",
            ),
        ]);
        rules
    }

    fn address_rules(&self) -> Vec<Rule> {
        const ADDRESS_REMEDY: &str = "use the form `IP:port`";
        let Listen {
            callers,
            operators,
            peers,
        } = &self.listen;
        let valid = |address: &Address| address.parsed().is_some();
        let specified = |address: &Address| {
            !address
                .parsed()
                .is_some_and(|addr| addr.ip().is_unspecified())
        };
        let list = self.vm_list.as_ref().map(|list| &list.address);
        vec![
            ("listen.callers", valid(callers), ADDRESS_REMEDY),
            ("listen.operators", valid(operators), ADDRESS_REMEDY),
            ("listen.peers", valid(peers), ADDRESS_REMEDY),
            ("store.address", valid(&self.store.address), ADDRESS_REMEDY),
            ("vm_list.address", list.is_none_or(valid), ADDRESS_REMEDY),
            ("peers", self.peers.iter().all(valid), ADDRESS_REMEDY),
            (
                "listen.operators",
                operators != callers,
                "use a different address from listen.callers",
            ),
            (
                "listen.peers",
                peers != callers && peers != operators,
                "use a different address from listen.callers and listen.operators",
            ),
            (
                "listen.peers",
                specified(peers),
                "use the IP at which peers reach this VM",
            ),
        ]
    }

    fn number_rules(&self) -> Vec<Rule> {
        let (limits, backends) = (&self.limits, &self.backends);
        let size = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
        let minimums: [(&'static str, u64, u64); 11] = [
            ("store.timeout_ms", self.store.timeout_ms, 1),
            ("ledger.shards", self.ledger.shards.into(), 1),
            ("ledger.refill_wait_ms", self.ledger.refill_wait_ms, 1),
            ("limits.max_body_bytes", size(limits.max_body_bytes), 1),
            ("limits.max_answer_bytes", size(limits.max_answer_bytes), 1),
            ("limits.header_timeout_ms", limits.header_timeout_ms, 1),
            ("limits.body_timeout_ms", limits.body_timeout_ms, 1),
            (
                "limits.max_open_requests",
                size(limits.max_open_requests),
                1,
            ),
            (
                "backends.connect_timeout_ms",
                backends.connect_timeout_ms,
                1,
            ),
            (
                "backends.silence_timeout_ms",
                backends.silence_timeout_ms,
                1,
            ),
            ("backends.load_poll_ms", backends.load_poll_ms, 1),
        ];
        let mut rules: Vec<Rule> = minimums
            .into_iter()
            .map(|(field, value, minimum)| (field, value >= minimum, "use a number greater than 0"))
            .collect();
        let header_limit_holds = limits.max_header_bytes >= MIN_HEADER_BYTES;
        rules.push((
            "limits.max_header_bytes",
            header_limit_holds,
            "use at least 8192",
        ));
        rules
    }
}

/// Returns a parser's message without the source excerpt that follows it.
fn first_line(message: &str) -> String {
    let line = message.lines().next().unwrap_or_default();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

/// Returns the line of a dotted field, or of its section if the field is
/// absent, or 1.
fn line_of(text: &str, field: &str) -> usize {
    let mut line = 1;
    let mut lines = text.lines().enumerate();
    for (depth, segment) in field.split('.').enumerate() {
        let found = lines.find(|(_, content)| {
            let indented = content.starts_with(' ');
            let after_name = content.trim_start().strip_prefix(segment);
            after_name.is_some_and(|rest| rest.trim_start().starts_with(':'))
                && indented == (depth > 0)
        });
        match found {
            Some((number, _)) => line = number + 1,
            None => break,
        }
    }
    line
}
