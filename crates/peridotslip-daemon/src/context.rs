//! Request state that is passed through the filter chain.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::http::{HeaderMap, Method, Uri};
use bytes::Bytes;
use peridotslip::{
    memory::MemoryPool,
    prelude::*,
    tables::{ResolvedRoute, TableIndex},
};
use uuid::Uuid;

use crate::{
    controllers::{Controllers, admission::Permit, ledger::ReservationGuard},
    metrics::Metrics,
    response::{ResponseBuffer, ResponseHead},
    settings::Settings,
};

/// Response header in which a key's owner names the backend server of a
/// stream. The router that forwarded the request resumes the stream there if
/// the owner becomes unreachable.
pub(crate) const STREAM_SERVER_HEADER: &str = "x-peridotslip-server";
/// Header of a forwarded request whose sender accepts
/// [`ResponseFrame::Server`](crate::peer::ResponseFrame::Server). Routers of
/// earlier releases can't decode that frame.
pub(crate) const ACCEPTS_SERVER_FRAME_HEADER: &str = "x-peridotslip-accepts-server-frame";
/// Request header with the caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header with the request's id, under which the router that received
/// the request logs it.
pub(crate) const REQUEST_ID_HEADER: &str = "x-peridotslip-request";

/// State that all requests of the process share.
pub(crate) struct SharedState {
    pub(crate) settings: Settings,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) controllers: Controllers,
    /// Memory for the bodies that are being received from backend servers.
    pub(crate) response_memory: MemoryPool,
    /// Memory for the bodies that are being received from callers.
    pub(crate) request_memory: MemoryPool,
}

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct BufferedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Parameters of a completion request that the router needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CompletionParams {
    pub(crate) stream: bool,
    pub(crate) max_tokens: u64,
}

/// Cost and outcome of a request, as billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) tokens: u64,
    pub(crate) outcome: Outcome,
}

/// Output that is withheld until the bill is durable or replicated: all of a
/// buffered response, the end mark of a streamed one.
#[derive(Clone, Debug)]
pub(crate) struct DeferredOutput {
    /// The head, unless the response already has one.
    pub(crate) head: Option<ResponseHead>,
    pub(crate) chunk: Bytes,
}

/// State of one request, filled in by the filters in their order. The table
/// index is a snapshot that stays the same for the whole request.
#[allow(clippy::struct_excessive_bools)] // Independent facts, each set by one filter.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) id: String,
    pub(crate) received_at: Instant,
    /// When the request was last sent to a backend server.
    pub(crate) sent_at: Instant,
    pub(crate) request: BufferedRequest,
    pub(crate) response: Arc<ResponseBuffer>,
    pub(crate) index: Arc<TableIndex>,
    pub(crate) organisation: Option<OrganisationName>,
    pub(crate) resolved_route: Option<Arc<ResolvedRoute>>,
    /// `None` for requests to service pools.
    pub(crate) completion: Option<CompletionParams>,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    pub(crate) fingerprint: Fingerprint,
    /// Upper bound of the request's cost, in tokens.
    pub(crate) max_cost_tokens: u64,
    /// Whether another router received the request and forwarded it here.
    pub(crate) forwarded: bool,
    /// For a stream that was relayed from the key's owner until the owner
    /// became unreachable: its backend server and the number of content events
    /// that the caller already has.
    pub(crate) failover_stream: Option<(String, u64)>,
    /// The backend server to which the key's owner was sending the request when
    /// the owner became unreachable before the response head. The server may
    /// run the request, and attaches a duplicate with the same id to the run.
    pub(crate) failover_server: Option<String>,
    /// Whether another router, the key's owner, sent the response or rejection.
    pub(crate) answered_by_owner: bool,
    /// Whether this router holds the ledger's claim on the idempotency key;
    /// only non-idempotent requests need one.
    pub(crate) holds_claim: bool,
    /// Permit of the pool's concurrency limiter.
    pub(crate) permit: Option<Permit>,
    /// Reserved tokens, until they are settled or cancelled.
    pub(crate) reservation: Option<ReservationGuard>,
    /// The bill, if one is due.
    pub(crate) usage: Option<Usage>,
    /// The end of the response, until its bill is durable or replicated.
    pub(crate) deferred_output: Option<DeferredOutput>,
    /// Whether the caller disconnected before the response was complete.
    pub(crate) abandoned: bool,
}

impl RequestContext {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        index: Arc<TableIndex>,
        request: BufferedRequest,
    ) -> Self {
        let keyed = request.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
        Self {
            shared,
            id: Uuid::now_v7().simple().to_string(),
            received_at: Instant::now(),
            sent_at: Instant::now(),
            response: ResponseBuffer::new(keyed),
            request,
            index,
            organisation: None,
            resolved_route: None,
            completion: None,
            idempotency_key: None,
            fingerprint: Fingerprint::default(),
            max_cost_tokens: 0,
            forwarded: false,
            failover_stream: None,
            failover_server: None,
            answered_by_owner: false,
            holds_claim: false,
            permit: None,
            reservation: None,
            usage: None,
            deferred_output: None,
            abandoned: false,
        }
    }

    /// Returns the matched route with its pool and budget.
    ///
    /// # Panics
    ///
    /// If the route filter has not run; it precedes every filter that calls
    /// this method.
    pub(crate) fn resolved_route(&self) -> &Arc<ResolvedRoute> {
        self.resolved_route
            .as_ref()
            .expect("the route filter has run")
    }

    /// Returns the time by which the response must begin.
    pub(crate) fn deadline(&self) -> Instant {
        self.received_at + Duration::from_millis(self.resolved_route().route.deadline_ms)
    }

    /// Records the latency of the first byte of the response, which is
    /// available now.
    pub(crate) fn record_first_byte(&self) {
        self.shared.metrics.first_byte(self.received_at.elapsed());
        if let Some(permit) = &self.permit {
            let deadline_ms = self.resolved_route().route.deadline_ms;
            permit.record_first_byte(self.sent_at.elapsed(), deadline_ms);
        }
    }

    /// Returns the id that backend servers get with the request. Retries with
    /// the same idempotency key have the same id, so that a server can attach a
    /// duplicate to the running request or refuse the duplicate.
    pub(crate) fn backend_request_id(&self) -> String {
        match self.idempotency_key {
            Some(key) => key.to_string(),
            None => self.id.clone(),
        }
    }
}
