//! Evidence about requests that crash servers.
//!
//! A server that crashes ends all its connections, so that requests beside the
//! one at fault end as well. Each such end accuses what the requests in flight there
//! have in common with others: the segments of their prompts, and each request as a whole,
//! which may come again under another ID. Two things tell the part at
//! fault from the others: an answer acquits the parts of its request, and the
//! part that explains most crashes takes them away from all others.
//!
//! Routers pool their observations. Each one assesses all of them alone, so no
//! router decides for others. Times are in milliseconds of the router's own
//! clock; observations travel with their age.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    ops::RangeToInclusive,
};

use serde::{Deserialize, Serialize};

use super::{RequestPart, ServerStart};

/// Crashes after the last answer for which requests with a segment are blocked.
const CRASHES_TO_BLOCK: usize = 4;
/// The same for a request as a whole. Fewer are needed, as nothing else is blocked.
const CRASHES_TO_BLOCK_REQUEST: usize = 3;
/// Crashes after the last answer from which on a request with the part gets
/// no second attempt.
const CRASHES_TO_SUSPECT: usize = 2;
/// Crashes within this time count as one, in milliseconds: a prompt does not
/// crash several servers at once, a loss of power does.
const SIMULTANEOUS_MS: u64 = 50;
/// Time after the decisive crash before the part is blocked, in
/// milliseconds. Answers that acquit a part may be on their way.
const SETTLE_MS: u64 = 250;
/// How long observations are kept, in milliseconds.
const RETENTION_MS: u64 = 2 * 60 * 60 * 1_000;
/// Time between two reviews of the verdicts without new observations, in
/// milliseconds.
const REVIEW_MS: u64 = 60 * 1_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Maximum number of parts that are kept for a crash.
const MAX_CHARGES: usize = 512;
/// Maximum number of accused parts whose last crash is known.
const MAX_ACCUSED: usize = 16_384;
/// Maximum number of segments whose last answer is known.
const MAX_ANSWERED_SEGMENTS: usize = 4_096;
/// The same for whole requests, which are more.
const MAX_ANSWERED_REQUESTS: usize = 16_384;
/// Maximum number of requests in a second whose ends accuse them as a whole. Servers may
/// close any number of connections without a crash.
const MAX_ENDS_PER_S: u32 = 512;
/// Maximum number of observations that are kept for peers.
const MAX_OUTGOING: usize = 1_024;
/// A later crash under a blocked part is a failed probe from this time on
/// after the decisive crash, in milliseconds. Earlier ones are requests that were
/// on their way.
const PROBES_FROM_MS: u64 = 30 * 1_000;
/// Time after the last crash until the first probe, in milliseconds; three times
/// as long before each further one. A probe may crash a server.
const FIRST_PROBE_MS: u64 = 5 * 60 * 1_000;
/// Maximum number of failed probes; more are not made.
const MAX_PROBES: u32 = 3;

/// Returns a time at which the age of every retained observation fits, also on a
/// clock that has just started.
fn shifted(now_ms: u64) -> u64 {
    now_ms + RETENTION_MS
}

/// What a router has observed, for its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CrashObservation {
    /// How long ago it was observed, in milliseconds.
    pub age_ms: u64,
    /// What was observed.
    pub event: CrashEvent,
}

/// An event that accuses or acquits parts of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashEvent {
    /// A start of a server has ended requests with these parts.
    Ended {
        /// The server's start.
        start: ServerStart,
        /// Parts of the requests.
        segments: Vec<RequestPart>,
    },
    /// A server has answered a request with the part of this hash.
    Answered(u64),
}

/// What the evidence says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// The request may be sent.
    Clear,
    /// The request may be sent once: servers have crashed under one of its
    /// parts.
    Suspect,
    /// The request must not be sent, because of the part with this hash.
    Blocked(u64),
}

/// A change of the blocked parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockChange {
    /// Requests with the part are blocked from now on.
    Blocked {
        /// The part.
        part: RequestPart,
        /// Crashes under the part since its last answer.
        crashes: usize,
    },
    /// Requests with the part of this hash are no longer blocked.
    Released(u64),
}

/// The end of a request that accuses one of its parts.
#[derive(Clone, Copy, Debug)]
struct Charge {
    at_ms: u64,
    position: u32,
}

/// The end of one start of a server.
#[derive(Clone, Debug, Default)]
struct Crash {
    /// When the last request ended.
    last_ms: u64,
    /// The accused parts by their hashes.
    charges: BTreeMap<u64, Charge>,
}

impl Crash {
    /// Makes room for another charge, without one of `culprits`.
    fn make_room(&mut self, culprits: &HashMap<u64, Culprit>) {
        if self.charges.len() < MAX_CHARGES {
            return;
        }
        let charges = self.charges.iter();
        let others = charges.filter(|(part, _)| !culprits.contains_key(part));
        let oldest = others.min_by_key(|(_, charge)| charge.at_ms);
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.charges.remove(&part);
        }
    }

    /// Returns whether one of `culprits` explains the crash.
    fn is_explained(&self, culprits: &HashMap<u64, Culprit>) -> bool {
        culprits.keys().any(|part| self.charges.contains_key(part))
    }
}

/// The crashes since a part's last answer that no other part explains.
#[derive(Clone, Debug, Default)]
struct Accusation {
    crashes_ms: Vec<u64>,
    position: u32,
}

impl Accusation {
    /// Returns the times of the crashes, of which simultaneous ones count once.
    fn distinct_ms(&self) -> Vec<u64> {
        let mut times = self.crashes_ms.clone();
        times.sort_unstable();
        let mut distinct: Vec<u64> = Vec::new();
        for at_ms in times {
            if distinct
                .last()
                .is_none_or(|last| at_ms > last + SIMULTANEOUS_MS)
            {
                distinct.push(at_ms);
            }
        }
        distinct
    }

    /// Returns the number of crashes for which requests with the part are blocked.
    fn crashes_to_block(&self) -> usize {
        let part = RequestPart {
            id: 0,
            position: self.position,
        };
        if part.is_whole() {
            CRASHES_TO_BLOCK_REQUEST
        } else {
            CRASHES_TO_BLOCK
        }
    }
}

/// A part under which too many servers have crashed.
#[derive(Clone, Copy, Debug)]
struct Culprit {
    position: u32,
    crashes: usize,
    blocked: bool,
    last_crash_ms: u64,
    failed_probes: u32,
}

/// The last answers to requests with a part, of the newest `max` parts.
#[derive(Clone, Debug)]
struct LastAnswers {
    at_ms: HashMap<u64, u64>,
    max: usize,
}

impl LastAnswers {
    fn new(max: usize) -> Self {
        Self {
            at_ms: HashMap::new(),
            max,
        }
    }

    fn record(&mut self, part: u64, at_ms: u64) {
        let last_ms = self.at_ms.entry(part).or_insert(at_ms);
        *last_ms = at_ms.max(*last_ms);
        if self.at_ms.len() > self.max {
            discard_oldest_quarter(&mut self.at_ms, |at_ms| *at_ms);
        }
    }
}

/// Discards a quarter of the entries, or more of the same time.
fn discard_oldest_quarter<T>(entries: &mut HashMap<u64, T>, time_ms: impl Fn(&T) -> u64) {
    let mut times: Vec<u64> = entries.values().map(&time_ms).collect();
    times.sort_unstable();
    let Some(newest_discarded) = times.get(times.len() / 4) else {
        return;
    };
    entries.retain(|_, entry| time_ms(entry) > *newest_discarded);
}

/// What a router has told its peers about an accused part.
#[derive(Clone, Copy, Debug, Default)]
struct Accused {
    last_crash_ms: u64,
    is_whole: bool,
    /// The last answer that was logged for peers.
    shared_answer_ms: Option<u64>,
}

/// From whom a router has an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservationOrigin {
    /// The router has observed it.
    Local,
    /// Another router that has observed it.
    Observer,
    /// A relay.
    Relay,
}

#[derive(Clone, Debug)]
struct OutgoingObservation {
    seq: u64,
    origin: ObservationOrigin,
    at_ms: u64,
    event: CrashEvent,
}

/// The observations of all routers and what follows from them.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    crashes: BTreeMap<ServerStart, Crash>,
    /// The last answers to prompts with a segment.
    answered_segments: LastAnswers,
    /// The last answers to whole requests.
    answered_requests: LastAnswers,
    accused: HashMap<u64, Accused>,
    /// The second of the last end, and the number of ends in it that accused a request as
    /// a whole.
    ends: (u64, u32),
    /// What this router sends its peers.
    outgoing: VecDeque<OutgoingObservation>,
    next_seq: u64,
    culprits: HashMap<u64, Culprit>,
    suspects: HashSet<u64>,
    /// The last probes of this router.
    probes_ms: HashMap<u64, u64>,
    /// Whether observations or a time that has passed may change the verdicts.
    stale: bool,
    /// When the verdicts are reviewed without new observations.
    review_at_ms: u64,
}

impl Default for CrashEvidence {
    fn default() -> Self {
        Self {
            crashes: BTreeMap::new(),
            answered_segments: LastAnswers::new(MAX_ANSWERED_SEGMENTS),
            answered_requests: LastAnswers::new(MAX_ANSWERED_REQUESTS),
            accused: HashMap::new(),
            ends: (0, 0),
            outgoing: VecDeque::new(),
            next_seq: 0,
            culprits: HashMap::new(),
            suspects: HashSet::new(),
            probes_ms: HashMap::new(),
            stale: false,
            review_at_ms: 0,
        }
    }
}

impl CrashEvidence {
    /// Records that a server's start has ended a request with `parts`.
    pub fn record_end(&mut self, start: &ServerStart, parts: &[RequestPart], now_ms: u64) {
        let now_ms = shifted(now_ms);
        let accuses_whole = self.count_end(now_ms);
        let parts: Vec<RequestPart> = parts
            .iter()
            .filter(|part| accuses_whole || !part.is_whole())
            .copied()
            .collect();
        let added = self.add_end(start, &parts, now_ms);
        if !added.is_empty() {
            let event = CrashEvent::Ended {
                start: start.clone(),
                segments: added,
            };
            self.log(event, ObservationOrigin::Local, now_ms);
        }
    }

    /// Counts the end of a request. Returns whether it accuses the request as a whole.
    fn count_end(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let count = match self.ends {
            (last, count) if last == second => count,
            _ => 0,
        };
        let accuses = count < MAX_ENDS_PER_S;
        self.ends = (second, count + u32::from(accuses));
        accuses
    }

    /// Records that a server has answered a request with `parts`.
    pub fn record_answer(&mut self, parts: &[RequestPart], now_ms: u64) {
        let now_ms = shifted(now_ms);
        for part in parts {
            self.add_answer(part.id, part.is_whole(), now_ms);
            if self.mark_shared(part.id, now_ms) {
                self.log(
                    CrashEvent::Answered(part.id),
                    ObservationOrigin::Local,
                    now_ms,
                );
            }
        }
    }

    /// Returns the time of the last answer to a request with a part.
    fn answered_ms(&self, part: u64) -> Option<u64> {
        let segment_ms = self.answered_segments.at_ms.get(&part).copied();
        let request_ms = self.answered_requests.at_ms.get(&part).copied();
        segment_ms.max(request_ms)
    }

    /// Returns whether peers lack an answer after the last crash under a part, and
    /// notes that they are sent the one at `at_ms`.
    fn mark_shared(&mut self, segment: u64, at_ms: u64) -> bool {
        let Some(accused) = self.accused.get_mut(&segment) else {
            return false;
        };
        let is_unshared = accused
            .shared_answer_ms
            .is_none_or(|shared_ms| shared_ms < accused.last_crash_ms);
        if is_unshared {
            accused.shared_answer_ms = Some(at_ms);
        }
        is_unshared
    }

    /// Adds the observations of a peer. Those that are new to this router are sent its
    /// peers as ones of `origin`, or not if it is `None`.
    pub fn merge(
        &mut self,
        observations: &[CrashObservation],
        origin: Option<ObservationOrigin>,
        now_ms: u64,
    ) {
        let now_ms = shifted(now_ms);
        for CrashObservation { age_ms, event } in observations {
            let at_ms = now_ms.saturating_sub(*age_ms);
            let new = match event {
                CrashEvent::Ended { start, segments } => {
                    let segments = self.add_end(start, segments, at_ms);
                    let start = start.clone();
                    (!segments.is_empty()).then_some(CrashEvent::Ended { start, segments })
                }
                CrashEvent::Answered(segment) => {
                    let accused = self.accused.get(segment);
                    let is_whole = accused.is_some_and(|accused| accused.is_whole);
                    self.add_answer(*segment, is_whole, at_ms);
                    let is_unshared = self.mark_shared(*segment, at_ms);
                    is_unshared.then_some(CrashEvent::Answered(*segment))
                }
            };
            if let (Some(event), Some(origin)) = (new, origin) {
                self.log(event, origin, at_ms);
            }
        }
    }

    /// Returns the observations from `origins` that this router sends its peers from the
    /// number `seq` on, and the number of the next one.
    #[must_use]
    pub fn outgoing_since(
        &self,
        seq: u64,
        origins: RangeToInclusive<ObservationOrigin>,
        now_ms: u64,
    ) -> (u64, Vec<CrashObservation>) {
        let now_ms = shifted(now_ms);
        let entries = self.outgoing.iter();
        let entries = entries.filter(|entry| entry.seq >= seq && origins.contains(&entry.origin));
        let observations = entries.map(|entry| CrashObservation {
            age_ms: now_ms.saturating_sub(entry.at_ms),
            event: entry.event.clone(),
        });
        (self.next_seq, observations.collect())
    }

    /// Returns the number of the next outgoing observation.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns all that is known about accused parts, for a router that starts.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<CrashObservation> {
        let now_ms = shifted(now_ms);
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let ended = self.crashes.iter().flat_map(|(start, crash)| {
            let mut by_time: BTreeMap<u64, Vec<RequestPart>> = BTreeMap::new();
            for (&id, &Charge { at_ms, position }) in &crash.charges {
                let parts = by_time.entry(at_ms).or_default();
                parts.push(RequestPart { id, position });
            }
            by_time
                .into_iter()
                .map(move |(at_ms, segments)| CrashObservation {
                    age_ms: age_ms(at_ms),
                    event: CrashEvent::Ended {
                        start: start.clone(),
                        segments,
                    },
                })
        });
        let answered = self.accused.keys().filter_map(|part| {
            Some(CrashObservation {
                age_ms: age_ms(self.answered_ms(*part)?),
                event: CrashEvent::Answered(*part),
            })
        });
        ended.chain(answered).collect()
    }

    /// Returns what the evidence said of a request with `parts` at the last assessment.
    #[must_use]
    pub fn verdict(&self, parts: &[RequestPart]) -> CrashVerdict {
        if self.suspects.is_empty() && self.culprits.is_empty() {
            return CrashVerdict::Clear;
        }
        let verdicts = parts.iter().map(|part| match self.culprits.get(&part.id) {
            Some(culprit) if culprit.blocked => CrashVerdict::Blocked(part.id),
            Some(_) => CrashVerdict::Suspect,
            None if self.suspects.contains(&part.id) => CrashVerdict::Suspect,
            None => CrashVerdict::Clear,
        });
        verdicts.max().unwrap_or(CrashVerdict::Clear)
    }

    /// Returns whether a request with a blocked part may be sent to learn
    /// whether it still crashes servers, and counts it if so.
    pub fn begin_probe(&mut self, segment: u64, now_ms: u64) -> bool {
        let now_ms = shifted(now_ms);
        let Some(culprit) = self.culprits.get(&segment) else {
            return false;
        };
        let wait_ms = FIRST_PROBE_MS * 3_u64.pow(culprit.failed_probes.min(MAX_PROBES));
        let last_probe_ms = self.probes_ms.get(&segment).copied().unwrap_or(0);
        let last_ms = culprit.last_crash_ms.max(last_probe_ms);
        let due = culprit.failed_probes < MAX_PROBES && now_ms >= last_ms + wait_ms;
        if due {
            self.probes_ms.insert(segment, now_ms);
        }
        due
    }

    /// Assesses all observations. Returns which parts are blocked or released
    /// because of it.
    pub fn assess(&mut self, now_ms: u64) -> Vec<BlockChange> {
        let now_ms = shifted(now_ms);
        if !self.stale && now_ms < self.review_at_ms {
            return Vec::new();
        }
        self.review_at_ms = now_ms + REVIEW_MS;
        self.discard_old(now_ms);
        let mut unsettled = false;
        let mut unexplained: Vec<&Crash> = self.crashes.values().collect();
        let mut culprits = HashMap::new();
        let mut accusations = accusations(&unexplained);
        while let Some((part, accusation, times)) = self.most_accused(&accusations) {
            let decisive_ms = times[accusation.crashes_to_block() - 1];
            let blocked = now_ms >= decisive_ms + SETTLE_MS;
            unsettled |= !blocked;
            let probes = times
                .iter()
                .filter(|at_ms| **at_ms > decisive_ms + PROBES_FROM_MS);
            let culprit = Culprit {
                position: accusation.position,
                crashes: times.len(),
                blocked,
                last_crash_ms: times.last().copied().unwrap_or(0),
                failed_probes: u32::try_from(probes.count()).unwrap_or(u32::MAX),
            };
            culprits.insert(part, culprit);
            unexplained.retain(|crash| !crash.charges.contains_key(&part));
            accusations = self::accusations(&unexplained);
        }
        self.stale = unsettled;
        self.suspects = accusations
            .iter()
            .filter(|(_, accusation)| accusation.distinct_ms().len() >= CRASHES_TO_SUSPECT)
            .map(|(part, _)| *part)
            .collect();
        let before = std::mem::replace(&mut self.culprits, culprits);
        self.changes_since(&before)
    }

    /// Returns the part that explains most crashes, of those that explain enough to be
    /// blocked, and the times of these. Of several, the one whose last answer is longest
    /// ago, or the most specific.
    fn most_accused<'a>(
        &self,
        accusations: &'a HashMap<u64, Accusation>,
    ) -> Option<(u64, &'a Accusation, Vec<u64>)> {
        let ranked = accusations.iter().filter_map(|(part, accusation)| {
            let times = accusation.distinct_ms();
            let rank = (
                times.len(),
                Reverse(self.answered_ms(*part)),
                accusation.position,
                *part,
            );
            let enough = times.len() >= accusation.crashes_to_block();
            enough.then_some((rank, accusation, times))
        });
        let ((_, _, _, part), accusation, times) = ranked.max_by_key(|(rank, _, _)| *rank)?;
        Some((part, accusation, times))
    }

    fn changes_since(&self, before: &HashMap<u64, Culprit>) -> Vec<BlockChange> {
        let was_blocked =
            |segment: &u64| before.get(segment).is_some_and(|culprit| culprit.blocked);
        let is_blocked = |segment: &u64| {
            self.culprits
                .get(segment)
                .is_some_and(|culprit| culprit.blocked)
        };
        let blocked = self
            .culprits
            .iter()
            .filter(|(segment, culprit)| culprit.blocked && !was_blocked(segment));
        let blocked = blocked.map(|(id, culprit)| BlockChange::Blocked {
            part: RequestPart {
                id: *id,
                position: culprit.position,
            },
            crashes: culprit.crashes,
        });
        let released = before
            .keys()
            .filter(|segment| was_blocked(segment) && !is_blocked(segment));
        blocked
            .chain(released.map(|segment| BlockChange::Released(*segment)))
            .collect()
    }

    /// Adds an end and returns the parts that were not known for it.
    fn add_end(
        &mut self,
        start: &ServerStart,
        parts: &[RequestPart],
        at_ms: u64,
    ) -> Vec<RequestPart> {
        let mut added = Vec::new();
        let mut crash = self.crashes.remove(start).unwrap_or_default();
        crash.last_ms = crash.last_ms.max(at_ms);
        for part in parts {
            if self.answered_ms(part.id) > Some(at_ms) {
                continue;
            }
            if let Some(known) = crash.charges.get_mut(&part.id) {
                known.at_ms = known.at_ms.min(at_ms);
                continue;
            }
            crash.make_room(&self.culprits);
            let charge = Charge {
                at_ms,
                position: part.position,
            };
            crash.charges.insert(part.id, charge);
            added.push(*part);
        }
        self.crashes.insert(start.clone(), crash);
        for part in &added {
            self.accuse(*part, at_ms);
        }
        self.stale = true;
        if self.crashes.len() > MAX_CRASHES {
            let culprits = &self.culprits;
            let crashes = self.crashes.iter();
            let least =
                crashes.min_by_key(|(_, crash)| (crash.is_explained(culprits), crash.last_ms));
            if let Some(start) = least.map(|(start, _)| start.clone()) {
                self.crashes.remove(&start);
            }
        }
        added
    }

    /// Notes that a part is accused, and has peers learn of its last answer
    /// before.
    fn accuse(&mut self, part: RequestPart, at_ms: u64) {
        let answered_ms = self.answered_ms(part.id);
        let accused = self.accused.entry(part.id).or_default();
        accused.last_crash_ms = accused.last_crash_ms.max(at_ms);
        accused.is_whole = part.is_whole();
        if answered_ms > accused.shared_answer_ms {
            accused.shared_answer_ms = answered_ms;
            if let Some(answered_ms) = answered_ms {
                self.log(
                    CrashEvent::Answered(part.id),
                    ObservationOrigin::Local,
                    answered_ms,
                );
            }
        }
        if self.accused.len() > MAX_ACCUSED {
            discard_oldest_quarter(&mut self.accused, |accused| accused.last_crash_ms);
        }
    }

    fn add_answer(&mut self, part: u64, is_whole: bool, at_ms: u64) {
        let answers = if is_whole {
            &mut self.answered_requests
        } else {
            &mut self.answered_segments
        };
        answers.record(part, at_ms);
        self.stale |= self.accused.contains_key(&part);
    }

    fn log(&mut self, event: CrashEvent, origin: ObservationOrigin, at_ms: u64) {
        if self.outgoing.len() >= MAX_OUTGOING {
            self.outgoing.pop_front();
        }
        self.outgoing.push_back(OutgoingObservation {
            seq: self.next_seq,
            origin,
            at_ms,
            event,
        });
        self.next_seq += 1;
    }

    /// Discards what can't count any more: old observations, and parts that
    /// were answered after a crash.
    fn discard_old(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms < at_ms.saturating_add(RETENTION_MS);
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|_, crash| is_recent(crash.last_ms));
        for crash in crashes.values_mut() {
            crash
                .charges
                .retain(|part, charge| self.answered_ms(*part) <= Some(charge.at_ms));
        }
        self.crashes = crashes;
        self.accused
            .retain(|_, accused| is_recent(accused.last_crash_ms));
        self.outgoing.retain(|entry| is_recent(entry.at_ms));
        self.probes_ms.retain(|_, at_ms| is_recent(*at_ms));
    }
}

/// Returns the accusations of the parts that occur in enough of these crashes to make them
/// suspect.
fn accusations(crashes: &[&Crash]) -> HashMap<u64, Accusation> {
    let mut accusations: HashMap<u64, Accusation> = HashMap::new();
    let charges = crashes.iter().flat_map(|crash| &crash.charges);
    for (part, charge) in charges {
        let accusation = accusations.entry(*part).or_default();
        accusation.crashes_ms.push(charge.at_ms);
        accusation.position = accusation.position.max(charge.position);
    }
    accusations.retain(|_, accusation| accusation.crashes_ms.len() >= CRASHES_TO_SUSPECT);
    accusations
}
