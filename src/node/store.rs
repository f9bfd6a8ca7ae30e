//! Reads of the head and of content from the platform, as a node makes them.

use std::time::Instant;

use crate::core::version::{Stamp, Version};
use crate::distribution::{Content, DeltaStep, Offer};
use crate::ops::query::accepted;
use crate::store::http::HttpStore;
use crate::store::rows::VersionRow;
use crate::util::clock;

/// Longest chain of deltas read from the store instead of the snapshot: publications in a burst.
const MAX_DELTA_CHAIN: usize = 4;

/// The accepted stamp, if the platform told it, and how long that took in milliseconds.
pub(crate) async fn read_head(store: &HttpStore) -> (Option<Stamp>, u64) {
    let started = Instant::now();
    let head = accepted::head(store).await;
    if let Err(error) = &head {
        log::debug!(error:%; "reading the head failed");
    }
    let result = if head.is_ok() { "read" } else { "failed" };
    metrics::counter!("dragonflywall_head_reads_total", "result" => result).increment(1);
    (head.ok().map(|head| head.stamp), clock::since_ms(started))
}

/// The content of `want`: the deltas from `held` where they are few, else the snapshot. Its age is not
/// known here.
pub(crate) async fn read_offer(store: &HttpStore, held: Stamp, want: Stamp) -> Option<Offer> {
    let newest = accepted::version_row(store, want.version).await.ok()?;
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

/// The rows from the one after `held` to `newest`, oldest first, if they are few.
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
