//! What is varied: faults, points of a request and kinds of request.

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

/// Points of a request at which a fault may strike: before and after each
/// message and write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Point {
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

pub const POINTS: [Point; 15] = [
    Point::Arrived,
    Point::ClaimMade,
    Point::ClaimSwapped,
    Point::ClaimAnswered,
    Point::NeedMade,
    Point::GrantSwapped,
    Point::GrantAnswered,
    Point::BeforeSend,
    Point::Sent,
    Point::Answered,
    Point::Settled,
    Point::Copied,
    Point::BillSwapped,
    Point::BillAnswered,
    Point::Released,
];

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Work that may not be repeated, under a key.
    Order,
    /// Work that may be repeated, under a key.
    Keyed,
    /// Work that may be repeated, without a key.
    Unkeyed,
}

pub const KINDS: [Kind; 3] = [Kind::Order, Kind::Keyed, Kind::Unkeyed];
