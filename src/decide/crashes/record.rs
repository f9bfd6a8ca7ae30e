//! What is known of the crashes under one request.

use super::{CrashId, CrashSet};
use crate::core::member::NodeId;

/// Number of crashes that are kept for each request. It is above [`CRASHES_MAX`](super::CRASHES_MAX), because some of them
/// may be refuted.
pub const CRASHES_KEPT: usize = 8;
/// Number of cleared crashes that are kept for each request.
const CLEARED_MAX: usize = 2 * CRASHES_KEPT;

/// A crash, with the node that reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedCrash {
    /// Identifies the end of the backend server.
    pub id: CrashId,
    /// The node that first recorded it, as far as the reporting node knows.
    pub reported_by: NodeId,
}

/// What is known of the crashes under one request. Reports of nodes contain it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// Crashes that count, [`CRASHES_KEPT`] at most.
    pub crashes: Vec<ReportedCrash>,
    /// Crashes that do not count, because the request was answered or the backend server announced itself afterwards.
    pub cleared: Vec<CrashId>,
}

impl CrashRecord {
    /// The crashes that count, the first ones if there are many.
    pub fn crash_set(&self) -> CrashSet {
        self.ids().collect()
    }

    /// The crashes that count.
    pub(super) fn ids(&self) -> impl Iterator<Item = CrashId> {
        self.crashes.iter().map(|crash| crash.id)
    }

    pub(super) fn contains(&self, id: CrashId) -> bool {
        self.ids().any(|known| known == id)
    }

    pub(super) fn add(&mut self, crash: ReportedCrash) -> bool {
        let is_known = self.contains(crash.id) || self.cleared.contains(&crash.id);
        if is_known || self.crashes.len() >= CRASHES_KEPT {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    pub(super) fn clear(&mut self, id: CrashId) -> bool {
        if self.cleared.contains(&id) {
            return false;
        }
        self.crashes.retain(|crash| crash.id != id);
        if self.cleared.len() >= CLEARED_MAX {
            self.cleared.remove(0);
        }
        self.cleared.push(id);
        true
    }

    /// The node that may make the last attempt.
    pub(super) fn last_attempt_owner(&self) -> Option<NodeId> {
        self.crashes.iter().map(|crash| crash.reported_by).min()
    }
}
