//! Whether a failed request is tried again, and how often a whole tree of calls may do so.
//!
//! One call may lead to others, up to [`DEPTH_MAX`] deep. All of them draw on one budget of
//! retries that the first entry sets: an entry keeps one retry for itself and passes the rest
//! down; what was not spent comes back with the answer. No part is ever in two hands, so the
//! tree as a whole retries at most [`RETRIES_PER_TREE`] times.

use std::collections::HashMap;

use crate::core::configuration::Treatment;
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::names::ServiceName;
use crate::core::verdict::Verdict;

/// Calls below the first one; a longer chain is taken for a loop.
pub const DEPTH_MAX: u32 = 7;

/// Retries of a whole tree of calls, one for each level; attempts of every level would multiply.
pub const RETRIES_PER_TREE: u32 = 8;

/// Endpoints that a request may find draining without using up an attempt. A planned stop is not
/// a failure, and no more than a few endpoints of a subset stop at one time.
const DRAINING_ENDPOINTS_MAX: u32 = 4;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint no longer takes work; proved not run.
    Draining,
    /// Proved not run.
    NotRun,
    /// May have run.
    MayHaveRun,
}

impl AttemptFailure {
    /// What it says of the request.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Draining | Self::NotRun => Verdict::NotRun,
            Self::MayHaveRun => Verdict::MayHaveRun,
        }
    }
}

/// The attempts of one request at its entry.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    max_attempts: u32,
    idempotent: bool,
    attempts_made: u32,
    draining_endpoints: u32,
    budget: u32,
}

impl Attempts {
    /// For a request of `treatment` with `budget` retries of its tree left.
    pub fn new(treatment: &Treatment, budget: u32) -> Self {
        Self {
            max_attempts: treatment.attempts,
            idempotent: treatment.idempotent,
            attempts_made: 0,
            draining_endpoints: 0,
            budget,
        }
    }

    /// Retries that the attempt about to be made may spend further down.
    pub fn downstream_budget(&self) -> u32 {
        self.budget.saturating_sub(1)
    }

    /// Retries left, when an answer came that reports `unspent` of those passed down.
    pub fn budget_after_response(&self, unspent: u32) -> u32 {
        self.budget.min(1) + unspent.min(self.downstream_budget())
    }

    /// Retries left after a failure.
    pub fn budget_after_failure(&self) -> u32 {
        self.budget
    }

    /// Whether an attempt that failed is to be made again: within the team's `attempts`, the budget of the tree and
    /// the tokens of the service, and for a non-idempotent request only with proof that it did not run.
    pub fn take_retry(&mut self, failure: AttemptFailure, tokens: &mut RetryTokens) -> bool {
        if failure == AttemptFailure::Draining {
            self.draining_endpoints += 1;
            return self.draining_endpoints <= DRAINING_ENDPOINTS_MAX;
        }
        self.attempts_made += 1;
        if failure == AttemptFailure::MayHaveRun {
            // What was passed down may have been spent there.
            self.budget = self.budget.min(1);
        }
        let allowed = failure.verdict() == Verdict::NotRun || self.idempotent;
        if !allowed || self.attempts_made >= self.max_attempts || self.budget == 0 || !tokens.take()
        {
            return false;
        }
        self.budget -= 1;
        true
    }
}

/// Retries that an entry may make for one service, in proportion to its first attempts, so that they do not keep
/// a failing service down. The reserve lets a quiet entry retry at all.
#[derive(Clone, Copy, Debug)]
pub struct RetryTokens {
    hundredths: u32,
    policy: RetryPolicy,
}

/// How many retries an entry may make for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Retries in percent of the first attempts.
    pub percent: u32,
    /// Retries that may be saved up for a bad moment.
    pub reserve: u32,
    /// Whether there is no limit.
    pub unlimited: bool,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            percent: 10,
            reserve: RESERVE_DEFAULT,
            unlimited: false,
        }
    }
}

/// Retries that an entry may save up where its settings do not say it.
const RESERVE_DEFAULT: u32 = 10;
/// An entry that could not save up a whole retry would never make one.
const RESERVE_MIN: u32 = 1;

/// Part of a bound on all retries of the mesh that its entries use together. The rest is for what no
/// entry counts: calls that a repeated request makes again, and entries that have restarted with a
/// full reserve.
const ENTRIES_SHARE_NUMERATOR: u32 = 3;
const ENTRIES_SHARE_DENOMINATOR: u32 = 4;

impl RetryPolicy {
    /// The share of one entry in what the settings allow: `percent` of first attempts, and a reserve that all
    /// `entries` of the mesh have together, if one is set. Entries do not talk before a retry, so each takes only its
    /// part.
    pub fn for_entry(percent: u32, reserve: Option<u32>, entries: usize) -> Self {
        let Some(reserve) = reserve else {
            return Self {
                percent,
                reserve: RESERVE_DEFAULT,
                unlimited: false,
            };
        };
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        let entries_share = |all: u32| all * ENTRIES_SHARE_NUMERATOR / ENTRIES_SHARE_DENOMINATOR;
        Self {
            percent: entries_share(percent),
            reserve: (entries_share(reserve) / entries).max(RESERVE_MIN),
            unlimited: false,
        }
    }

    /// The same with some mechanisms switched off.
    pub fn with_switches(self, switches: MechanismSwitches) -> Self {
        Self {
            reserve: match switches.is_enabled(Mechanism::RetryBurst) {
                true => self.reserve,
                false => RESERVE_MIN,
            },
            unlimited: !switches.is_enabled(Mechanism::RetryBudget),
            ..self
        }
    }
}

const TOKEN_HUNDREDTHS: u32 = 100;

/// The tokens of every service that an entry calls.
#[derive(Clone, Debug, Default)]
pub struct ServiceTokens {
    policy: RetryPolicy,
    by_service: HashMap<ServiceName, RetryTokens>,
}

impl ServiceTokens {
    /// Changes how many retries there are.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        for tokens in self.by_service.values_mut() {
            tokens.policy = policy;
        }
    }

    /// Tokens of one service.
    pub fn for_service(&mut self, service: &ServiceName) -> &mut RetryTokens {
        // The name is cloned for a service's first request only.
        if !self.by_service.contains_key(service) {
            let tokens = RetryTokens::new(self.policy);
            self.by_service.insert(service.clone(), tokens);
        }
        self.by_service.get_mut(service).expect("inserted above")
    }
}

impl Default for RetryTokens {
    fn default() -> Self {
        Self::new(RetryPolicy::default())
    }
}

impl RetryTokens {
    /// A full reserve.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            hundredths: policy.reserve * TOKEN_HUNDREDTHS,
            policy,
        }
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        let most = self.policy.reserve * TOKEN_HUNDREDTHS;
        self.hundredths = most.min(self.hundredths + self.policy.percent);
    }

    fn take(&mut self) -> bool {
        if self.policy.unlimited {
            return true;
        }
        let enough = self.hundredths >= TOKEN_HUNDREDTHS;
        if enough {
            self.hundredths -= TOKEN_HUNDREDTHS;
        }
        enough
    }
}
