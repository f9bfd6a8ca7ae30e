//! Log lines and metrics of one request at its entry node.

use std::sync::Arc;
use std::time::Instant;

use http::Method;
use http::header::HeaderValue;

use crate::core::verdict::Verdict;
use crate::proxy::failure::Failure;
use crate::proxy::log_limiter::{self, LogClass};
use crate::proxy::promise::{self, Evidence, NotRun, OpenAttempts, PassedResponse};
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// A request that is being served. Its result is recorded exactly once: by [`Self::finish`], or on
/// drop if the caller disconnects first.
pub(super) struct RequestLog {
    node: Arc<ProxyState>,
    request: LoggedRequest,
    started_at: Instant,
    recorded: bool,
}

/// Whether a line about a promise was logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Logged {
    Promise,
    Other,
}

/// What the lines about a request say of it.
pub(super) struct LoggedRequest {
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    /// Host and path that the caller requested.
    pub(super) target: String,
    /// Version of the configuration that applies to it.
    pub(super) version: u64,
    pub(super) attempts: OpenAttempts,
}

impl RequestLog {
    pub(super) fn new(node: &Arc<ProxyState>, request: LoggedRequest) -> Self {
        Self {
            node: Arc::clone(node),
            request,
            started_at: Instant::now(),
            recorded: false,
        }
    }

    /// Records the result when the response is about to be sent.
    pub(super) fn finish(mut self, result: &Result<PassedResponse, Failure>) -> Logged {
        self.recorded = true;
        let verdict = match result {
            Ok(_) => Verdict::Answered,
            Err(failure) => failure.verdict(),
        };
        self.record_metrics(verdict.as_str());
        record_promise(result);
        let promise = result
            .as_ref()
            .err()
            .and_then(|failure| self.promise(failure));
        let limiter = &self.node.log_limiter;
        let may_log = match (result, promise) {
            (_, Some(proof)) => limiter.may_log_promise(Some(&self.request.id), proof.evidence()),
            (Ok(response), None) if !response.status().is_server_error() => {
                limiter.may_log(LogClass::Routine)
            }
            (_, None) => limiter.may_log(LogClass::Notable),
        };
        if !may_log {
            return Logged::Other;
        }
        match result {
            Ok(response) => self.log_forwarded(response),
            Err(failure) => self.log_failed(failure),
        }
        match promise {
            Some(_) => Logged::Promise,
            None => Logged::Other,
        }
    }

    /// The proof for the response to a request that is not to run twice, if its status promises that it has not run.
    fn promise(&self, failure: &Failure) -> Option<NotRun> {
        let is_promise = promise::is_promise(failure.status()) && !self.request.method.is_safe();
        failure.proof().filter(|_| is_promise)
    }

    fn log_forwarded(&self, response: &PassedResponse) {
        log::info!(
            request_id = log_limiter::id_text(Some(&self.request.id)),
            target:% = self.request.target,
            version = self.request.version,
            took_ms = clock::since_ms(self.started_at),
            status = response.status().as_u16();
            "forwarded the response of the backend server"
        );
    }

    fn log_failed(&self, failure: &Failure) {
        log::warn!(
            request_id = log_limiter::id_text(Some(&self.request.id)),
            target:% = self.request.target,
            version = self.request.version,
            took_ms = clock::since_ms(self.started_at),
            status = failure.status().as_u16(),
            verdict = failure.verdict().as_str(),
            evidence = failure.evidence().map_or("", Evidence::as_str),
            gate_evidence = failure.proof().and_then(NotRun::reported).map_or("", Evidence::as_str),
            earlier_evidence:% = failure.proof().map(NotRun::earlier).unwrap_or_default(),
            gate:? = failure.gate(),
            attempts = self.request.attempts.begun(),
            reason = failure.reason.code(),
            retry_after_ms = failure.retry_after_ms();
            "request failed: {}", failure.reason.as_str()
        );
    }

    fn record_metrics(&self, verdict: &'static str) {
        let duration = self.started_at.elapsed();
        metrics::counter!("dragonflywall_requests_total", "verdict" => verdict).increment(1);
        metrics::histogram!("dragonflywall_request_seconds", "verdict" => verdict).record(duration);
    }
}

/// Counts a response whose status promises that the request did not run, by what has led to it.
fn record_promise(result: &Result<PassedResponse, Failure>) {
    let Err(failure) = result else {
        return;
    };
    if promise::is_promise(failure.status()) {
        let status = failure.status().as_u16().to_string();
        let evidence = failure.evidence().map_or("none", Evidence::as_str);
        metrics::counter!("dragonflywall_promises_total", "status" => status, "evidence" => evidence)
            .increment(1);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.recorded {
            return;
        }
        self.record_metrics("caller-left");
        if self.node.log_limiter.may_log(LogClass::Notable) {
            log::warn!(
                request_id = log_limiter::id_text(Some(&self.request.id)),
                target:% = self.request.target,
                version = self.request.version,
                attempts = self.request.attempts.begun(),
                took_ms = clock::since_ms(self.started_at);
                "the caller disconnected before the response"
            );
        }
    }
}
