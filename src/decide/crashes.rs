//! Requests under which backend servers have ended, and which of them are withheld.
//!
//! A backend server that ends may have been ended by a request that it ran. Each node records such requests, by what is
//! the same in their repeats, and reports them to other nodes. Once [`CRASHES_MAX`] backend servers have ended under a request, no
//! node sends it on until [`WITHHOLD_MS`] have passed. The last of these attempts is made by one node, one at a time; see
//! `docs/design/crashes.md`.
//!
//! A request that a backend server has answered does not end backend servers, so the crashes under it no longer count.
//! A crash is inferred from a missing response, so it no longer counts either once the same start of the backend server has
//! announced itself again ([`UnsettledEnd`]).
//! A record is a set of crashes, each of which may be cleared, and records are merged by union. So a report may be late,
//! doubled or passed on.

use std::collections::HashMap;

use crate::core::member::NodeId;
use crate::core::request_digest::{HeadDigest, RequestDigest};

mod announced_start;
mod backend_life;
mod crash_set;
mod record;
mod unsettled;

pub use self::backend_life::BackendLife;
pub use self::crash_set::{CrashId, CrashSet};
pub use self::record::{CRASHES_KEPT, CrashRecord, ReportedCrash};
pub use self::unsettled::{SETTLED_AFTER_MS, UnsettledEnd};

/// Result of this module.
pub type Result<T, E = Withheld> = std::result::Result<T, E>;

/// Number of backend servers that may end under one request.
pub const CRASHES_MAX: usize = 3;
/// How long a request is withheld at first. Afterwards one attempt is made, and if another backend server ends, the
/// request is withheld for twice as long.
pub const WITHHOLD_MS: u64 = 60_000;
/// The longest time for which a request is withheld.
pub const WITHHOLD_MAX_MS: u64 = 3_600_000;
/// How long the crashes under a request are kept while they are fewer than [`CRASHES_MAX`].
pub const SUSPECT_KEEP_MS: u64 = 120_000;
/// How long a request under which a backend server has ended is withheld after an attempt that got no response by its
/// deadline.
pub const UNSETTLED_MS: u64 = 250;
/// Number of requests that are recorded.
pub const REQUESTS_MAX: usize = 4_096;
/// Number of crashes under a request from which on they are reported to all nodes, and not only to the one that collects the
/// reports.
const REPORT_TO_ALL_MIN: usize = 2;

/// Why a request is not sent on, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// Crashes under the request.
    pub crashes: CrashSet,
    /// Attempts of this node that run.
    pub running: u32,
    /// When an attempt may be made again.
    pub retry_after_ms: u64,
}

/// A change to be reported to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashUpdate {
    /// The request.
    pub request: RequestDigest,
    /// Everything that is known of the crashes under it.
    pub record: CrashRecord,
    /// Whether one node, which collects the reports on this request, suffices.
    pub to_collector: bool,
}

#[derive(Clone, Debug, Default)]
struct TrackedRequest {
    record: CrashRecord,
    /// Attempts of this node that run.
    running: u32,
    /// Backend servers that have ended under an attempt that was made after [`CRASHES_MAX`] had.
    ended_after_limit: u32,
    /// Time of the last crash.
    crashed_ms: u64,
    /// Until when it may turn out that the backend server of an attempt has ended.
    unsettled_until_ms: u64,
}

impl TrackedRequest {
    fn keep_ms(&self) -> u64 {
        match self.record.crashes.len() >= CRASHES_MAX {
            true => WITHHOLD_MAX_MS,
            false => SUSPECT_KEEP_MS,
        }
    }

    fn withhold_ms(&self) -> u64 {
        let doubled = WITHHOLD_MS.saturating_mul(2_u64.saturating_pow(self.ended_after_limit));
        doubled.min(WITHHOLD_MAX_MS)
    }

    fn is_kept(&self, now_ms: u64) -> bool {
        self.running > 0 || now_ms.saturating_sub(self.crashed_ms) < self.keep_ms()
    }

    /// Whether the time for which the request is withheld has passed.
    fn may_attempt(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.crashed_ms) >= self.withhold_ms()
    }
}

/// The requests under which backend servers have ended, as one node knows them. Times are milliseconds of any monotonic
/// clock.
#[derive(Debug)]
pub struct CrashBook {
    local: NodeId,
    requests: HashMap<RequestDigest, TrackedRequest>,
    /// Number of requests with the same head.
    heads: HashMap<HeadDigest, u32>,
    updates: Vec<CrashUpdate>,
}

impl CrashBook {
    /// Creates the book of the node `local`.
    pub fn new(local: NodeId) -> Self {
        Self {
            local,
            requests: HashMap::new(),
            heads: HashMap::new(),
            updates: Vec::new(),
        }
    }

    /// Whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests that are recorded.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether requests that differ from this one in their bodies at most are recorded.
    pub fn has_head(&self, head: HeadDigest) -> bool {
        self.heads.contains_key(&head)
    }

    /// The crashes that count under a request.
    pub fn crashes(&self, request: &RequestDigest) -> CrashSet {
        let tracked = self.requests.get(request);
        tracked.map_or_else(CrashSet::default, |tracked| tracked.record.crash_set())
    }

    /// Whether enough backend servers have ended under a request that no node sends it on.
    pub fn check_withheld(&self, now_ms: u64, request: &RequestDigest) -> Result<()> {
        let Some(tracked) = self.requests.get(request) else {
            return Ok(());
        };
        let is_withheld =
            tracked.record.crashes.len() >= CRASHES_MAX && !tracked.may_attempt(now_ms);
        match is_withheld {
            true => Err(withheld(now_ms, tracked, CrashSet::default())),
            false => Ok(()),
        }
    }

    /// Whether this node may send a request to a backend server. `inherited` are crashes that count under it beside its own:
    /// those under the request that made it.
    pub fn check(&self, now_ms: u64, request: &RequestDigest, inherited: CrashSet) -> Result<()> {
        let untracked = TrackedRequest {
            crashed_ms: now_ms,
            ..TrackedRequest::default()
        };
        let tracked = self.requests.get(request).unwrap_or(&untracked);
        let crashes = tracked.record.crash_set().union(inherited).len();
        let owner = tracked.record.last_attempt_owner();
        let is_owner = owner.is_none_or(|owner| owner == self.local);
        let is_allowed = match crashes {
            _ if now_ms < tracked.unsettled_until_ms => false,
            _ if crashes + 1 < CRASHES_MAX => true,
            _ if tracked.running > 0 || !is_owner => false,
            _ if crashes < CRASHES_MAX => true,
            _ => tracked.record.crashes.len() >= CRASHES_MAX && tracked.may_attempt(now_ms),
        };
        match is_allowed {
            true => Ok(()),
            false => Err(withheld(now_ms, tracked, inherited)),
        }
    }

    /// Like [`Self::check`], and counts the attempt as running until [`Self::end_attempt`]. Returns whether it is
    /// counted, which it is only if the request is recorded.
    pub fn begin_attempt(
        &mut self,
        now_ms: u64,
        request: &RequestDigest,
        inherited: CrashSet,
    ) -> Result<bool> {
        self.check(now_ms, request, inherited)?;
        let tracked = self.requests.get_mut(request);
        Ok(tracked.is_some_and(|tracked| {
            tracked.running += 1;
            true
        }))
    }

    /// Records that an attempt has ended that [`Self::begin_attempt`] counted.
    pub fn end_attempt(&mut self, request: &RequestDigest) {
        if let Some(tracked) = self.requests.get_mut(request) {
            tracked.running = tracked.running.saturating_sub(1);
        }
    }

    /// Records that an attempt has ended without a response at its deadline. If crashes count under the request, this may
    /// have been another one: its gate knows whether the backend server has fallen silent, and its report may be on its way.
    pub fn record_deadline(&mut self, now_ms: u64, request: &RequestDigest) {
        let tracked = self.requests.get_mut(request);
        if let Some(tracked) = tracked.filter(|tracked| !tracked.record.crashes.is_empty()) {
            tracked.unsettled_until_ms = now_ms + UNSETTLED_MS;
        }
    }

    /// Records that backend servers ended while they ran a request or its nested calls. Returns whether that was not known.
    pub fn record_crashes(
        &mut self,
        now_ms: u64,
        request: RequestDigest,
        crashes: CrashSet,
    ) -> bool {
        let reported_by = self.local;
        let crashes = crashes.iter().map(|id| ReportedCrash { id, reported_by });
        let tracked = self.track(now_ms, request);
        let mut changed = false;
        for crash in crashes {
            let was_withheld = tracked.record.crashes.len() >= CRASHES_MAX;
            let is_known = tracked.record.contains(crash.id);
            if was_withheld && !is_known && tracked.may_attempt(now_ms) {
                tracked.ended_after_limit += 1;
                tracked.crashed_ms = now_ms;
                changed = true;
            }
            if tracked.record.add(crash) {
                tracked.crashed_ms = now_ms;
                changed = true;
            }
        }
        if changed {
            self.queue_update(request);
        }
        changed
    }

    /// Records that a backend server has answered a request. Returns whether crashes under it no longer count.
    pub fn record_answer(&mut self, request: &RequestDigest) -> bool {
        let Some(tracked) = self.requests.get_mut(request) else {
            return false;
        };
        let ids: Vec<CrashId> = tracked.record.ids().collect();
        tracked.ended_after_limit = 0;
        tracked.unsettled_until_ms = 0;
        self.clear(request, &ids)
    }

    /// Clears crashes under a request that count, and queues a report of that. Returns whether there were any.
    fn clear(&mut self, request: &RequestDigest, ids: &[CrashId]) -> bool {
        let Some(tracked) = self.requests.get_mut(request) else {
            return false;
        };
        let before = tracked.record.crashes.len();
        for id in ids {
            if tracked.record.contains(*id) {
                tracked.record.clear(*id);
            }
        }
        let is_changed = tracked.record.crashes.len() < before;
        let known = tracked.record.crashes.len() + tracked.record.cleared.len();
        if is_changed {
            self.queue(*request, known < REPORT_TO_ALL_MIN);
        }
        is_changed
    }

    /// Merges what another node knows of the crashes under a request. Returns whether that changed anything.
    pub fn merge(&mut self, now_ms: u64, request: RequestDigest, received: &CrashRecord) -> bool {
        if received.crashes.is_empty() && received.cleared.is_empty() {
            return false;
        }
        let tracked = self.track(now_ms, request);
        let before = tracked.record.crashes.len();
        let mut changed = false;
        for id in &received.cleared {
            changed |= tracked.record.clear(*id);
        }
        for crash in &received.crashes {
            if tracked.record.add(*crash) {
                tracked.crashed_ms = now_ms;
                changed = true;
            }
        }
        let after = tracked.record.crashes.len();
        let mut ids = tracked.record.ids();
        let adds_up = ids.any(|id| !received.contains(id));
        // The reports of several nodes add up to what only this one knows.
        if after > before && adds_up && after >= REPORT_TO_ALL_MIN {
            drop(ids);
            self.queue_update(request);
        }
        changed
    }

    /// Takes the changes that have not been reported to other nodes yet.
    pub fn take_updates(&mut self) -> Vec<CrashUpdate> {
        std::mem::take(&mut self.updates)
    }

    fn track(&mut self, now_ms: u64, request: RequestDigest) -> &mut TrackedRequest {
        if !self.requests.contains_key(&request) {
            self.remove_expired(now_ms);
            while self.requests.len() >= REQUESTS_MAX {
                self.remove_least();
            }
            *self.heads.entry(request.head).or_default() += 1;
        }
        let tracked = self.requests.entry(request);
        tracked.or_insert_with(|| TrackedRequest {
            crashed_ms: now_ms,
            ..TrackedRequest::default()
        })
    }

    /// Removes the requests under which no backend server has ended lately.
    pub fn remove_expired(&mut self, now_ms: u64) {
        let expired = self.requests.iter().filter(|(_, t)| !t.is_kept(now_ms));
        let expired: Vec<RequestDigest> = expired.map(|(request, _)| *request).collect();
        for request in expired {
            self.remove(&request);
        }
    }

    /// Removes a request with the fewest crashes, of several the one whose last crash is the oldest.
    fn remove_least(&mut self) {
        let weight = |tracked: &TrackedRequest| (tracked.record.crashes.len(), tracked.crashed_ms);
        let least = self.requests.iter().min_by_key(|(_, t)| weight(t));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.remove(&request);
        }
    }

    fn remove(&mut self, request: &RequestDigest) {
        if self.requests.remove(request).is_none() {
            return;
        }
        if let Some(count) = self.heads.get_mut(&request.head) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&request.head);
            }
        }
    }

    fn queue_update(&mut self, request: RequestDigest) {
        let crashes = self.crashes(&request).len();
        self.queue(request, crashes < REPORT_TO_ALL_MIN);
    }

    fn queue(&mut self, request: RequestDigest, to_collector: bool) {
        if let Some(tracked) = self.requests.get(&request) {
            self.updates.push(CrashUpdate {
                request,
                record: tracked.record.clone(),
                to_collector,
            });
        }
    }
}

fn withheld(now_ms: u64, tracked: &TrackedRequest, inherited: CrashSet) -> Withheld {
    let crashes = tracked.record.crash_set().union(inherited);
    let wait_ms = match tracked.record.crashes.len() >= CRASHES_MAX {
        true => tracked.withhold_ms(),
        false => SUSPECT_KEEP_MS,
    };
    let passed_ms = now_ms.saturating_sub(tracked.crashed_ms);
    let retry_after_ms = match crashes.len() + 1 < CRASHES_MAX {
        true => tracked.unsettled_until_ms.saturating_sub(now_ms),
        false if tracked.may_be_refuted(now_ms) => SETTLED_AFTER_MS,
        false => wait_ms.saturating_sub(passed_ms),
    };
    Withheld {
        crashes,
        running: tracked.running,
        retry_after_ms,
    }
}
