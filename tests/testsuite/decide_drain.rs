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

    /// Whether a request is served, by its arrival and deadline in milliseconds since the start.
    fn accepts(&self, arrives_ms: u64, deadline_ms: u64, origin: RequestOrigin) -> bool {
        let (now, deadline) = (self.at(arrives_ms), self.at(deadline_ms));
        self.schedule.accepts(now, deadline, origin)
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
    assert!(!stop.accepts(3_060, 7_060, RequestOrigin::Caller));
    assert!(!stop.accepts(MIN_SERVING_MS, 5_501, RequestOrigin::Caller));
}

/// Guards against requests that are refused although they end in time, or although their callers
/// cannot know of the stop yet.
#[test]
fn request_is_accepted_if_it_ends_in_time_or_its_caller_cannot_know_of_the_stop() {
    let stop = Stop::new();
    assert!(stop.accepts(4_300, 5_400, RequestOrigin::Caller));
    assert!(stop.accepts(100, 1_300, RequestOrigin::Caller));
    assert!(stop.accepts(MIN_SERVING_MS - 1, 6_199, RequestOrigin::Caller));
}

/// Guards against a running request that fails because a call that it makes is refused, and against a
/// call that is accepted when no time is left for its response.
#[test]
fn call_of_a_running_request_is_accepted_until_the_drain_ends() {
    let stop = Stop::new();
    assert!(stop.accepts(5_000, 9_000, RequestOrigin::RunningRequest));
    assert!(!stop.accepts(5_450, 9_000, RequestOrigin::RunningRequest));
}

/// Guards against a backend server that responds at its deadline, when the entry node has given the
/// request up.
#[test]
fn deadline_that_is_passed_on_leaves_time_for_the_response() {
    let stop = Stop::new();
    assert!(stop.schedule.limit(stop.at(9_000)) < stop.at(DRAIN_TIMEOUT_MS));
    assert_eq!(stop.schedule.limit(stop.at(1_000)), stop.at(1_000));
}

/// Guards against a panic at a stop whose drain timeout is longer than a point in time can be.
#[test]
fn drain_timeout_without_a_practical_limit_is_accepted() {
    let started_at = Instant::now();
    let schedule = DrainSchedule::new(started_at, Duration::MAX, Duration::MAX);
    assert!(schedule.ends_at() > started_at + Duration::from_hours(24));
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
