//! The open connections to a port that is not for callers.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{task::AbortHandle, time::Instant};

/// Least time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections to one port. When there are too many, the one is closed that has not
/// carried a call for longest, first among those that never have.
pub(crate) struct PortConnections {
    port: &'static str,
    limit: usize,
    open: Mutex<OpenConnections>,
}

#[derive(Default)]
struct OpenConnections {
    connections: Vec<PortConnection>,
    next_use: Arc<AtomicU64>,
    logged: Option<Instant>,
}

struct PortConnection {
    task: AbortHandle,
    last_use: LastUse,
}

/// The place of a connection's last call in the order of all calls; 0 before the first.
#[derive(Clone, Default)]
pub(crate) struct LastUse {
    place: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
}

impl LastUse {
    /// Records a call.
    pub(crate) fn record(&self) {
        let place = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        self.place.store(place, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.place.load(Ordering::Relaxed)
    }
}

impl PortConnections {
    /// Returns no connections, with room for `limit`. `port`: what the port is for.
    pub(crate) fn new(port: &'static str, limit: usize) -> Self {
        Self {
            port,
            limit,
            open: Mutex::default(),
        }
    }

    /// Serves a connection in a task. Closes another one if there are too many.
    pub(crate) fn spawn<F>(&self, serve: impl FnOnce(LastUse) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.connections.len() >= self.limit {
            open.connections
                .retain(|connection| !connection.task.is_finished());
        }
        if open.connections.len() >= self.limit {
            let connections = open.connections.iter().enumerate();
            let unused = connections.min_by_key(|(_, connection)| connection.last_use.get());
            if let Some(index) = unused.map(|(index, _)| index) {
                // Connections are in the order in which they were accepted.
                open.connections.remove(index).task.abort();
            }
            if open.logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
                open.logged = Some(Instant::now());
                let (port, limit) = (self.port, self.limit);
                log::warn!(port, limit; "too many connections; closing those that were unused for longest");
            }
        }
        let last_use = LastUse {
            place: Arc::default(),
            next: open.next_use.clone(),
        };
        let task = tokio::spawn(serve(last_use.clone())).abort_handle();
        open.connections.push(PortConnection { task, last_use });
    }
}
