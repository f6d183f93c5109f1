//! The bound on the connections of all routers to one server.

/// Returns how many connections to one server a router may have. Together, the
/// routers of a fleet of `fleet` routers stay within `limit`. `rank` is the router's
/// place in an order of the fleet that differs from server to server, from 0: the
/// first ones share what an even division leaves over.
#[must_use]
pub fn connection_share(limit: usize, fleet: usize, rank: usize) -> usize {
    let fleet = fleet.max(1);
    limit / fleet + usize::from(rank < limit % fleet)
}
