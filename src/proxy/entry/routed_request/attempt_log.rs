//! Log lines about the attempts of a routed request.

use std::time::Instant;

use super::RoutedRequest;
use crate::decide::load_balancing::{Endpoint, EndpointEstimate};
use crate::proxy::failure::{Failure, Refusal};
use crate::proxy::log_limiter::{self, LogClass};
use crate::proxy::promise::{Evidence, NotRun};
use crate::proxy::replay::ReplayableBody;

impl RoutedRequest<'_> {
    pub(in crate::proxy::entry) fn request_id(&self) -> &str {
        let id = self.parts.headers.get(&self.node.header_profile.request_id);
        log_limiter::id_text(id)
    }

    fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    pub(super) fn log_endpoint_chosen(
        &self,
        endpoint: &Endpoint,
        estimate: &EndpointEstimate,
        tried_endpoints: usize,
    ) {
        if !self.node.log_limiter.may_log(LogClass::Routine) {
            return;
        }
        log::info!(
            request_id = self.request_id(),
            service:% = self.service(),
            resource:% = self.target.resource,
            node:% = endpoint.node,
            version = self.version,
            idempotent = self.target.treatment.idempotent,
            tried_endpoints,
            in_flight = estimate.in_flight,
            slots = estimate.slots,
            service_time_us:? = estimate.service_time_us,
            failure_rate = estimate.failure_rate,
            report_age_us:? = estimate.report_age_us,
            remaining_ms = self.remaining_ms();
            "chose an endpoint for the request"
        );
    }

    pub(super) fn log_no_endpoint(
        &self,
        refusal: &Refusal,
        known_endpoints: usize,
        tried_endpoints: usize,
    ) {
        if !self.node.log_limiter.may_log(LogClass::Notable) {
            return;
        }
        log::warn!(
            request_id = self.request_id(),
            service:% = self.service(),
            reason = refusal.reason.code(),
            known_endpoints,
            tried_endpoints,
            store_age_ms:? = self.node.store_age_ms(),
            remaining_ms = self.remaining_ms();
            "no endpoint available for the request"
        );
    }

    pub(super) fn log_attempt_failed(
        &self,
        endpoint: &Endpoint,
        body: &ReplayableBody,
        failure: &Failure,
        retry: bool,
    ) {
        let reason = failure.reason.code();
        metrics::counter!("dragonflywall_attempts_failed_total", "reason" => reason).increment(1);
        if !self.node.log_limiter.may_log(LogClass::Notable) {
            return;
        }
        log::warn!(
            request_id = self.request_id(),
            request_digest:% = self.digest(body),
            service:% = self.service(),
            node:% = endpoint.node,
            verdict = failure.verdict().as_str(),
            evidence = failure.evidence().map_or("", Evidence::as_str),
            gate_evidence = failure.proof().and_then(NotRun::reported).map_or("", Evidence::as_str),
            reason,
            version = self.version,
            idempotent = self.target.treatment.idempotent,
            retry,
            remaining_ms = self.remaining_ms();
            "an attempt failed: {}", failure.reason.as_str()
        );
    }
}
