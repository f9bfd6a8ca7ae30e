//! Which requests a stopping node accepts.

use std::time::{Duration, Instant};

use dragonflywall::decide::drain::{DrainSchedule, RequestOrigin};

const MIN_SERVING_MS: u64 = 2_200;
const DRAIN_TIMEOUT_MS: u64 = 5_500;

/// A schedule with its start, and times by the milliseconds since then.
struct Stop {
    started_at: Instant,
    schedule: DrainSchedule,
}

impl Stop {
    fn new() -> Self {
        let started_at = Instant::now();
        let min_serving = Duration::from_millis(MIN_SERVING_MS);
        let drain_timeout = Duration::from_millis(DRAIN_TIMEOUT_MS);
        Self {
            started_at,
            schedule: DrainSchedule::new(started_at, min_serving, drain_timeout),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.started_at + Duration::from_millis(ms)
    }

    /// Deadline of a request, in milliseconds since the start; `None` if it is refused.
    fn accept(&self, arrives_ms: u64, deadline_ms: u64, origin: RequestOrigin) -> Option<u64> {
        let deadline = self.at(deadline_ms);
        let accepted = self
            .schedule
            .accept(self.at(arrives_ms), deadline, origin)?;
        let since_start = accepted.saturating_duration_since(self.started_at);
        u64::try_from(since_start.as_millis()).ok()
    }
}

/// Guards against a request that a stopping node accepts from a caller, although it may stop before
/// the request has ended.
#[test]
fn request_that_may_outlast_the_drain_is_refused_after_the_serving_time() {
    let stop = Stop::new();
    let refused = stop.accept(3_060, 7_060, RequestOrigin::Caller);
    assert_eq!(refused, None);
    assert_eq!(
        stop.accept(MIN_SERVING_MS, 5_501, RequestOrigin::Caller),
        None
    );
}

/// Guards against requests that are refused although they end in time, or although their callers
/// cannot know of the stop yet.
#[test]
fn request_is_accepted_if_it_ends_in_time_or_its_caller_cannot_know_of_the_stop() {
    let stop = Stop::new();
    assert_eq!(
        stop.accept(4_300, 5_500, RequestOrigin::Caller),
        Some(5_500)
    );
    assert_eq!(stop.accept(100, 1_300, RequestOrigin::Caller), Some(1_300));
    let before_callers_know = stop.accept(MIN_SERVING_MS - 1, 6_199, RequestOrigin::Caller);
    assert_eq!(before_callers_know, Some(DRAIN_TIMEOUT_MS));
}

/// Guards against a running request that fails because a call that it makes is refused.
#[test]
fn call_of_a_running_request_is_accepted_until_the_drain_ends() {
    let stop = Stop::new();
    let accepted = stop.accept(5_000, 9_000, RequestOrigin::RunningRequest);
    assert_eq!(accepted, Some(DRAIN_TIMEOUT_MS));
}

/// Guards against attempts that are sent or queued for longer than the node serves.
#[test]
fn deadline_of_an_attempt_is_limited_by_the_end_of_the_drain() {
    let stop = Stop::new();
    assert_eq!(
        stop.schedule.limit(stop.at(9_000)),
        stop.at(DRAIN_TIMEOUT_MS)
    );
    assert_eq!(stop.schedule.limit(stop.at(1_000)), stop.at(1_000));
}
