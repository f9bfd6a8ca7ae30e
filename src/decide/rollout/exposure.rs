//! Limits the share of requests that one entry node sends to a candidate version.
//!
//! Each entry node keeps the limit over its own requests, so it holds for all of them together without
//! any exchange between them. A restarted process begins without credit.

use super::policy::Stage;

/// Parts of one request in which credit is counted.
const CREDIT_PER_REQUEST: u64 = 10_000;

/// Credit that an entry node can hold: a few requests, so that a quiet period is not followed by a burst
/// of requests to the candidate.
const CREDIT_MAX: u64 = 4 * CREDIT_PER_REQUEST;

/// Share of the exposure limit that a trial uses, in percent. The rest is for attempts that reach an
/// endpoint without being answered, and for requests sent while a condemnation spreads.
const TRIAL_SHARE_OF_LIMIT_PERCENT: u64 = 90;

/// Share of the requests that a candidate gets in its trial, in percent.
pub fn trial_percent(limit_percent: u32) -> u32 {
    (u64::from(limit_percent) * TRIAL_SHARE_OF_LIMIT_PERCENT / 100) as u32
}

/// Requests that an entry node may send to the candidate of one service. Every answered request of the
/// service adds a share of one, every attempt at an endpoint of the candidate takes a whole one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExposureCredit {
    order_revision: u64,
    credit: u64,
}

impl ExposureCredit {
    /// Adds the share of one answered request. `limit_percent` is the share of the requests that a
    /// version not known to be good may get.
    pub fn deposit(&mut self, order_revision: u64, stage: Stage, limit_percent: u32) {
        self.start_order(order_revision);
        let share = match stage {
            Stage::Pending => 0,
            Stage::Trial => u64::from(limit_percent) * TRIAL_SHARE_OF_LIMIT_PERCENT,
            Stage::Shift { percent } => u64::from(percent) * CREDIT_PER_REQUEST / 100,
            Stage::Settle => CREDIT_PER_REQUEST,
        };
        self.credit = (self.credit + share).min(CREDIT_MAX);
    }

    /// Takes the credit for one attempt; returns whether there was enough.
    pub fn take(&mut self, order_revision: u64) -> bool {
        self.start_order(order_revision);
        let enough = self.credit >= CREDIT_PER_REQUEST;
        if enough {
            self.credit -= CREDIT_PER_REQUEST;
        }
        enough
    }

    /// Returns the credit of an attempt that is proved not to have reached the backend server.
    pub fn put_back(&mut self, order_revision: u64) {
        if self.order_revision == order_revision {
            self.credit = (self.credit + CREDIT_PER_REQUEST).min(CREDIT_MAX);
        }
    }

    /// Credit that was earned under another order is void.
    fn start_order(&mut self, order_revision: u64) {
        if self.order_revision != order_revision {
            *self = Self {
                order_revision,
                credit: 0,
            };
        }
    }
}

/// Failure rate of a candidate that an entry node accepts, and one from which it is bad. They are far
/// apart, because an entry node sees few responses of the candidate.
const ACCEPTED_FAILURE_RATE: f64 = 0.05;
const BAD_FAILURE_RATE: f64 = 0.5;
/// Sum of log likelihood ratios from which the entry node stops: four failures in succession.
const SUSPENDED_FROM: f64 = 9.0;

/// Lets an entry node stop sending requests to a candidate that fails, before the coordinator condemns
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CandidateGuard {
    order_revision: u64,
    sum: f64,
    suspended: bool,
}

impl CandidateGuard {
    /// Records how an attempt at an endpoint of the candidate ended. Returns true if it suspends the
    /// candidate.
    pub fn record(&mut self, order_revision: u64, failed: bool) -> bool {
        if self.order_revision != order_revision {
            *self = Self {
                order_revision,
                ..Self::default()
            };
        }
        let ratio = match failed {
            true => BAD_FAILURE_RATE / ACCEPTED_FAILURE_RATE,
            false => (1.0 - BAD_FAILURE_RATE) / (1.0 - ACCEPTED_FAILURE_RATE),
        };
        self.sum = (self.sum + ratio.ln()).max(0.0);
        let is_new = self.sum >= SUSPENDED_FROM && !self.suspended;
        self.suspended |= is_new;
        is_new
    }

    /// Whether the candidate of this order is suspended.
    pub fn is_suspended(&self, order_revision: u64) -> bool {
        self.suspended && self.order_revision == order_revision
    }
}
