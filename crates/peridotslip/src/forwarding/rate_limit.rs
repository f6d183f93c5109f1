//! Limits on the requests that a server takes from all routers together.
//!
//! A server names its limit in its responses for as long as it lasts. One router,
//! which all others determine alike, gives out permits for the server at the rate
//! of its limit. The others ask it before they send a request there, so that the
//! limit holds for their sum and can be used wherever the requests arrive. Routers
//! tell one another of limits that begin, change or end.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{ServerEntry, ServerId, ServerStart};

/// Smallest limit, in thousandths of a request per second: without any request,
/// no response could say that the limit has ended.
const MIN_LIMIT_MILLIS: u64 = 50;
/// Largest limit, in thousandths of a request per second.
const MAX_LIMIT_MILLIS: u64 = 1_000_000_000;
/// Permits that a router can save up, as the time in which the limit allows them,
/// in milliseconds; at least one permit.
const SAVED_PERMITS_MS: f64 = 250.0;
/// How long after an ask for a permit without a reply a router may ask again, in
/// milliseconds.
const ASK_TIMEOUT_MS: u64 = 400;
/// Shortest time until a router may ask again for each router of the fleet, in
/// milliseconds. Bounds how often a router is asked.
const ASK_INTERVAL_PER_ROUTER_MS: u64 = 10;
/// How long a limit or its end is remembered that no response confirms, in
/// milliseconds.
const RETENTION_MS: u64 = 2 * 60 * 60 * 1_000;

/// A number of requests per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit {
    /// Thousandths of a request per second.
    millis: u64,
}

impl RateLimit {
    /// Returns a limit of `per_s` requests per second, or `None` if the number is
    /// negative or not finite. A limit of zero is a very low one.
    #[must_use]
    pub fn per_second(per_s: f64) -> Option<Self> {
        if !per_s.is_finite() || per_s < 0.0 {
            return None;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let millis = (per_s * 1_000.0) as u64;
        Some(Self {
            millis: millis.clamp(MIN_LIMIT_MILLIS, MAX_LIMIT_MILLIS),
        })
    }

    /// Returns the requests per second.
    #[allow(clippy::cast_precision_loss)]
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        self.millis as f64 / 1_000.0
    }

    /// Returns the requests per millisecond.
    #[allow(clippy::cast_precision_loss)]
    fn per_ms(self) -> f64 {
        self.millis as f64 / 1_000_000.0
    }
}

/// What a response says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The server names no limit.
    #[default]
    Unlimited,
    /// The server names this limit.
    Limited(RateLimit),
    /// The value can't be read, so nothing changes.
    Unreadable,
}

/// A limit that a router knows, for its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LimitNews {
    /// The start of the server.
    pub start: ServerStart,
    /// The limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// How long ago a response confirmed it, in milliseconds.
    pub age_ms: u64,
}

/// The reply to a router that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitReply {
    /// The router may send one request.
    Granted,
    /// The router may ask again in this many milliseconds.
    Denied {
        /// The time, in milliseconds.
        wait_ms: u64,
    },
    /// The limit has ended; a response said so this many milliseconds ago.
    Ended {
        /// The time, in milliseconds.
        age_ms: u64,
    },
}

/// What is known of the limit of one start of a server.
#[derive(Clone, Debug)]
struct ServerLimit {
    start: ServerStart,
    limit: Option<RateLimit>,
    /// When the last response that names just this limit was received.
    confirmed_ms: u64,
    /// Whether peers lack the last change.
    unpublished: bool,
    /// From when on this router may ask for a permit.
    ask_at_ms: u64,
    /// Permits that this router can give out.
    permits: f64,
    refilled_ms: u64,
}

impl ServerLimit {
    fn new(start: ServerStart, limit: Option<RateLimit>, confirmed_ms: u64, now_ms: u64) -> Self {
        Self {
            start,
            limit,
            confirmed_ms,
            unpublished: false,
            ask_at_ms: 0,
            permits: 1.0,
            refilled_ms: now_ms,
        }
    }

    /// Changes the limit. Returns whether it is another one.
    fn set(&mut self, limit: Option<RateLimit>, confirmed_ms: u64) -> bool {
        let changed = self.limit != limit;
        self.limit = limit;
        self.confirmed_ms = confirmed_ms;
        if changed {
            self.ask_at_ms = 0;
        }
        changed
    }

    /// Returns what is known, for peers.
    fn news(&self, now_ms: u64) -> LimitNews {
        LimitNews {
            start: self.start.clone(),
            limit: self.limit,
            age_ms: now_ms.saturating_sub(self.confirmed_ms),
        }
    }

    /// Takes a permit. Returns the time until there is one, in milliseconds, if
    /// there is none.
    fn take_permit(&mut self, limit: RateLimit, now_ms: u64) -> Result<(), u64> {
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let most = (SAVED_PERMITS_MS * limit.per_ms()).max(1.0);
        self.permits = (self.permits + elapsed_ms * limit.per_ms()).min(most);
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Ok(());
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = ((1.0 - self.permits) / limit.per_ms()).ceil() as u64;
        Err(wait_ms)
    }
}

/// Returns whether `limit` is lower than `other`; `None` is no limit.
fn is_lower(limit: Option<RateLimit>, other: Option<RateLimit>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// The limits of the servers of all services.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    servers: HashMap<ServerId, ServerLimit>,
}

impl RateLimits {
    /// Records what a response says whose request was sent at `sent_ms`. A lower
    /// limit holds at once. A higher one, or none, holds only if the request was
    /// sent after the limit was last confirmed: responses may overtake each other.
    /// Returns whether the limit has changed.
    pub fn record_notice(
        &mut self,
        start: &ServerStart,
        notice: LimitNotice,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let limit = match notice {
            LimitNotice::Unlimited => None,
            LimitNotice::Limited(limit) => Some(limit),
            LimitNotice::Unreadable => return false,
        };
        let known = self.servers.get(&start.server);
        let known = known.filter(|known| known.start == *start);
        let accepted = known
            .is_none_or(|known| !is_lower(known.limit, limit) || sent_ms >= known.confirmed_ms);
        accepted && self.set(start, limit, now_ms, now_ms, true)
    }

    /// Adds what a peer knows. `pass_on`: whether this router sends its peers what is
    /// new to it. Returns whether the limit has changed.
    pub fn merge(&mut self, news: &LimitNews, pass_on: bool, now_ms: u64) -> bool {
        let confirmed_ms = now_ms.saturating_sub(news.age_ms);
        let known = self.servers.get(&news.start.server);
        let known = known.filter(|known| known.start == news.start);
        let accepted = known.is_none_or(|known| {
            confirmed_ms > known.confirmed_ms
                || (confirmed_ms == known.confirmed_ms && is_lower(news.limit, known.limit))
        });
        accepted && self.set(&news.start, news.limit, confirmed_ms, now_ms, pass_on)
    }

    fn set(
        &mut self,
        start: &ServerStart,
        limit: Option<RateLimit>,
        confirmed_ms: u64,
        now_ms: u64,
        publish: bool,
    ) -> bool {
        match self.servers.get_mut(&start.server) {
            Some(known) if known.start == *start => {
                let changed = known.set(limit, confirmed_ms);
                // What a peer has published needs no publication by this router.
                known.unpublished = (known.unpublished || changed) && publish;
                changed
            }
            // A response from an earlier start says nothing of the later one.
            Some(known) if known.start.started_ms > start.started_ms => false,
            _ if limit.is_none() => false,
            _ => {
                let mut server = ServerLimit::new(start.clone(), limit, confirmed_ms, now_ms);
                server.unpublished = publish;
                self.servers.insert(start.server.clone(), server);
                true
            }
        }
    }

    fn known(&self, server: &ServerEntry) -> Option<&ServerLimit> {
        let known = self.servers.get(&server.id)?;
        let same =
            known.start.started_ms == server.started_ms && known.start.address == server.address;
        same.then_some(known)
    }

    /// Returns from when on this router may ask for a permit for a server, in
    /// milliseconds; `None` if the server has no limit.
    pub(super) fn ask_at_ms(&self, server: &ServerEntry) -> Option<u64> {
        let known = self.known(server)?;
        known.limit.map(|_| known.ask_at_ms)
    }

    /// Returns whether a request may be sent to a server or a permit be asked for.
    pub(super) fn admits(&self, server: &ServerEntry, now_ms: u64) -> bool {
        self.ask_at_ms(server)
            .is_none_or(|ask_at_ms| now_ms >= ask_at_ms)
    }

    /// Begins to ask for a permit. Returns what is known of the limit; `None` if
    /// the server has none. Other requests don't ask until the reply is recorded.
    pub fn begin_ask(&mut self, start: &ServerStart, now_ms: u64) -> Option<LimitNews> {
        let known = self.servers.get_mut(&start.server);
        let known = known.filter(|known| known.start == *start)?;
        known.limit?;
        known.ask_at_ms = now_ms + ASK_TIMEOUT_MS;
        Some(LimitNews {
            start: start.clone(),
            limit: known.limit,
            age_ms: now_ms.saturating_sub(known.confirmed_ms),
        })
    }

    /// Records the reply to a request for a permit.
    pub fn record_reply(&mut self, start: &ServerStart, reply: PermitReply, now_ms: u64) {
        if let PermitReply::Ended { age_ms } = reply {
            let news = LimitNews {
                start: start.clone(),
                limit: None,
                age_ms,
            };
            self.merge(&news, false, now_ms);
        }
        if let Some(known) = self.servers.get_mut(&start.server)
            && known.start == *start
        {
            known.ask_at_ms = match reply {
                PermitReply::Denied { wait_ms } => now_ms + wait_ms,
                PermitReply::Granted | PermitReply::Ended { .. } => now_ms,
            };
        }
    }

    /// Replies to a router of a fleet of `fleet` routers that asks for a permit and
    /// knows `news`.
    pub fn grant(&mut self, news: &LimitNews, fleet: usize, now_ms: u64) -> PermitReply {
        self.merge(news, false, now_ms);
        let known = self.servers.get_mut(&news.start.server);
        let Some(known) = known.filter(|known| known.start == news.start) else {
            // Only an earlier start is asked for by a router that lags behind.
            return PermitReply::Denied {
                wait_ms: ASK_TIMEOUT_MS,
            };
        };
        let Some(limit) = known.limit else {
            return PermitReply::Ended {
                age_ms: now_ms.saturating_sub(known.confirmed_ms),
            };
        };
        match known.take_permit(limit, now_ms) {
            Ok(()) => PermitReply::Granted,
            Err(wait_ms) => {
                let fleet = u64::try_from(fleet).unwrap_or(u64::MAX);
                let shortest_ms = fleet.saturating_mul(ASK_INTERVAL_PER_ROUTER_MS);
                PermitReply::Denied {
                    wait_ms: wait_ms.max(shortest_ms),
                }
            }
        }
    }

    /// Returns the changes that peers lack, and counts them as published.
    pub fn take_unpublished(&mut self, now_ms: u64) -> Vec<LimitNews> {
        self.servers
            .retain(|_, known| now_ms < known.confirmed_ms.saturating_add(RETENTION_MS));
        let unpublished = self.servers.values_mut().filter(|known| known.unpublished);
        let news = unpublished.map(|known| {
            known.unpublished = false;
            known.news(now_ms)
        });
        news.collect()
    }

    /// Returns all that is known, for a router that starts.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<LimitNews> {
        let known = self.servers.values();
        known.map(|known| known.news(now_ms)).collect()
    }
}
