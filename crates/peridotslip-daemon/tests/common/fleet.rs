//! Starts, stops, breaks and queries the processes of a test fleet.

use std::{
    collections::BTreeSet,
    fs,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

use peridotslip::ledger::ShardRecord;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::{
    eventually,
    http::{block_on, get, get_bytes, put},
    tables::{self, TableOptions},
};

/// Ledger shards of a test fleet.
pub const SHARDS: u16 = 2;

/// Composition and settings of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub routers: usize,
    pub engines: usize,
    /// Further arguments of the fake engines.
    pub engine_args: Vec<String>,
    /// Further arguments of the fake service.
    pub service_args: Vec<String>,
    /// Whether there is a fault proxy between each router and the store.
    pub store_proxies: bool,
    /// Whether there is a fault proxy in front of each engine.
    pub engine_proxies: bool,
    /// Most descriptors that a router may open; `None` if its limit is that of the test.
    pub max_fds: Option<usize>,
    /// YAML lines that are appended to the routers' settings files.
    pub settings: String,
    pub tables: TableOptions,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 2,
            engine_args: vec!["--token-us=2000".to_owned()],
            service_args: Vec::new(),
            store_proxies: false,
            engine_proxies: false,
            max_fds: None,
            settings: String::new(),
            tables: TableOptions::default(),
        }
    }
}

/// A router process and its addresses.
pub struct Router {
    pub child: Child,
    pub callers: String,
    pub operators: String,
    pub peers: String,
    settings: PathBuf,
}

/// A fault proxy, by its control address.
pub struct FaultProxy {
    control: String,
}

/// All processes of a test; they are killed on drop.
pub struct Fleet {
    pub routers: Vec<Router>,
    pub engines: Vec<String>,
    pub services: Vec<String>,
    pub store: String,
    pub vms: String,
    pub store_proxies: Vec<FaultProxy>,
    pub engine_proxies: Vec<FaultProxy>,
    pub dir: TempDir,
    children: Vec<Child>,
    options: FleetOptions,
}

/// Offset of the next port to try. The ports are below the ephemeral range, so
/// that no outgoing connection occupies one before its process binds it.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address on which nothing listens.
pub fn free_address() -> String {
    let first = 12_000 + u16::try_from(std::process::id() % 80).unwrap_or(0) * 200;
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

/// Returns a command that runs a program of the workspace.
pub fn program(name: &str) -> Command {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_peridotslipd"));
    let mut command = Command::new(daemon.with_file_name(name));
    command.stdin(Stdio::null());
    command
}

impl Fleet {
    /// Starts all processes and waits until the routers have tables.
    pub fn start(options: &FleetOptions) -> Self {
        let mut fleet = Self {
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            store: free_address(),
            vms: free_address(),
            store_proxies: Vec::new(),
            engine_proxies: Vec::new(),
            dir: TempDir::new().expect("a directory can be made"),
            children: Vec::new(),
            options: options.clone(),
        };
        let (store, vms) = (fleet.store.clone(), fleet.vms.clone());
        fleet.spawn_fake(&["store", "--listen", &store]);
        fleet.spawn_fake(&["vms", "--listen", &vms, "--lag-ms", "200"]);
        for _ in 0..options.engines {
            fleet.start_engine();
        }
        let service = free_address();
        let mut args = vec!["service", "--listen", &service];
        args.extend(options.service_args.iter().map(String::as_str));
        fleet.spawn_fake(&args);
        fleet.services.push(service);
        fleet.wait_for_store();
        for number in 0..options.routers {
            fleet.start_router(number);
        }
        fleet.list_running_routers();
        fleet.apply(&options.tables);
        fleet.wait_ready();
        fleet
    }

    fn spawn_fake(&mut self, args: &[&str]) {
        let child = program("peridotslip-standins")
            .args(args)
            .stdout(Stdio::null())
            .spawn()
            .expect("scripts/test has built the fakes");
        self.children.push(child);
    }

    fn start_engine(&mut self) {
        let address = free_address();
        let mut args = vec!["engine", "--listen", &address];
        let extra = self.options.engine_args.clone();
        args.extend(extra.iter().map(String::as_str));
        self.spawn_fake(&args);
        let (address, proxy) = if self.options.engine_proxies {
            let (proxy_address, proxy) = self.spawn_proxy(&address);
            (proxy_address, Some(proxy))
        } else {
            (address, None)
        };
        self.engines.push(address);
        self.engine_proxies.extend(proxy);
    }

    /// Starts a fault proxy in front of `to`; returns its address and handle.
    fn spawn_proxy(&mut self, to: &str) -> (String, FaultProxy) {
        let (listen, control) = (free_address(), free_address());
        self.spawn_fake(&[
            "relay",
            "--listen",
            &listen,
            "--to",
            to,
            "--control",
            &control,
        ]);
        (listen, FaultProxy { control })
    }

    fn wait_for_store(&self) {
        let url = format!("http://{}/calls", self.store);
        eventually("the store responds", || get(&url).is_some());
    }

    /// Starts a router; `number` selects its name and data centre.
    pub fn start_router(&mut self, number: usize) {
        self.start_router_with_shards(number, SHARDS);
    }

    /// Starts a router that is configured with this number of ledger shards.
    pub fn start_router_with_shards(&mut self, number: usize, shards: u16) {
        let data_centre = format!("om-north-{}", ["a", "b", "c"][number % 3]);
        let mut store = self.store.clone();
        if self.options.store_proxies {
            let (proxy_address, proxy) = self.spawn_proxy(&store);
            self.store_proxies.push(proxy);
            store = proxy_address;
        }
        let (callers, operators, peers) = (free_address(), free_address(), free_address());
        let seeds: Vec<String> = self
            .routers
            .iter()
            .map(|router| format!("\"{}\"", router.peers))
            .collect();
        let settings = self.dir.path().join(format!("router-{number}.yaml"));
        let log = self.dir.path().join(format!("router-{number}.log"));
        let text = format!(
            "firm: qalam
vm: vm-{number}
data_centre: {data_centre}
listen: {{callers: \"{callers}\", operators: \"{operators}\", peers: \"{peers}\"}}
store: {{address: \"{store}\", timeout_ms: 500}}
vm_list: {{address: \"{}\", poll_ms: 200}}
peers: [{}]
ledger: {{shards: {shards}, in_doubt_hold_s: 3}}
log: {{file: \"{}\"}}
{}",
            self.vms,
            seeds.join(", "),
            log.display(),
            self.options.settings
        );
        fs::write(&settings, text).expect("the directory exists");
        let child = spawn_router(&settings, self.options.max_fds);
        self.routers.push(Router {
            child,
            callers,
            operators,
            peers,
            settings,
        });
    }

    /// Restarts a router that has exited, at the same addresses.
    pub fn restart_router(&mut self, number: usize) {
        let router = &mut self.routers[number];
        router.child = spawn_router(&router.settings, self.options.max_fds);
    }

    /// Sets the VM list to the running routers, all as live.
    pub fn list_running_routers(&mut self) {
        let mut listed = Vec::new();
        for router in &mut self.routers {
            if matches!(router.child.try_wait(), Ok(None)) {
                listed.push(json!({ "address": router.peers, "state": "live" }));
            }
        }
        self.set_vms(&listed);
    }

    /// Sets the VM list.
    pub fn set_vms(&self, listed: &[Value]) {
        let url = format!("http://{}/vms", self.vms);
        eventually("the VM list accepts the change", || {
            put(&url, &json!(listed))
        });
    }

    /// Waits until every router has tables and sees the others as live.
    pub fn wait_ready(&self) {
        let count =
            u32::try_from(self.routers.len()).expect("the number of routers fits in 32 bits");
        eventually("every router is ready and sees the others", || {
            self.routers.iter().all(|router| {
                let ready = get(&format!("http://{}/readyz", router.operators)).is_some();
                ready && metric(router, "peridotslip_live_members") >= f64::from(count)
            })
        });
    }

    /// Writes tables with these options and applies them.
    pub fn apply(&self, options: &TableOptions) {
        tables::write(self.dir.path(), self, options);
        let dir = self.dir.path().display().to_string();
        let output = self.cli(&["apply", "--wait=20", &dir]);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "apply: {text}");
    }

    /// Runs the operators' command-line tool.
    pub fn cli(&self, args: &[&str]) -> Output {
        let mut command = program("peridotslip");
        command.arg(format!("--store={}", self.store));
        for router in &self.routers {
            command.arg(format!("--router={}", router.operators));
        }
        command
            .args(args)
            .output()
            .expect("scripts/test has built the command-line tool")
    }

    /// Sends load to all routers and returns the report.
    pub fn load(&self, args: &[&str]) -> Value {
        self.load_at(&(0..self.routers.len()).collect::<Vec<_>>(), args)
    }

    /// Sends load to some routers and returns the report.
    pub fn load_at(&self, routers: &[usize], args: &[&str]) -> Value {
        let output = self.start_load(routers, args).wait_with_output();
        report(&output.expect("the load generator exits"))
    }

    /// Starts the load generator without waiting for it.
    pub fn start_load(&self, routers: &[usize], args: &[&str]) -> Child {
        let mut command = program("peridotslip-standins");
        command.arg("load");
        for number in routers {
            command.arg(format!("--router={}", self.routers[*number].callers));
        }
        if !args.iter().any(|arg| arg.starts_with("--key=")) {
            command.arg(format!("--key={}", tables::MUSCAT_KEY));
        }
        command
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("scripts/test has built the load generator")
    }

    /// Sends a signal by name to a router.
    pub fn signal(&self, number: usize, name: &str) {
        let pid = self.routers[number].child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("the kill command exists").success());
    }

    /// Kills a router.
    pub fn kill(&mut self, number: usize) {
        let child = &mut self.routers[number].child;
        child.kill().expect("the router runs");
        child.wait().expect("the router exits");
    }

    /// Shuts a router down gracefully and returns whether its exit code is 0.
    pub fn stop(&mut self, number: usize) -> bool {
        self.signal(number, "TERM");
        let status = self.routers[number].child.wait();
        status.expect("the router exits").success()
    }

    /// Sets the faults that the fake store injects.
    pub fn store_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.store);
        assert!(put(&url, faults), "the store accepts the faults");
    }

    /// Returns the sum of a metric over all routers that respond.
    pub fn metric_total(&self, name: &str) -> f64 {
        self.routers.iter().map(|router| metric(router, name)).sum()
    }

    /// Returns the sums over all ledger shards in the store.
    pub fn ledger_totals(&self) -> LedgerTotals {
        let mut totals = LedgerTotals::default();
        let mut holders = BTreeSet::new();
        for shard in 0..SHARDS {
            let url = format!("http://{}/kv/ledger/qalam/{shard}", self.store);
            let Some(bytes) = get_bytes(&url) else {
                continue;
            };
            let record = ShardRecord::decode(&bytes).expect("the record is valid");
            for (_, account) in record.accounts() {
                totals.settled += account.settled;
                totals.granted += account.outstanding();
                totals.overspent += account.overspend();
            }
            holders.extend(record.open_incarnations().map(|(holder, _)| holder));
        }
        totals.holders = holders.len();
        totals
    }

    /// Waits until every bill is recorded, then returns the sums.
    pub fn settled_totals(&self) -> LedgerTotals {
        eventually("every bill is recorded", || {
            self.metric_total("peridotslip_unconfirmed_settlements") < 0.5
        });
        self.ledger_totals()
    }

    /// Returns how often each order ran at the fake service.
    pub fn run_counts(&self) -> Vec<u64> {
        let text = get(&format!("http://{}/runs", self.services[0])).expect("the service responds");
        let runs: Value = serde_json::from_str(&text).expect("the response is JSON");
        let counts = runs
            .as_object()
            .expect("the response is an object")
            .values();
        counts.filter_map(Value::as_u64).collect()
    }

    /// Returns the sum of a statistic over all engines.
    pub fn engine_stat(&self, name: &str) -> u64 {
        self.engines
            .iter()
            .filter_map(|engine| get(&format!("http://{engine}/stats")))
            .filter_map(|text| serde_json::from_str::<Value>(&text).ok())
            .filter_map(|stats| stats[name].as_u64())
            .sum()
    }
}

impl FaultProxy {
    /// Sets the proxy's fault mode.
    pub fn set(&self, mode: &str) {
        let url = format!("http://{}/mode", self.control);
        let sent = block_on(async {
            let response = reqwest::Client::new()
                .put(url)
                .body(mode.to_owned())
                .send()
                .await;
            response.is_ok_and(|response| response.status().is_success())
        });
        assert!(sent, "the fault proxy accepts mode {mode}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let dir = self.dir.path().display().to_string();
            eprintln!("the failed test's log files were in {dir}");
            for router in 0..self.routers.len() {
                let log = self.dir.path().join(format!("router-{router}.log"));
                let text = fs::read_to_string(log).unwrap_or_default();
                let lines: Vec<&str> = text
                    .lines()
                    .filter(|line| !line.contains("\"INFO\""))
                    .collect();
                for line in lines.iter().rev().take(8).rev() {
                    eprintln!("router {router}: {line}");
                }
            }
        }
        for router in &mut self.routers {
            let _ = router.child.kill();
            let _ = router.child.wait();
        }
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the sum of a router's metrics whose name and labels begin with
/// `name`, or 0 if there are none.
pub fn metric(router: &Router, name: &str) -> f64 {
    let text = get(&format!("http://{}/metrics", router.operators)).unwrap_or_default();
    text.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Token sums over a firm's ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    pub settled: u64,
    pub granted: u64,
    pub overspent: u64,
    /// Number of incarnations that hold grants or may hold some.
    pub holders: usize,
}

fn spawn_router(settings: &std::path::Path, max_fds: Option<usize>) -> Child {
    let mut command = match max_fds {
        None => program("peridotslipd"),
        Some(limit) => {
            // The shell sets the limit for the router alone.
            let mut shell = Command::new("sh");
            shell
                .stdin(Stdio::null())
                .args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
                .arg(limit.to_string())
                .arg(env!("CARGO_BIN_EXE_peridotslipd"));
            shell
        }
    };
    command
        .arg("--settings")
        .arg(settings)
        .spawn()
        .expect("cargo has built the daemon")
}

/// Returns a number from a report, or 0 if the field is absent.
pub fn number(report: &Value, field: &str) -> u64 {
    report[field].as_u64().unwrap_or_default()
}

/// Parses the report on the last line of the load generator's output.
pub fn report(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last = text.lines().last().unwrap_or_default();
    serde_json::from_str(last).unwrap_or_else(|_| panic!("no report in {text:?}"))
}
