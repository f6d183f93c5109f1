//! Forwarding requests unchanged to the backend servers of a service.
//!
//! The operators' routing table lists routes by host and path prefix, the
//! services behind them, and the organisations whose API keys may use them.
//! The types in this module do no I/O: [`RoutingIndex`] matches a request to a
//! route, [`Placement`] selects a backend server, [`RetryBudget`] bounds
//! retries, [`StreamOrigins`] holds at which software versions streams began,
//! [`CrashEvidence`] finds requests that crash servers, [`RateLimits`] holds how many
//! requests servers take from all routers together, [`Warmups`] which servers are
//! cold, [`Evacuations`] which data centres are evacuated, [`Hedging`] decides on second
//! attempts of slow requests, [`HedgePools`] holds those that routers pool, and [`ConcurrencyLimiter`](crate::admission::ConcurrencyLimiter)
//! orders waiting requests.

mod connection_share;
mod crash_evidence;
mod draining;
mod engine_memory;
mod engine_rates;
mod evacuation;
mod fingerprint;
mod freshness;
mod hedge_pool;
mod hedging;
mod home_regions;
mod index;
mod origin;
mod placement;
mod rate_limit;
mod rest;
mod retry_budget;
mod server;
mod spread;
mod stored_origins;
mod table;
mod table_check;
mod warmup;

pub use self::{
    connection_share::connection_share,
    crash_evidence::{
        BlockChange, CrashEvent, CrashEvidence, CrashObservation, CrashVerdict, ObservationOrigin,
    },
    engine_memory::MemoryDemand,
    engine_rates::ServiceRate,
    evacuation::{EvacuationChanges, Evacuations, RESTORED_EVACUATION_MS},
    fingerprint::RequestFingerprint,
    freshness::{MIN_APPLY_WITHIN_MS, TableFreshness, TableProof, TableTiming},
    hedge_pool::{HedgePools, PoolAsk, PoolReply},
    hedging::{
        HedgeConditions, HedgeDenial, HedgeSource, HedgeWait, Hedging, RequestClass, lease_lead,
    },
    home_regions::home_data_centres,
    index::{RouteMatch, RoutingIndex},
    origin::{
        HistorySource, MAX_STREAM_MS, ORIGIN_WITNESSES, OriginQuery, OriginReply, OriginVerdict,
        ServerVersion, StoredHistory, StreamOrigin, StreamOrigins, VersionHistory, origin_majority,
    },
    placement::{ConnectionRoom, Obstacle, Placement, SelectedServer, Selection},
    rate_limit::{LimitNews, LimitNotice, PermitReply, RateLimit, RateLimits},
    rest::{MAX_REST_MS, Rest},
    retry_budget::RetryBudget,
    server::{
        AttemptOutcome, LoadReport, PromptProfile, RequestPart, ServerEntry, ServerId, ServerStart,
        ServerState,
    },
    stored_origins::{
        MAX_BATCH_RECORDS, OriginKey, OriginQueue, OriginRecord, OriginRing, QueuedOrigin,
        StoredOrigins, VersionSightings, encode_origins,
    },
    table::{
        CallerLimits, EngineTraits, Idempotency, Organisation, RoutingRule, RoutingTable, Service,
        Warmup,
    },
    table_check::{
        DeploymentFacts, Difference, Finding, Severity, check_replacement, check_table, diff_tables,
    },
    warmup::{
        FLEET_SETTLE_MS, GiverRole, WARMUP_PERMIT_MS, WarmupAsk, WarmupChange, WarmupPermits,
        WarmupReply, Warmups, giver_role,
    },
};
