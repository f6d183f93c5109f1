//! Few routers watch the store, and the others follow them.
//!
//! In each data centre the routers with the highest rank read the store directly
//! and pass its changes on to the rest. No consensus is needed: each router
//! ranks the fleet alone, any router that reads the store directly may serve any
//! other one, and a router that finds no relay reads the store itself. What orders
//! changes are the store's own revisions, within its epochs, so a follower that
//! turns from one source to another neither misses a change nor goes back.
//!
//! - [`ChangeLog`] holds what a relay passes on.
//! - [`rank`] orders the candidates for relays.
//! - [`SourceSelector`] chooses whom a router follows.
//! - [`news_route`] has what one router learns reach all others through relays, so
//!   that connections between routers don't grow with the square of the fleet.
//!
//! In an outage of the store, a relay holds its followers' calls until the store
//! has returned. A follower pings the store beside it, for the case that only the
//! relay is cut off.
//!
//! A relay keeps no snapshot. A router that starts, or whose position a relay
//! no longer covers, reads the store.

mod change_log;
mod selector;

pub use self::{
    change_log::{Change, ChangeLog, ChangeUpdate, Position},
    selector::{
        NewsMember, NewsRoute, RELAYS_PER_DATA_CENTRE, Rejection, RelayCandidate, Source,
        SourceSelector, VmSize, news_route, rank,
    },
};
