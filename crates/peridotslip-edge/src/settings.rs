//! The settings of a forwarding router, read from a YAML file.

use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    path::{Path, PathBuf},
};

use peridotslip::{
    forwarding::{MIN_APPLY_WITHIN_MS, TableTiming},
    relay::VmSize,
    vm_shares::{self, VmShares},
};
use quick_error::quick_error;
use serde::Deserialize;

/// Intervals between two writes of streams' origins, in milliseconds. A shorter one needs
/// a long ring of keys, a longer one loses whole streams.
const STORE_INTERVAL_MS: RangeInclusive<u64> = 100..=10_000;

quick_error! {
    /// Why the settings are invalid.
    #[derive(Debug)]
    pub enum Error {
        /// The file is unreadable.
        Read(file: PathBuf, err: std::io::Error) {
            display("{}: {err}; name a readable file", file.display())
        }
        /// The file is not YAML, or a field is missing or of the wrong type.
        Parse(file: PathBuf, err: String) {
            display("{}: {err}; see docs/OPERATORS.md for the fields", file.display())
        }
        /// A field has an invalid value.
        Field(file: PathBuf, field: &'static str, remedy: &'static str) {
            display("{}: field `{field}`: {remedy}", file.display())
        }
    }
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// The settings of a forwarding router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM's name, unique in the fleet.
    pub vm: String,
    /// This VM's data centre.
    pub data_centre: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// What this VM has. The routers with most of it read the store for the
    /// others.
    #[serde(default)]
    pub vm_size: VmCapacity,
    /// Address of the platform's store, `IP:port`.
    pub store: String,
    /// Time limits.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on retries.
    #[serde(default)]
    pub retries: Retries,
    /// Spending of prepaid budgets.
    #[serde(default)]
    pub money: Money,
    /// Evacuation of data centres; without it, none is evacuated.
    #[serde(default)]
    pub evacuation: Option<Evacuation>,
    /// The region of each data centre.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The bound on the requests that a cold server gets.
    #[serde(default)]
    pub warmup: WarmupBound,
    /// The platform's features that the deployment has, by the platform's names.
    #[serde(default)]
    pub platform_features: Vec<String>,
    /// Rejection of requests that this router can't carry.
    #[serde(default)]
    pub admission: Admission,
    /// Second attempts for slow responses.
    #[serde(default)]
    pub hedging: Hedging,
    /// Origins of streams in the store.
    #[serde(default)]
    pub origins: Origins,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on, each `IP:port`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: String,
    /// Address for readiness checks.
    pub ready: String,
    /// Address for other routers.
    pub peers: String,
    /// Address for metrics; without it, metrics are not served.
    #[serde(default)]
    pub metrics: Option<String>,
}

/// The capacity of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmCapacity {
    /// Processor cores that the router may use.
    pub cores: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory that the process may use, in MB; 0 if it is unknown.
    pub memory_mb: u64,
    /// File descriptors that the process may have open; 0 if it is unknown.
    pub max_fds: usize,
}

impl VmCapacity {
    /// Returns the shares of the VM that clients can make the router use.
    ///
    /// # Errors
    ///
    /// An error if the VM is too small for a router.
    pub(crate) fn shares(&self) -> vm_shares::Result<VmShares> {
        let memory_bytes = self.memory_mb.saturating_mul(1_000_000);
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        VmShares::new(memory_bytes, self.max_fds)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
    pub(crate) fn size(&self) -> VmSize {
        VmSize {
            millicores: (self.cores * 1_000.0) as u32,
            link_mbps: self.link_mbps as u32,
        }
    }
}

/// Time limits, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time from SIGTERM until the process is killed.
    pub grace_ms: u64,
    /// When a caller may retry after a rejection for lack of a routing table, of
    /// servers or of capacity.
    pub retry_after_ms: u64,
    /// Time from the confirmation of a change of the routing table until it must be in
    /// force.
    pub table_apply_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            grace_ms: 8_000,
            retry_after_ms: 500,
            table_apply_ms: 2_000,
        }
    }
}

/// The fleet's limits on retries to one service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Retries permitted for each first attempt.
    pub ratio: f64,
    /// Retries that the whole fleet may add in each window of 10 seconds.
    pub allowance: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            allowance: 10.0,
        }
    }
}

/// Spending of prepaid budgets.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Money {
    /// How long a router's grants must last without the store, in milliseconds.
    pub horizon_ms: u64,
    /// Largest share of an organisation's tokens that the owner of its budget
    /// holds while all are unspent, in percent. The share falls with the square
    /// of the unspent part. A router that ends without a graceful shutdown may
    /// lose the tokens that it holds.
    pub most_percent: u8,
    /// Interval between two reports to the store, in milliseconds.
    pub settle_ms: u64,
    /// Longest wait of a request for tokens, in milliseconds.
    pub wait_ms: u64,
    /// Whether tokens that may become short are kept for more urgent requests before
    /// they are; without it, the platform's features decide.
    pub urgent_first: Option<bool>,
}

impl Default for Money {
    fn default() -> Self {
        Self {
            horizon_ms: 12_000,
            most_percent: 80,
            settle_ms: 2_000,
            wait_ms: 250,
            urgent_first: None,
        }
    }
}

/// Evacuation of data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// How soon after its confirmation an evacuation must be in force, in
    /// milliseconds.
    pub apply_within_ms: u64,
}

/// The bound on the requests that a cold server gets from all routers together in any
/// second: `overrun` times its warm-up rate, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmupBound {
    /// Factor on the rate that a cold server takes.
    pub overrun: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for WarmupBound {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack: 0.0,
        }
    }
}

/// Rejection of requests that this router can't carry.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Share of the VM's link that callers' payload may use; 0 if it is not limited.
    pub link_share: f64,
    /// Whether organisations have fair shares of what is short.
    pub fair_shares: bool,
    /// The weights of organisations' shares; 1 for those that are not named.
    pub weights: BTreeMap<String, f64>,
}

impl Admission {
    /// Returns the weight of an organisation's share.
    pub(crate) fn weight(&self, organisation: &str) -> f64 {
        self.weights.get(organisation).copied().unwrap_or(1.0)
    }
}

/// Second attempts for slow responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedging {
    /// Most second attempts, as a share of a service's requests; 0 if there are none.
    pub extra_work: f64,
}

/// Origins of streams in the store, which prove where a stream began after all routers
/// were killed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Origins {
    /// Interval between two writes of the router that writes for its data centre, in
    /// milliseconds; 0 if none are written or read.
    pub store_interval_ms: u64,
}

/// Logs, as JSON lines on standard output.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
    /// Length of the queue of lines to be written. Lines that exceed it are
    /// dropped and counted.
    pub queue_lines: usize,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            queue_lines: 512,
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// An [`Error`] that names the file and the remedy.
    pub fn load(file: &Path) -> Result<Self> {
        let text =
            std::fs::read_to_string(file).map_err(|err| Error::Read(file.to_owned(), err))?;
        let settings: Self = serde_saphyr::from_str(&text)
            .map_err(|err| Error::Parse(file.to_owned(), err.to_string()))?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Returns the timing of the keys that operators write.
    pub(crate) fn table_timing(&self) -> TableTiming {
        let evacuation = self.evacuation.map(|evacuation| evacuation.apply_within_ms);
        let table_ms = self.timing.table_apply_ms;
        TableTiming::new(evacuation.map_or(table_ms, |within_ms| within_ms.min(table_ms)))
    }

    fn check(&self, file: &Path) -> Result<()> {
        let address = |text: &str| text.parse::<std::net::SocketAddr>().is_ok();
        let field = |field, remedy| Err(Error::Field(file.to_owned(), field, remedy));
        if self.vm.is_empty() || self.vm.len() > 100 {
            return field("vm", "give a name of 1 to 100 characters");
        }
        if !address(&self.store) {
            return field("store", "give an address as IP:port");
        }
        let listen = &self.listen;
        let metrics = listen.metrics.as_deref().unwrap_or("0.0.0.0:1");
        if ![&listen.callers, &listen.ready, &listen.peers]
            .iter()
            .all(|text| address(text))
            || !address(metrics)
        {
            return field("listen", "give each address as IP:port");
        }
        let capacity = [self.vm_size.cores, self.vm_size.link_mbps];
        if !capacity
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0)
        {
            return field("vm_size", "cores and link_mbps must not be negative");
        }
        match self.vm_size.shares() {
            Ok(_) => {}
            Err(vm_shares::Error::Memory) => {
                return field("vm_size", "memory_mb must be 0 or 32 or more");
            }
            Err(vm_shares::Error::Descriptors) => {
                return field("vm_size", "max_fds must be 0 or 250 or more");
            }
        }
        if self.timing.table_apply_ms < MIN_APPLY_WITHIN_MS {
            return field("timing", "table_apply_ms must be 1500 or more");
        }
        if !(0.0..=1.0).contains(&self.admission.link_share) {
            return field("admission", "link_share must be from 0 to 1");
        }
        let mut weights = self.admission.weights.values();
        if !weights.all(|weight| weight.is_finite() && *weight > 0.0) {
            return field("admission", "weights must be above 0");
        }
        if !(0.0..=1.0).contains(&self.hedging.extra_work) {
            return field("hedging", "extra_work must be from 0 to 1");
        }
        let interval_ms = self.origins.store_interval_ms;
        if interval_ms != 0 && !STORE_INTERVAL_MS.contains(&interval_ms) {
            return field(
                "origins",
                "store_interval_ms must be 0 or from 100 to 10000",
            );
        }
        let warmup = [self.warmup.overrun, self.warmup.slack];
        if !warmup
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0)
        {
            return field("warmup", "overrun and slack must not be negative");
        }
        if !(0.0..=1.0).contains(&self.retries.ratio) || self.retries.allowance < 0.0 {
            return field(
                "retries",
                "ratio must be from 0 to 1 and allowance must not be negative",
            );
        }
        Ok(())
    }
}
