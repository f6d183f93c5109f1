/*!
A router that forwards requests unchanged to the backend servers of services
and charges them to prepaid budgets.

The crate holds the filter chain for requests, the store watches that update
the router's state, and the traits that a platform's adapter implements
([`ports`]). Decisions without I/O are in the `peridotslip` crate.

[`Router::bind`] starts a router on the current Tokio runtime; [`run`] is the
main function of a process. Both need [`Settings`](settings::Settings) and a
[`Platform`](ports::Platform).
*/

mod body;
mod budgets;
mod caller_connections;
mod clock;
mod connection_room;
mod context;
mod crash_watch;
mod dispatch;
mod feeds;
mod filters;
mod hedge_pool;
mod hedging;
mod latch;
mod limited_stream;
mod link_gate;
mod listeners;
mod local_health;
mod logging;
mod metrics;
mod origin_store;
mod peer_state;
mod peers;
mod port_connections;
pub mod ports;
mod reason;
mod registry;
mod request_body;
mod rpc;
mod rpc_liveness;
mod run;
mod server_limits;
mod server_versions;
pub mod settings;
mod shortage;
mod silence;
mod store_availability;
mod store_watch;
mod stream_origins;
mod upstream;
mod warmup;

pub use self::run::{Router, run};
