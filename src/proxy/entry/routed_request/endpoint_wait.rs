//! Requests for which a node that has just started knows no endpoint.
//!
//! Such a node receives its view of the members in parts, so that it may know the endpoints of one software version before
//! those of another.

use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use crate::core::member::VIEW_COMPLETE_AFTER_MS;
use crate::proxy::failure::{Reason, Refusal};

/// Longest time from the start of a request for which it waits for an endpoint.
const ENDPOINT_WAIT_MAX: Duration = Duration::from_millis(500);
/// Interval at which a waiting request looks for a new view.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl RoutedRequest<'_> {
    /// Waits for another view of the members if this one may be incomplete. `none` says why no endpoint was chosen, and
    /// `last_refusal` why those that were tried refused the request. Returns whether there is another view.
    pub(super) async fn await_endpoint(
        &self,
        none: &Refusal,
        last_refusal: Option<&Refusal>,
    ) -> bool {
        let is_other_version = |refusal: &Refusal| refusal.reason == Reason::OtherVersion;
        if none.reason != Reason::NoEndpoint || !last_refusal.is_none_or(is_other_version) {
            return false;
        }
        let view = self.node.view.load_full();
        while self.may_await_endpoint() {
            tokio::time::sleep(VIEW_CHECK_INTERVAL).await;
            if !Arc::ptr_eq(&view, &self.node.view.load()) {
                return true;
            }
        }
        false
    }

    fn may_await_endpoint(&self) -> bool {
        self.node.uptime_ms() < VIEW_COMPLETE_AFTER_MS
            && self.started_at.elapsed() < ENDPOINT_WAIT_MAX
            && self.has_time_for_attempt()
    }
}
