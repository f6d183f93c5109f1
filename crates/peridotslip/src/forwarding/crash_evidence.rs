//! Evidence about prompts that crash servers.
//!
//! A server that crashes ends all its connections, so that requests beside the
//! one at fault end as well. Each such end accuses all segments that the prompts
//! in flight there share with other requests. Two things tell the segment at
//! fault from the others: an answer acquits the segments of its prompt, and the
//! segment that explains most crashes takes them away from all others.
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

use super::{PromptProfile, PromptSegment, ServerStart};

/// Crashes after the last answer for which a segment's prompts are blocked.
const CRASHES_TO_BLOCK: usize = 4;
/// Crashes after the last answer from which on a request with the segment gets
/// no second attempt.
const CRASHES_TO_SUSPECT: usize = 2;
/// Crashes within this time count as one, in milliseconds: a prompt does not
/// crash several servers at once, a loss of power does.
const SIMULTANEOUS_MS: u64 = 50;
/// Time after the decisive crash before the segment is blocked, in
/// milliseconds. Answers that acquit a segment may be on their way.
const SETTLE_MS: u64 = 250;
/// How long observations are kept, in milliseconds.
const RETENTION_MS: u64 = 2 * 60 * 60 * 1_000;
/// Time between two reviews of the verdicts without new observations, in
/// milliseconds.
const REVIEW_MS: u64 = 60 * 1_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Maximum number of segments that are kept for a crash.
const MAX_ACCUSED: usize = 256;
/// Maximum number of segments whose last answer is known.
const MAX_ANSWERED: usize = 4_096;
/// Maximum number of observations that are kept for peers.
const MAX_OUTGOING: usize = 1_024;
/// A later crash under a blocked segment is a failed probe from this time on
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

/// An event that accuses or acquits prompt segments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashEvent {
    /// A start of a server has ended requests with these segments.
    Ended {
        /// The server's start.
        start: ServerStart,
        /// Segments of the requests' prompts.
        segments: Vec<PromptSegment>,
    },
    /// A server has answered a prompt with the segment of this hash.
    Answered(u64),
}

/// What the evidence says of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromptVerdict {
    /// The prompt may be sent.
    Clear,
    /// The prompt may be sent once: servers have crashed under one of its
    /// segments.
    Suspect,
    /// The prompt must not be sent, because of the segment with this hash.
    Blocked(u64),
}

/// A change of the blocked segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockChange {
    /// Prompts with the segment are blocked from now on.
    Blocked {
        /// The segment's hash.
        segment: u64,
        /// Crashes under the segment since its last answer.
        crashes: usize,
    },
    /// Prompts with the segment of this hash are no longer blocked.
    Released(u64),
}

/// The end of one start of a server.
#[derive(Clone, Debug)]
struct Crash {
    at_ms: u64,
    /// The accused segments' hashes and positions.
    segments: BTreeMap<u64, u32>,
}

/// The crashes since a segment's last answer that no other segment explains.
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
}

/// A segment under which too many servers have crashed.
#[derive(Clone, Copy, Debug)]
struct Culprit {
    crashes: usize,
    blocked: bool,
    last_crash_ms: u64,
    failed_probes: u32,
}

/// What a router has told its peers about an accused segment.
#[derive(Clone, Copy, Debug, Default)]
struct Accused {
    last_crash_ms: u64,
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
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<ServerStart, Crash>,
    /// The last answer to a prompt with a segment, by the segment's hash.
    answered_ms: HashMap<u64, u64>,
    accused: HashMap<u64, Accused>,
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

impl CrashEvidence {
    /// Records that a server's start has ended a request with `segments`.
    pub fn record_end(&mut self, start: &ServerStart, segments: &[PromptSegment], now_ms: u64) {
        let now_ms = shifted(now_ms);
        let added = self.add_end(start, segments, now_ms);
        if !added.is_empty() {
            let event = CrashEvent::Ended {
                start: start.clone(),
                segments: added,
            };
            self.log(event, ObservationOrigin::Local, now_ms);
        }
    }

    /// Records that a server has answered a prompt with `segments`.
    pub fn record_answer(&mut self, segments: &[PromptSegment], now_ms: u64) {
        let now_ms = shifted(now_ms);
        for segment in segments {
            self.add_answer(segment.id, now_ms);
            if self.mark_shared(segment.id, now_ms) {
                self.log(
                    CrashEvent::Answered(segment.id),
                    ObservationOrigin::Local,
                    now_ms,
                );
            }
        }
    }

    /// Returns whether peers lack an answer after the last crash under a segment, and
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
                    self.add_answer(*segment, at_ms);
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

    /// Returns all that is known about accused segments, for a router that starts.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<CrashObservation> {
        let now_ms = shifted(now_ms);
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let ended = self.crashes.iter().map(|(start, crash)| CrashObservation {
            age_ms: age_ms(crash.at_ms),
            event: CrashEvent::Ended {
                start: start.clone(),
                segments: crash
                    .segments
                    .iter()
                    .map(|(&id, &position)| PromptSegment { id, position })
                    .collect(),
            },
        });
        let answered = self
            .answered_ms
            .iter()
            .filter(|(segment, _)| self.accused.contains_key(segment));
        let answered = answered.map(|(segment, at_ms)| CrashObservation {
            age_ms: age_ms(*at_ms),
            event: CrashEvent::Answered(*segment),
        });
        ended.chain(answered).collect()
    }

    /// Returns what the evidence said of a prompt at the last assessment.
    #[must_use]
    pub fn verdict(&self, prompt: &PromptProfile) -> PromptVerdict {
        if self.suspects.is_empty() && self.culprits.is_empty() {
            return PromptVerdict::Clear;
        }
        let segments = prompt.shared_segments();
        let verdicts = segments
            .iter()
            .map(|segment| match self.culprits.get(&segment.id) {
                Some(culprit) if culprit.blocked => PromptVerdict::Blocked(segment.id),
                Some(_) => PromptVerdict::Suspect,
                None if self.suspects.contains(&segment.id) => PromptVerdict::Suspect,
                None => PromptVerdict::Clear,
            });
        verdicts.max().unwrap_or(PromptVerdict::Clear)
    }

    /// Returns whether a request with a blocked segment may be sent to learn
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

    /// Assesses all observations. Returns which segments are blocked or released
    /// because of it.
    pub fn assess(&mut self, now_ms: u64) -> Vec<BlockChange> {
        let now_ms = shifted(now_ms);
        if !self.stale && now_ms < self.review_at_ms {
            return Vec::new();
        }
        self.stale = false;
        self.review_at_ms = now_ms + REVIEW_MS;
        self.discard_old(now_ms);
        let mut unexplained: Vec<(u64, BTreeMap<u64, u32>)> = self
            .crashes
            .values()
            .map(|crash| (crash.at_ms, crash.segments.clone()))
            .collect();
        let mut culprits = HashMap::new();
        let mut accusations = accusations(&unexplained);
        while let Some((segment, times)) = self.most_accused(&accusations) {
            let Some(decisive_ms) = times.get(CRASHES_TO_BLOCK - 1) else {
                break;
            };
            let blocked = now_ms >= decisive_ms + SETTLE_MS;
            self.stale |= !blocked;
            let probes = times
                .iter()
                .filter(|at_ms| **at_ms > decisive_ms + PROBES_FROM_MS);
            let culprit = Culprit {
                crashes: times.len(),
                blocked,
                last_crash_ms: times.last().copied().unwrap_or(0),
                failed_probes: u32::try_from(probes.count()).unwrap_or(u32::MAX),
            };
            culprits.insert(segment, culprit);
            unexplained.retain(|(_, segments)| !segments.contains_key(&segment));
            accusations = self::accusations(&unexplained);
        }
        self.suspects = accusations
            .iter()
            .filter(|(_, accusation)| accusation.distinct_ms().len() >= CRASHES_TO_SUSPECT)
            .map(|(segment, _)| *segment)
            .collect();
        let before = std::mem::replace(&mut self.culprits, culprits);
        self.changes_since(&before)
    }

    /// Returns the segment that explains most crashes and the times of these. Of
    /// several, the one whose last answer is longest ago, or the most specific.
    fn most_accused(&self, accusations: &HashMap<u64, Accusation>) -> Option<(u64, Vec<u64>)> {
        let ranked = accusations.iter().map(|(segment, accusation)| {
            let answered_ms = self.answered_ms.get(segment).copied();
            let times = accusation.distinct_ms();
            let rank = (
                times.len(),
                Reverse(answered_ms),
                accusation.position,
                *segment,
            );
            (rank, times)
        });
        let ((_, _, _, segment), times) = ranked.max_by_key(|(rank, _)| *rank)?;
        Some((segment, times))
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
        let blocked = blocked.map(|(segment, culprit)| BlockChange::Blocked {
            segment: *segment,
            crashes: culprit.crashes,
        });
        let released = before
            .keys()
            .filter(|segment| was_blocked(segment) && !is_blocked(segment));
        blocked
            .chain(released.map(|segment| BlockChange::Released(*segment)))
            .collect()
    }

    /// Adds an end and returns the segments that were not known for it.
    fn add_end(
        &mut self,
        start: &ServerStart,
        segments: &[PromptSegment],
        at_ms: u64,
    ) -> Vec<PromptSegment> {
        let crash = self.crashes.entry(start.clone()).or_insert_with(|| Crash {
            at_ms,
            segments: BTreeMap::new(),
        });
        crash.at_ms = crash.at_ms.min(at_ms);
        let crash_ms = crash.at_ms;
        let mut added = Vec::new();
        let answered_ms = &self.answered_ms;
        for segment in segments {
            let is_acquitted = answered_ms.get(&segment.id) > Some(&crash_ms);
            if !is_acquitted
                && crash.segments.len() < MAX_ACCUSED
                && !crash.segments.contains_key(&segment.id)
            {
                crash.segments.insert(segment.id, segment.position);
                added.push(*segment);
            }
        }
        for segment in &added {
            self.accuse(segment.id, crash_ms);
        }
        self.stale = true;
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at_ms);
            if let Some(start) = oldest.map(|(start, _)| start.clone()) {
                self.crashes.remove(&start);
            }
        }
        added
    }

    /// Notes that a segment is accused, and has peers learn of its last answer
    /// before.
    fn accuse(&mut self, segment: u64, at_ms: u64) {
        let accused = self.accused.entry(segment).or_default();
        accused.last_crash_ms = accused.last_crash_ms.max(at_ms);
        let answered_ms = self.answered_ms.get(&segment).copied();
        if answered_ms > accused.shared_answer_ms {
            accused.shared_answer_ms = answered_ms;
            if let Some(answered_ms) = answered_ms {
                self.log(
                    CrashEvent::Answered(segment),
                    ObservationOrigin::Local,
                    answered_ms,
                );
            }
        }
    }

    fn add_answer(&mut self, segment: u64, at_ms: u64) {
        let answered_ms = self.answered_ms.entry(segment).or_insert(at_ms);
        *answered_ms = at_ms.max(*answered_ms);
        self.stale |= self.accused.contains_key(&segment);
        if self.answered_ms.len() > MAX_ANSWERED {
            let mut times: Vec<u64> = self.answered_ms.values().copied().collect();
            times.sort_unstable();
            let oldest_quarter = times[times.len() / 4];
            self.answered_ms.retain(|_, at_ms| *at_ms > oldest_quarter);
        }
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

    /// Discards what can't count any more: old observations, and segments that
    /// were answered after a crash.
    fn discard_old(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms < at_ms.saturating_add(RETENTION_MS);
        let answered_ms = &self.answered_ms;
        self.crashes.retain(|_, crash| is_recent(crash.at_ms));
        for crash in self.crashes.values_mut() {
            let at_ms = crash.at_ms;
            let answered = |segment: &u64| {
                answered_ms
                    .get(segment)
                    .is_some_and(|last_ms| *last_ms > at_ms)
            };
            crash.segments.retain(|segment, _| !answered(segment));
        }
        self.accused
            .retain(|_, accused| is_recent(accused.last_crash_ms));
        self.outgoing.retain(|entry| is_recent(entry.at_ms));
        self.probes_ms.retain(|_, at_ms| is_recent(*at_ms));
    }
}

/// Returns each segment's accusation by these crashes.
fn accusations(crashes: &[(u64, BTreeMap<u64, u32>)]) -> HashMap<u64, Accusation> {
    let mut accusations: HashMap<u64, Accusation> = HashMap::new();
    for (at_ms, segments) in crashes {
        for (segment, position) in segments {
            let accusation = accusations.entry(*segment).or_default();
            accusation.crashes_ms.push(*at_ms);
            accusation.position = accusation.position.max(*position);
        }
    }
    accusations
}
