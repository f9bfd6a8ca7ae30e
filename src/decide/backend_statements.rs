//! What a backend server has stated about itself, as far as it is in force.
//!
//! A backend server names a rate limit in its responses for as long as the limit holds. Responses may arrive in another
//! order than they were made in, and some may lack the header. So a limit ends or rises only by responses that were
//! certainly made after it was last named: those to requests that were sent after the response that named it had
//! arrived. It falls at once.

use crate::core::backend_statement::{BackendStatement, RequestRate, StatedLimit};

/// How long a limit holds at least after a response that named it, in microseconds.
const LIMIT_HOLD_MIN_US: u64 = 1_000_000;
/// Number of successive later responses without a limit that end one.
const RESPONSES_WITHOUT_LIMIT_MIN: u32 = 2;

/// A change of the limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// There was no limit before.
    Started {
        /// The limit.
        rate: RequestRate,
    },
    /// Another limit was in force before.
    Changed {
        /// The limit before.
        from: RequestRate,
        /// The limit.
        to: RequestRate,
    },
    /// There is no limit any more.
    Ended {
        /// The limit before.
        rate: RequestRate,
        /// How long there was a limit.
        duration_us: u64,
    },
}

impl LimitChange {
    /// The limit in force after the change.
    pub fn limit_after(self) -> Option<RequestRate> {
        match self {
            Self::Started { rate } | Self::Changed { to: rate, .. } => Some(rate),
            Self::Ended { .. } => None,
        }
    }
}

/// What a response changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatementChanges {
    /// Change of the limit in force.
    pub limit: Option<LimitChange>,
    /// Whether the backend server said for the first time that it leaves.
    pub started_leaving: bool,
}

/// A limit in force.
#[derive(Clone, Copy, Debug)]
struct LimitInForce {
    rate: RequestRate,
    /// When a limit was first named.
    started_us: u64,
    /// When `rate` was last named.
    rate_named_us: u64,
    /// When any limit was last named.
    named_us: u64,
    /// Later responses without a limit since then.
    responses_without: u32,
}

/// Statements of one start of a backend server. Times are microseconds of any monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendStatements {
    limit: Option<LimitInForce>,
    leaving: bool,
    /// Whether a response of the backend server has been recorded.
    has_response: bool,
}

impl BackendStatements {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// How long there has been a limit; `None` if there is none.
    pub fn limit_age_us(&self, now_us: u64) -> Option<u64> {
        let limit = self.limit.as_ref();
        limit.map(|limit| now_us.saturating_sub(limit.started_us))
    }

    /// Whether the backend server has said that it leaves. It never takes that back.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records what a response to a request that was sent at `sent_us` said.
    pub fn record(
        &mut self,
        now_us: u64,
        sent_us: u64,
        statement: &BackendStatement,
    ) -> StatementChanges {
        self.has_response = true;
        let started_leaving = self.record_leaving(statement.leaving);
        let limit = match statement.limit {
            StatedLimit::Rate(rate) => self.record_limit(now_us, sent_us, rate),
            StatedLimit::None => self.record_no_limit(now_us, sent_us),
            StatedLimit::Unreadable => None,
        };
        StatementChanges {
            limit,
            started_leaving,
        }
    }

    /// Records what another node knows from earlier responses.
    ///
    /// Its limit counts only until the first response, which is newer.
    pub fn record_reported(
        &mut self,
        now_us: u64,
        limit: Option<RequestRate>,
        leaving: bool,
    ) -> StatementChanges {
        let limit = limit.filter(|_| !self.has_response);
        StatementChanges {
            limit: limit.and_then(|rate| self.record_limit(now_us, 0, rate)),
            started_leaving: self.record_leaving(leaving),
        }
    }

    fn record_leaving(&mut self, leaving: bool) -> bool {
        let started_leaving = leaving && !self.leaving;
        self.leaving |= leaving;
        started_leaving
    }

    fn record_limit(
        &mut self,
        now_us: u64,
        sent_us: u64,
        rate: RequestRate,
    ) -> Option<LimitChange> {
        let Some(limit) = &mut self.limit else {
            self.limit = Some(LimitInForce {
                rate,
                started_us: now_us,
                rate_named_us: now_us,
                named_us: now_us,
                responses_without: 0,
            });
            return Some(LimitChange::Started { rate });
        };
        limit.named_us = now_us;
        limit.responses_without = 0;
        if rate > limit.rate && sent_us <= limit.rate_named_us {
            return None;
        }
        limit.rate_named_us = now_us;
        let from = std::mem::replace(&mut limit.rate, rate);
        (from != rate).then_some(LimitChange::Changed { from, to: rate })
    }

    fn record_no_limit(&mut self, now_us: u64, sent_us: u64) -> Option<LimitChange> {
        let limit = self.limit.as_mut()?;
        if sent_us <= limit.named_us {
            return None;
        }
        limit.responses_without += 1;
        let held_us = now_us.saturating_sub(limit.named_us);
        if limit.responses_without < RESPONSES_WITHOUT_LIMIT_MIN || held_us < LIMIT_HOLD_MIN_US {
            return None;
        }
        let ended = LimitChange::Ended {
            rate: limit.rate,
            duration_us: now_us.saturating_sub(limit.started_us),
        };
        self.limit = None;
        Some(ended)
    }
}
