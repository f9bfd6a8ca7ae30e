//! Rate limits for log lines about requests. There is one line per decision, with the values that
//! led to it.
//!
//! The entry node and the gate log the request id, so that the lines of all nodes can be joined.
//! Lines about successful requests are [`LogClass::Routine`]; lines about requests that are
//! refused, retried or fail are [`LogClass::Notable`]. A promise that a request which must not run twice has not run is
//! [`LogClass::Promise`]. Each class has its own rate, so that many
//! successful requests cannot crowd out the failures, nor failures the promises. Lines above the rate are dropped and
//! counted, in the metrics and in the log itself ([`LogLimiter::report_dropped`]); the counts of promises are by evidence,
//! with the ids of the first requests.

use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use http::header::HeaderValue;
use tokio_util::sync::CancellationToken;

use super::promise::Evidence;
use crate::util::lock::lock_ignoring_poison;
use crate::util::log_queue;

#[cfg(test)]
mod tests;

/// How important a log line is for the analysis of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogClass {
    /// About a successful request.
    Routine,
    /// About a request that is refused, retried or fails.
    Notable,
    /// About a request that is not to run twice, and of which its caller is told that it has not run.
    Promise,
}

impl LogClass {
    fn as_str(self) -> &'static str {
        match self {
            Self::Routine => "routine",
            Self::Notable => "notable",
            Self::Promise => "promise",
        }
    }
}

/// Rate and burst of routine lines. Enough for all lines of a node that serves ten requests per
/// second; at higher rates the lines are a sample.
const ROUTINE_LINES_PER_S: NonZeroU32 = NonZeroU32::new(30).expect("not zero");
const ROUTINE_BURST_LINES: NonZeroU32 = NonZeroU32::new(60).expect("not zero");
/// Rate and burst of notable lines. At 400 bytes per line and 520 nodes that all fail at once, the
/// mesh writes 20 MB/s, which a log collector can handle for some minutes.
const NOTABLE_LINES_PER_S: NonZeroU32 = NonZeroU32::new(100).expect("not zero");
const NOTABLE_BURST_LINES: NonZeroU32 = NonZeroU32::new(300).expect("not zero");

/// Rate and burst of lines about promises.
const PROMISE_LINES_PER_S: NonZeroU32 = NOTABLE_LINES_PER_S;
const PROMISE_BURST_LINES: NonZeroU32 = NOTABLE_BURST_LINES;

/// Most ids that the line about dropped promises has.
const DROPPED_IDS_MAX: usize = 16;

/// Interval between two log lines about dropped lines.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limiter of one log class.
#[derive(Debug)]
struct ClassLimiter {
    limiter: DefaultDirectRateLimiter,
    /// Lines dropped since the last report.
    dropped_lines: AtomicU64,
}

impl ClassLimiter {
    fn new(per_s: NonZeroU32, burst: NonZeroU32) -> Self {
        Self {
            limiter: RateLimiter::direct(Quota::per_second(per_s).allow_burst(burst)),
            dropped_lines: AtomicU64::new(0),
        }
    }

    fn may_log(&self) -> bool {
        let allowed = self.limiter.check().is_ok();
        if !allowed {
            self.dropped_lines.fetch_add(1, Ordering::AcqRel);
        }
        allowed
    }

    /// Returns the number of lines dropped since the last call.
    fn take_dropped(&self) -> u64 {
        self.dropped_lines.swap(0, Ordering::AcqRel)
    }
}

/// Promises without a line of their own since the last report.
#[derive(Debug, Default)]
struct DroppedPromises {
    by_evidence: BTreeMap<&'static str, u64>,
    first_ids: Vec<String>,
}

/// Rate limiters of one node, one per log class.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    routine: ClassLimiter,
    notable: ClassLimiter,
    promise: ClassLimiter,
    dropped_promises: Mutex<DroppedPromises>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self {
            routine: ClassLimiter::new(ROUTINE_LINES_PER_S, ROUTINE_BURST_LINES),
            notable: ClassLimiter::new(NOTABLE_LINES_PER_S, NOTABLE_BURST_LINES),
            promise: ClassLimiter::new(PROMISE_LINES_PER_S, PROMISE_BURST_LINES),
            dropped_promises: Mutex::default(),
        }
    }
}

impl LogLimiter {
    /// Whether a line may be logged now. If not, it is counted as dropped.
    pub(crate) fn may_log(&self, log_class: LogClass) -> bool {
        let limiter = match log_class {
            LogClass::Routine => &self.routine,
            LogClass::Notable => &self.notable,
            LogClass::Promise => &self.promise,
        };
        let allowed = limiter.may_log();
        if !allowed {
            let why = log_class.as_str();
            metrics::counter!("dragonflywall_log_lines_dropped_total", "why" => why).increment(1);
        }
        allowed
    }

    /// Whether the line about a promise may be logged now. If not, it is counted with what the promise rests on.
    pub(crate) fn may_log_promise(&self, id: Option<&HeaderValue>, evidence: Evidence) -> bool {
        if self.may_log(LogClass::Promise) {
            return true;
        }
        let mut dropped = lock_ignoring_poison(&self.dropped_promises);
        *dropped.by_evidence.entry(evidence.as_str()).or_default() += 1;
        if dropped.first_ids.len() < DROPPED_IDS_MAX {
            dropped.first_ids.push(id_text(id).to_owned());
        }
        false
    }

    fn report_dropped_promises(&self) {
        let dropped = std::mem::take(&mut *lock_ignoring_poison(&self.dropped_promises));
        if !dropped.by_evidence.is_empty() {
            log::warn!(
                by_evidence:? = dropped.by_evidence,
                first_ids:? = dropped.first_ids;
                "dropped log lines about requests whose callers were told that they have not run"
            );
        }
    }

    /// Logs how many lines were dropped, until `stop` is cancelled.
    pub(crate) async fn report_dropped(&self, stop: CancellationToken) {
        loop {
            let stopped = stop.cancelled();
            let stopped = tokio::time::timeout(DROPPED_REPORT_INTERVAL, stopped).await;
            self.report_dropped_promises();
            let unwritten = log_queue::take_dropped();
            if unwritten > 0 {
                log::warn!(unwritten; "dropped log lines because their reader was too slow");
            }
            match (self.routine.take_dropped(), self.notable.take_dropped()) {
                (0, 0) => (),
                // Routine lines are dropped on every busy node.
                (routine, 0) => {
                    log::info!(routine, notable = 0; "dropped log lines above the rate limit");
                }
                (routine, notable) => {
                    log::warn!(routine, notable; "dropped log lines above the rate limit");
                }
            }
            if stopped.is_ok() {
                return;
            }
        }
    }
}

/// A request id for a log line. Empty if there is none or it is not text.
pub(crate) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}
