//! The log and the figures of one request at its entry, from its head to the head of its answer.

use std::sync::Arc;
use std::time::Instant;

use http::Response;
use http::header::HeaderValue;

use crate::core::verdict::Verdict;
use crate::proxy::answer::Failure;
use crate::proxy::body::Body;
use crate::proxy::decisions::{self, Weight};
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// A request that has come; its end is told once, also if its caller leaves.
pub(super) struct Arrival {
    node: Arc<ProxyState>,
    id: HeaderValue,
    target: String,
    version: u64,
    began: Instant,
    told: bool,
}

impl Arrival {
    /// `target` is the host and path that it asked for, `version` the configuration it runs under.
    pub(super) fn new(
        node: &Arc<ProxyState>,
        id: &HeaderValue,
        target: String,
        version: u64,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            id: id.clone(),
            target,
            version,
            began: Instant::now(),
            told: false,
        }
    }

    /// Its answer goes out.
    pub(super) fn ended(mut self, result: &Result<Response<Body>, Failure>) {
        self.told = true;
        let verdict = match result {
            Ok(_) => Verdict::Answered,
            Err(failure) => failure.verdict,
        };
        self.count(verdict.as_str());
        let weight = match result {
            Ok(response) if !response.status().is_server_error() => Weight::Routine,
            _ => Weight::Notable,
        };
        if !self.node.decisions.may_log(weight) {
            return;
        }
        let (request_id, version) = (decisions::shown(Some(&self.id)), self.version);
        let (target, took_ms) = (&self.target, clock::since_ms(self.began));
        match result {
            Ok(response) => log::info!(
                request_id, target:%, version, took_ms, status = response.status().as_u16();
                "passed on the answer of the backend server"
            ),
            Err(failure) => log::warn!(
                request_id, target:%, version, took_ms,
                verdict = verdict.as_str(),
                reason = failure.reason.word(),
                retry_after_ms = failure.wait_ms();
                "request failed: {}", failure.reason.as_str()
            ),
        }
    }

    fn count(&self, verdict: &'static str) {
        let took = self.began.elapsed();
        metrics::counter!("dragonflywall_requests_total", "verdict" => verdict).increment(1);
        metrics::histogram!("dragonflywall_request_seconds", "verdict" => verdict).record(took);
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        self.count("caller-left");
        if self.node.decisions.may_log(Weight::Notable) {
            log::warn!(
                request_id = decisions::shown(Some(&self.id)),
                target:% = self.target,
                version = self.version,
                took_ms = clock::since_ms(self.began);
                "the caller left before its answer"
            );
        }
    }
}
