//! The daemon's settings: a YAML file, checked whole at start.

use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use quick_error::quick_error;
use serde::Deserialize;

quick_error! {
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(file: PathBuf, err: std::io::Error) {
            display("{}: {err}; name a readable file with --settings", file.display())
        }
        /// The file is not YAML, or a field is unknown, missing or of the
        /// wrong type.
        Parse(file: PathBuf, err: String) {
            display("{}: {err}; see docs/OPERATORS.md for the fields", file.display())
        }
        /// A field's value is out of range.
        Field(file: PathBuf, line: usize, field: &'static str, remedy: &'static str) {
            display("{}: line {line}: field `{field}`: {remedy}", file.display())
        }
    }
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// An `IP:port`. It is taken as text and checked with the other rules, so that
/// a wrong one is reported with its line.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub(crate) struct Address(String);

impl Address {
    fn parsed(&self) -> Option<SocketAddr> {
        self.0.parse().ok()
    }

    /// The text, for binding and connecting.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Everything that a router process is told at start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// The firm whose requests this router answers.
    pub(crate) firm: String,
    /// This VM's name, for logs and `members`.
    pub(crate) vm: String,
    /// The data centre that this VM is in.
    pub(crate) data_centre: String,
    pub(crate) listen: Listen,
    pub(crate) store: StoreSettings,
    #[serde(default)]
    pub(crate) vm_list: Option<VmListSettings>,
    /// Peer addresses to begin with, where there is no VM list.
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

/// Money.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LedgerSettings {
    /// Ledger shards; the same for the whole fleet, for good.
    pub(crate) shards: u16,
    /// Shortest time between two swaps of a shard's record, and longest wait
    /// of bills for the next exchange, in milliseconds.
    pub(crate) group_ms: u64,
    /// Longest wait of a request for tokens, in milliseconds.
    pub(crate) refill_wait_ms: u64,
    /// How long the grants of a router that the platform no longer lists are
    /// held back, in seconds. The firm's choice between tokens held idle and
    /// tokens that a late bill may want.
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

/// Bounds on what callers may send.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Limits {
    pub(crate) max_header_bytes: usize,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) header_timeout_ms: u64,
    pub(crate) body_timeout_ms: u64,
    /// Requests open at once in this router.
    pub(crate) max_open_requests: usize,
    /// Bytes of finished answers kept for replay.
    pub(crate) replay_bytes: usize,
    /// How long a finished answer is kept for replay, in milliseconds.
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

/// Dealings with backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct BackendSettings {
    pub(crate) connect_timeout_ms: u64,
    /// Longest silence within a stream, in milliseconds.
    pub(crate) silence_timeout_ms: u64,
    /// Time between two load reports, in milliseconds.
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

/// The planned stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ShutdownSettings {
    /// How long requests are still taken after readiness went off, so that
    /// the balancer can notice, in milliseconds.
    pub(crate) grace_ms: u64,
    /// Longest wait for running requests, in seconds.
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

/// Logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub(crate) level: log::LevelFilter,
    /// File to append to; standard error if there is none.
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

/// Least room for a request's head, in bytes: the HTTP library needs it.
const MIN_HEADER_BYTES: usize = 8_192;

/// A rule on one field: its path, whether it holds, and the remedy.
type Rule = (&'static str, bool, &'static str);

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] with file, line and field of the first thing wrong.
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
            ("firm", !self.firm.is_empty(), "name the firm"),
            ("vm", !self.vm.is_empty(), "name this VM"),
            (
                "data_centre",
                !self.data_centre.is_empty(),
                "name the data centre",
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
        const FORM: &str = "write `IP:port`";
        let Listen {
            callers,
            operators,
            peers,
        } = &self.listen;
        let usable = |address: &Address| address.parsed().is_some();
        let named =
            |address: &Address| !address.parsed().is_some_and(|it| it.ip().is_unspecified());
        let list = self.vm_list.as_ref().map(|list| &list.address);
        vec![
            ("listen.callers", usable(callers), FORM),
            ("listen.operators", usable(operators), FORM),
            ("listen.peers", usable(peers), FORM),
            ("store.address", usable(&self.store.address), FORM),
            ("vm_list.address", list.is_none_or(usable), FORM),
            ("peers", self.peers.iter().all(usable), FORM),
            (
                "listen.operators",
                operators != callers,
                "use another address than for callers",
            ),
            (
                "listen.peers",
                peers != callers && peers != operators,
                "use another address than for callers and operators",
            ),
            (
                "listen.peers",
                named(peers),
                "name the IP by which peers reach this VM",
            ),
        ]
    }

    fn number_rules(&self) -> Vec<Rule> {
        let (limits, backends) = (&self.limits, &self.backends);
        let size = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
        let least: [(&'static str, u64, u64); 11] = [
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
        let mut rules: Vec<Rule> = least
            .into_iter()
            .map(|(field, value, least)| (field, value >= least, "give a number above 0"))
            .collect();
        let headers = limits.max_header_bytes >= MIN_HEADER_BYTES;
        rules.push(("limits.max_header_bytes", headers, "give at least 8192"));
        rules
    }
}

/// A parser's message without the excerpt that follows it.
fn first_line(message: &str) -> String {
    let line = message.lines().next().unwrap_or_default();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

/// The line on which a dotted field stands, or its section's, or 1.
fn line_of(text: &str, field: &str) -> usize {
    let mut line = 1;
    let mut lines = text.lines().enumerate();
    for (depth, part) in field.split('.').enumerate() {
        let found = lines.find(|(_, content)| {
            let indented = content.starts_with(' ');
            let names = content.trim_start().strip_prefix(part);
            names.is_some_and(|rest| rest.trim_start().starts_with(':')) && indented == (depth > 0)
        });
        match found {
            Some((number, _)) => line = number + 1,
            None => break,
        }
    }
    line
}
