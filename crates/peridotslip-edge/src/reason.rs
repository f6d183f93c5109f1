//! Why a request gets an answer of the router's own.

use http::StatusCode;

/// Why a request gets an answer of the router's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    /// No routing table has been read yet.
    NotConfigured,
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or belongs to nobody.
    UnknownKey,
    /// The request can't be read.
    BadRequest,
    /// The body is over the limit.
    BodyTooLong,
    /// What was paid does not cover the request.
    Exhausted,
    /// The organisation's tokens can't be had now.
    TokensShort,
    /// No server of the service takes work.
    NoServer,
    /// Every server that was tried had no room.
    ServersFull,
    /// A server may have run the request, and no whole answer came.
    ServerBroke,
    /// The time is up and a server may have run the request.
    TimedOut,
    /// The time is up and no server was given the request.
    NotStarted,
}

impl RejectionReason {
    /// The word in logs and counters.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::BadRequest => "bad-request",
            Self::BodyTooLong => "body-too-long",
            Self::Exhausted => "budget-exhausted",
            Self::TokensShort => "tokens-short",
            Self::NoServer => "no-server",
            Self::ServersFull => "servers-full",
            Self::ServerBroke => "server-broke",
            Self::TimedOut => "timed-out",
            Self::NotStarted => "not-started",
        }
    }

    /// The status. 503 promises that the request has not run and never will.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Exhausted => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::TokensShort
            | Self::NoServer
            | Self::ServersFull
            | Self::NotStarted => StatusCode::SERVICE_UNAVAILABLE,
            Self::ServerBroke => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
