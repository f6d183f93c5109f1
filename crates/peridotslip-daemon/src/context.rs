//! What a request carries through the filter chain.

use std::{sync::Arc, time::Instant};

use axum::http::{HeaderMap, Method, Uri};
use bytes::Bytes;
use peridotslip::{
    prelude::*,
    tables::{ResolvedRoute, TableIndex},
};
use uuid::Uuid;

use crate::{
    answer::{Answer, Head},
    controllers::{Controllers, admission::Permit, ledger::ReservationGuard},
    metrics::Metrics,
    settings::Settings,
};

/// Tells the router that forwarded a request which server streams the answer.
pub(crate) const SERVER_HEADER: &str = "x-peridotslip-server";
/// The caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Names the request at the router that worked on it.
pub(crate) const HOME_HEADER: &str = "x-peridotslip-request";

/// What every request of the process shares.
pub(crate) struct SharedState {
    pub(crate) settings: Settings,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) controllers: Controllers,
}

/// A request as it arrived, with its body read whole.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What a completion request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    pub(crate) stream: bool,
    pub(crate) max_tokens: u64,
}

/// What the work cost and became, once it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) tokens: u64,
    pub(crate) outcome: Outcome,
}

/// The part of an answer that waits for its bill: all of a whole answer, the
/// end mark of a streamed one.
#[derive(Clone, Debug)]
pub(crate) struct HeldBack {
    /// The head, if it has not been given yet.
    pub(crate) head: Option<Head>,
    pub(crate) part: Bytes,
}

/// One request's state. Filters fill it in from the front of the chain to its
/// end; the tables it was matched with stay the same throughout.
#[allow(clippy::struct_excessive_bools)] // Independent facts, each set by one filter.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) id: String,
    pub(crate) arrived: Instant,
    /// When the request was last sent to a backend server.
    pub(crate) sent: Instant,
    pub(crate) incoming: Incoming,
    pub(crate) answer: Arc<Answer>,
    pub(crate) index: Arc<TableIndex>,
    pub(crate) organisation: Option<OrganisationName>,
    pub(crate) resolved_route: Option<Arc<ResolvedRoute>>,
    pub(crate) completion: Option<Completion>,
    /// The caller's idempotency key.
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) fingerprint: Fingerprint,
    /// The most tokens that the work can cost.
    pub(crate) bound: u64,
    /// Whether another router took the request in and sent it here.
    pub(crate) forwarded: bool,
    /// A server that is already at work on the request, and how many parts
    /// of its answer the caller has.
    pub(crate) adopted: Option<(String, u64)>,
    /// Whether another router answered for the request.
    pub(crate) answered_elsewhere: bool,
    /// Whether this router holds the claim of a key that may run once.
    pub(crate) holds_claim: bool,
    /// The request's place in its pool.
    pub(crate) permit: Option<Permit>,
    /// Tokens set aside, until they are settled or cancelled.
    pub(crate) reservation: Option<ReservationGuard>,
    /// What the work cost, if a bill is due.
    pub(crate) usage: Option<Usage>,
    /// The end of the answer, until its bill is safe.
    pub(crate) held_back: Option<HeldBack>,
    /// Whether the caller left before the answer was whole.
    pub(crate) abandoned: bool,
}

impl RequestContext {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        index: Arc<TableIndex>,
        incoming: Incoming,
    ) -> Self {
        let keyed = incoming.headers.contains_key(KEY_HEADER);
        Self {
            shared,
            id: Uuid::now_v7().simple().to_string(),
            arrived: Instant::now(),
            sent: Instant::now(),
            answer: Answer::new(keyed),
            incoming,
            index,
            organisation: None,
            resolved_route: None,
            completion: None,
            key: None,
            fingerprint: Fingerprint::default(),
            bound: 0,
            forwarded: false,
            adopted: None,
            answered_elsewhere: false,
            holds_claim: false,
            permit: None,
            reservation: None,
            usage: None,
            held_back: None,
            abandoned: false,
        }
    }

    /// The matched route with its pool and budget.
    ///
    /// # Panics
    ///
    /// If the route filter has not run; it stands before every user.
    pub(crate) fn resolved_route(&self) -> &Arc<ResolvedRoute> {
        self.resolved_route
            .as_ref()
            .expect("the route filter runs first")
    }

    /// Notes that the answer begins.
    pub(crate) fn note_first_byte(&self) {
        self.shared.metrics.first_byte(self.arrived.elapsed());
        if let Some(permit) = &self.permit {
            let deadline_ms = self.resolved_route().route.deadline_ms;
            permit.first_byte(self.sent.elapsed(), deadline_ms);
        }
    }

    /// The name under which backend servers know the work: the same for each
    /// retry of a key, so that a server can join or refuse a repeat.
    pub(crate) fn work_id(&self) -> String {
        match self.key {
            Some(key) => key.to_string(),
            None => self.id.clone(),
        }
    }
}
