//! Which requests a stopping node accepts, and how long its exit may take.

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

    /// When a step of the exit is given up, in milliseconds since the start.
    fn exit_step_ends_ms(&self, begins_ms: u64, step_max_ms: u64) -> u128 {
        let step_max = Duration::from_millis(step_max_ms);
        let ends_at = self
            .schedule
            .exit_step_ends_at(self.at(begins_ms), step_max);
        ends_at
            .saturating_duration_since(self.started_at)
            .as_millis()
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

/// Guards against a process that is still exiting when the platform kills it, half a second after the
/// drain timeout.
#[test]
fn exit_ends_soon_after_the_drain_timeout() {
    let stop = Stop::new();
    for begins_ms in [2_200, 5_000, 5_500, 5_800] {
        let ends_ms = stop.exit_step_ends_ms(begins_ms, 2_000);
        assert!(ends_ms < u128::from(DRAIN_TIMEOUT_MS + 500));
    }
    assert_eq!(stop.exit_step_ends_ms(2_200, 2_000), 4_200);
}

/// Guards against responses that are cut off because a process that was paused is late with its exit.
#[test]
fn late_step_of_the_exit_gets_a_minimum_of_time() {
    let stop = Stop::new();
    assert_eq!(stop.exit_step_ends_ms(8_000, 2_000), 8_050);
}
