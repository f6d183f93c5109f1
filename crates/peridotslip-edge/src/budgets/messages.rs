//! The requests between routers, and the replies about budgets.

use peridotslip::{
    forwarding::{CrashObservation, LimitNews, OriginRecord, PoolAsk, StreamOrigin, WarmupAsk},
    ids::{BudgetName, Incarnation, OrganisationName},
    ledger::{GrantTransfer, SettlementBatch},
};
use serde::{Deserialize, Serialize};

use crate::{feeds::FollowRequest, rpc::RpcRequest};

/// Identifies a reservation that one router has made at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ReservationId {
    pub(super) requester: Incarnation,
    pub(super) seq: u64,
}

/// A request from one router to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Reserves tokens.
    Reserve {
        organisation: OrganisationName,
        paid: u64,
        tokens: u64,
        reservation_id: ReservationId,
    },
    /// Ends reservations, each with the tokens used.
    Settle(Vec<(ReservationId, u64)>),
    /// Requests a transfer of tokens that the store can't grant now.
    RequestTransfer {
        organisation: OrganisationName,
        tokens: u64,
    },
    /// Delivers transfers to one incarnation. A later incarnation at the same
    /// address doesn't know which transfers that incarnation has received.
    DeliverTransfers {
        incarnation: Incarnation,
        transfers: Vec<(OrganisationName, GrantTransfer)>,
    },
    /// Records the ceiling on the tokens that `holder` may use of its grant over
    /// its lifetime.
    RaiseCeiling {
        witness: Incarnation,
        holder: Incarnation,
        budget: BudgetName,
        ceiling: u64,
    },
    /// Seals the ceiling of a dead router and returns it.
    SealCeiling {
        witness: Incarnation,
        holder: Incarnation,
        budget: BudgetName,
    },
    /// Announces that a router shuts down.
    Leaving { incarnation: Incarnation },
    /// Checks that a router is reachable.
    Probe,
    /// Reserves tokens. Sent instead of `Reserve` to routers that know protocol 1.
    ReserveWithPriority {
        organisation: OrganisationName,
        request: ReservationRequest,
        reservation_id: ReservationId,
    },
    /// Records where a stream began, for `keep_ms` milliseconds.
    RecordOrigin {
        id: String,
        origin: StreamOrigin,
        keep_ms: u64,
    },
    /// Looks up where a stream of one of `services` began.
    FindOrigin { id: String, services: Vec<String> },
    /// Asks what the router holds of an organisation's budget.
    FetchHolding(OrganisationName),
    /// Delivers observations of servers that have ended under prompts.
    ShareCrashes(Vec<CrashObservation>),
    /// Asks for all that the router knows of servers that have ended under
    /// prompts.
    FetchCrashes,
    /// Asks for a permit for a request to a server with a limit.
    TakePermit(LimitNews),
    /// Delivers changes of servers' limits.
    ShareLimits(Vec<LimitNews>),
    /// Asks for all limits of servers that the router knows.
    FetchLimits,
    /// Delivers observations of servers that a relay passes on. Sent to routers that
    /// know protocol 5.
    PassCrashes(Vec<CrashObservation>),
    /// Asks a relay for the store's changes. Sent to routers that know protocol 5.
    Follow(FollowRequest),
    /// Asks for a permit for a request to a cold server. Sent to routers that know
    /// protocol 6.
    TakeWarmupPermit(WarmupAsk),
    /// Hands over where streams began to the router that writes it to the store. Sent to
    /// routers that know protocol 7.
    StoreOrigins(Vec<OriginRecord>),
    /// Reports requests to the keeper of a service's pool of second attempts, and asks for
    /// leases. Sent to routers that know protocol 7.
    PoolSecondAttempts(PoolAsk),
    /// Asks a relay for the store's changes and for how current its routing table is. Sent
    /// to routers that know protocol 8.
    FollowWithProof(FollowRequest),
    /// Asks a relay how current its routing table is. Sent to routers that know protocol 8.
    ProveTable,
    /// Ends reservations of `requester`, and lists those that are open. Sent instead of
    /// `Settle` to routers that know protocol 9.
    SettleReservations {
        requester: Incarnation,
        batch: SettlementBatch,
    },
    /// Requests a transfer of tokens that the store can't grant now. Sent instead of
    /// `RequestTransfer` to routers that know protocol 9, which deliver the transfer again
    /// if the reply is lost.
    RequestTransferFor {
        requester: Incarnation,
        organisation: OrganisationName,
        tokens: u64,
    },
}

/// The priority of a reservation whose requester does not state one.
pub(crate) const LEAST_URGENT: u8 = u8::MAX;

/// The tokens that a request needs of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReservationRequest {
    /// The paid amount that the requester knows, in tokens.
    pub(crate) paid: u64,
    /// The most tokens that the request may use.
    pub(crate) tokens: u64,
    /// The priority of the request's route; 0 is the most urgent.
    pub(crate) priority: u8,
}

impl ReservationRequest {
    /// Returns the request of a requester that states no priority.
    pub(crate) fn least_urgent(paid: u64, tokens: u64) -> Self {
        Self {
            paid,
            tokens,
            priority: LEAST_URGENT,
        }
    }
}

impl RpcRequest for PeerRequest {
    fn is_idempotent(&self) -> bool {
        match self {
            // Reservations, transfers and incarnations have identifiers, and a
            // ceiling never falls, and an observation counts once, so a repeated
            // request has no further effect.
            Self::Reserve { .. }
            | Self::ReserveWithPriority { .. }
            | Self::Settle(_)
            | Self::SettleReservations { .. }
            | Self::DeliverTransfers { .. }
            | Self::RaiseCeiling { .. }
            | Self::SealCeiling { .. }
            | Self::Leaving { .. }
            | Self::RecordOrigin { .. }
            | Self::FindOrigin { .. }
            | Self::StoreOrigins(_)
            | Self::FetchHolding(_)
            | Self::ShareCrashes(_)
            | Self::FetchCrashes
            | Self::ShareLimits(_)
            | Self::FetchLimits
            | Self::PassCrashes(_)
            | Self::Follow(_)
            | Self::FollowWithProof(_)
            | Self::ProveTable
            | Self::Probe => true,
            // Each reply issues a transfer, a permit or leases of its own, and a report
            // counts each time.
            Self::RequestTransfer { .. }
            | Self::RequestTransferFor { .. }
            | Self::TakePermit(_)
            | Self::TakeWarmupPermit(_)
            | Self::PoolSecondAttempts(_) => false,
        }
    }
}

/// The reply to [`PeerRequest::Reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReserveReply {
    /// The tokens are reserved.
    Held,
    /// The paid amount does not cover the request.
    Exhausted,
    /// The tokens are not available now.
    Short,
    /// The router is shutting down or can't reach the store; the requester
    /// should try the next router.
    Elsewhere,
}

/// The reply to [`PeerRequest::RaiseCeiling`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CeilingAck {
    /// The ceiling is recorded.
    Recorded,
    /// The ceiling is sealed, because the holder has been declared dead.
    Sealed,
    /// The witness's incarnation has ended or is shutting down, so it will never
    /// report its recorded ceilings.
    WitnessGone,
}
