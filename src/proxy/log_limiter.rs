//! What is logged of requests: one line for each decision, with what decided it.
//!
//! Entry and gate log under the request's id, so that the lines of all nodes can be joined. Lines of
//! a request that goes well are [`LogClass::Routine`], those of one that is refused, tried again or
//! fails are [`LogClass::Notable`]; each kind has a rate of its own, so that a flood of good requests
//! cannot hide the bad ones. What exceeds a rate is dropped and counted.

use std::num::NonZeroU32;

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use http::header::HeaderValue;

/// How much a line matters to whoever explains a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogClass {
    /// Of a request that goes well.
    Routine,
    /// Of a request that is refused, tried again or fails.
    Notable,
}

impl LogClass {
    fn as_str(self) -> &'static str {
        match self {
            Self::Routine => "routine",
            Self::Notable => "notable",
        }
    }
}

/// Routine lines a second, and how many at once after a quiet time. Enough for all lines of a node
/// that serves ten requests a second; above that they are a sample.
const ROUTINE_LINES_PER_S: NonZeroU32 = NonZeroU32::new(30).expect("not zero");
const ROUTINE_BURST_LINES: NonZeroU32 = NonZeroU32::new(60).expect("not zero");
/// Notable lines a second, and how many at once. At 400 bytes a line and 520 nodes that fail all at
/// once 20 MB/s for the whole mesh, which a log collector takes for some minutes.
const NOTABLE_LINES_PER_S: NonZeroU32 = NonZeroU32::new(100).expect("not zero");
const NOTABLE_BURST_LINES: NonZeroU32 = NonZeroU32::new(300).expect("not zero");

/// The rates at which one node logs decisions.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    routine: DefaultDirectRateLimiter,
    notable: DefaultDirectRateLimiter,
}

impl Default for LogLimiter {
    fn default() -> Self {
        let limiter =
            |per_s, burst| RateLimiter::direct(Quota::per_second(per_s).allow_burst(burst));
        Self {
            routine: limiter(ROUTINE_LINES_PER_S, ROUTINE_BURST_LINES),
            notable: limiter(NOTABLE_LINES_PER_S, NOTABLE_BURST_LINES),
        }
    }
}

impl LogLimiter {
    /// Whether a line may be written now; one that may not counts as dropped.
    pub(crate) fn may_log(&self, log_class: LogClass) -> bool {
        let limiter = match log_class {
            LogClass::Routine => &self.routine,
            LogClass::Notable => &self.notable,
        };
        let allowed = limiter.check().is_ok();
        if !allowed {
            let why = log_class.as_str();
            metrics::counter!("dragonflywall_log_lines_dropped_total", "why" => why).increment(1);
        }
        allowed
    }
}

/// A request's id as log lines show it.
pub(crate) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}
