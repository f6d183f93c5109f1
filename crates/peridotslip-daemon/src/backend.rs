//! Policies and HTTP clients for backend servers.

mod early;
pub(crate) mod forward;
pub(crate) mod sse;

use std::{ops::Range, time::Duration};

use axum::http::{Request, header};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use peridotslip::{
    balance::{LeastLoaded, PrefixAffinity, RoundRobin, TwoChoices},
    prelude::*,
};
use quick_error::quick_error;
use reqwest::Body;

use self::early::{SentBody, UnframedBody};
use crate::settings::BackendSettings;

/// Most bytes that a connection reads ahead, which also limits a response's
/// head, in bytes. Each response without end fills a buffer of this size.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Send buffer of a connection, in bytes. What is in it counts as sent.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Statuses that end an exchange: RFC 9110, section 15, has classes up to 5, and no router
/// asks for another protocol.
const FINAL_STATUSES: Range<u16> = 200..600;
/// Idle time before the kernel probes a connection, in seconds.
const KEEP_ALIVE_S: u64 = 15;

quick_error! {
    /// Why a request has no response.
    #[derive(Debug)]
    pub enum SendError {
        /// The request is invalid and was not sent.
        Request(reason: String) {
            display("{reason}")
        }
        /// No connection could be opened, or the connection failed.
        Connection(err: Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The status of the response is none that ends an exchange.
        Status(status: u16) {
            display("the server answered with status {status}")
        }
    }
}

impl SendError {
    #[allow(clippy::needless_pass_by_value)] // Fits `map_err`.
    fn unreadable(err: reqwest::Error) -> Self {
        Self::Request(err.to_string())
    }

    /// Returns whether no connection could be opened, so that the request was
    /// not sent.
    pub(crate) fn is_connect(&self) -> bool {
        matches!(self, Self::Connection(err) if err.is_connect())
    }
}

/// A client for callers' requests, whose connections read a limited number of
/// bytes ahead.
#[derive(Clone, Debug)]
pub(crate) struct ForwardClient(Client<HttpConnector, Body>);

impl ForwardClient {
    /// Creates a client. With `reuse` it pools idle connections; otherwise each
    /// request opens its own connection.
    pub(crate) fn new(settings: &BackendSettings, reuse: bool) -> Self {
        let mut connector = HttpConnector::new();
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_send_buffer_size(Some(SEND_BUFFER_BYTES));
        connector.set_keepalive(Some(Duration::from_secs(KEEP_ALIVE_S)));
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(MAX_READ_AHEAD_BYTES)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(max_idle(reuse))
            .build(connector);
        Self(client)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// A [`SendError`] if the request is invalid or the connection fails.
    pub(crate) async fn send(
        &self,
        request: reqwest::Request,
    ) -> Result<reqwest::Response, SendError> {
        let request: Request<Body> = request.try_into().map_err(SendError::unreadable)?;
        let (head, body) = request.into_parts();
        let content = body.collect().await.map_err(SendError::unreadable)?;
        let (body, taken) = SentBody::new(content.to_bytes());
        let request = Request::from_parts(head, Body::wrap(body));
        let response = self.0.request(request).await?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(SendError::Status(status));
        }
        let framed = response.body().size_hint().exact().is_some()
            || response.headers().contains_key(header::TRANSFER_ENCODING);
        let response = if framed {
            response.map(Body::wrap)
        } else {
            response.map(|body| Body::wrap(UnframedBody::new(body, taken)))
        };
        Ok(response.into())
    }
}

/// Returns the most idle connections to a server.
fn max_idle(reuse: bool) -> usize {
    if reuse { usize::MAX } else { 0 }
}

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
    reqwest::Client::builder()
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .tcp_nodelay(true)
        .pool_max_idle_per_host(max_idle(reuse))
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .build()
}
