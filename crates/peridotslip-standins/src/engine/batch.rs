//! Continuous batching: the scheduling of requests and the emission of their
//! tokens.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use axum::body::Bytes;
use serde::Serialize;
use tokio::sync::{Notify, watch};

use super::{
    FINISHED_RETENTION, ORPHAN_GRACE, Options,
    prefix_cache::{CacheEvent, PrefixCache},
};

/// A completion request, as submitted to the engine.
pub(super) struct GenerationRequest {
    pub(super) id: String,
    pub(super) model: String,
    /// Requests with lower numbers are scheduled first.
    pub(super) priority: u8,
    pub(super) max_tokens: u64,
    pub(super) prompt: Bytes,
}

/// The progress of a generation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Number of tokens emitted.
    pub(super) emitted: u64,
    pub(super) ended: bool,
    pub(super) cancelled: bool,
}

/// A request that waits, runs or has ended, and its progress.
pub(super) struct Generation {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    /// Number of tokens to generate: `max_tokens` with `--full-length`, otherwise a
    /// number from 1 to `max_tokens` that depends only on the request ID.
    length: u64,
    priority: u8,
    prompt: Bytes,
    progress: watch::Sender<Progress>,
    subscribers: AtomicUsize,
    /// When a subscription last ended, or the time of creation if none has ended.
    unsubscribed_since: Mutex<Instant>,
}

/// A reader of a generation. A generation without subscriptions is cancelled
/// after [`ORPHAN_GRACE`].
pub(super) struct Subscription(Arc<Generation>);

impl Subscription {
    pub(super) fn generation(&self) -> &Generation {
        &self.0
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        // The time is set before the count decreases, so that `is_orphan` never
        // sees a count of 0 together with an outdated time.
        *lock(&self.0.unsubscribed_since) = Instant::now();
        self.0.subscribers.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns the 64-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Generation {
    fn new(request: GenerationRequest, full_length: bool) -> Self {
        let length = if full_length {
            request.max_tokens
        } else {
            1 + fnv1a(&request.id) % request.max_tokens.max(1)
        };
        Self {
            // A prompt token is assumed to take four bytes.
            prompt_tokens: (request.prompt.len() as u64).div_ceil(4),
            max_tokens: request.max_tokens,
            length,
            priority: request.priority,
            id: request.id,
            model: request.model,
            prompt: request.prompt,
            progress: watch::Sender::default(),
            subscribers: AtomicUsize::new(0),
            unsubscribed_since: Mutex::new(Instant::now()),
        }
    }

    /// Returns the text of token `i`: the ID of the request and the position of
    /// the token, so that a reader can verify where each token belongs.
    pub(super) fn token_text(&self, i: u64) -> String {
        format!("{}#{i} ", self.id)
    }

    pub(super) fn subscribe(self: &Arc<Self>) -> Subscription {
        self.subscribers.fetch_add(1, Ordering::SeqCst);
        Subscription(self.clone())
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Waits until more than `count` tokens have been emitted or the generation
    /// has ended.
    pub(super) async fn wait_past(&self, count: u64) -> Progress {
        let mut rx = self.progress.subscribe();
        let reached = |progress: &Progress| progress.emitted > count || progress.ended;
        rx.wait_for(reached)
            .await
            .map(|progress| *progress)
            .unwrap_or_default()
    }

    pub(super) async fn wait_end(&self) -> Progress {
        self.wait_past(u64::MAX).await
    }

    /// Emits up to `tokens` tokens and returns whether the generation has ended.
    fn emit(&self, tokens: u64) -> bool {
        self.progress.send_modify(|progress| {
            if !progress.ended {
                progress.emitted = (progress.emitted + tokens).min(self.length);
                progress.ended = progress.emitted == self.length;
            }
        });
        self.progress().ended
    }

    fn cancel(&self) {
        self.progress.send_modify(|progress| {
            progress.cancelled |= !progress.ended;
            progress.ended = true;
        });
    }

    fn is_orphan(&self) -> bool {
        self.subscribers.load(Ordering::SeqCst) == 0
            && lock(&self.unsubscribed_since).elapsed() > ORPHAN_GRACE
    }
}

/// Totals since the start of the engine, for audits.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Stats {
    pub(super) started: u64,
    pub(super) joined: u64,
    pub(super) cancelled: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    pub(super) completion_tokens: u64,
}

/// A request in the batch.
struct Running {
    generation: Arc<Generation>,
    /// Remaining prefill time, in microseconds.
    prefill_us: u64,
    /// Until when the request emits nothing, if it pauses.
    paused_until: Option<Instant>,
}

impl Running {
    /// Returns whether the request pauses now, and starts a pause if one is due
    /// after the tokens emitted so far.
    fn is_paused(&mut self, options: &Options) -> bool {
        let emitted = self.generation.progress().emitted;
        if emitted == 0 || !emitted.is_multiple_of(options.pause_every) {
            return false;
        }
        let pause = Duration::from_millis(options.pause_ms);
        let until = *self.paused_until.get_or_insert(Instant::now() + pause);
        if Instant::now() < until {
            return true;
        }
        self.paused_until = None;
        false
    }
}

#[derive(Default)]
struct State {
    /// Generations that wait, run or can still be resumed, by request ID.
    by_id: HashMap<String, Arc<Generation>>,
    /// IDs of ended generations with the time at which each ended, oldest
    /// first.
    finished: VecDeque<(Instant, String)>,
    waiting: Vec<Arc<Generation>>,
    running: Vec<Running>,
    /// The time of each step and the number of running and waiting requests
    /// after the step; the last 4096 steps.
    load_history: VecDeque<(Instant, usize, usize)>,
    cache: PrefixCache,
    stats: Stats,
}

/// The fake engine.
pub(super) struct Engine {
    options: Options,
    state: Mutex<State>,
    submitted: Notify,
}

impl Engine {
    pub(super) fn spawn(options: Options) -> Arc<Self> {
        let state = State {
            cache: PrefixCache::new(options.cache_blocks),
            ..State::default()
        };
        let engine = Arc::new(Self {
            options,
            state: Mutex::new(state),
            submitted: Notify::new(),
        });
        tokio::spawn(engine.clone().run_steps());
        engine
    }

    /// Queues a request and returns its generation, or the existing generation
    /// if the request ID is known.
    pub(super) fn submit(&self, request: GenerationRequest) -> Arc<Generation> {
        let mut state = lock(&self.state);
        if let Some(existing) = state.by_id.get(&request.id).cloned() {
            state.stats.joined += 1;
            return existing;
        }
        let generation = Arc::new(Generation::new(request, self.options.full_length));
        state
            .by_id
            .insert(generation.id.clone(), generation.clone());
        state.stats.started += 1;
        if self.options.token_us == 0 {
            generation.emit(u64::MAX);
            state.stats.prompt_tokens += generation.prompt_tokens;
            state.stats.completion_tokens += generation.length;
            state.finish(&generation);
        } else {
            state.waiting.push(generation.clone());
            self.submitted.notify_one();
        }
        generation
    }

    pub(super) fn find(&self, id: &str) -> Option<Arc<Generation>> {
        lock(&self.state).by_id.get(id).cloned()
    }

    pub(super) fn cancel(&self, generation: &Arc<Generation>) {
        let mut state = lock(&self.state);
        if generation.progress().ended {
            return;
        }
        generation.cancel();
        state.stats.cancelled += 1;
        state.waiting.retain(|other| other.id != generation.id);
        state
            .running
            .retain(|running| running.generation.id != generation.id);
        state.finish(generation);
    }

    /// Returns the number of running and of waiting requests as of `lag_ms` ago.
    pub(super) fn reported_load(&self) -> (usize, usize) {
        let lag = Duration::from_millis(self.options.lag_ms);
        let state = lock(&self.state);
        let delayed = state
            .load_history
            .iter()
            .rev()
            .find(|(at, ..)| at.elapsed() >= lag);
        delayed.map_or((0, 0), |(_, running, waiting)| (*running, *waiting))
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.options.lag_ms);
        lock(&self.state).cache.events(after, lag)
    }

    pub(super) fn stats(&self) -> Stats {
        lock(&self.state).stats.clone()
    }

    /// Runs decoding steps for as long as the process lives.
    async fn run_steps(self: Arc<Self>) {
        loop {
            let busy = self.step();
            if busy {
                tokio::time::sleep(Duration::from_micros(self.options.token_us)).await;
            } else {
                let idle = Duration::from_millis(100);
                let _ = tokio::time::timeout(idle, self.submitted.notified()).await;
            }
        }
    }

    /// Runs one decoding step and returns whether any requests run or wait.
    ///
    /// Each running request receives either `token_us` of prefill time or one
    /// token. Requests that are due for a token but have had no subscribers for
    /// [`ORPHAN_GRACE`] are cancelled.
    fn step(&self) -> bool {
        let mut state = lock(&self.state);
        state.admit(&self.options);
        let step_us = self.options.token_us;
        let mut emitted = 0;
        let mut ended = Vec::new();
        state.running.retain_mut(|running| {
            if running.prefill_us > step_us {
                running.prefill_us -= step_us;
                return true;
            }
            running.prefill_us = 0;
            if running.is_paused(&self.options) {
                return true;
            }
            emitted += 1;
            let orphan = running.generation.is_orphan();
            if orphan {
                running.generation.cancel();
            }
            let done = running.generation.emit(1) || orphan;
            if done {
                ended.push(running.generation.clone());
            }
            !done
        });
        state.stats.completion_tokens += emitted;
        for generation in ended {
            state.finish(&generation);
        }
        let (running, waiting) = (state.running.len(), state.waiting.len());
        state
            .load_history
            .push_back((Instant::now(), running, waiting));
        while state.load_history.len() > 4096 {
            state.load_history.pop_front();
        }
        running + waiting > 0
    }
}

impl State {
    /// Moves waiting requests into the batch, the lowest priority number first.
    fn admit(&mut self, options: &Options) {
        self.waiting.sort_by_key(|generation| generation.priority);
        while self.running.len() < options.batch && !self.waiting.is_empty() {
            let generation = self.waiting.remove(0);
            let cached = self
                .cache
                .lookup_and_insert(&generation.prompt)
                .min(generation.prompt_tokens);
            self.stats.prompt_tokens += generation.prompt_tokens;
            self.stats.cached_tokens += cached;
            let prefill_us = (generation.prompt_tokens - cached) * options.prefill_us;
            self.running.push(Running {
                generation,
                prefill_us,
                paused_until: None,
            });
        }
    }

    /// Records the end of a generation. Drops ended generations, oldest first,
    /// while the retention of the oldest has expired or their number is at least
    /// 50,000.
    fn finish(&mut self, generation: &Arc<Generation>) {
        self.finished
            .push_back((Instant::now(), generation.id.clone()));
        while let Some((at, _)) = self.finished.front() {
            if at.elapsed() < FINISHED_RETENTION && self.finished.len() < 50_000 {
                break;
            }
            if let Some((_, id)) = self.finished.pop_front() {
                self.by_id.remove(&id);
            }
        }
    }
}
