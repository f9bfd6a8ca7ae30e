//! Records what the attempts of a routed request show of endpoints and software versions.

use http::header::HeaderMap;

use super::RoutedRequest;
use crate::decide::load_balancing::{AttemptOutcome, Endpoint, LoadReport};
use crate::proxy::failure::{Failure, Reason};
use crate::proxy::headers;
use crate::proxy::hop::Hop;
use crate::proxy::promise::PassedResponse;
use crate::util::clock;

#[cfg(test)]
mod tests;

/// Whether an attempt at an endpoint of a candidate version has failed; `None` if that is not known. `is_current` says
/// that this process has not been frozen since the request was admitted: a freeze makes attempts late that do not fail.
fn candidate_failed(result: &Result<PassedResponse, Failure>, is_current: bool) -> Option<bool> {
    match result {
        Ok(response) => Some(response.status().is_server_error()),
        Err(failure) if failure.is_version_neutral() => None,
        Err(_) => is_current.then_some(true),
    }
}

impl RoutedRequest<'_> {
    /// Counts an attempt towards the share and the failures of a candidate version.
    pub(super) fn record_version_outcome(
        &self,
        candidate_order: Option<u64>,
        result: &Result<PassedResponse, Failure>,
    ) {
        let rollouts = &self.node.rollouts;
        if result.is_ok() {
            let limit_percent = self.node.settings.exposure_percent;
            rollouts.record_answered(self.service(), limit_percent);
        }
        let Some(order_revision) = candidate_order else {
            return;
        };
        match candidate_failed(result, self.node.is_current(self.admitted_in)) {
            Some(failed) => {
                rollouts.record_candidate_outcome(self.service(), order_revision, failed);
            }
            None => rollouts.put_back_credit(self.service(), order_revision),
        }
    }

    pub(super) fn record_load(&self, endpoint: &Endpoint, load: LoadReport) {
        let now_us = clock::since_us(self.node.started);
        let resource = &self.target.resource;
        let mut balancer = self.node.balancer();
        balancer.record_load(now_us, endpoint.node, resource, load);
    }

    pub(super) fn record_service_times(&self, endpoint: &Endpoint, headers: &HeaderMap) {
        let now_us = clock::since_us(self.node.started);
        let mut balancer = self.node.balancer();
        for (resource, service_time_us) in headers::parse_service_times(headers) {
            balancer.record_service_time(now_us, endpoint.node, &resource, service_time_us);
        }
    }

    /// Records what the gate reports of its backend server's statements. An endpoint that leaves is avoided.
    pub(super) fn record_statements(
        &self,
        endpoint: &Endpoint,
        hop: &Hop,
        headers: &HeaderMap,
        answered: bool,
    ) {
        let mut known = self.node.known_statements();
        let Some(reported) = headers::parse_statements(headers) else {
            if answered {
                known.record_none(endpoint.node, hop.known_statements.as_ref());
            }
            return;
        };
        if reported.leaving {
            let now_us = clock::since_us(self.node.started);
            let outcome = AttemptOutcome::Draining;
            let mut balancer = self.node.balancer();
            balancer.record_outcome(now_us, endpoint.node, self.priority(), outcome);
        }
        known.record(endpoint.node, reported);
    }

    /// Reports to the balancer what this attempt showed about its endpoint.
    pub(super) fn record_outcome(
        &self,
        endpoint: &Endpoint,
        result: &Result<PassedResponse, Failure>,
    ) {
        let outcome = match result {
            Ok(response) => AttemptOutcome::Answered {
                server_error: response.status().is_server_error(),
            },
            Err(failure) => match failure.reason {
                Reason::Draining | Reason::NoEndpoint | Reason::OtherVersion => {
                    AttemptOutcome::Draining
                }
                Reason::Unproved => AttemptOutcome::Answered { server_error: true },
                Reason::Unreachable | Reason::BackendDown => AttemptOutcome::Unreachable,
                Reason::Rejected => AttemptOutcome::Rejected,
                Reason::RateLimited => AttemptOutcome::RateLimited,
                Reason::Lost | Reason::Deadline => AttemptOutcome::Lost,
                _ => AttemptOutcome::Refused,
            },
        };
        let now_us = clock::since_us(self.node.started);
        self.node
            .balancer()
            .record_outcome(now_us, endpoint.node, self.priority(), outcome);
    }
}
