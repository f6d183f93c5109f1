//! The dimensions of the matrix: faults, injection points and kinds of request.

/// A fault or concurrent event that is injected into the first router, its
/// connections, the store or the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Pause,
    CutFromStore,
    CutFromPeers,
    CutFromBackend,
    StoreDown,
    StoreSlow,
    ReplyLost,
    ConnectionSilent,
    DuplicateElsewhere,
    TopUp,
    TablesChange,
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
    Arrived,
    ClaimMade,
    ClaimSwapped,
    ClaimAnswered,
    NeedMade,
    GrantSwapped,
    GrantAnswered,
    BeforeSend,
    Sent,
    Answered,
    Settled,
    Copied,
    BillSwapped,
    BillAnswered,
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
