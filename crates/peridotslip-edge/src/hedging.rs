//! Carries out what [`Hedging`] decides on second attempts of slow requests.
//!
//! Without a share of extra work in the settings no state is kept.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use peridotslip::forwarding::{
    HedgeConditions, HedgeDenial, HedgeSource, HedgeWait, Hedging, RequestClass,
};

use crate::{
    context::{RequestContext, SharedState},
    hedge_pool::NearDue,
};

/// The result of asking for a second attempt.
pub(crate) type Result<T> = std::result::Result<T, HedgeDenial>;

impl SharedState {
    /// Runs `f` on the state of second attempts and the permitted extra work. Returns
    /// `None` if the settings permit none.
    pub(crate) fn with_hedging<T>(&self, f: impl FnOnce(&mut Hedging, f64) -> T) -> Option<T> {
        let extra_work = self.settings().hedging.extra_work;
        let mut hedging = self.hedging.lock().unwrap_or_else(PoisonError::into_inner);
        if extra_work > 0.0 {
            return Some(f(&mut hedging, extra_work));
        }
        if !hedging.is_empty() {
            hedging.clear();
        }
        None
    }
}

/// A second attempt that counts towards this router's share. Dropped before it is sent,
/// it is given back.
pub(crate) struct HedgePermit {
    shared: Arc<SharedState>,
    service: String,
    source: HedgeSource,
    sent: bool,
}

impl HedgePermit {
    /// Asks for a second attempt of a request.
    ///
    /// # Errors
    ///
    /// The reason if it is denied.
    pub(crate) fn ask(cx: &RequestContext, conditions: HedgeConditions) -> Result<Self> {
        let now_ms = cx.shared.clock.now_ms();
        let asked = cx.shared.with_hedging(|hedging, extra_work| {
            hedging.ask(&cx.service, conditions, extra_work, now_ms)?;
            Ok(hedging.source(&cx.service, extra_work, now_ms))
        });
        // The settings may have changed since the request was sent.
        let source = asked.unwrap_or(Err(HedgeDenial::ExtraWork))?;
        Ok(Self {
            shared: cx.shared.clone(),
            service: cx.service.clone(),
            source,
            sent: false,
        })
    }

    /// Returns which share the attempt was allowed by.
    pub(crate) fn source(&self) -> HedgeSource {
        self.source
    }

    /// Counts the attempt, which is about to be sent. Returns whether it may be.
    pub(crate) fn send(&mut self) -> bool {
        let now_ms = self.shared.clock.now_ms();
        let permitted = self.shared.with_hedging(|hedging, extra_work| {
            self.sent = true;
            hedging.send(&self.service, extra_work, now_ms)
        });
        permitted.unwrap_or(false)
    }
}

impl Drop for HedgePermit {
    fn drop(&mut self) {
        if !self.sent {
            self.shared
                .with_hedging(|hedging, _| hedging.release(&self.service));
        }
    }
}

/// Returns the class of a request that may get a second attempt; `None` if it must not.
pub(crate) fn class(cx: &RequestContext) -> Option<RequestClass<'_>> {
    let route = cx.route.as_ref()?;
    let eligible = route.is_retry_safe()
        && route.max_attempts > 1
        && cx.shared.settings().hedging.extra_work > 0.0;
    eligible.then_some(RequestClass {
        route: &route.name,
        service: &cx.service,
    })
}

/// Waits until a response to a request that has just been sent is slow. Never returns if
/// it is unknown how long such responses take.
pub(crate) async fn wait_slow(cx: &RequestContext, class: RequestClass<'_>) {
    let now_ms = cx.shared.clock.now_ms();
    let delay = cx
        .shared
        .with_hedging(|hedging, extra_work| hedging.delay(&class, extra_work, now_ms));
    let Some(delay) = delay.flatten() else {
        return std::future::pending().await;
    };
    let mut wait = HedgeWait::new(delay);
    let mut near_due = None;
    while let Some(step) = wait.next_step() {
        if near_due.is_none() && wait.is_ending() {
            near_due = Some(NearDue::enter(&cx.shared, &cx.service));
        }
        let started = Instant::now();
        tokio::time::sleep(step).await;
        wait.record_step(started.elapsed());
    }
    // A response that has arrived meanwhile is read first.
    tokio::task::yield_now().await;
}

/// Records how long the response to a first attempt took.
pub(crate) fn record_response(cx: &RequestContext, class: &RequestClass<'_>, time: Duration) {
    let now_ms = cx.shared.clock.now_ms();
    cx.shared
        .with_hedging(|hedging, _| hedging.record_response(class, time, now_ms));
}

/// Records that a first attempt was cancelled `time` after it was sent.
pub(crate) fn record_unanswered(cx: &RequestContext, class: &RequestClass<'_>, time: Duration) {
    let now_ms = cx.shared.clock.now_ms();
    cx.shared
        .with_hedging(|hedging, _| hedging.record_unanswered(class, time, now_ms));
}
