//! Reads the accepted head and the content of versions from the platform's store.

use std::time::Instant;

use crate::core::version::{Stamp, Version};
use crate::distribution::{Content, DeltaStep, Offer};
use crate::ops::query::accepted;
use crate::store::http::HttpStore;
use crate::store::rows::VersionRow;
use crate::util::clock;

/// Most versions that are read as a chain of deltas instead of a snapshot; enough for a burst of publications.
const MAX_DELTA_CHAIN: usize = 4;

/// Reads the stamp of the accepted head, nothing if the read fails; also returns how long the read took, in
/// milliseconds.
pub(crate) async fn read_head(store: &HttpStore) -> (Option<Stamp>, u64) {
    let started = Instant::now();
    let head = accepted::head(store).await;
    if let Err(error) = &head {
        log::debug!(error:%; "cannot read the head from the store");
    }
    let result = if head.is_ok() { "read" } else { "failed" };
    metrics::counter!("dragonflywall_head_reads_total", "result" => result).increment(1);
    (head.ok().map(|head| head.stamp), clock::since_ms(started))
}

/// Reads the content of `wanted`: the deltas since `held` if there are at most [`MAX_DELTA_CHAIN`], else the
/// snapshot. The age of the offer is 0, because the time of acceptance is not known here.
pub(crate) async fn read_offer(store: &HttpStore, held: Stamp, wanted: Stamp) -> Option<Offer> {
    let newest = accepted::version_row(store, wanted.version).await.ok()?;
    let stamp = newest.stamp;
    let snapshot = newest.snapshot_object;
    let steps = match rows_since(store, held, newest).await {
        Some(rows) => read_deltas(store, &rows).await?,
        None => Vec::new(),
    };
    let content = match steps.len() {
        0 => Content::Snapshot(accepted::object(store, &snapshot).await.ok()?),
        1 => Content::Delta(steps.into_iter().next()?.delta),
        _ => Content::Chain(steps),
    };
    Some(Offer {
        stamp,
        content,
        age_ms: 0,
    })
}

/// Reads the version rows after `held` up to `newest`, oldest first. Returns nothing if no version is held, if
/// there are more than [`MAX_DELTA_CHAIN`] rows, or if their parents do not lead back to `held`.
async fn rows_since(store: &HttpStore, held: Stamp, newest: VersionRow) -> Option<Vec<VersionRow>> {
    let behind = newest.stamp.version.0.checked_sub(held.version.0)?;
    if held.version == Version::NONE || behind > MAX_DELTA_CHAIN as u64 {
        return None;
    }
    let mut rows = vec![newest];
    while let Some(oldest) = rows.last()
        && oldest.parent != held
    {
        let parent = oldest.parent.version;
        if parent <= held.version {
            return None;
        }
        rows.push(accepted::version_row(store, parent).await.ok()?);
    }
    rows.reverse();
    Some(rows)
}

async fn read_deltas(store: &HttpStore, rows: &[VersionRow]) -> Option<Vec<DeltaStep>> {
    let mut steps = Vec::with_capacity(rows.len());
    for row in rows {
        let delta = accepted::object(store, &row.delta_object).await.ok()?;
        let stamp = row.stamp;
        steps.push(DeltaStep { stamp, delta });
    }
    Some(steps)
}
