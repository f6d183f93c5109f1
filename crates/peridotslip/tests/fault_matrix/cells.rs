//! The dimensions of the matrix: faults, injection points and kinds of request.

/// A fault or concurrent event that is injected into the first router, its
/// connections, the store or the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The router process ends.
    Kill,
    /// The router process is paused for a long time.
    Pause,
    /// The router can't reach the store.
    CutFromStore,
    /// The router can't reach other routers.
    CutFromPeers,
    /// The router can't reach the backend server.
    CutFromBackend,
    /// The store is unavailable.
    StoreDown,
    /// The store executes the next compare-and-swap late.
    StoreSlow,
    /// The store's reply to the next compare-and-swap is lost.
    ReplyLost,
    /// The backend server does not respond before the timeout.
    ConnectionSilent,
    /// The caller sends the request to the second router as well.
    DuplicateElsewhere,
    /// The paid amount rises.
    TopUp,
    /// The second router gets tables that assign another budget.
    TablesChange,
    /// The router begins a graceful shutdown.
    PlannedStop,
}

pub const FAULTS: [Fault; 13] = [
    Fault::Kill,
    Fault::Pause,
    Fault::CutFromStore,
    Fault::CutFromPeers,
    Fault::CutFromBackend,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::ReplyLost,
    Fault::ConnectionSilent,
    Fault::DuplicateElsewhere,
    Fault::TopUp,
    Fault::TablesChange,
    Fault::PlannedStop,
];

/// Points of a request at which a fault is injected: before and after each
/// message and write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InjectionPoint {
    /// The request has arrived.
    Arrived,
    /// The claim is in the local ledger.
    ClaimMade,
    /// A compare-and-swap with the claim has been attempted.
    ClaimSwapped,
    /// The exchange of the claim has ended.
    ClaimAnswered,
    /// The local ledger lacks tokens.
    NeedMade,
    /// A compare-and-swap with the grant has been attempted.
    GrantSwapped,
    /// The exchange of the grant has ended.
    GrantAnswered,
    /// The tokens are reserved and nothing has been sent.
    BeforeSend,
    /// The backend server executes the request.
    Sent,
    /// The backend server has responded, or the router has stopped waiting.
    Answered,
    /// The reservation is settled in the local ledger.
    Settled,
    /// The replication of the settlement has ended.
    Copied,
    /// A compare-and-swap with the settlement has been attempted.
    BillSwapped,
    /// The exchange of the settlement has ended.
    BillAnswered,
    /// The request has ended.
    Released,
}

pub const INJECTION_POINTS: [InjectionPoint; 15] = [
    InjectionPoint::Arrived,
    InjectionPoint::ClaimMade,
    InjectionPoint::ClaimSwapped,
    InjectionPoint::ClaimAnswered,
    InjectionPoint::NeedMade,
    InjectionPoint::GrantSwapped,
    InjectionPoint::GrantAnswered,
    InjectionPoint::BeforeSend,
    InjectionPoint::Sent,
    InjectionPoint::Answered,
    InjectionPoint::Settled,
    InjectionPoint::Copied,
    InjectionPoint::BillSwapped,
    InjectionPoint::BillAnswered,
    InjectionPoint::Released,
];

/// Whether a request is idempotent and has an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that is not idempotent, with an idempotency key.
    Order,
    /// An idempotent request with an idempotency key.
    Keyed,
    /// An idempotent request without an idempotency key.
    Unkeyed,
}

pub const REQUEST_KINDS: [RequestKind; 3] =
    [RequestKind::Order, RequestKind::Keyed, RequestKind::Unkeyed];
