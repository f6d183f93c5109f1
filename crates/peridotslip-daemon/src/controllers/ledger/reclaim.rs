//! Freeing the grants of routers that have ended without a planned stop.

use std::{sync::Arc, time::Duration};

use peridotslip::reclaim::{GrantReclaimer, holder_liveness};

use super::{DirectTransport, Result, via_writer::writer_key};
use crate::{
    clock,
    controllers::members::{MembersHandle, View},
    metrics::Metrics,
    settings::LedgerSettings,
};

/// Time between two looks at the records that this router writes, in
/// milliseconds.
const LOOK_MS: u64 = 2_000;

/// Looks for holders that have ended and frees their grants, forever.
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
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let view = members.view();
        let mut in_doubt = 0;
        for (shard, reclaimer) in (0..settings.shards).zip(&mut reclaimers) {
            let mine = view
                .owner(&writer_key(shard))
                .is_some_and(|node| node.address == view.local.address);
            if mine {
                let look = look(shard, &view, &direct_transport, reclaimer, hold_ms);
                in_doubt += look.await.unwrap_or_default();
            }
        }
        metrics.gauges.in_doubt_tokens.set(in_doubt);
    }
}

/// Looks at one shard and returns the tokens that stay in doubt.
async fn look(
    shard: u16,
    view: &View,
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
        let liveness = holder_liveness(holder.incarnation, live, view.lists(&holder.address));
        let now_ms = clock::monotonic_ms();
        if reclaimer.observe(holder.incarnation, liveness, hold_ms, now_ms) {
            log::info!(
                shard = shard,
                tokens = holder.tokens,
                address = holder.address.as_str();
                "grants of an ended router are free again"
            );
            direct_transport.release(shard, holder.incarnation).await?;
            reclaimer.forget(holder.incarnation);
            in_doubt -= holder.tokens;
        }
    }
    Ok(in_doubt)
}
