//! Policies and HTTP clients for backend servers.

pub(crate) mod forward;
pub(crate) mod sse;

use std::time::Duration;

use peridotslip::{
    balance::{LeastLoaded, PrefixAffinity, RoundRobin, TwoChoices},
    prelude::*,
};

use crate::settings::BackendSettings;

/// Returns the load-balancing policy with this name.
pub(crate) fn policy(name: &str) -> Option<Box<dyn Policy>> {
    let all: [Box<dyn Policy>; 4] = [
        Box::new(RoundRobin::default()),
        Box::new(LeastLoaded),
        Box::new(TwoChoices),
        Box::new(PrefixAffinity),
    ];
    all.into_iter().find(|policy| policy.name() == name)
}

/// Creates an HTTP client for backend servers. With `reuse` the client pools
/// idle connections; otherwise each request opens its own connection.
pub(crate) fn client(
    settings: &BackendSettings,
    reuse: bool,
) -> Result<reqwest::Client, reqwest::Error> {
    let idle = if reuse { usize::MAX } else { 0 };
    reqwest::Client::builder()
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .tcp_nodelay(true)
        .pool_max_idle_per_host(idle)
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .build()
}
