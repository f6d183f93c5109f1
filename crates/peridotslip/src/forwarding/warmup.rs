//! Servers that are cold after a start, and permits for the few requests that they
//! take meanwhile.
//!
//! A cold server is slow and crashes under many requests, so that the sum over all
//! routers is bounded. Two routers of the fleet, the first two by rendezvous weight
//! for the server, give out permits, each out of a fixed share of the bound. The
//! shares add up to the bound, so that it holds although both give out permits at
//! the same time, which no message can exclude in a partition. [`Warmups`] decides
//! which servers are cold, [`giver_role`] whether a router gives out permits, and
//! [`WarmupPermits`] when there is one.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{RateLimit, ServerEntry, ServerId, ServerStart, Warmup};

/// Longest time from an ask for a permit to the write of its request, in
/// milliseconds.
pub const WARMUP_PERMIT_MS: u64 = 200;
/// Upper bound on the time from the write of a request to its arrival, in
/// milliseconds.
const DELIVERY_MS: u64 = 100;
/// Time in which all permits may be given out whose requests arrive within one
/// second, in seconds.
#[allow(clippy::cast_precision_loss)]
const PERMIT_WINDOW_S: f64 = 1.0 + (WARMUP_PERMIT_MS + DELIVERY_MS) as f64 / 1_000.0;
/// Most permits that a router saves up.
const MAX_SAVED_PERMITS: f64 = 2.0;
/// Part of a permit that stays unused, against the rounding of times to milliseconds.
const ROUNDING_PERMITS: f64 = 0.02;
/// Share of the bound that the first of the two routers gives out.
const FIRST_SHARE: f64 = 2.0 / 3.0;
/// How long after a change of the fleet, or its own start, a router gives out no
/// permits, in milliseconds. Longer than other routers take to learn of the change,
/// and than the permits of an earlier process are used.
pub const FLEET_SETTLE_MS: u64 = 3_000;
/// How long after an ask without a reply a router may ask again, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 400;
/// Shortest time until a denied router may ask again, for each router of the fleet,
/// in milliseconds. Bounds how often a router is asked.
const ASK_INTERVAL_PER_ROUTER_MS: u64 = 5;
/// How much longer than known a server must stay cold for an entry to be passed on,
/// in milliseconds. Entries arrive with different delays.
const EXTENSION_MS: u64 = 300;
/// Number of servers from which a router drops old permits.
const MAX_PERMITS: usize = 4_096;
/// Number of removed servers whose starts a router remembers.
const MAX_REMOVED: usize = 1_000;
/// How long permits are remembered after the last ask, in milliseconds.
const PERMIT_RETENTION_MS: u64 = 60_000;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupAsk {
    /// The start of the server.
    pub start: ServerStart,
    /// How long the server stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// The requests that the server takes while cold.
    pub limit: RateLimit,
}

/// The reply to a router that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmupReply {
    /// The router may send one request, up to [`WARMUP_PERMIT_MS`] after its ask.
    Granted,
    /// The router may ask again in this many milliseconds.
    Denied {
        /// The time, in milliseconds.
        wait_ms: u64,
    },
    /// The router that was asked gives out no permits for this server now.
    NotGiver,
}

/// Which share of a server's bound a router gives out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiverRole {
    /// The larger share, at the rate that the server takes.
    First,
    /// The rest, for routers that can't reach the first one.
    Second,
}

/// Returns the share of a server's bound that a router gives out, if any. `rank`:
/// its place in the whole fleet by rendezvous weight for the server, unreachable
/// routers included. `settled_ms`: how long it has known the fleet unchanged, in
/// milliseconds. `store_ms`: for how long it has been able to learn of a change; `None`
/// if it can't reach the store.
#[must_use]
pub fn giver_role(rank: usize, settled_ms: u64, store_ms: Option<u64>) -> Option<GiverRole> {
    if settled_ms < FLEET_SETTLE_MS {
        return None;
    }
    // Meanwhile, another router may have become the first.
    let is_current = store_ms.is_some_and(|store_ms| store_ms >= FLEET_SETTLE_MS);
    match (rank, is_current) {
        (0, true) => Some(GiverRole::First),
        (0, false) | (1, true) => Some(GiverRole::Second),
        _ => None,
    }
}

/// How a router gives out its share of a bound.
#[derive(Clone, Copy, Debug)]
struct PermitRate {
    per_ms: f64,
    most_saved: f64,
}

impl PermitRate {
    /// Returns the rate at which no more than the share of `bound_per_s` requests
    /// arrive within any second; `None` if the share admits none.
    fn new(limit: RateLimit, role: GiverRole, bound_per_s: f64) -> Option<Self> {
        let all = bound_per_s.floor();
        let first = (all * FIRST_SHARE).ceil();
        let share = match role {
            GiverRole::First => first,
            GiverRole::Second => all - first,
        };
        if share < 1.0 {
            return None;
        }
        let most = share + 1.0 - ROUNDING_PERMITS;
        let savable = most - PERMIT_WINDOW_S * limit.as_per_second();
        let most_saved = savable.clamp(1.0, MAX_SAVED_PERMITS);
        let per_s = limit
            .as_per_second()
            .min((most - most_saved) / PERMIT_WINDOW_S);
        Some(Self {
            per_ms: per_s / 1_000.0,
            most_saved,
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct SavedPermits {
    permits: f64,
    refilled_ms: u64,
}

/// The permits that one router gives out.
#[derive(Clone, Debug, Default)]
pub struct WarmupPermits {
    servers: HashMap<ServerId, SavedPermits>,
}

impl WarmupPermits {
    /// Replies to a router of a fleet of `fleet` routers. `bound_per_s`: the most
    /// requests that the server may get in any second from all routers.
    pub fn grant(
        &mut self,
        ask: &WarmupAsk,
        role: GiverRole,
        bound_per_s: f64,
        fleet: usize,
        now_ms: u64,
    ) -> WarmupReply {
        let Some(rate) = PermitRate::new(ask.limit, role, bound_per_s) else {
            return WarmupReply::Denied {
                wait_ms: ASK_TIMEOUT_MS,
            };
        };
        if self.servers.len() >= MAX_PERMITS {
            self.servers
                .retain(|_, saved| now_ms < saved.refilled_ms + PERMIT_RETENTION_MS);
        }
        // A restart under the same name takes from the same permits.
        let saved = self
            .servers
            .entry(ask.start.server.clone())
            .or_insert(SavedPermits {
                permits: rate.most_saved,
                refilled_ms: now_ms,
            });
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now_ms.saturating_sub(saved.refilled_ms) as f64;
        saved.refilled_ms = saved.refilled_ms.max(now_ms);
        saved.permits = (saved.permits + elapsed_ms * rate.per_ms).min(rate.most_saved);
        if saved.permits >= 1.0 {
            saved.permits -= 1.0;
            return WarmupReply::Granted;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = ((1.0 - saved.permits) / rate.per_ms).ceil() as u64;
        let fleet = u64::try_from(fleet).unwrap_or(u64::MAX);
        WarmupReply::Denied {
            wait_ms: wait_ms.max(fleet.saturating_mul(ASK_INTERVAL_PER_ROUTER_MS)),
        }
    }
}

/// What is known of the warm-up of a server's last start.
#[derive(Clone, Debug)]
struct ServerWarmup {
    start: ServerStart,
    service: String,
    data_centre: String,
    /// Until when the entry says that the server is cold, in milliseconds.
    entry_until_ms: u64,
    /// When the start was first seen or began, in milliseconds, if it counts as cold
    /// from then on. Negative before this router's own start.
    began_ms: Option<i64>,
    /// The end of the last ejection, in milliseconds.
    ejection_end_ms: Option<u64>,
    /// From when on this router may ask for a permit.
    ask_at_ms: u64,
    /// Whether the server was cold at the last look for changes.
    was_cold: bool,
    is_removed: bool,
}

/// A server that has become cold or warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupChange {
    /// The server's name.
    pub server: ServerId,
    /// How long the server stays cold, in milliseconds; `None` if it is warm.
    pub cold_left_ms: Option<u64>,
}

/// Which servers are cold, and when a router may ask for permits.
#[derive(Clone, Debug, Default)]
pub struct Warmups {
    services: HashMap<String, Warmup>,
    servers: HashMap<ServerId, ServerWarmup>,
    /// The last removed servers, the latest last. An entry of the same start may come
    /// back.
    removed: VecDeque<ServerId>,
    /// The end of the last evacuation of each data centre, in milliseconds.
    evacuation_ends: HashMap<String, u64>,
    /// Whether all servers have been read once, so that a new start is a later one.
    is_listed: bool,
}

fn as_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

impl Warmups {
    /// Sets the services whose servers are cold after a start.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = (&'a str, Warmup)>) {
        self.services = services
            .map(|(name, warmup)| (name.to_owned(), warmup))
            .collect();
    }

    /// Records that all servers have been read once.
    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Records a server's entry that was received at `now_ms`, which is `unix_ms`
    /// milliseconds after the Unix epoch by the system clock.
    pub fn record_entry(&mut self, entry: &ServerEntry, now_ms: u64, unix_ms: u64) {
        let start = ServerStart::from(entry);
        let entry_until_ms = now_ms.saturating_add(entry.cold_left_ms);
        if let Some(known) = self.servers.get_mut(&entry.id)
            && known.start == start
        {
            known.service.clone_from(&entry.service);
            known.data_centre.clone_from(&entry.data_centre);
            if entry.cold_left_ms == 0 && known.entry_until_ms > now_ms {
                known.began_ms = None;
            }
            known.entry_until_ms = entry_until_ms;
            known.is_removed = false;
            return;
        }
        let began_ms = if entry.cold_left_ms > 0 {
            None
        } else {
            self.first_seen_cold_ms(entry, now_ms, unix_ms)
        };
        let previous = self.servers.get(&entry.id);
        let known = ServerWarmup {
            start,
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            entry_until_ms,
            began_ms,
            ejection_end_ms: previous.and_then(|known| known.ejection_end_ms),
            ask_at_ms: 0,
            was_cold: previous.is_some_and(|known| known.was_cold),
            is_removed: false,
        };
        self.servers.insert(entry.id.clone(), known);
    }

    /// Returns from when on a start counts as cold whose first entry does not say
    /// so. The entry may be older than the start's last change.
    fn first_seen_cold_ms(&self, entry: &ServerEntry, now_ms: u64, unix_ms: u64) -> Option<i64> {
        let knows_service = self
            .servers
            .values()
            .any(|known| known.service == entry.service);
        // Without relying on the system clock, which may step.
        if self.is_listed && knows_service {
            return Some(as_signed(now_ms));
        }
        if entry.started_ms == 0 {
            return None;
        }
        let age_ms = as_signed(unix_ms).saturating_sub(as_signed(entry.started_ms));
        Some(as_signed(now_ms) - age_ms.max(0))
    }

    /// Records that a server has no entry any more.
    pub(super) fn record_removal(&mut self, id: &str) {
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        known.is_removed = true;
        self.removed.push_back(id.to_owned());
        if self.removed.len() > MAX_REMOVED
            && let Some(oldest) = self.removed.pop_front()
            && self
                .servers
                .get(&oldest)
                .is_some_and(|known| known.is_removed)
        {
            self.servers.remove(&oldest);
        }
    }

    /// Records that the evacuation of a data centre has ended.
    pub fn evacuation_ended(&mut self, data_centre: &str, now_ms: u64) {
        self.evacuation_ends.insert(data_centre.to_owned(), now_ms);
    }

    /// Records that a server is ejected until `end_ms`. It may have restarted under
    /// its name.
    pub fn record_ejection(&mut self, id: &str, end_ms: u64) {
        if let Some(known) = self.servers.get_mut(id) {
            known.ejection_end_ms = known.ejection_end_ms.max(Some(end_ms));
        }
    }

    fn cold_left(&self, known: &ServerWarmup, now_ms: u64) -> Option<(u64, Warmup)> {
        let warmup = *self.services.get(&known.service)?;
        let cold_start_ms = as_signed(warmup.cold_start_ms);
        let evacuation_end = self.evacuation_ends.get(&known.data_centre).copied();
        let ends = [
            known.began_ms,
            known.ejection_end_ms.map(as_signed),
            evacuation_end.map(as_signed),
        ];
        let ends = ends.into_iter().flatten();
        let until_ms = ends
            .map(|began_ms| began_ms.saturating_add(cold_start_ms))
            .fold(as_signed(known.entry_until_ms), i64::max);
        let left_ms = u64::try_from(until_ms - as_signed(now_ms)).ok()?;
        (left_ms > 0).then_some((left_ms, warmup))
    }

    /// Returns how long a server stays cold, in milliseconds; `None` if it is warm.
    #[must_use]
    pub fn cold_left_ms(&self, id: &str, now_ms: u64) -> Option<u64> {
        let known = self.servers.get(id)?;
        self.cold_left(known, now_ms).map(|(left_ms, _)| left_ms)
    }

    /// Returns whether the entry `new` changes how long a server is cold, other than
    /// by the time that has passed. `passed_on`: its entry that other routers know.
    #[must_use]
    pub fn is_changed(&self, passed_on: &ServerEntry, new: &ServerEntry, now_ms: u64) -> bool {
        if !self.services.contains_key(&new.service) {
            return false;
        }
        let known = self.servers.get(&new.id);
        let known_left_ms = known.map_or(0, |known| known.entry_until_ms.saturating_sub(now_ms));
        (passed_on.cold_left_ms > 0) != (new.cold_left_ms > 0)
            || new.cold_left_ms > known_left_ms.saturating_add(EXTENSION_MS)
    }

    /// Returns from when on this router may ask for a permit for a server, in
    /// milliseconds; `None` if the server is warm.
    pub(super) fn ask_at_ms(&self, id: &str, now_ms: u64) -> Option<u64> {
        let known = self.servers.get(id)?;
        self.cold_left(known, now_ms).map(|_| known.ask_at_ms)
    }

    /// Returns whether a request may be sent to a server or a permit be asked for.
    pub(super) fn admits(&self, id: &str, now_ms: u64) -> bool {
        self.ask_at_ms(id, now_ms)
            .is_none_or(|ask_at_ms| now_ms >= ask_at_ms)
    }

    /// Begins to ask for a permit; returns `None` if the server is warm. Other
    /// requests don't ask until the reply is recorded.
    pub fn begin_ask(&mut self, id: &str, now_ms: u64) -> Option<WarmupAsk> {
        let known = self.servers.get(id)?;
        let (cold_left_ms, warmup) = self.cold_left(known, now_ms)?;
        let known = self.servers.get_mut(id)?;
        known.ask_at_ms = now_ms + ASK_TIMEOUT_MS;
        Some(WarmupAsk {
            start: known.start.clone(),
            cold_left_ms,
            limit: RateLimit::per_second(warmup.requests_per_s)?,
        })
    }

    /// Records the reply to a request for a permit; `None` if there was none.
    pub fn record_reply(&mut self, id: &str, reply: Option<WarmupReply>, now_ms: u64) {
        if let Some(known) = self.servers.get_mut(id) {
            known.ask_at_ms = match reply {
                Some(WarmupReply::Granted) => now_ms,
                Some(WarmupReply::Denied { wait_ms }) => now_ms + wait_ms,
                Some(WarmupReply::NotGiver) | None => now_ms + ASK_TIMEOUT_MS,
            };
        }
    }

    /// Returns the servers that have become cold or warm since the last call.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<WarmupChange> {
        let known = self.servers.iter();
        let found = known.filter_map(|(id, known)| {
            let cold_left_ms = self.cold_left(known, now_ms).map(|(left_ms, _)| left_ms);
            (cold_left_ms.is_some() != known.was_cold).then(|| WarmupChange {
                server: id.clone(),
                cold_left_ms,
            })
        });
        let changes: Vec<WarmupChange> = found.collect();
        for change in &changes {
            if let Some(known) = self.servers.get_mut(&change.server) {
                known.was_cold = change.cold_left_ms.is_some();
            }
        }
        changes
    }
}
