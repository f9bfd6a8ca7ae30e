//! Crashes that the announcements of the backend servers may refute.

use std::collections::BTreeMap;

use super::{CrashBook, CrashId, REPORT_TO_ALL_MIN, SUSPECT_KEEP_MS, TrackedRequest};
use crate::core::member::StartDigest;
use crate::core::request_digest::RequestDigest;

/// Time after the last crash under a request by which the announcements of backend servers that have not ended have
/// usually refuted it: several intervals between announcements, and the restart of a node.
pub const SETTLED_AFTER_MS: u64 = 10_000;

/// The end of a backend server, inferred from missing responses. It is refuted if the backend server, of the same
/// start, has announced itself since.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsettledEnd {
    /// The start that is taken for ended.
    pub start: StartDigest,
    /// The crashes that were inferred from it.
    pub crashes: Vec<CrashId>,
    /// When the last of them was recorded, or a later crash under the same request.
    pub recorded_ms: u64,
}

impl TrackedRequest {
    /// Whether a crash under the request is so recent that it may still be refuted.
    pub(super) fn may_be_refuted(&self, now_ms: u64) -> bool {
        let is_recent = now_ms.saturating_sub(self.crashed_ms) < SETTLED_AFTER_MS;
        is_recent && self.record.ids().any(|id| id.start().is_some())
    }
}

impl CrashBook {
    /// The inferred ends because of which requests are withheld or may be after one more.
    pub fn unsettled_ends(&self, now_ms: u64) -> Vec<UnsettledEnd> {
        let mut ends: BTreeMap<StartDigest, UnsettledEnd> = BTreeMap::new();
        let is_unsettled = |tracked: &&TrackedRequest| {
            let is_recent = now_ms.saturating_sub(tracked.crashed_ms) < SUSPECT_KEEP_MS;
            is_recent && tracked.record.crashes.len() >= REPORT_TO_ALL_MIN
        };
        for tracked in self.requests.values().filter(is_unsettled) {
            for id in tracked.record.ids() {
                let Some(start) = id.start() else { continue };
                let end = ends.entry(start).or_insert_with(|| UnsettledEnd {
                    start,
                    crashes: Vec::new(),
                    recorded_ms: tracked.crashed_ms,
                });
                end.recorded_ms = end.recorded_ms.max(tracked.crashed_ms);
                if !end.crashes.contains(&id) {
                    end.crashes.push(id);
                }
            }
        }
        ends.into_values().collect()
    }

    /// Records that a backend server was taken for ended and is not. Returns whether crashes under any request no longer
    /// count.
    pub fn refute(&mut self, end: &UnsettledEnd) -> bool {
        let counts = |tracked: &TrackedRequest| {
            let mut crashes = end.crashes.iter();
            crashes.any(|id| tracked.record.contains(*id))
        };
        let requests = self.requests.iter().filter(|(_, t)| counts(t));
        let requests: Vec<RequestDigest> = requests.map(|(request, _)| *request).collect();
        for request in &requests {
            self.clear(request, &end.crashes);
        }
        !requests.is_empty()
    }
}
