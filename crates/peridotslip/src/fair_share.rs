//! Max-min fair shares of a resource that is short, between organisations.
//!
//! For each organisation, what it asks for and what it gets is averaged over about the
//! last second. An organisation that asks for less than an even share, by weight, gets
//! all of it, and what is left goes to the others. Requests beyond a share are not
//! rejected as such: they leave a part of the resource to requests within one, so that
//! nothing stays unused.

use std::collections::HashMap;

/// Time constant of the averages, in milliseconds.
const AVERAGE_MS: f64 = 500.0;
/// What an organisation may get at once before its average shows whether it asks for more
/// than its share: the resource's capacity of this time, in milliseconds.
const SURGE_MS: f64 = 45.0;
/// Part of its share up to which an organisation counts as asking for less than it. An
/// average of requests at random times exceeds their rate by up to a seventh now and then.
const BELOW_PART: f64 = 1.15;
/// Interval between two calculations of the even share, in milliseconds.
const INTERVAL_MS: u64 = 20;
/// How long an organisation without a request is remembered, in milliseconds.
const RETENTION_MS: u64 = 3_000;
/// Most organisations that are tracked. Those that ask for least are dropped first.
const MAX_ORGANISATIONS: usize = 256;
/// Most routes of an organisation that are tracked: more than can have
/// [`MIN_ROUTE_PART`] of its requests.
const MAX_ROUTES: usize = 24;
/// Part of an organisation's requests from which a route is protected, a little below
/// the twentieth that is promised because it is an average.
const MIN_ROUTE_PART: f64 = 0.04;
/// Part of the organisation's mean share served below which a route counts as starved;
/// twice the promised quarter, so that it acts before that is reached.
const STARVED_PART: f64 = 0.5;
/// Requests of a route, on average, below which its share served is not known.
const MIN_REQUESTS: f64 = 1.0;
/// Interval between two reports of a shortage, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Whether a request is within its organisation's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The organisation asks for less than its share, or shares are not in use.
    Below,
    /// The organisation asks for more than its share and has not got it yet.
    Within,
    /// The organisation has got its share.
    Beyond,
}

/// What a request asks of a resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim<'a> {
    /// The organisation, empty for requests without one.
    pub organisation: &'a str,
    /// The organisation's weight.
    pub weight: f64,
    /// The route.
    pub route: &'a str,
    /// What the request uses, in the resource's unit.
    pub cost: f64,
}

/// A sum in which older values weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    at_ms: u64,
}

impl Average {
    fn sum_at(&self, now_ms: u64) -> f64 {
        #[allow(clippy::cast_precision_loss)] // A few seconds.
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-elapsed_ms / AVERAGE_MS).exp()
    }

    fn add(&mut self, value: f64, now_ms: u64) {
        self.sum = self.sum_at(now_ms) + value;
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn per_ms(&self, now_ms: u64) -> f64 {
        self.sum_at(now_ms) / AVERAGE_MS
    }
}

/// What is asked for and what is served, as sums of recent values.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    asked: Average,
    served: Average,
}

impl Usage {
    fn served_part(&self, now_ms: u64) -> f64 {
        self.served.sum_at(now_ms) / self.asked.sum_at(now_ms).max(f64::MIN_POSITIVE)
    }
}

/// The use of the resource by one organisation.
#[derive(Clone, Debug, Default)]
struct Organisation {
    weight: f64,
    cost: Usage,
    requests: Usage,
    /// What has been served faster than the share permits.
    surge: f64,
    surge_ms: u64,
    /// The requests of each route.
    routes: HashMap<String, Usage>,
}

impl Organisation {
    fn drain_surge(&mut self, share: f64, now_ms: u64) {
        #[allow(clippy::cast_precision_loss)] // A few seconds.
        let elapsed_ms = now_ms.saturating_sub(self.surge_ms) as f64;
        self.surge_ms = now_ms;
        if elapsed_ms > 0.0 {
            self.surge = (self.surge - share * elapsed_ms).max(0.0);
        }
    }

    /// Returns whether a route is served much less than the organisation's others.
    fn is_starved(&self, route: &str, now_ms: u64) -> bool {
        let Some(usage) = self.routes.get(route) else {
            return false;
        };
        let asked = usage.asked.sum_at(now_ms);
        asked >= MIN_REQUESTS.max(MIN_ROUTE_PART * self.requests.asked.sum_at(now_ms))
            && usage.served_part(now_ms) < STARVED_PART * self.requests.served_part(now_ms)
    }
}

/// The shares of one resource. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct FairShares {
    organisations: HashMap<String, Organisation>,
    served: Average,
    /// What an organisation of weight 1 gets in a millisecond; infinite while the
    /// resource suffices.
    even_share: f64,
    calculated_ms: u64,
}

impl Default for FairShares {
    fn default() -> Self {
        Self {
            organisations: HashMap::new(),
            served: Average::default(),
            even_share: f64::INFINITY,
            calculated_ms: 0,
        }
    }
}

impl FairShares {
    /// Records a request and returns whether it is within its organisation's share of
    /// `capacity_per_ms`.
    pub fn ask(&mut self, claim: &Claim<'_>, capacity_per_ms: f64, now_ms: u64) -> Standing {
        if !self.organisations.contains_key(claim.organisation) {
            self.drop_smallest(now_ms);
            let organisation = Organisation::default();
            self.organisations
                .insert(claim.organisation.to_owned(), organisation);
        }
        if let Some(organisation) = self.organisations.get_mut(claim.organisation) {
            organisation.weight = claim.weight.max(f64::MIN_POSITIVE);
            organisation.cost.asked.add(claim.cost, now_ms);
            organisation.requests.asked.add(1.0, now_ms);
            if let Some(route) = route_mut(organisation, claim.route, now_ms) {
                route.asked.add(1.0, now_ms);
            }
        }
        if now_ms >= self.calculated_ms + INTERVAL_MS {
            self.calculate(capacity_per_ms, now_ms);
        }
        let Some(organisation) = self.organisations.get_mut(claim.organisation) else {
            return Standing::Below;
        };
        let share = self.even_share * organisation.weight;
        organisation.drain_surge(share, now_ms);
        if organisation.cost.asked.per_ms(now_ms) < BELOW_PART * share
            && organisation.surge <= SURGE_MS * capacity_per_ms
        {
            Standing::Below
        } else if organisation.cost.served.per_ms(now_ms) < share
            || organisation.is_starved(claim.route, now_ms)
        {
            Standing::Within
        } else {
            Standing::Beyond
        }
    }

    /// Records that a request is served.
    pub fn record_served(&mut self, claim: &Claim<'_>, now_ms: u64) {
        self.served.add(claim.cost, now_ms);
        if let Some(organisation) = self.organisations.get_mut(claim.organisation) {
            organisation.cost.served.add(claim.cost, now_ms);
            organisation.requests.served.add(1.0, now_ms);
            organisation.surge += claim.cost;
            if let Some(route) = organisation.routes.get_mut(claim.route) {
                route.served.add(1.0, now_ms);
            }
        }
    }

    /// Returns what has been served in a millisecond, on average.
    #[must_use]
    pub fn served_per_ms(&self, now_ms: u64) -> f64 {
        self.served.per_ms(now_ms)
    }

    /// Returns how many organisations are tracked.
    #[must_use]
    pub fn tracked(&self) -> usize {
        self.organisations.len()
    }

    /// Calculates the even share: organisations that ask for less get what they ask for,
    /// and the others share the rest by weight.
    fn calculate(&mut self, capacity_per_ms: f64, now_ms: u64) {
        self.calculated_ms = now_ms;
        self.organisations.retain(|_, organisation| {
            now_ms < organisation.cost.asked.at_ms.saturating_add(RETENTION_MS)
        });
        let organisations = self.organisations.values();
        let mut asked: Vec<(f64, f64)> = organisations
            .map(|organisation| {
                let asked = organisation.cost.asked.per_ms(now_ms);
                (asked / organisation.weight, organisation.weight)
            })
            .collect();
        asked.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut left = capacity_per_ms;
        let mut weights: f64 = asked.iter().map(|(_, weight)| weight).sum();
        self.even_share = f64::INFINITY;
        for (per_weight, weight) in asked {
            if per_weight * weights > left {
                self.even_share = left / weights;
                return;
            }
            left -= per_weight * weight;
            weights -= weight;
        }
    }

    /// Makes room for another organisation.
    fn drop_smallest(&mut self, now_ms: u64) {
        if self.organisations.len() < MAX_ORGANISATIONS {
            return;
        }
        let asked = |organisation: &Organisation| organisation.cost.asked.sum_at(now_ms);
        let smallest = self
            .organisations
            .iter()
            .min_by(|(_, a), (_, b)| asked(a).total_cmp(&asked(b)))
            .map(|(name, _)| name.clone());
        if let Some(name) = smallest {
            self.organisations.remove(&name);
        }
    }
}

/// Returns the usage of a route, which replaces the least used one if there are too many.
fn route_mut<'a>(
    organisation: &'a mut Organisation,
    route: &str,
    now_ms: u64,
) -> Option<&'a mut Usage> {
    let routes = &mut organisation.routes;
    if !routes.contains_key(route) {
        if routes.len() >= MAX_ROUTES {
            let asked = |usage: &Usage| usage.asked.sum_at(now_ms);
            let smallest = routes
                .iter()
                .min_by(|(_, a), (_, b)| asked(a).total_cmp(&asked(b)));
            let name = smallest.map(|(name, _)| name.clone())?;
            routes.remove(&name);
        }
        routes.insert(route.to_owned(), Usage::default());
    }
    routes.get_mut(route)
}

/// The organisation that a shortage cost most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShortageReport {
    /// The organisation.
    pub organisation: String,
    /// Its rejected requests since the last report.
    pub rejected: u64,
    /// The rejected requests of all tracked organisations since the last report.
    pub total: u64,
}

/// Counts rejected requests by organisation.
#[derive(Clone, Debug, Default)]
pub struct ShortageTally {
    rejected: HashMap<String, u64>,
    reported_ms: Option<u64>,
}

impl ShortageTally {
    /// Records a rejected request. Returns a report if the last one is [`REPORT_MS`] ago.
    pub fn record(&mut self, organisation: &str, now_ms: u64) -> Option<ShortageReport> {
        if let Some(count) = self.rejected.get_mut(organisation) {
            *count += 1;
        } else if self.rejected.len() < MAX_ORGANISATIONS {
            self.rejected.insert(organisation.to_owned(), 1);
        }
        let is_due = self
            .reported_ms
            .is_none_or(|reported_ms| now_ms >= reported_ms + REPORT_MS);
        if !is_due {
            return None;
        }
        self.reported_ms = Some(now_ms);
        let total = self.rejected.values().sum();
        let most = self.rejected.drain().max_by_key(|(_, count)| *count);
        most.map(|(organisation, rejected)| ShortageReport {
            organisation,
            rejected,
            total,
        })
    }
}
