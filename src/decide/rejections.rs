//! What the rejections of a backend server count for.
//!
//! A backend server rejects a request with the statement that it did not run it. Its gate observes when the statement comes
//! and which calls came before it, but not whether the request has begun. So the statement is no proof for a request that
//! must not run twice. It does show that the backend server does not accept all requests now: until it has accepted one
//! that may be repeated, its gate sends it none that must not run twice.

use crate::core::mechanism::{Mechanism, MechanismSwitches};

/// How long requests that must not run twice are withheld after a rejection, if the backend server gets no others. In
/// microseconds.
const WITHHOLD_MAX_US: u64 = 500_000;

/// Whether a rejection is proof that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionPolicy {
    /// Only of a request that may run twice.
    RepeatableOnly,
    /// Of any request, unless a rejection of the same backend server was contradicted.
    Believed,
}

impl RejectionPolicy {
    /// The policy of a node.
    pub fn from_switches(switches: MechanismSwitches) -> Self {
        match switches.is_enabled(Mechanism::OwnProof) {
            true => Self::RepeatableOnly,
            false => Self::Believed,
        }
    }
}

/// A request that its backend server rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedRequest {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the backend server has made calls for it, which contradicts that it did not run it.
    pub has_calls: bool,
}

/// Rejections of one backend server since its start. Times are microseconds of any monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rejections {
    is_contradicted: bool,
    /// The last rejection, if no request that was sent after it has been accepted.
    rejected_us: Option<u64>,
}

impl Rejections {
    /// Records a rejection. Returns whether it is proof that the request did not run.
    pub fn record(
        &mut self,
        now_us: u64,
        request: &RejectedRequest,
        policy: RejectionPolicy,
    ) -> bool {
        self.rejected_us = Some(now_us);
        self.is_contradicted |= request.has_calls;
        let counts = match policy {
            RejectionPolicy::RepeatableOnly => request.idempotent,
            RejectionPolicy::Believed => true,
        };
        counts && !self.is_contradicted
    }

    /// Records that the backend server ran a request that was sent at `sent_us`.
    pub fn record_accepted(&mut self, sent_us: u64) {
        self.rejected_us = self
            .rejected_us
            .filter(|rejected_us| sent_us <= *rejected_us);
    }

    /// For how much longer requests that must not run twice are withheld, in microseconds; `None` if they are not.
    pub fn withheld_us(&self, now_us: u64, policy: RejectionPolicy) -> Option<u64> {
        if policy == RejectionPolicy::Believed {
            return None;
        }
        let until_us = self.rejected_us? + WITHHOLD_MAX_US;
        until_us.checked_sub(now_us).filter(|left_us| *left_us > 0)
    }
}
