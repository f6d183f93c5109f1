//! Reasons for refusing or retrying a request.
//!
//! The word of a reason is the same in the caller's problem document, in the
//! counter and in the log, so that an operator can search for one word.

use serde::{Deserialize, Serialize};

/// Whether the work of a refused request happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// Nothing was sent to any backend server for this request.
    NotRun,
    /// The work happened, at least in part.
    Ran,
    /// The work may have happened.
    Unknown,
}

impl ExecutionStatus {
    /// The word used on the wire.
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
    ($($(#[$doc:meta])* $name:ident => $word:literal, $status:literal, $title:literal;)*) => {
        /// A reason for refusing a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Refusal {
            $($(#[$doc])* $name,)*
        }

        impl Refusal {
            /// Every reason, in the order of the filter chain.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The word used in answers, counters and logs.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $word,)* }
            }

            /// The HTTP status of the answer.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// A sentence for the caller that names the remedy.
            #[must_use]
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

refusals! {
    /// No key, or a key that no route knows.
    Unauthenticated => "unauthenticated", 401, "Send a valid key as `Authorization: Bearer KEY`.";
    /// The body is not the JSON object that the path takes.
    MalformedBody => "malformed-body", 400, "Send one JSON object with a string `model`.";
    /// The body passes the size limit.
    BodyTooLarge => "body-too-large", 413, "Send a smaller body; the limit is in the daemon's settings.";
    /// The body did not arrive whole in time.
    BodyTimeout => "body-timeout", 408, "Send the whole body sooner after the headers.";
    /// `max_tokens` is missing or out of range.
    MaxTokens => "max-tokens", 400, "Set `max_tokens` to a whole number from 1 to the limit.";
    /// No route of this organisation matches.
    NoRoute => "no-route", 404, "Use a model or path that a route of this organisation names.";
    /// The route needs an idempotency key.
    KeyRequired => "idempotency-key-required", 400, "Send an `Idempotency-Key` header: this route may not be repeated.";
    /// The idempotency key is too long or not visible ASCII.
    KeyMalformed => "idempotency-key-malformed", 400, "Use 1 to 255 visible ASCII characters as `Idempotency-Key`.";
    /// The key was used with another request.
    KeyReused => "idempotency-key-reused", 422, "Use a new `Idempotency-Key` for a different request.";
    /// The key's request ran before and its answer is no longer kept.
    AlreadyRan => "already-ran", 409, "The request of this key has run; do not repeat it.";
    /// The key's request was started and its outcome is not known.
    OutcomeUnknown => "outcome-unknown", 409, "The request of this key may have run; check with the back end.";
    /// The router has no tables yet.
    NotConfigured => "not-configured", 503, "Retry after the given time; the router is loading its tables.";
    /// The router is shutting down.
    ShuttingDown => "shutting-down", 503, "Retry at once; another router will answer.";
    /// The organisation has its fair share of the pool's queue in use.
    QueueFull => "queue-full", 429, "Retry after the given time; too many requests wait for this pool.";
    /// The deadline of the route's class can't be met.
    DeadlineUnmeetable => "deadline-unmeetable", 503, "Retry after the given time; the pool is too busy to answer in time.";
    /// The budget has no tokens left for this request.
    BudgetExhausted => "budget-exhausted", 402, "Top up the budget, lower `max_tokens`, or retry after the given time.";
    /// Tokens may remain, but the ledger can't be reached to get them.
    LedgerUnavailable => "ledger-unavailable", 503, "Retry after the given time; the ledger can't be reached.";
    /// No backend server of the pool can take the request.
    NoBackend => "no-backend", 503, "Retry after the given time; no backend server is available.";
    /// The backend server failed before its answer began.
    BackendFailed => "backend-failed", 502, "Retry with the same `Idempotency-Key`.";
    /// The backend server was silent past the time limit.
    BackendTimeout => "backend-timeout", 504, "Retry with the same `Idempotency-Key`.";
}

/// A reason for which the router tries something again on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// A connection to a backend server could not be opened.
    ConnectFailed,
    /// A backend server refused before running anything.
    BackendBusy,
    /// A stream broke and is resumed at its engine.
    StreamResumed,
    /// A stream went silent and is resumed at its engine.
    StreamSilent,
    /// A swap in the store lost a race.
    StoreConflict,
    /// A reply of the store was lost, so the record is read back.
    StoreReplyLost,
    /// A shard's writer did not answer, so this router writes by itself.
    WriterUnreachable,
}

impl RetryReason {
    /// Every reason.
    pub const ALL: &'static [Self] = &[
        Self::ConnectFailed,
        Self::BackendBusy,
        Self::StreamResumed,
        Self::StreamSilent,
        Self::StoreConflict,
        Self::StoreReplyLost,
        Self::WriterUnreachable,
    ];

    /// The word used in counters and logs.
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
