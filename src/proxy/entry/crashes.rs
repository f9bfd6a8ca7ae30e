//! Withholds requests under which backend servers have ended; see [`crate::decide::crashes`].

use std::sync::Arc;

use super::routed_request::RoutedRequest;
use crate::core::mechanism::Mechanism;
use crate::core::request_digest::RequestDigest;
use crate::decide::crashes::{CrashBook, CrashSet, Withheld};
use crate::proxy::crashes;
use crate::proxy::failure::{Failure, Reason, Refusal};
use crate::proxy::headers;
use crate::proxy::log_limiter::LogClass;
use crate::proxy::promise::PassedResponse;
use crate::proxy::replay::ReplayableBody;
use crate::proxy::state::ProxyState;

/// An attempt that may be sent. While it exists, it counts as running.
pub(super) struct CheckedAttempt {
    /// The crashes that count under the request, for its nested calls.
    pub(super) crashes: CrashSet,
    counted: Option<(Arc<ProxyState>, RequestDigest)>,
}

impl Drop for CheckedAttempt {
    fn drop(&mut self) {
        if let Some((node, request)) = &self.counted {
            node.crashes().end_attempt(request);
        }
    }
}

/// Crashes before all of a request's body was read, which therefore count under all bodies of that length.
fn crashes_before_body(
    book: &CrashBook,
    request: &RequestDigest,
    body: &ReplayableBody,
) -> CrashSet {
    book.crashes(&request.with_body(body.length_digest()))
}

impl RoutedRequest<'_> {
    fn limits_crashes(&self) -> bool {
        let switches = self.node.mechanisms();
        switches.is_enabled(Mechanism::CrashLimit)
    }

    /// Crashes under the request that made this one, and under its other calls.
    fn inherited_crashes(&self) -> CrashSet {
        let parent = self.parent.as_ref();
        parent.map_or_else(CrashSet::default, |parent| parent.crashes())
    }

    /// Fails if the request is not to be sent on. Reads the body ahead, if requests that differ in their bodies at most
    /// have ended backend servers.
    pub(super) async fn check_first_attempt(&self, body: &ReplayableBody) -> Result<(), Refusal> {
        if !self.limits_crashes() {
            return Ok(());
        }
        if self.node.crashes().is_empty() && self.parent.is_none() {
            return Ok(());
        }
        let has_head = !body.is_empty() && self.node.crashes().has_head(self.head_digest());
        if has_head && !body.read_ahead().await {
            return Err(Reason::BadRequest.into());
        }
        self.check_attempt(body)
    }

    /// Whether another attempt may be sent, as far as crashes count.
    pub(super) fn check_attempt(&self, body: &ReplayableBody) -> Result<(), Refusal> {
        if !self.limits_crashes() {
            return Ok(());
        }
        let inherited = self.inherited_crashes();
        let Some(request) = self.suspect_digest(body, inherited) else {
            return Ok(());
        };
        let now_ms = self.node.uptime_ms();
        let checked = {
            let book = self.node.crashes();
            let inherited = inherited.union(crashes_before_body(&book, &request, body));
            book.check(now_ms, &request, inherited)
        };
        checked.map_err(|withheld| self.withhold(&request, withheld))
    }

    /// Begins an attempt. Fails if the request is not to be sent on.
    pub(super) fn begin_attempt(&self, body: &ReplayableBody) -> Result<CheckedAttempt, Refusal> {
        let inherited = self.inherited_crashes();
        let suspect = self.suspect_digest(body, inherited);
        let Some(request) = suspect.filter(|_| self.limits_crashes()) else {
            return Ok(CheckedAttempt {
                crashes: inherited,
                counted: None,
            });
        };
        let now_ms = self.node.uptime_ms();
        let mut book = self.node.crashes();
        let inherited = inherited.union(crashes_before_body(&book, &request, body));
        let begun = book.begin_attempt(now_ms, &request, inherited);
        let crashes = book.crashes(&request).union(inherited);
        drop(book);
        match begun {
            Ok(is_counted) => Ok(CheckedAttempt {
                crashes,
                counted: is_counted.then(|| (Arc::clone(self.node), request)),
            }),
            Err(withheld) => Err(self.withhold(&request, withheld)),
        }
    }

    /// The digest of the request, if crashes may count under it.
    fn suspect_digest(&self, body: &ReplayableBody, inherited: CrashSet) -> Option<RequestDigest> {
        let has_records = !self.node.crashes().is_empty();
        let has_head = has_records && self.node.crashes().has_head(self.head_digest());
        (has_head || !inherited.is_empty()).then(|| self.digest(body))
    }

    fn withhold(&self, request: &RequestDigest, withheld: Withheld) -> Refusal {
        metrics::counter!("dragonflywall_crash_requests_withheld_total").increment(1);
        if self.node.log_limiter.may_log(LogClass::Notable) {
            log::warn!(
                request_id = self.request_id(),
                request_digest:% = request,
                service:% = self.target.service,
                crashes = withheld.crashes.len(),
                running = withheld.running,
                retry_after_ms = withheld.retry_after_ms;
                "withheld a request under which backend servers ended"
            );
        }
        crashes::refusal_of(withheld)
    }

    /// Records what an attempt has shown: backend servers that ended while they ran the request or its nested calls, or a
    /// response, after which those that ended before no longer count.
    pub(super) fn record_attempt(
        &self,
        body: &ReplayableBody,
        result: &Result<PassedResponse, Failure>,
    ) {
        if !self.limits_crashes() {
            return;
        }
        let crashes = match result {
            Ok(response) => headers::parse_crashes(response.headers()),
            Err(failure) => failure.crashes(),
        };
        let answered = matches!(result, Ok(response) if !response.status().is_server_error());
        if answered {
            return self.record_answer(body);
        }
        if crashes.is_empty() {
            return self.record_deadline(body, result);
        }
        if let Some(parent) = &self.parent {
            parent.record_crashes(crashes);
        }
        let request = self.digest(body);
        crashes::record(self.node, request, crashes);
    }

    fn record_deadline(&self, body: &ReplayableBody, result: &Result<PassedResponse, Failure>) {
        let is_unanswered = matches!(result, Err(failure) if failure.reason == Reason::Deadline);
        let suspect = self.suspect_digest(body, CrashSet::default());
        if let Some(request) = suspect.filter(|_| is_unanswered) {
            let now_ms = self.node.uptime_ms();
            self.node.crashes().record_deadline(now_ms, &request);
        }
    }

    fn record_answer(&self, body: &ReplayableBody) {
        let Some(request) = self.suspect_digest(body, CrashSet::default()) else {
            return;
        };
        if self.node.crashes().record_answer(&request) {
            self.node.crash_reported.notify_one();
            if !self.node.log_limiter.may_log(LogClass::Routine) {
                return;
            }
            log::info!(request_digest:% = request; "a request under which backend servers ended was answered");
        }
    }
}
