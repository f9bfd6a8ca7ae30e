//! A rate ceiling, as the stand-ins of stores have them.

use std::time::Instant;

/// So many calls a second, and as many at once after a quiet second.
#[derive(Debug)]
pub(crate) struct Bucket {
    per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    pub(crate) fn new(per_s: f64) -> Self {
        Self {
            per_s,
            tokens: per_s,
            filled: Instant::now(),
        }
    }

    /// Whether one more call is allowed now.
    pub(crate) fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.filled = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
