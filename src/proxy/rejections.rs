//! Requests that the local backend server states not to have run, and whether that is consistent with what this gate has
//! observed.

use std::time::Duration;

use http::StatusCode;
use http::header::HeaderValue;

use super::hop::Hop;
use super::log_limiter::{self, LogClass};
use super::state::ProxyState;
use crate::decide::rejections::{self, RejectedRequest};
use crate::util::clock;

/// A request that the backend server states not to have run.
pub(crate) struct Rejection<'a> {
    pub(crate) node: &'a ProxyState,
    pub(crate) hop: &'a Hop,
    pub(crate) id: Option<&'a HeaderValue>,
    /// Status of the response that states it.
    pub(crate) status: StatusCode,
    /// Time from the end of the request until the response.
    pub(crate) held: Duration,
    /// Whether the backend server has made calls for the request.
    pub(crate) has_calls: bool,
}

impl Rejection<'_> {
    /// Whether nothing that this gate has observed contradicts it.
    ///
    /// A backend server that stops may reject all requests that it runs at once. So the rejection of a request that must not run
    /// twice counts only if no contradicted one comes in the time that a rejection takes.
    pub(crate) async fn is_credible(&self) -> bool {
        let observed = self.observed();
        let mut is_credible = {
            let now_us = clock::since_us(self.node.started);
            self.node.rejections().record(now_us, &observed)
        };
        if is_credible && !self.hop.idempotent {
            tokio::time::sleep(Duration::from_micros(observed.rejection_time_max_us)).await;
            let now_us = clock::since_us(self.node.started);
            is_credible = self.node.rejections().are_credible(now_us);
        }
        if !is_credible {
            self.record_contradicted(&observed);
        }
        is_credible
    }

    fn observed(&self) -> RejectedRequest {
        let service_time_us = self.node.load(self.hop).resource_service_time_us;
        RejectedRequest {
            held_us: u64::try_from(self.held.as_micros()).unwrap_or(u64::MAX),
            rejection_time_max_us: rejections::rejection_time_max_us(service_time_us),
            has_calls: self.has_calls,
        }
    }

    fn record_contradicted(&self, observed: &RejectedRequest) {
        if !self.node.log_limiter.may_log(LogClass::Notable) {
            return;
        }
        let backend = self.node.backend.load();
        log::warn!(
            request_id = log_limiter::id_text(self.id),
            instance:? = backend.as_ref().and_then(|backend| backend.instance()),
            status = self.status.as_u16(),
            held_us = observed.held_us,
            rejection_time_max_us = observed.rejection_time_max_us,
            has_calls = observed.has_calls;
            "the backend server states that it did not run a request, and may have begun it"
        );
    }
}
