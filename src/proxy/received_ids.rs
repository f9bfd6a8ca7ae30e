//! Requests that must not run twice and that this node receives a second time.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use http::header::HeaderValue;

use super::log_limiter::{self, LogClass};
use super::state::ProxyState;
use crate::decide::recent_ids::RecentIds;
use crate::util::clock;
use crate::util::lock::lock_ignoring_poison;

/// Where a request is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceivedBy {
    /// This node, from a caller.
    Entry,
    /// The local backend server, from this node's gate.
    Backend,
}

impl ReceivedBy {
    fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Backend => "backend",
        }
    }
}

/// Ids of recent requests that must not run twice.
#[derive(Debug)]
pub(crate) struct ReceivedIds {
    started: Instant,
    entry: Mutex<RecentIds>,
    backend: Mutex<RecentIds>,
}

impl Default for ReceivedIds {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            entry: Mutex::default(),
            backend: Mutex::default(),
        }
    }
}

impl ReceivedIds {
    fn of(&self, receiver: ReceivedBy) -> MutexGuard<'_, RecentIds> {
        lock_ignoring_poison(match receiver {
            ReceivedBy::Entry => &self.entry,
            ReceivedBy::Backend => &self.backend,
        })
    }

    /// Records a request that must not run twice, and logs it if it was received before.
    pub(crate) fn record(
        node: &ProxyState,
        receiver: ReceivedBy,
        id: Option<&HeaderValue>,
        attempts: u32,
    ) {
        let Some(id) = id else {
            return;
        };
        let received = &node.received_ids;
        let now_us = clock::since_us(received.started);
        let earlier = received.of(receiver).record(now_us, id.as_bytes());
        if earlier == 0 {
            return;
        }
        let by = receiver.as_str();
        metrics::counter!("dragonflywall_requests_received_again_total", "by" => by).increment(1);
        if node.log_limiter.may_log(LogClass::Notable) {
            log::warn!(
                request_id = log_limiter::id_text(Some(id)),
                by,
                earlier,
                attempts;
                "a request that must not run twice was received again"
            );
        }
    }
}
