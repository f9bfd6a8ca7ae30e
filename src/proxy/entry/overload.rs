//! Withholds callers' requests from services that refuse many; see [`crate::decide::overload`].

use std::sync::Arc;

use super::routed_request::RoutedRequest;
use crate::core::configuration::Spill;
use crate::core::mechanism::Mechanism;
use crate::core::names::ServiceName;
use crate::decide::admission::Rank;
use crate::decide::freeze::Epoch;
use crate::decide::load_balancing::Endpoint;
use crate::decide::overload::RequestEnd;
use crate::proxy::failure::{Failure, Reason, Refusal};
use crate::proxy::state::ProxyState;
use crate::util::clock;

#[cfg(test)]
mod tests;

/// Shortest and longest delay before a retry of a request that was withheld, in milliseconds. Callers that return at
/// different times find room that is left.
const RETRY_MIN_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 800;

/// A request that is sent, and whose end is recorded. Nested calls are always sent and not recorded.
pub(super) struct ThrottledRequest {
    node: Arc<ProxyState>,
    service: ServiceName,
    rank: Rank,
    is_counted: bool,
    admitted_in: Epoch,
}

impl ThrottledRequest {
    /// Fails if the request is withheld.
    pub(super) fn admit(request: &RoutedRequest<'_>) -> Result<Self, Refusal> {
        let node = request.node;
        let is_enabled = node.mechanisms().is_enabled(Mechanism::OverloadThrottle);
        let throttled = Self {
            node: Arc::clone(node),
            service: request.target.service.clone(),
            rank: request.rank,
            is_counted: is_enabled && request.depth == 0,
            admitted_in: request.admitted_in,
        };
        let now_us = clock::since_us(node.started);
        let is_sent = !throttled.is_counted
            || node
                .overload()
                .admits(now_us, &throttled.service, throttled.rank, rand::random());
        if is_sent {
            return Ok(throttled);
        }
        metrics::counter!("dragonflywall_requests_throttled_total").increment(1);
        let retry_after_ms = rand::random_range(RETRY_MIN_MS..=RETRY_MAX_MS);
        Err(Refusal::from(Reason::Full).with_retry_after_ms(retry_after_ms))
    }

    /// Records how the request has ended, unless that says nothing about room for it: after a freeze of this process a
    /// request ends late whether or not there was room.
    pub(super) fn record<T>(self, result: &Result<T, Failure>) {
        let is_counted = self.is_counted && self.node.is_current(self.admitted_in);
        if let Some(end) = end_of(result).filter(|_| is_counted) {
            let now_us = clock::since_us(self.node.started);
            let mut overload = self.node.overload();
            overload.record(now_us, &self.service, self.rank, end);
        }
    }
}

/// How a request or an attempt has ended; `None` if that says nothing about room for it.
fn end_of<T>(result: &Result<T, Failure>) -> Option<RequestEnd> {
    match result {
        Ok(_) => Some(RequestEnd::Admitted),
        Err(failure) if failure.is_overload() => Some(RequestEnd::Refused),
        Err(failure) => match failure.reason {
            Reason::Deadline | Reason::HeldUp => Some(RequestEnd::Refused),
            _ => None,
        },
    }
}

impl RoutedRequest<'_> {
    /// How far from here the request may be served now: not where most such requests are refused.
    pub(super) fn spill(&self) -> Spill {
        let spill = self.target.treatment.spill;
        if !self.is_throttled() {
            return spill;
        }
        let now_us = clock::since_us(self.node.started);
        let mut overload = self.node.overload();
        spill.min(overload.reach(now_us, &self.target.service, rand::random()))
    }

    /// Whether the service refuses many requests, so that it is not worth the bytes to probe several endpoints.
    pub(super) fn is_service_overloaded(&self) -> bool {
        let now_us = clock::since_us(self.node.started);
        let mut overload = self.node.overload();
        self.is_throttled() && overload.is_overloaded(now_us, &self.target.service)
    }

    /// Records how an attempt has ended.
    pub(super) fn record_reach<T>(&self, endpoint: &Endpoint, result: &Result<T, Failure>) {
        let view = self.node.view.load();
        let ranked = view.endpoints.get(&self.target.service);
        let distance = ranked.and_then(|ranked| ranked.distance_of(endpoint.node));
        if let Some((end, distance)) = end_of(result).zip(distance) {
            let now_us = clock::since_us(self.node.started);
            let mut overload = self.node.overload();
            overload.record_attempt(now_us, &self.target.service, distance, end);
        }
    }

    fn is_throttled(&self) -> bool {
        let switches = self.node.mechanisms();
        switches.is_enabled(Mechanism::OverloadThrottle)
    }
}
