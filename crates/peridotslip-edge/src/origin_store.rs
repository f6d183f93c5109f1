//! Writes to the store where streams began, and reads it for resumptions that no router
//! can prove; see [`peridotslip::forwarding::StoredOrigins`].
//!
//! Each router hands its records to the writer of its data centre: the first of its relays
//! that accepts them. Two writers at the same time do no harm, because each has keys of
//! its own.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use peridotslip::{
    forwarding::{
        OriginKey, OriginQueue, OriginRecord, OriginRing, StoredOrigins, StreamOrigin,
        VersionSightings, encode_origins,
    },
    relay::RELAYS_PER_DATA_CENTRE,
};
use tokio::{
    sync::{Notify, OwnedMutexGuard},
    time::Instant,
};

use crate::{
    budgets::PeerRequest,
    clock::Clock,
    context::{RequestContext, SharedState},
    peers::RouterInstance,
    ports::{StoreError, StoreResult},
};

/// Prefix of the keys. The writer's VM and the place in its ring follow.
const PREFIX: &str = "peridotslip/origins/";
/// How long a router collects records before it hands them over, in milliseconds. Much
/// less than the usual interval between two writes, to which it adds.
const COLLECT_MS: u64 = 100;
/// Pause after no writer has accepted records, in milliseconds.
const RETRY_MS: u64 = 500;
/// Longest wait for a writer's reply, in milliseconds.
const WRITER_TIMEOUT_MS: u64 = 250;
/// Interval between two checks whether records are to be written, in milliseconds.
const SETTING_POLL_MS: u64 = 1_000;
/// Shortest interval between two listings of the records, in milliseconds.
const LISTING_INTERVAL_MS: u64 = 1_000;
/// Longest time that a resumption waits for records, in milliseconds: the interval between
/// two listings, and a listing over a small VM's link.
const FIND_TIMEOUT_MS: u64 = 2_500;
/// How long the records of a listing are kept, in milliseconds.
const KEEP_LISTING_MS: u64 = 60_000;

/// What a router has read from the store.
#[derive(Default)]
struct Found {
    origins: StoredOrigins,
    /// When the last listing was sent.
    sent: Option<Instant>,
    /// When the last listing was sent that has ended, with a reply or an error.
    ended: Option<Instant>,
}

/// The records of streams' origins on their way to and from the store.
#[derive(Default)]
pub(crate) struct OriginStore {
    sightings: Mutex<VersionSightings>,
    /// Records of this router that no writer has yet.
    own: Mutex<OriginQueue>,
    /// Records that this router has to write.
    accepted: Mutex<OriginQueue>,
    /// Notified when `own` has a new record.
    added: Notify,
    found: Mutex<Found>,
    /// Held while the records are listed for all resumptions that wait.
    listing: Arc<tokio::sync::Mutex<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn interval_ms(shared: &SharedState) -> u64 {
    shared.settings().origins.store_interval_ms
}

/// Records which versions of a service have servers. Returns whether several serve, or
/// did so within the life of a stream.
fn observe_versions(shared: &SharedState, service: &str) -> bool {
    let now_ms = shared.clock.now_ms();
    let mut sightings = lock(&shared.origin_store.sightings);
    let placement = shared.placement();
    sightings.observe(service, placement.versions(service), now_ms);
    drop(placement);
    // Streams may begin at any version of a service that has had several.
    let permitted = if shared.origins.has_several_versions(service) {
        sightings.versions(service)
    } else {
        shared.origins.versions(service)
    };
    sightings.several_serve(service, &permitted, now_ms)
}

/// Adds the origin of a stream that this router has begun and forwards, if it is to be
/// written to the store.
pub(crate) fn add(shared: &SharedState, id: &str, origin: StreamOrigin) {
    if interval_ms(shared) == 0 || !observe_versions(shared, &origin.service) {
        return;
    }
    let key = OriginKey::of(id);
    push(
        shared,
        &shared.origin_store.own,
        OriginRecord { key, origin },
    );
    shared.origin_store.added.notify_one();
}

fn push(shared: &SharedState, queue: &Mutex<OriginQueue>, record: OriginRecord) {
    if !lock(queue).push(record, shared.clock.now_ms()) {
        shared.metrics.record_origins("dropped", 1);
    }
}

/// Takes over records to be written. Returns `false` if another router has to write them.
pub(crate) fn accept(shared: &SharedState, records: &[OriginRecord]) -> bool {
    let may_write = interval_ms(shared) > 0
        && !shared.is_stopping()
        && shared.store_availability.is_available();
    if may_write {
        for record in records {
            push(shared, &shared.origin_store.accepted, record.clone());
        }
    }
    may_write
}

/// Hands this router's records to the writer of its data centre until the process ends.
pub(crate) async fn hand_over_records(shared: Arc<SharedState>) {
    let own = &shared.origin_store.own;
    let mut accepted = true;
    loop {
        shared.origin_store.added.notified().await;
        while !lock(own).is_empty() {
            tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
            accepted = hand_over(&shared, !accepted).await;
            if !accepted {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Hands records to the first writer that accepts them. Returns `false` if none does.
/// `asks_first`: whether a call without records precedes, so that in an outage of the store
/// the records don't load the writers' links.
async fn hand_over(shared: &SharedState, asks_first: bool) -> bool {
    let batch = lock(&shared.origin_store.own).take(shared.clock.now_ms());
    if batch.is_empty() {
        return true;
    }
    let records: Vec<OriginRecord> = batch.iter().map(|queued| queued.record.clone()).collect();
    for writer in writers(shared) {
        if asks_first && !offer(shared, &writer, &[]).await {
            continue;
        }
        if offer(shared, &writer, &records).await {
            return true;
        }
    }
    let dropped = lock(&shared.origin_store.own).put_back(batch);
    shared.metrics.record_origins("dropped", dropped);
    false
}

/// Offers records to a writer. Returns whether it accepts them.
async fn offer(shared: &SharedState, writer: &RouterInstance, records: &[OriginRecord]) -> bool {
    if writer == shared.peers.local() {
        return accept(shared, records);
    }
    let request = PeerRequest::StoreOrigins(records.to_vec());
    let timeout = Duration::from_millis(WRITER_TIMEOUT_MS);
    shared.peers.call(writer, &request, timeout).await == Ok(true)
}

/// Returns the routers of this data centre that may write, in the order in which they are
/// asked. All routers that reach the same ones determine them alike.
fn writers(shared: &SharedState) -> Vec<RouterInstance> {
    let peers = &shared.peers;
    let candidates = peers.relay_candidates();
    let routers = candidates.iter().filter_map(|candidate| {
        if candidate.incarnation == peers.local().incarnation {
            return Some(peers.local().clone());
        }
        peers.by_incarnation(candidate.incarnation)
    });
    routers
        .filter(RouterInstance::stores_origins)
        .take(RELAYS_PER_DATA_CENTRE)
        .collect()
}

/// Writes the records that this router has accepted until the process ends, in one call
/// for each interval with records.
pub(crate) async fn write_records(shared: Arc<SharedState>) {
    let mut ring = OriginRing::default();
    loop {
        let interval_ms = interval_ms(&shared);
        if interval_ms == 0 {
            tokio::time::sleep(Duration::from_millis(SETTING_POLL_MS)).await;
            continue;
        }
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        for service in shared.origins.services() {
            if shared.origins.has_several_versions(&service) {
                observe_versions(&shared, &service);
            }
        }
        forget_listing(&shared);
        if shared.store_availability.is_available() {
            write(&shared, &mut ring, interval_ms).await;
        } else {
            pass_on_accepted(&shared);
        }
    }
}

/// Has another router write what this one has accepted, while the store is unavailable to
/// this one.
fn pass_on_accepted(shared: &SharedState) {
    let store = &shared.origin_store;
    let batch = lock(&store.accepted).take(shared.clock.now_ms());
    if batch.is_empty() {
        return;
    }
    let dropped = lock(&store.own).put_back(batch);
    shared.metrics.record_origins("dropped", dropped);
    store.added.notify_one();
}

async fn write(shared: &SharedState, ring: &mut OriginRing, interval_ms: u64) {
    let store = &shared.origin_store;
    let batch = lock(&store.accepted).take(shared.clock.now_ms());
    if batch.is_empty() {
        return;
    }
    let unix_ms = Clock::unix_ms();
    let slot = ring.next_slot(unix_ms, interval_ms);
    let key = format!("{PREFIX}{}/{slot}", shared.peers.local().vm);
    let value = encode_origins(&batch, unix_ms);
    shared.metrics.store_call("origins");
    if let Err(err) = shared.platform.store.put(&key, &value).await {
        shared.metrics.store_failed();
        if matches!(err, StoreError::Rejected(_)) {
            log::error!(records = batch.len(), bytes = value.len(), reason = err.to_string().as_str(); "can't write where streams began; dropping the records");
            shared.metrics.record_origins("dropped", batch.len());
            return;
        }
        log::warn!(records = batch.len(), reason = err.to_string().as_str(); "can't write where streams began; trying again");
        let dropped = lock(&store.accepted).put_back(batch);
        shared.metrics.record_origins("dropped", dropped);
        return;
    }
    shared.metrics.record_origins("stored", batch.len());
}

/// Returns where the stream of attempt `id` began, as a record in the store says.
pub(crate) async fn find(cx: &RequestContext, id: &str) -> Option<StreamOrigin> {
    let shared = &cx.shared;
    if interval_ms(shared) == 0 {
        return None;
    }
    let limit = Duration::from_millis(FIND_TIMEOUT_MS).min(cx.time_remaining());
    let found = tokio::time::timeout(limit, find_by_key(shared, OriginKey::of(id))).await;
    found.ok().flatten()
}

/// Looks a stream up in a listing that has it, or in the first one that is sent after the
/// call.
async fn find_by_key(shared: &Arc<SharedState>, key: OriginKey) -> Option<StreamOrigin> {
    let store = &shared.origin_store;
    let asked = Instant::now();
    let known = || lock(&store.found).origins.find(key).cloned();
    if let Some(origin) = known() {
        return Some(origin);
    }
    let turn = store.listing.clone().lock_owned().await;
    // Another resumption may have listed the records meanwhile.
    let ended = lock(&store.found).ended;
    if let Some(origin) = known() {
        return Some(origin);
    }
    if ended >= Some(asked) || !shared.store_availability.is_available() {
        return None;
    }
    let sent = lock(&store.found).sent;
    if let Some(sent) = sent {
        tokio::time::sleep_until(sent + Duration::from_millis(LISTING_INTERVAL_MS)).await;
    }
    // The listing goes on for the others if this resumption ends.
    let listing = tokio::spawn(read_records(shared.clone(), turn));
    listing.await.ok()?;
    known()
}

/// Reads all records. Holds `_turn` meanwhile.
async fn read_records(shared: Arc<SharedState>, _turn: OwnedMutexGuard<()>) {
    let store = &shared.origin_store;
    let sent = Instant::now();
    lock(&store.found).sent = Some(sent);
    match list(&shared).await {
        Ok(origins) => {
            log::info!(records = origins.len(); "read from the store where streams began");
            lock(&store.found).origins = origins;
        }
        Err(err) => {
            shared.metrics.store_failed();
            log::warn!(reason = err.to_string().as_str(); "can't read where streams began");
        }
    }
    lock(&store.found).ended = Some(sent);
}

async fn list(shared: &SharedState) -> StoreResult<StoredOrigins> {
    shared.metrics.store_call("origins");
    let listing = shared.platform.store.list(PREFIX).await?;
    let values = listing.items.iter().map(|item| item.value.as_slice());
    Ok(StoredOrigins::read(values, Clock::unix_ms()))
}

/// Frees the memory of a listing whose streams have ended.
fn forget_listing(shared: &SharedState) {
    let mut found = lock(&shared.origin_store.found);
    let keep = Duration::from_millis(KEEP_LISTING_MS);
    if !found.origins.is_empty() && found.sent.is_some_and(|sent| sent.elapsed() >= keep) {
        found.origins = StoredOrigins::default();
    }
}
