//! Second attempts that routers pool, so that routers with few requests have some too.
//!
//! Every request counts in exactly one book: its router's own window, or the pool of one
//! keeper's process. A router removes requests from its window before it sends the message
//! that gives them to a keeper, and never takes them back. Every second attempt counts in
//! one book too, and each book keeps to its share of its own requests. So nothing counts
//! twice, however many routers keep pools and whichever messages are lost.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Length of the window in which the share of second attempts holds, in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Length of the slices in which a keeper counts requests, in milliseconds.
const SLICE_MS: u64 = 100;
/// How long a lease may be used, from the moment at which it was asked for, in
/// milliseconds. A keeper leaves the oldest requests of the window out for as long.
pub(super) const LEASE_MS: u64 = 500;
/// How long a keeper grants nothing after its start, in milliseconds. The attempts of the
/// keeper before it are older than a window then.
const SETTLE_MS: u64 = WINDOW_MS + LEASE_MS;
/// Interval between two reports that ask for no lease, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// The same while unused leases are to be given back. With 330 routers the unused leases
/// of two seconds leave too few for slow responses.
const RETURN_INTERVAL_MS: u64 = 1_000;
/// How long a reply of a keeper counts, in milliseconds: three reports.
const CONTACT_MS: u64 = 6_000;
/// When a router asks again after a reply without the leases that it wanted, in
/// milliseconds.
const EMPTY_POOL_WAIT_MS: u64 = 100;
/// Most leases that a router asks for at once.
const MAX_WANTED: u32 = 8;

/// What a router reports to the keeper of a service's pool, and asks of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolAsk {
    /// The service's name.
    pub service: String,
    /// The keeper's process whose clock the times refer to; `None` if it is unknown, and
    /// no times are given.
    pub keeper: Option<Incarnation>,
    /// Requests that count in the pool from now on, each with the earliest time at which
    /// they may have been sent, in milliseconds of the keeper's clock.
    pub requests: Vec<(u64, u32)>,
    /// Leases that were not used and won't be, by the time of their grant.
    pub returned: Vec<(u64, u32)>,
    /// Number of leases that the router asks for.
    pub wanted: u32,
    /// The limit that the router's operators permit.
    pub extra_work: f64,
}

/// The reply to a [`PoolAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolReply {
    /// The keeper's process.
    pub keeper: Incarnation,
    /// The time of the reply, in milliseconds of the keeper's clock.
    pub now_ms: u64,
    /// Number of leases granted.
    pub granted: u32,
    /// Second attempts that the pool's requests permit in a window.
    pub share: f64,
    /// Whether the keeper takes requests and grants leases.
    pub settled: bool,
}

/// The pool of one service.
#[derive(Clone, Debug)]
struct Pool {
    opened_ms: u64,
    asked_ms: u64,
    /// Requests, by slice of time.
    requests: BTreeMap<u64, u32>,
    /// Leases that were used or may be, by the time of their grant.
    leases: BTreeMap<u64, u32>,
}

impl Pool {
    fn new(now_ms: u64) -> Self {
        Self {
            opened_ms: now_ms,
            asked_ms: now_ms,
            requests: BTreeMap::new(),
            leases: BTreeMap::new(),
        }
    }

    fn add(&mut self, ask: &PoolAsk, now_ms: u64) {
        for &(sent_ms, count) in &ask.requests {
            // No request is sent after it is reported.
            if sent_ms <= now_ms {
                let slice = self.requests.entry(sent_ms / SLICE_MS).or_default();
                *slice = slice.saturating_add(count);
            }
        }
        for &(granted_ms, count) in &ask.returned {
            if let Some(leases) = self.leases.get_mut(&granted_ms) {
                *leases = leases.saturating_sub(count);
            }
        }
    }

    /// Returns how many second attempts may be made in any window that ends while a lease
    /// of now may be used: by requests that are in all of these windows.
    fn share(&mut self, extra_work: f64, now_ms: u64) -> f64 {
        let oldest_ms = (now_ms + LEASE_MS).saturating_sub(WINDOW_MS);
        self.requests
            .retain(|slice, _| slice * SLICE_MS > oldest_ms || oldest_ms == 0);
        let requests: u32 = self.requests.values().sum();
        f64::from(requests) * extra_work
    }

    fn grant(&mut self, wanted: u32, share: f64, now_ms: u64) -> u32 {
        self.leases
            .retain(|granted_ms, _| granted_ms + LEASE_MS + WINDOW_MS >= now_ms);
        let leased: u32 = self.leases.values().sum();
        let mut granted = 0;
        while granted < wanted.min(MAX_WANTED) && f64::from(leased + granted + 1) <= share {
            granted += 1;
        }
        if granted > 0 {
            *self.leases.entry(now_ms).or_default() += granted;
        }
        granted
    }
}

/// The pools that a router keeps for all routers.
#[derive(Clone, Debug)]
pub struct HedgePools {
    keeper: Incarnation,
    /// By the service's name.
    pools: HashMap<String, Pool>,
}

impl HedgePools {
    /// Returns no pools. `keeper` is this router's process.
    #[must_use]
    pub fn new(keeper: Incarnation) -> Self {
        Self {
            keeper,
            pools: HashMap::new(),
        }
    }

    /// Returns the keeper's process.
    #[must_use]
    pub fn keeper(&self) -> Incarnation {
        self.keeper
    }

    /// Adds what a router reports and grants what it asks for, within the lower of the
    /// two routers' limits.
    pub fn exchange(&mut self, ask: &PoolAsk, extra_work: f64, now_ms: u64) -> PoolReply {
        self.pools
            .retain(|_, pool| pool.asked_ms + 2 * SETTLE_MS > now_ms);
        if extra_work <= 0.0 {
            // This router's operators permit no second attempts.
            self.pools.remove(&ask.service);
            return PoolReply {
                keeper: self.keeper,
                now_ms,
                granted: 0,
                share: 0.0,
                settled: false,
            };
        }
        let pool = self.pools.entry(ask.service.clone());
        let pool = pool.or_insert_with(|| Pool::new(now_ms));
        pool.asked_ms = now_ms;
        // Times of another process's clock say nothing.
        if ask.keeper == Some(self.keeper) {
            pool.add(ask, now_ms);
        }
        let share = pool.share(extra_work.min(ask.extra_work), now_ms);
        let settled = now_ms >= pool.opened_ms + SETTLE_MS;
        let granted = if settled {
            pool.grant(ask.wanted, share, now_ms)
        } else {
            0
        };
        PoolReply {
            keeper: self.keeper,
            now_ms,
            granted,
            share,
            settled,
        }
    }
}

/// A second attempt that a keeper has granted.
#[derive(Clone, Copy, Debug)]
struct Lease {
    keeper: Incarnation,
    /// In milliseconds of the keeper's clock.
    granted_ms: u64,
    /// In milliseconds of this router's clock.
    usable_until_ms: u64,
    /// The limit when the lease was asked for.
    extra_work: f64,
}

/// What a router knows of a keeper.
#[derive(Clone, Copy, Debug)]
struct Contact {
    reply: PoolReply,
    /// When the reply arrived, in milliseconds of this router's clock.
    at_ms: u64,
}

impl Contact {
    /// Returns the earliest time on the keeper's clock at which this router's clock may
    /// have shown `at_ms`. The reply was sent before it arrived.
    fn keeper_ms(&self, at_ms: u64) -> Option<u64> {
        (self.reply.now_ms + at_ms).checked_sub(self.at_ms)
    }
}

/// A router's side of the pool of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolMember {
    contact: Option<Contact>,
    leases: VecDeque<Lease>,
    /// Unused leases to be given back to the keeper, by the time of their grant.
    returned: BTreeMap<u64, u32>,
    /// Requests whose second attempt is due soon.
    near_due: u32,
    in_flight: bool,
    /// When the last exchange began, in milliseconds.
    asked_ms: Option<u64>,
    /// Before when no lease is asked for, in milliseconds.
    wait_until_ms: u64,
}

impl PoolMember {
    fn contact(&self, now_ms: u64) -> Option<&Contact> {
        let contact = self.contact.as_ref();
        contact.filter(|contact| contact.reply.settled && contact.at_ms + CONTACT_MS > now_ms)
    }

    /// Returns the second attempts that the pool permits in a window; `None` if this
    /// router has no pool.
    pub(super) fn share(&self, now_ms: u64) -> Option<f64> {
        self.contact(now_ms).map(|contact| contact.reply.share)
    }

    /// Returns how many leases may be used now. Those that may no longer be used are
    /// given back.
    pub(super) fn usable(&mut self, extra_work: f64, now_ms: u64) -> u32 {
        let keeps =
            |lease: &Lease| now_ms <= lease.usable_until_ms && extra_work >= lease.extra_work;
        let leases = std::mem::take(&mut self.leases);
        let (leases, unusable): (VecDeque<Lease>, VecDeque<Lease>) =
            leases.into_iter().partition(keeps);
        self.leases = leases;
        let keeper = self.contact.map(|contact| contact.reply.keeper);
        // Another keeper doesn't know the lease.
        for lease in unusable {
            if Some(lease.keeper) == keeper {
                *self.returned.entry(lease.granted_ms).or_default() += 1;
            }
        }
        u32::try_from(self.leases.len()).unwrap_or(u32::MAX)
    }

    /// Uses a lease. Returns whether there was one.
    pub(super) fn take(&mut self, extra_work: f64, now_ms: u64) -> bool {
        self.usable(extra_work, now_ms) > 0 && self.leases.pop_front().is_some()
    }

    pub(super) fn add_near_due(&mut self) {
        self.near_due += 1;
    }

    pub(super) fn remove_near_due(&mut self) {
        self.near_due = self.near_due.saturating_sub(1);
    }

    pub(super) fn near_due(&self) -> u32 {
        self.near_due
    }

    /// Returns how many leases to ask for, with `pending` allowed attempts that are not
    /// sent yet and `own` attempts of the own share.
    pub(super) fn wanted(&mut self, pending: u32, own: u32, extra_work: f64, now_ms: u64) -> u32 {
        if self.contact(now_ms).is_none() || now_ms < self.wait_until_ms {
            return 0;
        }
        let usable = self.usable(extra_work, now_ms);
        let wanted = (self.near_due + pending).saturating_sub(own + usable);
        wanted.min(MAX_WANTED)
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    pub(super) fn is_report_due(&mut self, extra_work: f64, now_ms: u64) -> bool {
        self.usable(extra_work, now_ms);
        let interval_ms = if self.returned.is_empty() {
            REPORT_INTERVAL_MS
        } else {
            RETURN_INTERVAL_MS
        };
        self.asked_ms
            .is_none_or(|asked_ms| asked_ms + interval_ms <= now_ms)
    }

    /// Returns whether requests may be given to `keeper`: it has replied and keeps a pool.
    pub(super) fn may_give(&self, keeper: Incarnation, now_ms: u64) -> bool {
        let contact = self.contact(now_ms);
        contact.is_some_and(|contact| contact.reply.keeper == keeper)
    }

    /// Begins an exchange with a keeper. `given` are the requests that the own window no
    /// longer has, each with its time on this router's clock.
    pub(super) fn begin(
        &mut self,
        service: &str,
        keeper: Incarnation,
        given: &[(u64, u32)],
        wanted: u32,
        extra_work: f64,
        now_ms: u64,
    ) -> PoolAsk {
        self.in_flight = true;
        self.asked_ms = Some(now_ms);
        let contact = self
            .contact
            .filter(|contact| contact.reply.keeper == keeper);
        let returned = std::mem::take(&mut self.returned).into_iter().collect();
        let requests = given.iter().filter_map(|&(sent_ms, count)| {
            let sent_ms = contact.as_ref()?.keeper_ms(sent_ms)?;
            Some((sent_ms, count))
        });
        PoolAsk {
            service: service.to_owned(),
            keeper: contact.map(|contact| contact.reply.keeper),
            requests: requests.collect(),
            returned,
            wanted,
            extra_work,
        }
    }

    /// Forgets the keeper. Returns whether the router has used its pool.
    pub(super) fn lose_keeper(&mut self) -> bool {
        let contact = self.contact.take();
        contact.is_some_and(|contact| contact.reply.settled)
    }

    /// Ends the exchange that began with `ask` at `asked_ms`. Without a reply, the router
    /// has no pool until a keeper replies again. Returns whether it has used a pool and can't
    /// any longer.
    pub(super) fn end(
        &mut self,
        ask: &PoolAsk,
        reply: Option<PoolReply>,
        asked_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.in_flight = false;
        let Some(reply) = reply else {
            return self.lose_keeper();
        };
        let is_same = self
            .contact
            .is_some_and(|contact| contact.reply.keeper == reply.keeper);
        let mut lost = false;
        if !is_same {
            self.returned.clear();
            lost = self.lose_keeper();
        } else if !reply.settled {
            lost = self.lose_keeper();
        }
        self.contact = Some(Contact {
            reply,
            at_ms: now_ms,
        });
        for _ in 0..reply.granted.min(ask.wanted) {
            self.leases.push_back(Lease {
                keeper: reply.keeper,
                granted_ms: reply.now_ms,
                usable_until_ms: asked_ms + LEASE_MS,
                extra_work: ask.extra_work,
            });
        }
        if reply.granted < ask.wanted {
            self.wait_until_ms = now_ms + EMPTY_POOL_WAIT_MS;
        }
        lost
    }

    /// Returns how old a request may be, in milliseconds, to be of use to a pool.
    pub(super) fn useful_age_ms() -> u64 {
        WINDOW_MS - LEASE_MS - SLICE_MS
    }
}
