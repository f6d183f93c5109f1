//! Reasons for refusing or retrying a request.
//!
//! A reason has the same label in the problem document for the caller, in the
//! counters and in the log, so that operators can search for it.

use serde::{Deserialize, Serialize};

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// The request was not sent to any backend server.
    NotRun,
    /// The request was executed, at least in part.
    Ran,
    /// The request may have been executed.
    Unknown,
}

impl ExecutionStatus {
    /// Returns the label on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident => $label:literal, $status:literal, $title:literal;)*) => {
        /// A reason for refusing a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Refusal {
            $($(#[$doc])* $name,)*
        }

        impl Refusal {
            /// All reasons, in the order of the filter chain.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the label in responses, counters and logs.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns the HTTP status of the response.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns a sentence for the caller that states the remedy.
            #[must_use]
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

refusals! {
    /// The API key is missing or unknown.
    Unauthenticated => "unauthenticated", 401, "Send a valid key as `Authorization: Bearer KEY`.";
    /// The body is not a JSON object that the path accepts.
    MalformedBody => "malformed-body", 400, "Send one JSON object with a string `model`.";
    /// The body exceeds the size limit.
    BodyTooLarge => "body-too-large", 413, "Send a smaller body; the limit is in the daemon's settings.";
    /// The body was not complete before the timeout.
    BodyTimeout => "body-timeout", 408, "Send the whole body sooner after the headers.";
    /// The router has no memory for the body.
    MemoryShort => "memory-short", 503, "Retry after the given time; the router is short of memory for bodies.";
    /// `max_tokens` is missing or out of range.
    MaxTokens => "max-tokens", 400, "Set `max_tokens` to a whole number from 1 to the limit.";
    /// No route of this organisation matches.
    NoRoute => "no-route", 404, "Use a model or path that a route of this organisation names.";
    /// The route needs an idempotency key.
    KeyRequired => "idempotency-key-required", 400, "Send an `Idempotency-Key` header: this route may not be repeated.";
    /// The idempotency key is too long or not visible ASCII.
    KeyMalformed => "idempotency-key-malformed", 400, "Use 1 to 255 visible ASCII characters as `Idempotency-Key`.";
    /// The idempotency key was used for a different request.
    KeyReused => "idempotency-key-reused", 422, "Use a new `Idempotency-Key` for a different request.";
    /// The request of the idempotency key has been executed and its response is no
    /// longer retained.
    AlreadyRan => "already-ran", 409, "The request of this key has run; do not repeat it.";
    /// The request of the idempotency key was started and its outcome is unknown.
    OutcomeUnknown => "outcome-unknown", 409, "The request of this key may have run; check with the back end.";
    /// The router has not loaded its tables yet.
    NotConfigured => "not-configured", 503, "Retry after the given time; the router is loading its tables.";
    /// The router is shutting down.
    ShuttingDown => "shutting-down", 503, "Retry at once; another router will answer.";
    /// The router has too many open requests.
    QueueFull => "queue-full", 429, "Retry after the given time; too many requests wait for this pool.";
    /// The deadline of the route's class can't be met.
    DeadlineUnmeetable => "deadline-unmeetable", 503, "Retry after the given time; the pool is too busy to answer in time.";
    /// The budget has too few tokens for the request.
    BudgetExhausted => "budget-exhausted", 402, "Top up the budget, lower `max_tokens`, or retry after the given time.";
    /// The budget may have enough tokens, but the ledger is unreachable.
    LedgerUnavailable => "ledger-unavailable", 503, "Retry after the given time; the ledger can't be reached.";
    /// No backend server of the pool is available.
    NoBackend => "no-backend", 503, "Retry after the given time; no backend server is available.";
    /// The backend server failed before its response began.
    BackendFailed => "backend-failed", 502, "Retry with the same `Idempotency-Key`.";
    /// The backend server did not respond before the timeout.
    BackendTimeout => "backend-timeout", 504, "Retry with the same `Idempotency-Key`.";
}

/// A reason for which the router itself retries an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// A connection to a backend server could not be opened.
    ConnectFailed,
    /// A backend server refused a request without executing it.
    BackendBusy,
    /// A stream was interrupted and is resumed at its engine.
    StreamResumed,
    /// A stream timed out and is resumed at its engine.
    StreamSilent,
    /// A compare-and-swap in the store failed because of a concurrent write.
    StoreConflict,
    /// A reply of the store was lost, so the router reads the record again.
    StoreReplyLost,
    /// The writer of a shard did not respond, so this router writes to the store
    /// itself.
    WriterUnreachable,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: &'static [Self] = &[
        Self::ConnectFailed,
        Self::BackendBusy,
        Self::StreamResumed,
        Self::StreamSilent,
        Self::StoreConflict,
        Self::StoreReplyLost,
        Self::WriterUnreachable,
    ];

    /// Returns the label in counters and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect-failed",
            Self::BackendBusy => "backend-busy",
            Self::StreamResumed => "stream-resumed",
            Self::StreamSilent => "stream-silent",
            Self::StoreConflict => "store-conflict",
            Self::StoreReplyLost => "store-reply-lost",
            Self::WriterUnreachable => "writer-unreachable",
        }
    }
}
