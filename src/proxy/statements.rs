//! What the local backend server states about itself in its responses.

use std::time::Instant;

use http::header::HeaderMap;

use super::log_limiter::LogClass;
use super::slots;
use crate::core::backend_statement::{ReportedStatements, RequestRate, StatedLimit};
use crate::core::status::BackendStart;
use crate::decide::backend_statements::{BackendStatements, LimitChange, StatementChanges};
use crate::decide::rejections::Rejections;
use crate::proxy::state::{BackendEvent, ProxyState};
use crate::util::clock;

/// Statements of the local backend server since its start.
#[derive(Debug, Default)]
pub(crate) struct LocalStatements {
    /// The start that they are of; `None` if backend servers do not announce it.
    start: Option<BackendStart>,
    statements: BackendStatements,
}

impl LocalStatements {
    /// Removes the statements of an earlier start and returns them; `None` if the start is the same.
    fn set_start(&mut self, start: Option<&BackendStart>) -> Option<BackendStatements> {
        if self.start.as_ref() == start {
            return None;
        }
        let earlier = std::mem::replace(
            self,
            Self {
                start: start.cloned(),
                statements: BackendStatements::default(),
            },
        );
        Some(earlier.statements)
    }

    /// The statements in force as they are reported to other nodes; `None` if there are none.
    pub(crate) fn reported(&self) -> Option<ReportedStatements> {
        let reported = ReportedStatements {
            start: self.start.clone()?,
            limit: self.statements.limit(),
            leaving: self.statements.is_leaving(),
        };
        let has_any = reported.limit.is_some() || reported.leaving;
        has_any.then_some(reported)
    }

    /// The statements of the latest start.
    pub(crate) fn current(&self) -> &BackendStatements {
        &self.statements
    }
}

/// Makes the statements of an earlier start of the backend server ineffective.
pub(crate) fn begin_start(node: &ProxyState, start: Option<&BackendStart>) {
    let earlier = node.statements().set_start(start);
    if earlier.is_some() {
        *node.rejections() = Rejections::default();
    }
    if earlier.is_some_and(|earlier| earlier.limit().is_some()) {
        log::info!(start:?; "the rate limit of an earlier backend server no longer applies");
        record_limit_change("ended", f64::INFINITY);
        set_rate_limit(node, None);
    }
}

/// Records what a response says about the backend server. `start` is the start of the backend server that the request
/// was sent to, at `sent_at` or later.
pub(crate) fn record_response(
    node: &ProxyState,
    start: Option<&BackendStart>,
    sent_at: Instant,
    headers: &HeaderMap,
) {
    let statement = node.header_profile.statement(headers);
    if statement.limit == StatedLimit::Unreadable && node.log_limiter.may_log(LogClass::Notable) {
        log::warn!(start:?; "the backend server names a rate limit that cannot be read");
    }
    // Before its first announcement is applied, only health checks are sent to a backend server.
    if node.backend.load().is_none() {
        begin_start(node, start);
    }
    let changes = {
        let mut local = node.statements();
        if local.start.as_ref() != start {
            return;
        }
        let now_us = clock::since_us(node.started);
        let sent_us = clock::us_between(node.started, sent_at);
        local.statements.record(now_us, sent_us, &statement)
    };
    apply(node, start, changes);
}

/// Records what an entry node knows of the backend server's statements. This process may have started since.
pub(crate) fn record_reported(node: &ProxyState, reported: &ReportedStatements) {
    let start = Some(&reported.start);
    let changes = {
        let mut local = node.statements();
        if local.start.as_ref() != start {
            return;
        }
        let now_us = clock::since_us(node.started);
        let ReportedStatements { limit, leaving, .. } = *reported;
        local.statements.record_reported(now_us, limit, leaving)
    };
    apply(node, start, changes);
}

/// Counts a response that this entry node passes on to a caller, if it states anything.
pub(crate) fn count_forwarded(node: &ProxyState, headers: &HeaderMap) {
    let statement = node.header_profile.statement(headers);
    let stated = [
        ("rate-limit", statement.limit != StatedLimit::None),
        ("leaving", statement.leaving),
    ];
    for (what, _) in stated.into_iter().filter(|(_, is_stated)| *is_stated) {
        metrics::counter!("dragonflywall_forwarded_statements_total", "what" => what).increment(1);
    }
}

fn apply(node: &ProxyState, start: Option<&BackendStart>, changes: StatementChanges) {
    if let Some(change) = changes.limit {
        log_limit_change(start, change);
        set_rate_limit(node, change.limit_after());
    }
    if changes.started_leaving {
        metrics::counter!("dragonflywall_backend_leaving_total").increment(1);
        log::info!(start:?; "the backend server says that it leaves");
        node.close_gate();
        if let Some(start) = start {
            let event = BackendEvent::Leaving(start.clone());
            node.on_backend_event.call(event);
        }
    }
}

fn set_rate_limit(node: &ProxyState, limit: Option<RequestRate>) {
    let now_us = clock::since_us(node.started);
    node.admission().set_rate_limit(now_us, limit);
    slots::notify_queued(node);
}

fn log_limit_change(start: Option<&BackendStart>, change: LimitChange) {
    let (kind, per_s) = match change {
        LimitChange::Started { rate } => {
            log::warn!(start:?, per_s = rate.per_s(); "the backend server names a rate limit");
            ("started", rate.per_s())
        }
        LimitChange::Changed { from, to } => {
            log::info!(start:?, from_per_s = from.per_s(), per_s = to.per_s(); "the backend server names another rate limit");
            ("changed", to.per_s())
        }
        LimitChange::Ended { rate, duration_us } => {
            log::warn!(start:?, per_s = rate.per_s(), duration_ms = duration_us / 1_000; "the backend server names no rate limit any more");
            ("ended", f64::INFINITY)
        }
    };
    record_limit_change(kind, per_s);
}

fn record_limit_change(kind: &'static str, per_s: f64) {
    metrics::counter!("dragonflywall_backend_limit_changes_total", "change" => kind).increment(1);
    metrics::gauge!("dragonflywall_backend_limit_per_second").set(per_s);
}
