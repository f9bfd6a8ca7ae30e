//! Paces the requests to a backend server that has named a rate limit.
//!
//! A token bucket in the form of the generic cell rate algorithm: its state is the time at which the next request would
//! be due if requests were evenly spaced. A request may be sent up to [`BURST_US`] before that time, so in a period of
//! `t` microseconds at most `1 + rate * (t + BURST_US)` requests are sent.

use crate::core::backend_statement::RequestRate;

/// How far requests may run ahead of an even spacing, in microseconds.
pub const BURST_US: u64 = 250_000;

/// Lowest rate at which requests are sent, per second. The responses to them tell when the limit rises or ends.
pub const RATE_MIN_PER_S: f64 = 0.5;

/// Shortest spacing of requests, in microseconds. A higher rate is no limit in practice.
const INTERVAL_MIN_US: f64 = 1.0;

/// Paces requests by a rate limit. Times are microseconds of any monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct RatePacer {
    interval_us: u64,
    /// When the next request is due by an even spacing.
    due_us: u64,
}

impl RatePacer {
    /// Returns a pacer that allows one request at once and the others evenly spaced after it.
    pub fn new(now_us: u64, rate: RequestRate) -> Self {
        Self {
            interval_us: interval_us(rate),
            due_us: now_us + BURST_US,
        }
    }

    /// Changes the rate. Requests that were sent already still count.
    pub fn set_rate(&mut self, now_us: u64, rate: RequestRate) {
        self.interval_us = interval_us(rate);
        // A request that was sent under a lower rate delays the next one by no more than the new spacing.
        self.due_us = self.due_us.min(now_us + BURST_US + self.interval_us);
    }

    /// Spacing of requests, in microseconds.
    pub fn interval_us(&self) -> u64 {
        self.interval_us
    }

    /// When the next request may be sent.
    pub fn next_permit_us(&self) -> u64 {
        self.due_us.saturating_sub(BURST_US)
    }

    /// Whether a request may be sent now.
    pub fn permits(&self, now_us: u64) -> bool {
        self.next_permit_us() <= now_us
    }

    /// Counts a request that is sent now, permitted or not.
    pub fn record_sent(&mut self, now_us: u64) {
        self.due_us = self.due_us.max(now_us).saturating_add(self.interval_us);
    }

    /// Time until a request may be sent that has `ahead` others before it.
    pub fn wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let before_us = self.interval_us.saturating_mul(u64::from(ahead));
        let due_us = self.due_us.max(now_us).saturating_add(before_us);
        due_us.saturating_sub(BURST_US).saturating_sub(now_us)
    }
}

fn interval_us(rate: RequestRate) -> u64 {
    let interval_us = 1e6 / rate.per_s().max(RATE_MIN_PER_S);
    interval_us.max(INTERVAL_MIN_US).ceil() as u64
}
