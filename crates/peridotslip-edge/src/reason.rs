//! Why the router rejects a request.

use http::StatusCode;
use peridotslip::forwarding::RequestPart;

/// Why the router rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    /// No routing table has been read yet.
    NotConfigured,
    /// No route matches the request's host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The active table lacks the route or the key, and a newer table that has it may be
    /// unknown to this router.
    TableStale,
    /// The request is malformed.
    BadRequest,
    /// The head is longer than the limit.
    HeadTooLong,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The rest of the organisation's prepaid tokens does not cover the
    /// request.
    BudgetExhausted,
    /// The organisation's tokens are temporarily unavailable to this router.
    TokensShort,
    /// The router's link can't carry the request.
    Overloaded,
    /// The router has no memory for the body.
    MemoryShort,
    /// The router has no room for the connection of the incomplete request.
    ConnectionsShort,
    /// No server of the service accepts requests.
    NoServer,
    /// All servers that could run the request are in evacuated data centres.
    Evacuated,
    /// No server of the service is in the request's home regions.
    NoHomeRegion,
    /// The software version that began the resumed stream is unknown.
    OriginUnknown,
    /// No server of the software version that began the resumed stream accepts
    /// requests.
    VersionGone,
    /// No server to which an attempt was made ran the request.
    ServersFull,
    /// All servers that could run the request have asked for no requests until a
    /// later time.
    ServersResting,
    /// All servers that could run the request rest or have a limit that admits no
    /// request now.
    ServersLimited,
    /// Servers have crashed under a segment of the prompt, and the request was not
    /// sent.
    PromptBlocked,
    /// The request was given up because servers have crashed under a segment of
    /// its prompt; a server may have run it.
    PromptStopped,
    /// Servers have crashed under the same request, and it was not sent.
    RequestBlocked,
    /// The request was given up because servers have crashed under the same request; a
    /// server may have run it.
    RequestStopped,
    /// The router is stopping and can't finish the request.
    Stopping,
    /// None of the servers to which attempts were made could be reached.
    ServersUnreachable,
    /// A server may have run the request, and no complete response was
    /// received.
    ServerBroke,
    /// The deadline has passed, and a server may have run the request.
    TimedOut,
    /// The deadline has passed, and no server has run the request.
    NotStarted,
}

impl RejectionReason {
    /// Returns the reason for which a request with a blocked part was not sent.
    pub(crate) fn blocked(part: RequestPart) -> Self {
        if part.is_whole() {
            Self::RequestBlocked
        } else {
            Self::PromptBlocked
        }
    }

    /// Returns the reason for which a request with a blocked part was given up.
    pub(crate) fn stopped(part: RequestPart) -> Self {
        if part.is_whole() {
            Self::RequestStopped
        } else {
            Self::PromptStopped
        }
    }

    /// Returns the reason's label in responses, logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::TableStale => "table-stale",
            Self::BadRequest => "bad-request",
            Self::HeadTooLong => "head-too-long",
            Self::BodyTooLong => "body-too-long",
            Self::BudgetExhausted => "budget-exhausted",
            Self::TokensShort => "tokens-short",
            Self::Overloaded => "overloaded",
            Self::MemoryShort => "memory-short",
            Self::ConnectionsShort => "connections-short",
            Self::NoServer => "no-server",
            Self::Evacuated => "evacuated",
            Self::NoHomeRegion => "no-home-region",
            Self::OriginUnknown => "origin-unknown",
            Self::VersionGone => "version-gone",
            Self::ServersFull => "servers-full",
            Self::ServersResting => "servers-resting",
            Self::ServersLimited => "servers-limited",
            Self::PromptBlocked => "prompt-blocked",
            Self::PromptStopped => "prompt-stopped",
            Self::RequestBlocked => "request-blocked",
            Self::RequestStopped => "request-stopped",
            Self::Stopping => "router-stopping",
            Self::ServersUnreachable => "servers-unreachable",
            Self::ServerBroke => "server-broke",
            Self::TimedOut => "timed-out",
            Self::NotStarted => "not-started",
        }
    }

    /// Returns the HTTP status. 503 guarantees that the request has not run and
    /// never will.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::TableStale
            | Self::TokensShort
            | Self::Overloaded
            | Self::MemoryShort
            | Self::ConnectionsShort
            | Self::NoServer
            | Self::Evacuated
            | Self::NoHomeRegion
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::ServersFull
            | Self::ServersResting
            | Self::ServersLimited
            | Self::PromptBlocked
            | Self::RequestBlocked
            | Self::Stopping
            | Self::ServersUnreachable
            | Self::NotStarted => StatusCode::SERVICE_UNAVAILABLE,
            Self::ServerBroke | Self::PromptStopped | Self::RequestStopped => {
                StatusCode::BAD_GATEWAY
            }
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
