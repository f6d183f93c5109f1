//! Which servers this router may open a connection to.

use std::{
    collections::HashMap,
    fmt,
    sync::{Mutex, PoisonError},
};

use peridotslip::forwarding::{
    ConnectionRoom, RoutingIndex, ServerEntry, ServerId, ServerStart, connection_share,
};

use crate::{context::SharedState, peers::Peers};

/// The places of this router in the orders of the fleet that divide the connections
/// to servers. Each takes a pass over the fleet, so they are kept until the fleet
/// changes.
#[derive(Debug, Default)]
pub(crate) struct ConnectionRanks {
    known: Mutex<KnownRanks>,
}

#[derive(Debug, Default)]
struct KnownRanks {
    /// The number of changes of the fleet after which the ranks were computed.
    changes: u64,
    ranks: HashMap<ServerId, usize>,
}

impl ConnectionRanks {
    fn get(&self, peers: &Peers, server: &ServerEntry) -> usize {
        let changes = peers.changes();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.changes != changes {
            known.changes = changes;
            known.ranks.clear();
        }
        if let Some(rank) = known.ranks.get(&server.id) {
            return *rank;
        }
        let rank = peers.rank(&server.id);
        known.ranks.insert(server.id.clone(), rank);
        rank
    }
}

/// This router's connections to the servers of one service.
pub(crate) struct ServerConnections<'a> {
    shared: &'a SharedState,
    /// Connections that a server accepts from all routers together.
    fleet_limit: usize,
    fleet: usize,
}

impl fmt::Debug for ServerConnections<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerConnections")
            .field("fleet_limit", &self.fleet_limit)
            .field("fleet", &self.fleet)
            .finish_non_exhaustive()
    }
}

impl<'a> ServerConnections<'a> {
    pub(crate) fn new(shared: &'a SharedState, index: &RoutingIndex, service: &str) -> Self {
        let service = index.service(service);
        Self {
            shared,
            fleet_limit: service.map_or(0, |service| service.max_connections as usize),
            fleet: shared.peers.fleet_size(),
        }
    }

    /// Returns how many connections to a server this router may have.
    pub(crate) fn limit(&self, server: &ServerEntry) -> usize {
        let rank = self.shared.connection_ranks.get(&self.shared.peers, server);
        connection_share(self.fleet_limit, self.fleet, rank)
    }
}

impl ConnectionRoom for ServerConnections<'_> {
    /// A request that is in flight may not have its connection yet, so both bound the
    /// next one.
    fn has_room(&self, server: &ServerEntry, in_flight: u32) -> bool {
        let in_flight = in_flight as usize;
        let usage = self.shared.upstream.usage(&ServerStart::from(server));
        let opened = if usage.idle > 0 { 0 } else { usage.open };
        let used = in_flight.max(opened);
        // The rank decides only whether this router has one more than all have.
        used < self.fleet_limit / self.fleet.max(1) || used < self.limit(server)
    }
}
