//! Starting, breaking and asking processes.

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
    http::{get, get_bytes, on_runtime, put},
    tables::{self, Shape},
};

/// Ledger shards of a test fleet.
pub const SHARDS: u16 = 2;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub engines: usize,
    /// Further arguments of the engines.
    pub engine_args: Vec<String>,
    /// Puts a relay between each router and the store.
    pub store_relays: bool,
    /// Puts a relay in front of each engine.
    pub engine_relays: bool,
    /// Further settings, indented as in the file.
    pub settings: String,
    pub shape: Shape,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 2,
            engine_args: vec!["--token-us=2000".to_owned()],
            store_relays: false,
            engine_relays: false,
            settings: String::new(),
            shape: Shape::default(),
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

/// A relay's control address.
pub struct Relay {
    control: String,
}

/// All processes of a test; they are ended when it goes.
pub struct Fleet {
    pub routers: Vec<Router>,
    pub engines: Vec<String>,
    pub services: Vec<String>,
    pub store: String,
    pub vms: String,
    pub store_relays: Vec<Relay>,
    pub engine_relays: Vec<Relay>,
    pub dir: TempDir,
    children: Vec<Child>,
    plan: Plan,
}

/// The next port to try: below those that the system gives to outgoing
/// connections, so that none of them takes it before its process does.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address that nothing listens on.
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

/// A program of the workspace.
pub fn program(name: &str) -> Command {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_peridotslipd"));
    let mut command = Command::new(daemon.with_file_name(name));
    command.stdin(Stdio::null());
    command
}

impl Fleet {
    /// Starts everything and waits until the routers have tables.
    pub fn start(plan: &Plan) -> Self {
        let mut fleet = Self {
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            store: free_address(),
            vms: free_address(),
            store_relays: Vec::new(),
            engine_relays: Vec::new(),
            dir: TempDir::new().expect("a directory can be made"),
            children: Vec::new(),
            plan: plan.clone(),
        };
        let (store, vms) = (fleet.store.clone(), fleet.vms.clone());
        fleet.stand_in(&["store", "--listen", &store]);
        fleet.stand_in(&["vms", "--listen", &vms, "--lag-ms", "200"]);
        for _ in 0..plan.engines {
            fleet.start_engine();
        }
        let service = free_address();
        fleet.stand_in(&["service", "--listen", &service]);
        fleet.services.push(service);
        fleet.wait_for_store();
        for number in 0..plan.routers {
            fleet.start_router(number);
        }
        fleet.list_vms();
        fleet.apply(&plan.shape);
        fleet.wait_ready();
        fleet
    }

    fn stand_in(&mut self, args: &[&str]) {
        let child = program("peridotslip-standins")
            .args(args)
            .stdout(Stdio::null())
            .spawn()
            .expect("scripts/test has built the stand-ins");
        self.children.push(child);
    }

    fn start_engine(&mut self) {
        let address = free_address();
        let mut args = vec!["engine", "--listen", &address];
        let extra = self.plan.engine_args.clone();
        args.extend(extra.iter().map(String::as_str));
        self.stand_in(&args);
        let (address, relay) = if self.plan.engine_relays {
            let (near, relay) = self.relay(&address);
            (near, Some(relay))
        } else {
            (address, None)
        };
        self.engines.push(address);
        self.engine_relays.extend(relay);
    }

    /// Puts a relay in front of `to`.
    fn relay(&mut self, to: &str) -> (String, Relay) {
        let (listen, control) = (free_address(), free_address());
        self.stand_in(&[
            "relay",
            "--listen",
            &listen,
            "--to",
            to,
            "--control",
            &control,
        ]);
        (listen, Relay { control })
    }

    fn wait_for_store(&self) {
        let url = format!("http://{}/calls", self.store);
        eventually("the store answers", || get(&url).is_some());
    }

    /// Starts one more router, `number` deciding its data centre.
    pub fn start_router(&mut self, number: usize) {
        self.start_router_with(number, SHARDS);
    }

    /// Starts a router that cuts the ledger into so many shards.
    pub fn start_router_with(&mut self, number: usize, shards: u16) {
        let data_centre = format!("om-north-{}", ["a", "b", "c"][number % 3]);
        let mut store = self.store.clone();
        if self.plan.store_relays {
            let (near, relay) = self.relay(&store);
            self.store_relays.push(relay);
            store = near;
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
            self.plan.settings
        );
        fs::write(&settings, text).expect("the directory is there");
        let child = spawn_router(&settings);
        self.routers.push(Router {
            child,
            callers,
            operators,
            peers,
            settings,
        });
    }

    /// Starts a router that was ended again, at the same addresses.
    pub fn restart_router(&mut self, number: usize) {
        let router = &mut self.routers[number];
        router.child = spawn_router(&router.settings);
    }

    /// Has the platform list all routers that run.
    pub fn list_vms(&mut self) {
        let mut listed = Vec::new();
        for router in &mut self.routers {
            if matches!(router.child.try_wait(), Ok(None)) {
                listed.push(json!({ "address": router.peers, "state": "live" }));
            }
        }
        self.set_vms(&listed);
    }

    /// Has the platform list these VMs.
    pub fn set_vms(&self, listed: &[Value]) {
        let url = format!("http://{}/vms", self.vms);
        eventually("the VM list takes a change", || put(&url, &json!(listed)));
    }

    /// Waits until every router has tables and knows the others.
    pub fn wait_ready(&self) {
        let count = u32::try_from(self.routers.len()).expect("a fleet is small");
        eventually("every router knows the others", || {
            self.routers.iter().all(|router| {
                let ready = get(&format!("http://{}/readyz", router.operators)).is_some();
                ready && metric(router, "peridotslip_live_members") >= f64::from(count)
            })
        });
    }

    /// Applies tables of this shape.
    pub fn apply(&self, shape: &Shape) {
        tables::write(self.dir.path(), self, shape);
        let dir = self.dir.path().display().to_string();
        let output = self.tool(&["apply", "--wait=20", &dir]);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "apply: {text}");
    }

    /// Runs the operators' tool.
    pub fn tool(&self, args: &[&str]) -> Output {
        let mut command = program("peridotslip");
        command.arg(format!("--store={}", self.store));
        for router in &self.routers {
            command.arg(format!("--router={}", router.operators));
        }
        command
            .args(args)
            .output()
            .expect("scripts/test has built the tool")
    }

    /// Sends load and returns its report.
    pub fn load(&self, args: &[&str]) -> Value {
        self.load_at(&(0..self.routers.len()).collect::<Vec<_>>(), args)
    }

    /// Sends load to some routers and returns its report.
    pub fn load_at(&self, routers: &[usize], args: &[&str]) -> Value {
        let output = self.start_load(routers, args).wait_with_output();
        report(&output.expect("the load tool ends"))
    }

    /// Starts load and doesn't wait for it.
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
            .expect("scripts/test has built the load tool")
    }

    /// Sends a signal by name to a router.
    pub fn signal(&self, number: usize, name: &str) {
        let pid = self.routers[number].child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("kill is there").success());
    }

    /// Ends a router at once.
    pub fn kill(&mut self, number: usize) {
        let child = &mut self.routers[number].child;
        child.kill().expect("it runs");
        child.wait().expect("it was ended");
    }

    /// Stops a router as planned and returns whether it exited with 0.
    pub fn stop(&mut self, number: usize) -> bool {
        self.signal(number, "TERM");
        let status = self.routers[number].child.wait();
        status.expect("it ends").success()
    }

    /// Makes the store fail as told.
    pub fn store_faults(&self, order: &Value) {
        let url = format!("http://{}/faults", self.store);
        assert!(put(&url, order), "the store takes faults");
    }

    /// A figure summed over all routers that answer.
    pub fn total(&self, name: &str) -> f64 {
        self.routers.iter().map(|router| metric(router, name)).sum()
    }

    /// Sum of settled, granted and overspent tokens over all shards.
    pub fn money(&self) -> Money {
        let mut money = Money::default();
        let mut holders = BTreeSet::new();
        for shard in 0..SHARDS {
            let url = format!("http://{}/kv/ledger/qalam/{shard}", self.store);
            let Some(bytes) = get_bytes(&url) else {
                continue;
            };
            let record = ShardRecord::decode(&bytes).expect("the record reads back");
            for (_, account) in record.accounts() {
                money.settled += account.settled;
                money.granted += account.outstanding();
                money.overspent += account.overspend();
            }
            holders.extend(record.open_incarnations().map(|(holder, _)| holder));
        }
        money.holders = holders.len();
        money
    }

    /// The sums, once every bill is recorded.
    pub fn all_settled(&self) -> Money {
        eventually("every bill is recorded", || {
            self.total("peridotslip_unconfirmed_settlements") < 0.5
        });
        self.money()
    }

    /// How often each order ran at the services.
    pub fn runs(&self) -> Vec<u64> {
        let text = get(&format!("http://{}/runs", self.services[0])).expect("it answers");
        let runs: Value = serde_json::from_str(&text).expect("it is JSON");
        let counts = runs.as_object().expect("it is an object").values();
        counts.filter_map(Value::as_u64).collect()
    }

    /// An engine's or all engines' figure.
    pub fn engine_stat(&self, name: &str) -> u64 {
        self.engines
            .iter()
            .filter_map(|engine| get(&format!("http://{engine}/stats")))
            .filter_map(|text| serde_json::from_str::<Value>(&text).ok())
            .filter_map(|stats| stats[name].as_u64())
            .sum()
    }
}

impl Relay {
    /// Sets what the relay does.
    pub fn set(&self, mode: &str) {
        let url = format!("http://{}/mode", self.control);
        let sent = on_runtime(async {
            let reply = reqwest::Client::new()
                .put(url)
                .body(mode.to_owned())
                .send()
                .await;
            reply.is_ok_and(|reply| reply.status().is_success())
        });
        assert!(sent, "the relay takes {mode}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let kept = self.dir.path().display().to_string();
            eprintln!("a failed test's logs were in {kept}");
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

/// A router's figure by name and label text, 0 if it isn't there.
pub fn metric(router: &Router, name: &str) -> f64 {
    let text = get(&format!("http://{}/metrics", router.operators)).unwrap_or_default();
    text.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Sums over a firm's ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Money {
    pub settled: u64,
    pub granted: u64,
    pub overspent: u64,
    /// Router processes that hold grants or may.
    pub holders: usize,
}

fn spawn_router(settings: &std::path::Path) -> Child {
    program("peridotslipd")
        .arg("--settings")
        .arg(settings)
        .spawn()
        .expect("the daemon is built")
}

/// A figure of a report.
pub fn number(report: &Value, field: &str) -> u64 {
    report[field].as_u64().unwrap_or_default()
}

/// The report on the last line of the load tool's output.
pub fn report(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last = text.lines().last().unwrap_or_default();
    serde_json::from_str(last).unwrap_or_else(|_| panic!("no report in {text:?}"))
}
