//! Reclaims the grants of routers that ended without a graceful shutdown.

use std::{sync::Arc, time::Duration};

use peridotslip::reclaim::{GrantReclaimer, holder_liveness};

use super::{DirectTransport, Result, via_writer::writer_key};
use crate::{
    clock,
    controllers::members::{MembersHandle, MembershipView},
    metrics::Metrics,
    settings::LedgerSettings,
};

/// Interval between checks of the records that this router writes, in
/// milliseconds.
const CHECK_INTERVAL_MS: u64 = 2_000;

/// Checks periodically for ended holders and reclaims their grants. Never
/// returns.
pub(crate) async fn reclaim_ended_grants(
    settings: LedgerSettings,
    members: MembersHandle,
    direct_transport: Arc<DirectTransport>,
    metrics: Arc<Metrics>,
) {
    let hold_ms = settings.in_doubt_hold_s * 1_000;
    let mut reclaimers: Vec<GrantReclaimer> =
        vec![GrantReclaimer::default(); usize::from(settings.shards)];
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let view = members.view();
        let mut in_doubt = 0;
        for (shard, reclaimer) in (0..settings.shards).zip(&mut reclaimers) {
            let is_writer = view
                .owner(&writer_key(shard))
                .is_some_and(|node| node.address == view.local.address);
            if is_writer {
                let remaining =
                    reclaim_in_shard(shard, &view, &direct_transport, reclaimer, hold_ms);
                in_doubt += remaining.await.unwrap_or_default();
            }
        }
        metrics.gauges.in_doubt_tokens.set(in_doubt);
    }
}

/// Reclaims the grants of ended holders in one shard. Returns the number of
/// tokens that remain in doubt: still granted to incarnations that are not live
/// in this router's view.
async fn reclaim_in_shard(
    shard: u16,
    view: &MembershipView,
    direct_transport: &DirectTransport,
    reclaimer: &mut GrantReclaimer,
    hold_ms: u64,
) -> Result<u64> {
    let mut in_doubt = 0;
    for holder in direct_transport.holders(shard).await? {
        let live = view.incarnation_at(&holder.address);
        if live == Some(holder.incarnation) {
            continue;
        }
        in_doubt += holder.tokens;
        let liveness = holder_liveness(holder.incarnation, live, view.is_listed(&holder.address));
        let now_ms = clock::monotonic_ms();
        if reclaimer.observe(holder.incarnation, liveness, hold_ms, now_ms) {
            log::info!(
                shard = shard,
                tokens = holder.tokens,
                address = holder.address.as_str();
                "router has ended; reclaiming its grants"
            );
            direct_transport.release(shard, holder.incarnation).await?;
            reclaimer.forget(holder.incarnation);
            in_doubt -= holder.tokens;
        }
    }
    Ok(in_doubt)
}
