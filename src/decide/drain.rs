//! Until when a stopping node serves requests, and how long each step of its exit may take.

use std::time::{Duration, Instant};

/// Longest drain. Longer ones, which a setting may contain, cannot be added to every point in time.
const DRAIN_MAX: Duration = Duration::from_hours(24 * 365);

/// Time for a response to arrive from another node and to be passed on, before the end of the drain.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Time after the end of the drain within which the steps of the exit end.
const EXIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest time for a step of the exit, if the process is behind its schedule.
const EXIT_STEP_MIN: Duration = Duration::from_millis(50);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller, which can send it to another node instead.
    Caller,
    /// A request that the local backend server is running. It fails if this call fails.
    RunningRequest,
}

/// The times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    callers_served_until: Instant,
    ends_at: Instant,
}

impl DrainSchedule {
    /// The schedule of a stop that begins at `started_at`. Callers do not know of the stop for
    /// `min_serving`. Requests that are in flight after `drain_timeout` are given up.
    pub fn new(started_at: Instant, min_serving: Duration, drain_timeout: Duration) -> Self {
        let after = |time: Duration| {
            let latest = started_at + DRAIN_MAX;
            started_at.checked_add(time).unwrap_or(latest).min(latest)
        };
        let ends_at = after(drain_timeout);
        Self {
            callers_served_until: after(min_serving).min(ends_at),
            ends_at,
        }
    }

    /// Until when callers may send requests that cannot be completed for certain.
    pub fn callers_served_until(&self) -> Instant {
        self.callers_served_until
    }

    /// When the requests in flight are given up.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether to serve the request with the given deadline that arrives at `now`. It is refused if the
    /// node may stop before it has ended.
    pub fn accepts(&self, now: Instant, deadline: Instant, origin: RequestOrigin) -> bool {
        let last_deadline = self.last_deadline();
        let may_outlast_drain =
            origin == RequestOrigin::RunningRequest || now < self.callers_served_until;
        deadline <= last_deadline || (may_outlast_drain && now < last_deadline)
    }

    /// Deadline to pass on for an attempt that begins while the node stops.
    pub fn limit(&self, deadline: Instant) -> Instant {
        deadline.min(self.last_deadline())
    }

    fn last_deadline(&self) -> Instant {
        self.ends_at
            .checked_sub(RESPONSE_MARGIN)
            .unwrap_or(self.ends_at)
    }

    /// When a step of the exit that begins at `now` and usually takes at most `step_max` is given up.
    pub fn exit_step_ends_at(&self, now: Instant, step_max: Duration) -> Instant {
        let exit_by = (self.ends_at + EXIT_TIMEOUT).max(now + EXIT_STEP_MIN);
        (now + step_max).min(exit_by)
    }
}
