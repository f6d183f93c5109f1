//! Reservations that one router makes at another.
//!
//! Calls between the routers may be lost, repeated, late and reordered. The requester
//! numbers its reservations and sends what it has settled until the owner acknowledges
//! it. From time to time, and whenever a call got no reply, it lists the numbers that are
//! open. The owner ends all others below the next number, and refuses calls that are
//! carried out after the requester has given them up. So what the owner holds and books
//! for a requester becomes what the requester has reserved and used, in whatever order
//! the messages arrive. `models/reservations.pml` checks this.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Longest time between two lists while settlements are sent, in milliseconds. Bounds the
/// settled numbers that the owner remembers.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Most settlements that are kept for one owner.
const MAX_UNACKNOWLEDGED: usize = 20_000;

/// The open reservations of a requester at one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenReservations {
    /// The number of the requester's next reservation.
    pub next: u64,
    /// The numbers below it that are open.
    pub open: Vec<u64>,
}

/// A message from a requester to an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementBatch {
    /// Ended reservations, each with the tokens used.
    pub settlements: Vec<(u64, u64)>,
    /// All reservations that are open; `None` if the message says nothing of others.
    pub open: Option<OpenReservations>,
}

/// A requester's reservations at one owner.
#[derive(Clone, Debug, Default)]
pub struct RequestedReservations {
    /// Numbers of calls that are under way and of reservations in use.
    open: BTreeSet<u64>,
    /// Settlements that the owner has not acknowledged.
    ended: BTreeMap<u64, u64>,
    /// Number of calls without a reply, and how many of them an acknowledged list covers.
    lost_replies: u64,
    covered_replies: u64,
    listed_at_ms: Option<u64>,
}

impl RequestedReservations {
    /// Records that a reservation is going to be requested.
    pub fn begin(&mut self, number: u64) {
        self.open.insert(number);
    }

    /// Records the owner's reply that nothing is reserved.
    pub fn refuse(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Records that the owner has not replied, so that it may carry out the call at any
    /// later time.
    pub fn lose_reply(&mut self) {
        self.lost_replies += 1;
    }

    /// Ends a reservation of which `used` tokens were used. Returns `false` if too many
    /// settlements are kept already; the owner holds the reservation for good then.
    pub fn end(&mut self, number: u64, used: u64) -> bool {
        if used > 0 && self.ended.len() >= MAX_UNACKNOWLEDGED {
            return false;
        }
        if self.open.remove(&number) {
            self.ended.insert(number, used);
        }
        true
    }

    /// Returns whether the owner has acknowledged everything that has ended.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.ended.is_empty() && self.lost_replies == self.covered_replies
    }

    /// Returns whether no reservation is open and everything is acknowledged.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.open.is_empty() && self.is_acknowledged()
    }

    /// Returns the number of settlements that are not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }

    /// Returns the next message, and what [`acknowledge`](Self::acknowledge) needs.
    /// `next` is the number of the requester's next reservation at any owner.
    pub fn batch(&mut self, next: u64, now_ms: u64) -> (SettlementBatch, u64) {
        let in_doubt = self.lost_replies != self.covered_replies;
        let is_due = self
            .listed_at_ms
            .is_none_or(|listed_ms| now_ms >= listed_ms + LIST_INTERVAL_MS);
        let open = (in_doubt || is_due).then(|| {
            self.listed_at_ms = Some(now_ms);
            OpenReservations {
                next,
                open: self.open.iter().copied().collect(),
            }
        });
        let settlements = self.ended.iter().map(|(number, used)| (*number, *used));
        let batch = SettlementBatch {
            settlements: settlements.collect(),
            open,
        };
        (batch, self.lost_replies)
    }

    /// Records that the owner has acknowledged a message. `lost_replies` is what
    /// [`batch`](Self::batch) returned with it.
    pub fn acknowledge(&mut self, batch: &SettlementBatch, lost_replies: u64) {
        for (number, _) in &batch.settlements {
            self.ended.remove(number);
        }
        if batch.open.is_some() {
            self.covered_replies = self.covered_replies.max(lost_replies);
        }
    }
}

/// What an owner holds for one requester. `T` is a reservation.
#[derive(Debug)]
pub struct RemoteReservations<T> {
    held: BTreeMap<u64, T>,
    /// Numbers below this are closed unless they are in `open`.
    listed_next: u64,
    open: BTreeSet<u64>,
    /// Numbers from `listed_next` on that have been settled.
    settled: BTreeSet<u64>,
}

impl<T> Default for RemoteReservations<T> {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            listed_next: 0,
            open: BTreeSet::new(),
            settled: BTreeSet::new(),
        }
    }
}

impl<T> RemoteReservations<T> {
    /// Returns whether a reservation is held.
    #[must_use]
    pub fn is_held(&self, number: u64) -> bool {
        self.held.contains_key(&number)
    }

    /// Returns whether the requester has ended a reservation, which must not be made then.
    #[must_use]
    pub fn is_closed(&self, number: u64) -> bool {
        self.settled.contains(&number)
            || (number < self.listed_next && !self.open.contains(&number))
    }

    /// Holds a reservation. Returns the one to be cancelled in its place, if any: the
    /// same if its requester has ended it meanwhile, or the one of a repeated call.
    pub fn hold(&mut self, number: u64, reservation: T) -> Option<T> {
        if self.is_closed(number) {
            return Some(reservation);
        }
        self.held.insert(number, reservation)
    }

    /// Applies a message and returns the reservations that it ends, each with the tokens
    /// used.
    pub fn apply(&mut self, batch: &SettlementBatch) -> Vec<(T, u64)> {
        let mut ended = Vec::new();
        for (number, used) in &batch.settlements {
            self.open.remove(number);
            self.settled.insert(*number);
            ended.extend(self.held.remove(number).map(|held| (held, *used)));
        }
        let Some(list) = &batch.open else {
            return ended;
        };
        // Messages may arrive in another order than they were sent.
        if list.next < self.listed_next {
            return ended;
        }
        let listed: BTreeSet<u64> = list.open.iter().copied().collect();
        let (open, listed_next) = (&self.open, self.listed_next);
        let still_open = |number: &u64| {
            !self.settled.contains(number) && (*number >= listed_next || open.contains(number))
        };
        self.open = listed.iter().copied().filter(still_open).collect();
        self.listed_next = list.next;
        self.settled = self.settled.split_off(&list.next);
        let closed: Vec<u64> = self
            .held
            .range(..list.next)
            .map(|(number, _)| *number)
            .filter(|number| !self.open.contains(number))
            .collect();
        for number in closed {
            ended.extend(self.held.remove(&number).map(|held| (held, 0)));
        }
        ended
    }

    /// Ends one reservation of a requester that sends no lists.
    pub fn settle(&mut self, number: u64) -> Option<T> {
        self.held.remove(&number)
    }

    /// Returns whether no reservation is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Removes the reservations that `filter` selects.
    pub fn take_if(&mut self, mut filter: impl FnMut(&T) -> bool) -> Vec<T> {
        let held = std::mem::take(&mut self.held);
        let mut taken = Vec::new();
        for (number, reservation) in held {
            if filter(&reservation) {
                taken.push(reservation);
            } else {
                self.held.insert(number, reservation);
            }
        }
        taken
    }
}
