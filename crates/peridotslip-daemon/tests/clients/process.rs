//! Fixture: a router as a process of its own, and what the process uses.

use std::{
    fs::{self, File},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use reqwest::{Client, RequestBuilder};
use serde_json::Value;
use tempfile::TempDir;

use crate::edge::{
    config, eventually, free_address,
    http_store::FakeStoreServer,
    server::{Server, ServerAction},
};

/// Interval between two samples of what a process uses.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait of an ordinary caller; a passing run does not reach it.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(60);

/// The limits of a VM and of callers' requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub max_fds: usize,
    pub body_bytes: usize,
}

/// A router process with a store and a backend server.
pub struct EdgeProcess {
    pub callers: String,
    pub ready: String,
    pub peers: String,
    pub server: Server,
    /// Its streams stop after their first event and stay open.
    _stalled: Server,
    pub usage: Usage,
    child: Child,
    limits: Limits,
    dir: TempDir,
    _store: FakeStoreServer,
}

impl EdgeProcess {
    /// Starts a router whose VM has `limits`, and waits until it is ready.
    pub async fn start(limits: Limits, action: ServerAction) -> Self {
        let server = Server::start("desk-1", "desk", &[action]).await;
        let stalled = Server::start("model-1", "model", &[ServerAction::StallAfter(0..1)]).await;
        let store = FakeStoreServer::start().await;
        let mut config = config(1, 1_000_000);
        config["limits"]["max-body-bytes"] = limits.body_bytes.into();
        config["limits"]["header-timeout-ms"] = 600_000.into();
        config["limits"]["idle-timeout-ms"] = 600_000.into();
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout-ms"] = 600_000.into();
        }
        for service in config["services"].as_array_mut().unwrap() {
            service["max-conns"] = 10_000.into();
        }
        store.items.write("op/config", &config);
        for server in [&server, &stalled] {
            let mut entry = server.entry("ready");
            entry["slots"] = 10_000.into();
            store.items.write(&format!("servers/{}", server.id), &entry);
        }
        let (callers, ready, peers) = (free_address(), free_address(), free_address());
        let settings: Value = serde_json::json!({
            "vm": "edge-1",
            "data_centre": "north",
            "listen": {"callers": callers, "ready": ready, "peers": peers},
            "vm_size": {"memory_mb": limits.memory_mb, "max_fds": limits.max_fds},
            "store": store.address,
        });
        let dir = TempDir::new().unwrap();
        let file = dir.path().join("router.yaml");
        fs::write(&file, settings.to_string()).unwrap();
        let log = File::create(dir.path().join("router.log")).unwrap();
        // The shell sets the limit of descriptors for the router alone.
        let child = Command::new("sh")
            .args(["-c", "ulimit -n \"$2\" && exec \"$0\" --edge \"$1\""])
            .arg(env!("CARGO_BIN_EXE_peridotslipd"))
            .arg(&file)
            .arg(limits.max_fds.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        let usage = Usage::watch(child.id(), &[&callers, &ready, &peers]);
        let process = Self {
            callers,
            ready,
            peers,
            server,
            _stalled: stalled,
            usage,
            child,
            limits,
            dir,
            _store: store,
        };
        eventually("the router is ready", async || process.is_ready().await).await;
        process
    }

    /// Returns whether the readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/api/readyz", self.ready);
        let response = Client::new().get(url).send().await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Returns a request of a caller inside the limits.
    pub fn request(&self, id: &str, body: Vec<u8>) -> RequestBuilder {
        Client::new()
            .post(format!("http://{}/order/a", self.callers))
            .header("Host", "muscat.example")
            .header("Authorization", "Bearer key-1")
            .header("X-Peridotslip-Attempt-Id", id)
            .header("X-Peridotslip-Deadline-Ms", "60000")
            .timeout(ORDINARY_TIMEOUT)
            .body(body)
    }

    /// Checks that the router answers one ordinary request.
    pub async fn check_ordinary(&self, id: &str) {
        self.check_served(id, b"the body".to_vec()).await;
    }

    /// Checks that the router serves one request with the longest permitted body.
    pub async fn check_longest(&self, id: &str) {
        self.check_served(id, vec![b'x'; self.limits.body_bytes])
            .await;
    }

    async fn check_served(&self, id: &str, body: Vec<u8>) {
        let length = body.len();
        let response = self.request(id, body).send().await;
        let response = response.unwrap_or_else(|err| panic!("{id}: {err}"));
        assert_eq!(response.status(), 200, "{id}");
        let received = self.server.received();
        let request = received
            .iter()
            .find(|request| request.header("x-peridotslip-attempt-id") == Some(id));
        assert_eq!(
            request.map(|request| request.body.len()),
            Some(length),
            "{id}"
        );
    }

    /// Waits until the router has closed the connections of callers that have gone.
    pub async fn wait_calm(&self) {
        eventually(
            "the router has closed its callers' connections",
            async || open_connections(&self.callers) == 0,
        )
        .await;
    }

    /// Checks that the process lives and that it has stayed within the VM's limits.
    pub fn check_limits(&mut self) {
        let status = self.child.try_wait().unwrap();
        assert!(status.is_none(), "the router has ended: {status:?}");
        let (peak_kb, peak_fds) = (self.usage.peak_kb(), self.usage.peak_fds());
        eprintln!("peak: {peak_kb} kB, {peak_fds} descriptors");
        let Limits {
            memory_mb, max_fds, ..
        } = self.limits;
        assert!(
            peak_kb <= memory_mb * 1_000_000 / 1_024,
            "{peak_kb} kB of {memory_mb} MB"
        );
        assert!(peak_fds < max_fds, "{peak_fds} of {max_fds} descriptors");
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        if thread::panicking() {
            let log = fs::read_to_string(self.dir.path().join("router.log")).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(10)..];
            eprintln!("{killed:?}, last lines of the router:\n{}", last.join("\n"));
        }
    }
}

/// The most that a process has used so far.
pub struct Usage {
    pid: u32,
    peaks: Arc<Peaks>,
    sampler: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Peaks {
    /// Resident memory and bytes in sockets that have arrived and were not read.
    bytes: AtomicUsize,
    descriptors: AtomicUsize,
    stopped: AtomicBool,
}

impl Usage {
    /// Watches a process that listens on `addresses`.
    pub fn watch(pid: u32, addresses: &[&str]) -> Self {
        let peaks = Arc::new(Peaks::default());
        let ports: Vec<u16> = addresses
            .iter()
            .map(|address| address.rsplit(':').next().unwrap().parse().unwrap())
            .collect();
        let sampler = thread::spawn({
            let peaks = peaks.clone();
            move || {
                while !peaks.stopped.load(Ordering::Relaxed) {
                    let bytes = status_kb(pid, "VmRSS") * 1_024 + unread_bytes(&ports);
                    peaks.bytes.fetch_max(bytes, Ordering::Relaxed);
                    peaks
                        .descriptors
                        .fetch_max(descriptors(pid), Ordering::Relaxed);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Self {
            pid,
            peaks,
            sampler: Some(sampler),
        }
    }

    /// Returns the peak of memory, in kilobytes.
    pub fn peak_kb(&self) -> u64 {
        let sampled_kb = self.peaks.bytes.load(Ordering::Relaxed) / 1_024;
        status_kb(self.pid, "VmHWM").max(sampled_kb) as u64
    }

    /// Returns the peak of open descriptors.
    pub fn peak_fds(&self) -> usize {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.peaks.stopped.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            sampler.join().unwrap();
        }
    }
}

/// Returns a field of a process's status in kilobytes; 0 if the process has ended.
fn status_kb(pid: u32, field: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Returns the number of a process's open descriptors.
fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the number of connections that are established at a local address.
fn open_connections(address: &str) -> usize {
    const ESTABLISHED: &str = "01";
    let port: u16 = address.rsplit(':').next().unwrap().parse().unwrap();
    let suffix = format!(":{port:04X}");
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let open = table.lines().skip(1).filter(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next().is_some_and(|local| local.ends_with(&suffix));
        is_local && fields.nth(1) == Some(ESTABLISHED)
    });
    open.count()
}

/// Returns the bytes that have arrived at the connections of local `ports` and were not
/// read.
fn unread_bytes(ports: &[u16]) -> usize {
    const LISTEN: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = fields.get(1)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let (_, unread) = fields.get(4)?.split_once(':')?;
        let counts = ports.contains(&port) && fields[3] != LISTEN;
        counts.then(|| usize::from_str_radix(unread, 16).ok())?
    });
    unread.sum()
}
