//! Continuous batching: which requests run and how fast.

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
    KEEP_FINISHED, ORPHAN_GRACE, Options,
    prefix_cache::{CacheEvent, PrefixCache},
};

/// A request to run.
pub(super) struct Work {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) priority: u8,
    pub(super) max_tokens: u64,
    pub(super) prompt: Bytes,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub(super) emitted: u64,
    pub(super) ended: bool,
    pub(super) cancelled: bool,
}

/// A request that runs or ran.
pub(super) struct Generation {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    length: u64,
    priority: u8,
    prompt: Bytes,
    progress: watch::Sender<Progress>,
    followers: AtomicUsize,
    alone_since: Mutex<Instant>,
}

/// Keeps a generation from being taken for an orphan.
pub(super) struct Follower(Arc<Generation>);

impl Follower {
    pub(super) fn generation(&self) -> &Generation {
        &self.0
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        *lock(&self.0.alone_since) = Instant::now();
        self.0.followers.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A stable number from a text.
fn number(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Generation {
    fn new(work: Work, full_length: bool) -> Self {
        let length = if full_length {
            work.max_tokens
        } else {
            1 + number(&work.id) % work.max_tokens.max(1)
        };
        Self {
            prompt_tokens: (work.prompt.len() as u64).div_ceil(4),
            max_tokens: work.max_tokens,
            length,
            priority: work.priority,
            id: work.id,
            model: work.model,
            prompt: work.prompt,
            progress: watch::Sender::default(),
            followers: AtomicUsize::new(0),
            alone_since: Mutex::new(Instant::now()),
        }
    }

    /// Token `i` of the answer; it names the request it belongs to.
    pub(super) fn word(&self, i: u64) -> String {
        format!("{}#{i} ", self.id)
    }

    pub(super) fn follow(self: &Arc<Self>) -> Follower {
        self.followers.fetch_add(1, Ordering::SeqCst);
        Follower(self.clone())
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Waits for more than `count` tokens, or the end.
    pub(super) async fn past(&self, count: u64) -> Progress {
        let mut rx = self.progress.subscribe();
        let more = |progress: &Progress| progress.emitted > count || progress.ended;
        rx.wait_for(more)
            .await
            .map(|found| *found)
            .unwrap_or_default()
    }

    pub(super) async fn ended(&self) -> Progress {
        self.past(u64::MAX).await
    }

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
        self.followers.load(Ordering::SeqCst) == 0
            && lock(&self.alone_since).elapsed() > ORPHAN_GRACE
    }
}

/// Totals for audits.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Stats {
    pub(super) started: u64,
    pub(super) joined: u64,
    pub(super) cancelled: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    pub(super) completion_tokens: u64,
}

struct Running {
    generation: Arc<Generation>,
    prefill_us: u64,
}

#[derive(Default)]
struct State {
    all: HashMap<String, Arc<Generation>>,
    finished: VecDeque<(Instant, String)>,
    waiting: Vec<Arc<Generation>>,
    running: Vec<Running>,
    loads: VecDeque<(Instant, usize, usize)>,
    cache: PrefixCache,
    stats: Stats,
}

/// The engine.
pub(super) struct Engine {
    options: Options,
    state: Mutex<State>,
    work: Notify,
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
            work: Notify::new(),
        });
        tokio::spawn(engine.clone().steps());
        engine
    }

    pub(super) fn submit(&self, work: Work) -> Arc<Generation> {
        let mut state = lock(&self.state);
        if let Some(known) = state.all.get(&work.id).cloned() {
            state.stats.joined += 1;
            return known;
        }
        let generation = Arc::new(Generation::new(work, self.options.full_length));
        state.all.insert(generation.id.clone(), generation.clone());
        state.stats.started += 1;
        if self.options.token_us == 0 {
            generation.emit(u64::MAX);
            state.stats.prompt_tokens += generation.prompt_tokens;
            state.stats.completion_tokens += generation.length;
            state.finish(&generation);
        } else {
            state.waiting.push(generation.clone());
            self.work.notify_one();
        }
        generation
    }

    pub(super) fn find(&self, id: &str) -> Option<Arc<Generation>> {
        lock(&self.state).all.get(id).cloned()
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

    /// Requests running and waiting, as of the report's lag ago.
    pub(super) fn reported_load(&self) -> (usize, usize) {
        let lag = Duration::from_millis(self.options.lag_ms);
        let state = lock(&self.state);
        let old = state
            .loads
            .iter()
            .rev()
            .find(|(at, ..)| at.elapsed() >= lag);
        old.map_or((0, 0), |(_, running, waiting)| (*running, *waiting))
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.options.lag_ms);
        lock(&self.state).cache.events(after, lag)
    }

    pub(super) fn stats(&self) -> Stats {
        lock(&self.state).stats.clone()
    }

    /// Runs one step after another: a token for each running request.
    async fn steps(self: Arc<Self>) {
        loop {
            let busy = self.step();
            if busy {
                tokio::time::sleep(Duration::from_micros(self.options.token_us)).await;
            } else {
                let idle = Duration::from_millis(100);
                let _ = tokio::time::timeout(idle, self.work.notified()).await;
            }
        }
    }

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
        state.loads.push_back((Instant::now(), running, waiting));
        while state.loads.len() > 4096 {
            state.loads.pop_front();
        }
        running + waiting > 0
    }
}

impl State {
    /// Moves the most urgent waiting requests into the batch.
    fn admit(&mut self, options: &Options) {
        self.waiting.sort_by_key(|generation| generation.priority);
        while self.running.len() < options.batch && !self.waiting.is_empty() {
            let generation = self.waiting.remove(0);
            let cached = self
                .cache
                .read(&generation.prompt)
                .min(generation.prompt_tokens);
            self.stats.prompt_tokens += generation.prompt_tokens;
            self.stats.cached_tokens += cached;
            let prefill_us = (generation.prompt_tokens - cached) * options.prefill_us;
            self.running.push(Running {
                generation,
                prefill_us,
            });
        }
    }

    fn finish(&mut self, generation: &Arc<Generation>) {
        self.finished
            .push_back((Instant::now(), generation.id.clone()));
        while let Some((at, _)) = self.finished.front() {
            if at.elapsed() < KEEP_FINISHED && self.finished.len() < 50_000 {
                break;
            }
            if let Some((_, id)) = self.finished.pop_front() {
                self.all.remove(&id);
            }
        }
    }
}
