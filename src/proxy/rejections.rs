//! Rejections of the local backend server: what they prove, and which requests it gets after one.

use std::time::Instant;

use http::StatusCode;
use http::header::HeaderValue;

use super::failure::{Reason, Refusal};
use super::hop::Hop;
use super::log_limiter::{self, LogClass};
use super::state::ProxyState;
use crate::decide::rejections::{RejectedRequest, RejectionPolicy};
use crate::util::clock;

fn policy(node: &ProxyState) -> RejectionPolicy {
    RejectionPolicy::from_switches(node.mechanisms())
}

/// Fails if the request is withheld from a backend server that may reject it.
pub(crate) fn check_withheld(node: &ProxyState, hop: &Hop) -> Result<(), Refusal> {
    if hop.idempotent {
        return Ok(());
    }
    let now_us = clock::since_us(node.started);
    let withheld_us = node.rejections().withheld_us(now_us, policy(node));
    match withheld_us {
        Some(left_us) => Err(Refusal::from(Reason::Withheld).with_retry_after_ms(left_us / 1_000)),
        None => Ok(()),
    }
}

/// Records that the backend server ran a request that was sent at `sent_at`.
pub(crate) fn record_accepted(node: &ProxyState, sent_at: Instant) {
    let sent_us = clock::us_between(node.started, sent_at);
    node.rejections().record_accepted(sent_us);
}

/// A request that the backend server states not to have run.
pub(crate) struct Rejection<'a> {
    pub(crate) node: &'a ProxyState,
    pub(crate) hop: &'a Hop,
    pub(crate) id: Option<&'a HeaderValue>,
    /// Status of the response that states it.
    pub(crate) status: StatusCode,
    /// Whether the backend server has made calls for the request.
    pub(crate) has_calls: bool,
}

impl Rejection<'_> {
    /// Records the rejection. Returns whether it is proof that the request did not run.
    pub(crate) fn record(&self) -> bool {
        let now_us = clock::since_us(self.node.started);
        let request = RejectedRequest {
            idempotent: self.hop.idempotent,
            has_calls: self.has_calls,
        };
        let is_proof = self
            .node
            .rejections()
            .record(now_us, &request, policy(self.node));
        if !is_proof {
            self.log_unproven();
        }
        is_proof
    }

    fn log_unproven(&self) {
        if !self.node.log_limiter.may_log(LogClass::Notable) {
            return;
        }
        let backend = self.node.backend.load();
        log::warn!(
            request_id = log_limiter::id_text(self.id),
            instance:? = backend.as_ref().and_then(|backend| backend.instance()),
            status = self.status.as_u16(),
            idempotent = self.hop.idempotent,
            has_calls = self.has_calls;
            "the backend server states that it did not run a request, which does not count as proof"
        );
    }
}
