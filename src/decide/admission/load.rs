//! The load of the backend server, as it is reported to entry nodes.

use super::{Admission, SlotRequest};
use crate::core::names::ResourceName;
use crate::decide::load_balancing::{LoadReport, RateReport};

/// Number of resources whose service times are reported with the response to a request for another
/// resource. The longest are reported: they differ most between endpoints and are requested least
/// often, so entry nodes would seldom receive them otherwise.
const OTHER_SERVICE_TIMES_MAX: usize = 3;
/// Service times measured longer ago than this, in microseconds, are not reported. Repeated reports
/// of an old time would keep entry nodes away from a backend server that is no longer slow.
const OTHER_SERVICE_TIMES_AGE_MAX_US: u64 = 1_000_000;

/// A slowdown is detected only while at least one in this many slots is in use. A single long
/// request does not show that the backend server is slow.
const SLOWDOWN_SLOTS_PER_RUNNING_REQUEST_MAX: u32 = 2;
/// Ratio of the mean age of running requests to the mean service time above which the backend
/// server counts as slowed down. Service times are roughly exponential, so the two are about equal
/// in a steady state; a few long requests among nine running ones easily double the mean age.
const SLOWDOWN_FACTOR: u64 = 4;

impl<W> Admission<W> {
    /// Returns the load that is reported to an entry node with the response to a request for
    /// `resource`.
    pub fn load_report(
        &self,
        now_us: u64,
        request: &SlotRequest,
        resource: &ResourceName,
    ) -> LoadReport {
        let slowdown_age_us = self.slowdown_age_us(now_us);
        let (own, other) = self.ahead(request);
        LoadReport {
            in_use: self.in_use(),
            ahead: own.count + other.count,
            slots: self.limits.slots,
            mean_service_time_us: self.service_times.overall_us().max(slowdown_age_us),
            resource_service_time_us: self
                .service_times
                .resource_us(resource)
                .max(slowdown_age_us),
            upload_time_us: 0,
            rate: self.pacer.map(|pacer| RateReport {
                interval_us: pacer.interval_us(),
                wait_us: self.rate_wait_us(now_us, request),
            }),
        }
    }

    /// Returns recent service times of resources other than `resource`, the longest first. They are
    /// reported with responses for `resource`, for entry nodes that seldom request the others.
    pub fn other_service_times(
        &self,
        now_us: u64,
        resource: &ResourceName,
    ) -> Vec<(&ResourceName, u64)> {
        let since_us = now_us.saturating_sub(OTHER_SERVICE_TIMES_AGE_MAX_US);
        self.service_times
            .longest(OTHER_SERVICE_TIMES_MAX, resource, since_us)
    }

    /// Returns the mean age of the running requests if it shows that the backend server has slowed
    /// down, else 0. Finished requests show a slowdown only when the first slow one has ended; until
    /// then entry nodes would rely on outdated service times.
    fn slowdown_age_us(&self, now_us: u64) -> u64 {
        let running = self.in_use();
        if running == 0 || running * SLOWDOWN_SLOTS_PER_RUNNING_REQUEST_MAX < self.limits.slots {
            return 0;
        }
        let age_us = now_us.saturating_sub(self.slot_start_sum_us / u64::from(running));
        match age_us > SLOWDOWN_FACTOR * self.service_times.overall_us() {
            true => age_us,
            false => 0,
        }
    }
}
