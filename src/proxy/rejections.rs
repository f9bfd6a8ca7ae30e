//! Requests that the local backend server states not to have run, and whether that is consistent with what this gate has
//! observed.

use std::time::Duration;

use http::StatusCode;
use http::header::HeaderValue;
use tokio_util::sync::CancellationToken;

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
    /// Cancelled when the connection on which the response came is closed.
    pub(crate) connection_closed: CancellationToken,
    /// Whether the backend server has made calls for the request.
    pub(crate) has_calls: bool,
}

impl Rejection<'_> {
    /// Whether nothing that this gate has observed contradicts it.
    ///
    /// A backend server that stops may reject all requests that it runs at once. So the rejection of a request that must not run
    /// twice counts only if no contradicted one comes in the time that a rejection takes, and the connection stays open.
    pub(crate) async fn is_credible(&self) -> bool {
        let mut observed = self.observed();
        let mut is_credible = self.record(&observed);
        if is_credible && !self.hop.idempotent {
            let wait = Duration::from_micros(observed.rejection_time_max_us);
            let waited = self
                .connection_closed
                .run_until_cancelled(tokio::time::sleep(wait));
            observed.is_disconnected = waited.await.is_none();
            is_credible = self.record(&observed);
        }
        if !is_credible {
            self.log_contradicted(&observed);
        }
        is_credible
    }

    fn record(&self, observed: &RejectedRequest) -> bool {
        let now_us = clock::since_us(self.node.started);
        self.node.rejections().record(now_us, observed)
    }

    fn observed(&self) -> RejectedRequest {
        let service_time_us = self.node.load(self.hop).resource_service_time_us;
        RejectedRequest {
            held_us: u64::try_from(self.held.as_micros()).unwrap_or(u64::MAX),
            rejection_time_max_us: rejections::rejection_time_max_us(service_time_us),
            has_calls: self.has_calls,
            is_disconnected: false,
        }
    }

    fn log_contradicted(&self, observed: &RejectedRequest) {
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
            has_calls = observed.has_calls,
            is_disconnected = observed.is_disconnected;
            "the backend server states that it did not run a request, and may have begun it"
        );
    }
}
