//! The rate limiter of the stand-ins for stores.

use std::time::Instant;

/// A token bucket that holds the tokens of one second.
///
/// All callers share it. At the start, and after a second without calls, it is full and admits the calls of
/// a whole second at once.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    pub(crate) fn new(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            tokens: rate_per_s,
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token for one call; returns false if none is left.
    pub(crate) fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.rate_per_s);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
