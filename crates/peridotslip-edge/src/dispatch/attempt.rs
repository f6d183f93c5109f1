//! One send of a request to one server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use peridotslip::forwarding::{AttemptOutcome, PromptProfile, ServerEntry, ServerId};

use super::{Failed, Tries};
use crate::{
    context::{RequestContext, SharedState},
    ports::{ResponseMetadata, UpstreamRequestMetadata},
    upstream::{Exchange, Lease, NoConnection},
};

/// Fewest connections to a server that a router may open whatever its share.
const MIN_CONNECTIONS: usize = 4;
/// A router may open this many times an even share of a server's connections,
/// as the traffic is not even.
const CONNECTION_SHARE: usize = 2;
/// Fewest milliseconds in which a server can do anything of use.
const MIN_USEFUL_MS: u128 = 5;

/// A place at a server that the request counts against until it ends.
struct Place {
    shared: Arc<SharedState>,
    server: ServerId,
    ended: bool,
}

impl Place {
    fn end(&mut self, outcome: AttemptOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now_ms = self.shared.clock.now_ms();
        if self
            .shared
            .placement()
            .finish(&self.server, outcome, now_ms)
        {
            log::warn!(server = self.server.as_str(); "server is avoided after failures");
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Neutral);
    }
}

/// A server's answer of which the head has come.
pub(super) struct Attempt {
    place: Place,
    lease: Lease,
    sent: Instant,
    idle_s: Option<u64>,
    closing: bool,
    pub(super) server: ServerId,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    /// Whether the body's length or end is marked.
    pub(super) framed: bool,
}

/// How a server is to run a request.
struct How<'a> {
    /// Where a stream goes on.
    last_event_id: Option<u64>,
    /// The engine from which the beginning of the prompt can be copied.
    kv_source: Option<&'a str>,
}

impl Attempt {
    /// Picks a server and sends the request; waits up to `limit` for the
    /// answer's head. `None` if there is no server to try.
    pub(super) async fn send(
        cx: &RequestContext,
        tries: &Tries,
        last_event_id: Option<u64>,
        limit: Duration,
    ) -> Option<Result<Self, (ServerId, Failed)>> {
        let now_ms = cx.shared.clock.now_ms();
        let prompt = &cx.metadata.prompt;
        let selected = cx.shared.placement().choose_with_kv_source(
            &cx.service,
            prompt,
            &tries.servers,
            now_ms,
        )?;
        let server = selected.server;
        let mut place = Place {
            shared: cx.shared.clone(),
            server: server.id.clone(),
            ended: false,
        };
        let how = How {
            last_event_id,
            kv_source: selected.kv_source.as_deref(),
        };
        let sent = Self::exchange(cx, &server, &how, limit, &mut place).await;
        Some(match sent {
            Ok((lease, response, metadata, sent)) => {
                let (parts, body) = response.into_parts();
                let framed = body.size_hint().exact().is_some()
                    || parts.headers.contains_key(header::TRANSFER_ENCODING);
                Ok(Self {
                    place,
                    lease,
                    sent,
                    idle_s: metadata.keep_alive_s,
                    closing: metadata.closing,
                    server: server.id,
                    status: parts.status,
                    headers: parts.headers,
                    body,
                    framed,
                })
            }
            Err(failed) => Err((server.id, failed)),
        })
    }

    async fn exchange(
        cx: &RequestContext,
        server: &ServerEntry,
        how: &How<'_>,
        limit: Duration,
        place: &mut Place,
    ) -> Result<(Lease, http::Response<Incoming>, ResponseMetadata, Instant), Failed> {
        let most = connection_limit(cx);
        let mut lease = match cx.shared.upstream.connect(server, most).await {
            Ok(lease) => lease,
            Err(NoConnection::Limit) => {
                place.end(AttemptOutcome::Full);
                return Err(Failed::NotRun("connection-limit"));
            }
            Err(NoConnection::Unreachable) => {
                place.end(AttemptOutcome::Failed);
                return Err(Failed::NotRun("unreachable"));
            }
        };
        let remaining = cx.time_remaining();
        if remaining.as_millis() < MIN_USEFUL_MS {
            return Err(Failed::NotRun("no-time-left"));
        }
        let request = match build(cx, server, how, remaining) {
            Ok(request) => request,
            Err(err) => {
                log::error!(id = cx.id(); "a request can't be sent on: {err}");
                return Err(Failed::NotRun("unsendable"));
            }
        };
        let sent = Instant::now();
        let response = match tokio::time::timeout(limit, lease.send(request)).await {
            Ok(Exchange::Answer(response)) => response,
            Ok(Exchange::Unwritten) => {
                place.end(AttemptOutcome::Neutral);
                return Err(Failed::NotRun("connection-closed"));
            }
            Ok(Exchange::Broken(reason)) => {
                place.end(AttemptOutcome::Failed);
                return Err(Failed::MayHaveRun(reason));
            }
            Err(_) => {
                place.end(AttemptOutcome::Failed);
                return Err(Failed::Late);
            }
        };
        let metadata = cx
            .shared
            .platform
            .dialect
            .decode_response(response.status(), response.headers());
        check(cx, server, &response, &metadata, place)?;
        Ok((lease, response, metadata, sent))
    }

    /// Notes the first byte of the body.
    pub(super) fn first_byte(&self, cx: &RequestContext) {
        let elapsed = self.sent.elapsed();
        cx.shared.metrics.first_byte(elapsed);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let prompt: &PromptProfile = &cx.metadata.prompt;
        cx.shared
            .placement()
            .record_first_byte(&self.server, prompt, elapsed_ms);
    }

    /// The body has been read whole: keeps the connection.
    pub(super) fn finish(mut self) {
        self.place.end(AttemptOutcome::Answered);
        if !self.closing && self.framed {
            self.lease.keep(self.idle_s);
        }
    }

    /// The answer broke off: closes the connection.
    pub(super) fn broke(mut self) {
        self.place.end(AttemptOutcome::Failed);
    }
}

/// How many connections to one server this router may have.
fn connection_limit(cx: &RequestContext) -> usize {
    let service = cx.index.service(&cx.service);
    let most = service.map_or(0, |service| service.max_connections as usize);
    let share = most * CONNECTION_SHARE / cx.shared.peers.fleet_size();
    share.max(MIN_CONNECTIONS)
}

fn build(
    cx: &RequestContext,
    server: &ServerEntry,
    how: &How<'_>,
    remaining: Duration,
) -> Result<Request<Full<bytes::Bytes>>, http::Error> {
    let organisation = cx.organisation.as_ref();
    let priority = cx.route.as_ref().map(|route| route.priority);
    let urgency = organisation
        .and_then(|organisation| organisation.priority)
        .or(priority);
    let metadata = UpstreamRequestMetadata {
        server: &server.id,
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        organisation: organisation.map(|organisation| organisation.name.as_str()),
        urgency: urgency.filter(|_| cx.metadata.max_output_tokens.is_some()),
        last_event_id: how.last_event_id,
        kv_source: how.kv_source,
    };
    let path = cx.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(cx.method.clone())
        .uri(path)
        .body(Full::new(cx.body.clone()))?;
    *request.headers_mut() = cx
        .shared
        .platform
        .dialect
        .upstream_headers(&cx.headers, &metadata);
    if !request.headers().contains_key(header::HOST) {
        let host = cx
            .uri
            .authority()
            .map_or("", |authority| authority.as_str());
        let host = HeaderValue::from_str(host)?;
        request.headers_mut().insert(header::HOST, host);
    }
    Ok(request)
}

/// Takes in what the answer says of the server, and refuses an answer that is
/// not this request's.
fn check(
    cx: &RequestContext,
    server: &ServerEntry,
    response: &http::Response<Incoming>,
    metadata: &ResponseMetadata,
    place: &mut Place,
) -> Result<(), Failed> {
    let another = metadata
        .attempt_id
        .as_deref()
        .is_some_and(|id| Some(id) != cx.metadata.attempt_id.as_deref());
    if another {
        place.end(AttemptOutcome::Neutral);
        return Err(Failed::MayHaveRun("answer to another request".to_owned()));
    }
    if let Some(load) = metadata.load {
        let now_ms = cx.shared.clock.now_ms();
        cx.shared.placement().record_load(&server.id, load, now_ms);
    }
    if metadata.wrong_server {
        place.end(AttemptOutcome::WrongServer);
        return Err(Failed::NotRun("another server has the address"));
    }
    if metadata.not_run {
        place.end(AttemptOutcome::Full);
        return Err(Failed::NotRun("server refused"));
    }
    let success = response.status().is_success();
    if success && (!metadata.signed || metadata.attempt_id.is_none() || metadata.encoded) {
        place.end(AttemptOutcome::Failed);
        return Err(Failed::MayHaveRun("success without signature".to_owned()));
    }
    Ok(())
}
