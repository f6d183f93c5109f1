//! What routers ask each other about money.

use peridotslip::{
    ids::{BudgetName, Incarnation, OrganisationName},
    ledger::GrantTransfer,
};
use serde::{Deserialize, Serialize};

use crate::rpc::RpcRequest;

/// Names a reservation of one router at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ReservationId {
    pub(super) requester: Incarnation,
    pub(super) seq: u64,
}

/// What routers ask each other about money.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Set tokens aside.
    Reserve {
        organisation: OrganisationName,
        paid: u64,
        tokens: u64,
        reservation_id: ReservationId,
    },
    /// End reservations, each with the tokens used.
    Settle(Vec<(ReservationId, u64)>),
    /// Hand over tokens that the store can't grant now.
    RequestTransfer {
        organisation: OrganisationName,
        tokens: u64,
    },
    /// Take over tokens of a router that leaves. Meant for one run only: a
    /// later one at the address can't know what that run took in.
    DeliverTransfers {
        incarnation: Incarnation,
        transfers: Vec<(OrganisationName, GrantTransfer)>,
    },
    /// Note that a router may use so much of its grant over its life.
    RaiseCeiling {
        witness: Incarnation,
        holder: Incarnation,
        budget: BudgetName,
        ceiling: u64,
    },
    /// What was noted of a router that has died?
    SealCeiling {
        witness: Incarnation,
        holder: Incarnation,
        budget: BudgetName,
    },
    /// This router is about to end.
    Leaving { incarnation: Incarnation },
    /// Are you there?
    Probe,
}

impl RpcRequest for PeerRequest {
    fn is_idempotent(&self) -> bool {
        match self {
            // Tickets, transfers and runs have names; a ceiling never falls.
            Self::Reserve { .. }
            | Self::Settle(_)
            | Self::DeliverTransfers { .. }
            | Self::RaiseCeiling { .. }
            | Self::SealCeiling { .. }
            | Self::Leaving { .. }
            | Self::Probe => true,
            // Each answer hands out tokens of its own.
            Self::RequestTransfer { .. } => false,
        }
    }
}

/// Answers to [`PeerRequest::Reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReserveReply {
    /// The tokens are set aside.
    Held,
    /// What was paid does not cover the request.
    Exhausted,
    /// The tokens can't be had now.
    Short,
    /// The router is leaving or can't reach the store; ask the next.
    Elsewhere,
}

/// Answers to [`PeerRequest::RaiseCeiling`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CeilingAck {
    /// The ceiling is noted.
    Recorded,
    /// The holder has been declared dead.
    Sealed,
    /// The run that was asked has ended or is about to: nothing that it noted
    /// will ever be told.
    WitnessGone,
}
