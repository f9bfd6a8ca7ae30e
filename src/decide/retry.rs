//! Retries of failed requests, limited per request, per service and per call tree.
//!
//! A request may lead to nested calls, up to [`DEPTH_MAX`] levels deep. All calls of such a tree share
//! one retry budget, which the entry node of the first request sets. The entry node of a call is the
//! node at which it enters the mesh. It keeps one retry for itself and passes the rest downstream;
//! what is not spent is returned with the response. No retry is available at two places at once, so
//! the whole tree makes at most [`RETRIES_PER_TREE`] retries.

use std::collections::HashMap;

use crate::core::configuration::Treatment;
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::names::ServiceName;
use crate::core::verdict::Verdict;

/// Maximum depth of nested calls below the first request. A deeper call is refused, because it is
/// probably part of a loop.
pub const DEPTH_MAX: u32 = 7;

/// Retry budget of a call tree: one for each level. Without a common budget the attempts of all levels
/// would multiply.
pub const RETRIES_PER_TREE: u32 = 8;

/// Number of endpoints that are draining, or whose backend servers accept no connection, that a request may try without
/// spending an attempt. Such an endpoint receives nothing of the request.
const DRAINING_ENDPOINTS_MAX: u32 = 4;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint no longer accepts requests, or its backend server accepts no connection; the request provably did not
    /// run.
    Draining,
    /// The request provably did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

impl AttemptFailure {
    /// Returns the verdict on whether the request ran.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Draining | Self::NotRun => Verdict::NotRun,
            Self::MayHaveRun => Verdict::MayHaveRun,
        }
    }
}

/// Attempts that an entry node makes for one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    max_attempts: u32,
    idempotent: bool,
    attempts_made: u32,
    draining_endpoints: u32,
    budget: u32,
}

impl Attempts {
    /// Returns the state before the first attempt. `budget` is the number of retries that are left of
    /// the budget of the call tree.
    pub fn new(treatment: &Treatment, budget: u32) -> Self {
        Self {
            max_attempts: treatment.attempts,
            idempotent: treatment.idempotent,
            attempts_made: 0,
            draining_endpoints: 0,
            budget,
        }
    }

    /// Returns the number of retries that the next attempt passes downstream.
    pub fn downstream_budget(&self) -> u32 {
        self.budget.saturating_sub(1)
    }

    /// Returns the remaining budget after a response that returned `unspent` of the retries that were
    /// passed downstream.
    pub fn budget_after_response(&self, unspent: u32) -> u32 {
        self.budget.min(1) + unspent.min(self.downstream_budget())
    }

    /// Returns the remaining budget after a failure.
    pub fn budget_after_failure(&self) -> u32 {
        self.budget
    }

    /// Records a failed attempt, after which no retry is made.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::Draining => self.draining_endpoints += 1,
            AttemptFailure::NotRun => self.attempts_made += 1,
            AttemptFailure::MayHaveRun => {
                self.attempts_made += 1;
                // The retries that were passed downstream may have been spent there.
                self.budget = self.budget.min(1);
            }
        }
    }

    /// Decides whether to retry after a failed attempt, and takes the retry from the budgets if so.
    ///
    /// A retry needs an attempt left of the team's `attempts`, a retry in the budget of the call tree
    /// and a token of the service. A request that is not idempotent is retried only if it provably
    /// did not run.
    pub fn take_retry(&mut self, failure: AttemptFailure, tokens: &mut RetryTokens) -> bool {
        self.record_failure(failure);
        if failure == AttemptFailure::Draining {
            return self.draining_endpoints <= DRAINING_ENDPOINTS_MAX;
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

/// Token bucket for the retries of one entry node to one service. Each first attempt adds part of a
/// token, so that retries stay in proportion to requests and do not keep a failing service
/// overloaded. The reserve lets an entry node with few requests retry at all.
#[derive(Clone, Copy, Debug)]
pub struct RetryTokens {
    /// Tokens in the bucket, in hundredths of a token. A retry takes a whole token.
    hundredths: u32,
    policy: RetryPolicy,
}

/// Limits on the retries of one entry node to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Retries as a percentage of first attempts.
    pub percent: u32,
    /// Maximum number of saved retries, available for a burst of failures.
    pub reserve: u32,
    /// Whether retries need no tokens.
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

/// Reserve of an entry node if its settings give none, in retries.
const RESERVE_DEFAULT: u32 = 10;
/// Minimum reserve of an entry node: with less than one whole retry it would never retry.
const RESERVE_MIN: u32 = 1;

/// Share of the mesh-wide retry limits that the entry nodes use together. The rest covers retries that
/// no entry node counts: nested calls that a retried request repeats, and entry nodes that have
/// restarted with a full reserve.
const ENTRY_NODES_SHARE_NUMERATOR: u32 = 3;
const ENTRY_NODES_SHARE_DENOMINATOR: u32 = 4;

impl RetryPolicy {
    /// Returns the policy of one entry node: `percent` of first attempts, and its part of the
    /// `reserve` that all `entry_nodes` of the mesh share, if one is set. Entry nodes do not coordinate
    /// their retries, so each uses only its own part.
    pub fn for_entry_node(percent: u32, reserve: Option<u32>, entry_nodes: usize) -> Self {
        let Some(reserve) = reserve else {
            return Self {
                percent,
                reserve: RESERVE_DEFAULT,
                unlimited: false,
            };
        };
        let entry_nodes = u32::try_from(entry_nodes).unwrap_or(u32::MAX).max(1);
        let entry_nodes_share =
            |all: u32| all * ENTRY_NODES_SHARE_NUMERATOR / ENTRY_NODES_SHARE_DENOMINATOR;
        Self {
            percent: entry_nodes_share(percent),
            reserve: (entry_nodes_share(reserve) / entry_nodes).max(RESERVE_MIN),
            unlimited: false,
        }
    }

    /// Returns this policy without the mechanisms that `switches` disables: the saved retries, or any
    /// limit.
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

/// One token, in hundredths of a token.
const TOKEN_HUNDREDTHS: u32 = 100;

/// Retry tokens of each service that an entry node sends requests to.
#[derive(Clone, Debug, Default)]
pub struct ServiceTokens {
    policy: RetryPolicy,
    by_service: HashMap<ServiceName, RetryTokens>,
}

impl ServiceTokens {
    /// Changes the policy of all services. Tokens that are already in a bucket stay.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        for tokens in self.by_service.values_mut() {
            tokens.policy = policy;
        }
    }

    /// Returns the tokens of one service, with a full reserve at first use.
    pub fn for_service(&mut self, service: &ServiceName) -> &mut RetryTokens {
        // Avoids cloning the name except for the first request to a service.
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
    /// Returns a bucket with a full reserve.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            hundredths: policy.reserve * TOKEN_HUNDREDTHS,
            policy,
        }
    }

    /// Adds the part of a token that the policy grants for one first attempt.
    pub fn deposit(&mut self) {
        let max_hundredths = self.policy.reserve * TOKEN_HUNDREDTHS;
        self.hundredths = max_hundredths.min(self.hundredths + self.policy.percent);
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
