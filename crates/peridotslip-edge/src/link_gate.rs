//! Rejects requests that this router's link can't carry, before their bodies are read.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use peridotslip::{
    fair_share::Standing,
    link_admission::{AdmittedRequest, LinkAdmission, LinkBytes, LinkRequest, Sharer},
    rotation::Rotation,
};

use crate::{
    context::{Rejection, RequestContext, Result, SharedState},
    local_health::BYTES_PER_MS_AND_MBPS,
    reason::RejectionReason,
    shortage,
};

/// When callers retry a rejected request, in milliseconds. The retry reaches another
/// router, so it need not wait until this one has room; it is spread because many are
/// rejected at the same time.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 50..=200;
/// How long after the last rejection the router has room again.
const ROOM_AFTER: Duration = Duration::from_secs(1);
/// Interval between two checks whether the router has room again, in milliseconds.
const ROOM_POLL_MS: u64 = 200;
/// Interval between two decisions whether this router is in rotation, in milliseconds.
const ROTATION_INTERVAL_MS: u64 = 50;

/// What is admitted to this router's link.
#[derive(Default)]
pub(crate) struct LinkGate {
    admission: Mutex<LinkAdmission>,
    last_rejection: Mutex<Option<Instant>>,
    is_overloaded: AtomicBool,
    rotation: Mutex<Rotation>,
    is_out: AtomicBool,
}

impl LinkGate {
    /// Returns whether this router should get no new connections for now.
    pub(crate) fn is_out_of_rotation(&self) -> bool {
        self.is_out.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a count of bytes as the admission calculates with it.
#[allow(clippy::cast_precision_loss)]
fn as_bytes(count: usize) -> f64 {
    count as f64
}

/// Returns the bytes that callers' and servers' connections have moved since the process
/// started.
#[allow(clippy::cast_precision_loss)]
fn total_moved(shared: &SharedState) -> LinkBytes {
    let meter = &shared.health.meter;
    LinkBytes {
        received: meter.received() as f64,
        sent: meter.sent() as f64,
    }
}

/// Returns what callers' payload may use of the link in each direction, in bytes per
/// millisecond; `None` if it is not limited.
fn payload_rate(shared: &SharedState) -> Option<f64> {
    let settings = shared.settings();
    let rate = settings.vm_size.link_mbps * BYTES_PER_MS_AND_MBPS * settings.admission.link_share;
    (rate > 0.0).then_some(rate)
}

/// An admitted request. Its bytes are charged until it is dropped.
pub(crate) struct LinkTicket {
    shared: Arc<SharedState>,
    request: Mutex<AdmittedRequest>,
}

impl LinkTicket {
    /// Records bytes of the request's body that have been received.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.record(LinkBytes {
            received: as_bytes(bytes),
            sent: 0.0,
        });
    }

    /// Records bytes of the request's body that are sent to a server.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.record(LinkBytes {
            received: 0.0,
            sent: as_bytes(bytes),
        });
    }

    /// Records bytes of a response that have been received and go to the caller.
    pub(crate) fn record_response(&self, bytes: usize) {
        let mut admission = lock(&self.shared.link_gate.admission);
        admission.record_response(&mut lock(&self.request), as_bytes(bytes));
    }

    fn record(&self, bytes: LinkBytes) {
        let mut admission = lock(&self.shared.link_gate.admission);
        admission.record(&mut lock(&self.request), bytes);
    }
}

impl Drop for LinkTicket {
    fn drop(&mut self) {
        let mut admission = lock(&self.shared.link_gate.admission);
        admission.finish(&lock(&self.request));
    }
}

/// Admits a request whose route is known. Returns no ticket if the link is not limited.
///
/// # Errors
///
/// A [`Rejection`] if the link can't carry the request now.
pub(crate) fn admit(cx: &RequestContext) -> Result<Option<Arc<LinkTicket>>> {
    let shared = &cx.shared;
    let Some(rate) = payload_rate(shared) else {
        return Ok(None);
    };
    let Some(route) = &cx.route else {
        return Ok(None);
    };
    let organisation = cx.organisation.as_ref();
    let settings = shared.settings();
    let own_priority = organisation.and_then(|organisation| organisation.priority);
    let priority = own_priority.unwrap_or(route.priority);
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    // The bytes of a body without a length are charged as they arrive.
    // No more than the longest permitted body is read.
    let longest = cx.index.table().limits.max_body_bytes;
    let body_bytes = as_bytes(cx.declared_length().unwrap_or(0).min(longest));
    let now_ms = shared.clock.now_ms();
    let mut admission = lock(&shared.link_gate.admission);
    let request = LinkRequest {
        route: &route.name,
        priority,
        body_bytes,
        sharer: settings.admission.fair_shares.then(|| Sharer {
            organisation,
            weight: settings.admission.weight(organisation),
        }),
    };
    let admitted = admission.admit_shared(&request, rate, now_ms);
    if admitted.is_err() {
        admission.record_rejected_body(body_bytes);
    }
    drop(admission);
    let request = match admitted {
        Ok(request) => request,
        Err(standing) => {
            record_rejection(shared, rate);
            if settings.admission.fair_shares {
                let beyond_share = standing == Standing::Beyond;
                shortage::record(shared, "link", priority, organisation, beyond_share);
            }
            let after_ms = rand::random_range(RETRY_AFTER_MS);
            return Err(Rejection::after(RejectionReason::Overloaded, after_ms));
        }
    };
    Ok(Some(Arc::new(LinkTicket {
        shared: shared.clone(),
        request: Mutex::new(request),
    })))
}

/// Records a rejection. Logs when the router becomes overloaded and when it has room
/// again, each at most once in [`ROOM_AFTER`].
fn record_rejection(shared: &Arc<SharedState>, rate: f64) {
    let gate = &shared.link_gate;
    *lock(&gate.last_rejection) = Some(Instant::now());
    lock(&gate.rotation).record_rejection(shared.clock.now_ms());
    if gate.is_overloaded.swap(true, Ordering::Relaxed) {
        return;
    }
    let (received_percent, sent_percent) = use_percent(shared, rate);
    log::warn!(received_percent, sent_percent; "router is overloaded");
    let shared = shared.clone();
    tokio::spawn(async move {
        let gate = &shared.link_gate;
        while lock(&gate.last_rejection).is_some_and(|at| at.elapsed() < ROOM_AFTER) {
            tokio::time::sleep(Duration::from_millis(ROOM_POLL_MS)).await;
        }
        gate.is_overloaded.store(false, Ordering::Relaxed);
        let (received_percent, sent_percent) = use_percent(&shared, rate);
        log::info!(received_percent, sent_percent; "router has room again");
    });
}

/// Returns what admitted requests use of each direction's share.
fn use_percent(shared: &SharedState, rate: f64) -> (f64, f64) {
    let admission = lock(&shared.link_gate.admission);
    let used = admission.admitted_per_ms(shared.clock.now_ms());
    let percent = |bytes_per_ms: f64| (bytes_per_ms / rate * 100.0).round();
    (percent(used.received), percent(used.sent))
}

/// Records at intervals what the link has moved, and decides whether this router is in
/// rotation, until the process ends.
pub(crate) async fn watch_rotation(shared: Arc<SharedState>) {
    let gate = &shared.link_gate;
    let mut moved_before = total_moved(&shared);
    loop {
        let rate = payload_rate(&shared);
        let moved = total_moved(&shared);
        if let Some(rate) = rate {
            let added = LinkBytes {
                received: moved.received - moved_before.received,
                sent: moved.sent - moved_before.sent,
            };
            lock(&gate.admission).record_moved(added, rate, shared.clock.now_ms());
        }
        moved_before = moved;
        let used = rate.map_or(0.0, |rate| {
            let (received, sent) = use_percent(&shared, rate);
            received.max(sent) / 100.0
        });
        let is_out = lock(&gate.rotation).update(used, shared.clock.now_ms()) && rate.is_some();
        let was_out = gate.is_out.swap(is_out, Ordering::Relaxed);
        if is_out && !was_out {
            log::warn!("router goes out of rotation; readiness checks fail until it has room");
        } else if was_out && !is_out {
            log::info!(used; "router returns to rotation");
        }
        tokio::time::sleep(Duration::from_millis(ROTATION_INTERVAL_MS)).await;
    }
}
