//! A rate ceiling, as the stand-ins of stores have them.

use std::time::Instant;

/// So many calls a second, and as many at once after a quiet second.
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

    /// Whether one more call is allowed now.
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
