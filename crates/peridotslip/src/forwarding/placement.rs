//! Choosing the backend server for a request.
//!
//! A model engine reads a prompt faster if it has read the beginning before,
//! and a busy engine makes every request slower. The choice weighs both as
//! predicted milliseconds: prompt tokens that the engine must read, and
//! requests that it works on. Load reports lag and count other routers'
//! requests, so a router corrects them by what it has sent since.

use std::collections::{BTreeMap, HashMap};

use super::{AttemptOutcome, LoadReport, PromptProfile, ServerEntry, ServerId, ServerState};
use crate::members::rendezvous_weight;

/// Prompt tokens that an engine reads in a millisecond, for weighing cached
/// tokens against load.
const PREFILL_TOKENS_PER_MS: f64 = 32.4;
/// Predicted delay by each request that an engine works on, in milliseconds.
const ENGINE_REQUEST_MS: f64 = 9.0;
/// Predicted delay by each request beyond a plain server's slots, in
/// milliseconds.
const SERVICE_REQUEST_MS: f64 = 10.0;
/// Predicted extra delay of a server in another data centre, in milliseconds.
const DISTANCE_MS: f64 = 2.5;
/// A load report counts for this long, in milliseconds.
const REPORT_AGE_MS: u64 = 1_500;
/// Failures in a row after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// First ejection, in milliseconds; each further one is twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// How long a server that refused for lack of room is avoided, in
/// milliseconds.
const FULL_PAUSE_MS: u64 = 60;
/// Share of a new sample in the smoothed time to first byte.
const SMOOTHING: f64 = 0.2;
/// A server this many times slower than the median of its service is avoided.
const SLOW_FACTOR: f64 = 2.5;
/// Prompt segments that a router remembers for each engine.
const MAX_SEGMENTS: usize = 512;
/// How long an engine takes to read a segment at most, in milliseconds; until
/// then others can't copy it.
const READ_MS: u64 = 300;
/// How long a segment that nobody uses is thought to stay in an engine's memory,
/// in milliseconds.
const KEPT_MS: u64 = 20_000;
/// Fewest tokens that are worth copying: setting up a copy takes 5 ms.
const MIN_COPIED_TOKENS: u64 = 160;

/// When a segment was first and last sent to an engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Sent {
    first_ms: u64,
    last_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct SentSegments {
    sent: HashMap<u64, Sent>,
}

impl SentSegments {
    fn insert(&mut self, id: u64, now_ms: u64) {
        let sent = self.sent.entry(id).or_insert(Sent {
            first_ms: now_ms,
            last_ms: now_ms,
        });
        sent.last_ms = now_ms;
        if self.sent.len() > MAX_SEGMENTS {
            let mut times: Vec<u64> = self.sent.values().map(|sent| sent.last_ms).collect();
            times.sort_unstable();
            let cut = times[times.len() / 4];
            self.sent.retain(|_, sent| sent.last_ms > cut);
        }
    }

    /// Tokens at the beginning of a prompt that can be copied from here.
    fn readable(&self, prompt: &PromptProfile, now_ms: u64) -> u64 {
        let readable = |id: &u64| {
            self.sent.get(id).is_some_and(|sent| {
                now_ms >= sent.first_ms + READ_MS && now_ms < sent.last_ms + KEPT_MS
            })
        };
        prompt
            .segments
            .iter()
            .take_while(|(id, _)| readable(id))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Tokens at the beginning of a prompt that are thought to be cached.
    fn cached(&self, prompt: &PromptProfile) -> u64 {
        prompt
            .segments
            .iter()
            .take_while(|(id, _)| self.sent.contains_key(id))
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

#[derive(Clone, Debug)]
struct Known {
    server: ServerEntry,
    in_flight: u32,
    in_flight_at_report: u32,
    report: Option<(LoadReport, u64)>,
    /// Prompt tokens sent and not yet known to be read.
    reading: u64,
    segments: SentSegments,
    failures: u32,
    ejections: u32,
    avoid_until_ms: u64,
    leaving: bool,
    first_byte_ms: Option<f64>,
}

impl Known {
    fn new(server: ServerEntry) -> Self {
        Self {
            server,
            in_flight: 0,
            in_flight_at_report: 0,
            report: None,
            reading: 0,
            segments: SentSegments::default(),
            failures: 0,
            ejections: 0,
            avoid_until_ms: 0,
            leaving: false,
            first_byte_ms: None,
        }
    }

    fn accepts_requests(&self) -> bool {
        self.server.state == ServerState::Ready && !self.leaving
    }

    /// After an ejection, one request at a time tries the server.
    fn available(&self, now_ms: u64) -> bool {
        let on_trial = self.ejections > 0 && self.in_flight > 0;
        self.accepts_requests() && now_ms >= self.avoid_until_ms && !on_trial
    }

    fn load(&self, now_ms: u64) -> u32 {
        match self.report {
            Some((report, at_ms)) if now_ms < at_ms + REPORT_AGE_MS => {
                let others =
                    (report.running + report.waiting).saturating_sub(self.in_flight_at_report);
                others + self.in_flight
            }
            _ => self.in_flight,
        }
    }
}

/// A server for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedServer {
    /// The server.
    pub server: ServerEntry,
    /// The address of an engine from which it can copy what it has not read of
    /// the prompt's beginning: faster than to read it again.
    pub kv_source: Option<String>,
}

/// The servers of all services, and what this router knows of each.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    data_centre: String,
    servers: BTreeMap<ServerId, Known>,
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

impl Placement {
    /// Knows no server yet; prefers those of `data_centre`.
    #[must_use]
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            servers: BTreeMap::new(),
        }
    }

    /// Takes in a server's entry. A server that has started anew is unknown.
    /// Returns whether something that matters to requests changed.
    pub fn upsert(&mut self, server: ServerEntry) -> bool {
        match self.servers.get_mut(&server.id) {
            Some(known)
                if known.server.started_ms == server.started_ms
                    && known.server.address == server.address =>
            {
                let changed = known.server != server;
                known.server = server;
                changed
            }
            _ => {
                self.servers.insert(server.id.clone(), Known::new(server));
                true
            }
        }
    }

    /// Forgets a server.
    pub fn remove(&mut self, id: &str) -> bool {
        self.servers.remove(id).is_some()
    }

    /// The names of all known servers.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.servers.keys().map(String::as_str)
    }

    /// A server's entry.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|known| &known.server)
    }

    /// Whether a server is known and takes new work.
    #[must_use]
    pub fn accepts_requests(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(Known::accepts_requests)
    }

    /// How many servers are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Picks a server of `service` that is not in `tried` and counts the
    /// request as in flight there. If every other one is avoided, one that is
    /// avoided for failures is better than none.
    pub fn choose(
        &mut self,
        service: &str,
        prompt: &PromptProfile,
        tried: &[ServerId],
        now_ms: u64,
    ) -> Option<ServerEntry> {
        let selected = self.choose_with_kv_source(service, prompt, tried, now_ms);
        selected.map(|selected| selected.server)
    }

    /// Like [`choose`](Self::choose), and names an engine from which the chosen
    /// one can copy the beginning of the prompt.
    pub fn choose_with_kv_source(
        &mut self,
        service: &str,
        prompt: &PromptProfile,
        tried: &[ServerId],
        now_ms: u64,
    ) -> Option<SelectedServer> {
        let id = self
            .best(service, prompt, tried, now_ms, Known::available)
            .or_else(|| {
                self.best(service, prompt, tried, now_ms, |known, _| {
                    known.accepts_requests()
                })
            })?;
        let kv_source = self.kv_source(&id, prompt, now_ms);
        let known = self.servers.get_mut(&id)?;
        known.in_flight += 1;
        known.reading += prompt.uncached_tokens(known.segments.cached(prompt));
        for (segment, _) in &prompt.segments {
            known.segments.insert(*segment, now_ms);
        }
        Some(SelectedServer {
            server: known.server.clone(),
            kv_source,
        })
    }

    /// An engine that has read more of a prompt's beginning than the engine
    /// `id`, if copying that is worth while.
    fn kv_source(&self, id: &str, prompt: &PromptProfile, now_ms: u64) -> Option<String> {
        let chosen = self.servers.get(id)?;
        let at_hand = chosen.segments.cached(prompt);
        let (gain, source) = self
            .servers
            .values()
            .filter(|known| known.server.id != id && known.server.service == chosen.server.service)
            .filter(|known| known.accepts_requests() && now_ms >= known.avoid_until_ms)
            .map(|known| {
                let gain = known
                    .segments
                    .readable(prompt, now_ms)
                    .saturating_sub(at_hand);
                (gain, known)
            })
            .max_by_key(|(gain, known)| {
                let near = known.server.data_centre == chosen.server.data_centre;
                (*gain, near)
            })?;
        if gain >= MIN_COPIED_TOKENS {
            return Some(source.server.address.clone());
        }
        self.likely_kv_source(chosen, prompt, now_ms)
    }

    /// An engine that has probably read what the chosen one lacks, because of
    /// other routers' requests: the home of the session, or else the home of
    /// the prompt's first segment.
    fn likely_kv_source(
        &self,
        chosen: &Known,
        prompt: &PromptProfile,
        now_ms: u64,
    ) -> Option<String> {
        let shared = prompt.segments.len().saturating_sub(1);
        let tokens =
            |segments: &[(u64, u64)]| segments.iter().map(|(_, tokens)| tokens).sum::<u64>();
        let at_hand = chosen.segments.cached(prompt);
        let candidates: Vec<&Known> = self
            .servers
            .values()
            .filter(|known| known.server.service == chosen.server.service)
            .filter(|known| known.accepts_requests() && now_ms >= known.avoid_until_ms)
            .collect();
        [shared, 1].into_iter().find_map(|count| {
            let beginning = prompt
                .segments
                .get(..count)
                .filter(|segments| !segments.is_empty())?;
            let (segment, _) = beginning.last()?;
            let home = home(&candidates, *segment)?;
            let gains = tokens(beginning) >= at_hand + MIN_COPIED_TOKENS;
            // What this router has sent there itself has been considered.
            let guessed = !home.segments.sent.contains_key(segment);
            let other = home.server.id != chosen.server.id;
            (gains && guessed && other).then(|| home.server.address.clone())
        })
    }

    fn best(
        &self,
        service: &str,
        prompt: &PromptProfile,
        tried: &[ServerId],
        now_ms: u64,
        usable: impl Fn(&Known, u64) -> bool,
    ) -> Option<ServerId> {
        let candidates: Vec<&Known> = self
            .servers
            .values()
            .filter(|known| known.server.service == service)
            .filter(|known| !tried.contains(&known.server.id) && usable(known, now_ms))
            .collect();
        let home = prompt
            .affinity_key()
            .and_then(|segment| home(&candidates, segment))
            .map(|known| known.server.id.clone());
        let median = median_first_byte(&candidates);
        let cost = |known: &Known| {
            let is_home = home.as_ref() == Some(&known.server.id);
            self.cost_ms(known, prompt, is_home, median, now_ms)
        };
        candidates
            .iter()
            .map(|known| (cost(known), known))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, known)| known.server.id.clone())
    }

    fn cost_ms(
        &self,
        known: &Known,
        prompt: &PromptProfile,
        is_home: bool,
        median_ms: Option<f64>,
        now_ms: u64,
    ) -> f64 {
        let load = known.load(now_ms);
        let distance = if known.server.data_centre == self.data_centre {
            0.0
        } else {
            DISTANCE_MS
        };
        if prompt.prompt_tokens == 0 {
            let beyond = load.saturating_sub(known.server.slots / 2);
            let slow = known.first_byte_ms.unwrap_or(0.0);
            return distance
                + f64::from(load)
                + f64::from(beyond) * SERVICE_REQUEST_MS
                + slow_penalty(slow, median_ms);
        }
        let shared: u64 = prompt
            .segments
            .iter()
            .take(prompt.segments.len().saturating_sub(1))
            .map(|(_, tokens)| tokens)
            .sum();
        let cached = known.segments.cached(prompt);
        let cached = if is_home { cached.max(shared) } else { cached };
        let reading = known.reading + prompt.uncached_tokens(cached);
        let slow = known.first_byte_ms.unwrap_or(0.0);
        as_f64(reading) / PREFILL_TOKENS_PER_MS
            + f64::from(load) * ENGINE_REQUEST_MS
            + distance
            + slow_penalty(slow, median_ms)
    }

    /// Notes the first byte of an answer `elapsed_ms` after the send.
    pub fn record_first_byte(&mut self, id: &str, prompt: &PromptProfile, elapsed_ms: u64) {
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        known.reading = known.reading.saturating_sub(prompt.prompt_tokens / 2);
        let elapsed = as_f64(elapsed_ms);
        let smoothed = known.first_byte_ms.get_or_insert(elapsed);
        *smoothed += SMOOTHING * (elapsed - *smoothed);
    }

    /// Takes in a server's report on its load.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now_ms: u64) {
        if let Some(known) = self.servers.get_mut(id) {
            known.report = Some((report, now_ms));
            known.in_flight_at_report = known.in_flight;
        }
    }

    /// Notes that a server says with an answer that it is leaving.
    pub fn mark_draining(&mut self, id: &str) {
        if let Some(known) = self.servers.get_mut(id) {
            known.leaving = true;
        }
    }

    /// Notes the end of a request that [`choose`](Self::choose) counted.
    /// Returns `true` if it made the server be ejected.
    pub fn finish(&mut self, id: &str, outcome: AttemptOutcome, now_ms: u64) -> bool {
        let Some(known) = self.servers.get_mut(id) else {
            return false;
        };
        known.in_flight = known.in_flight.saturating_sub(1);
        if known.in_flight == 0 {
            known.reading = 0;
        }
        match outcome {
            AttemptOutcome::Neutral => {}
            AttemptOutcome::Answered => {
                known.failures = 0;
                known.ejections = 0;
            }
            AttemptOutcome::Full => {
                known.avoid_until_ms = known.avoid_until_ms.max(now_ms + FULL_PAUSE_MS);
            }
            AttemptOutcome::WrongServer => known.leaving = true,
            AttemptOutcome::Failed => {
                known.failures += 1;
                known.segments = SentSegments::default();
                if known.failures >= FAILURES_TO_EJECT || known.ejections > 0 {
                    let doubled = FIRST_EJECTION_MS << known.ejections.min(8);
                    known.avoid_until_ms = now_ms + doubled.min(MAX_EJECTION_MS);
                    known.ejections += 1;
                    known.failures = 0;
                    return true;
                }
            }
        }
        false
    }
}

/// The engine that a prompt segment prefers, the same for every router.
fn home<'a>(candidates: &[&'a Known], segment: u64) -> Option<&'a Known> {
    let key = format!("{segment:016x}");
    let by_weight = |known: &&&Known| rendezvous_weight(&key, &known.server.id);
    candidates.iter().max_by_key(by_weight).copied()
}

fn slow_penalty(first_byte_ms: f64, median_ms: Option<f64>) -> f64 {
    match median_ms {
        Some(median) if first_byte_ms > median * SLOW_FACTOR => first_byte_ms - median,
        _ => 0.0,
    }
}

fn median_first_byte(candidates: &[&Known]) -> Option<f64> {
    let mut times: Vec<f64> = candidates
        .iter()
        .filter_map(|known| known.first_byte_ms)
        .collect();
    times.sort_unstable_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}
