//! Which rejections of a backend server are consistent with what its gate has observed.
//!
//! A backend server decides whether to reject a request when the request arrives. Its gate sends it no more requests than it has
//! slots, so that a request which is not rejected then begins to run. A rejection that comes later, or that comes after calls
//! which the backend server made for the request, is contradicted by that. So is one of a backend server that then closes the
//! connection: it may be stopping, and reject what it is running.

/// Share of the usual service time within which a rejection comes.
const REJECTION_TIME_DIVISOR: u64 = 16;
/// Bounds of that time, in microseconds.
const REJECTION_TIME_MIN_US: u64 = 5_000;
const REJECTION_TIME_MAX_US: u64 = 10_000;
/// How long no rejection of a backend server counts after a contradicted one, in microseconds.
const DOUBT_US: u64 = 200_000;

/// Longest time from the end of a request until its rejection, in microseconds. `service_time_us` is how long such requests
/// usually run; 0 if that is not known.
pub fn rejection_time_max_us(service_time_us: u64) -> u64 {
    (service_time_us / REJECTION_TIME_DIVISOR).clamp(REJECTION_TIME_MIN_US, REJECTION_TIME_MAX_US)
}

/// What a gate has observed of a request that its backend server rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedRequest {
    /// Time from the end of the request until its rejection.
    pub held_us: u64,
    /// [`rejection_time_max_us`] of such requests.
    pub rejection_time_max_us: u64,
    /// Whether the backend server has made calls for it.
    pub has_calls: bool,
    /// Whether the backend server has closed the connection after the rejection.
    pub is_disconnected: bool,
}

impl RejectedRequest {
    fn may_have_begun(&self) -> bool {
        self.has_calls || self.is_disconnected || self.held_us > self.rejection_time_max_us
    }
}

/// Rejections of one backend server. Times are microseconds of any monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rejections {
    contradicted_us: Option<u64>,
}

impl Rejections {
    /// Records what is known of a rejection by now. Returns whether it may count as proof that the request has not run.
    pub fn record(&mut self, now_us: u64, request: &RejectedRequest) -> bool {
        if request.may_have_begun() {
            self.contradicted_us = Some(now_us);
        }
        self.are_credible(now_us)
    }

    /// Whether no rejection has been contradicted lately.
    fn are_credible(&self, now_us: u64) -> bool {
        self.contradicted_us
            .is_none_or(|contradicted_us| now_us.saturating_sub(contradicted_us) >= DOUBT_US)
    }
}
