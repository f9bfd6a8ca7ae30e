//! Exponential backoff with jitter, for reconnects, fetches and calls to the platform.

/// Maximum number of doublings. It keeps the shift in range; every delay reaches its own maximum with
/// fewer.
const DOUBLINGS_MAX: u32 = 16;

/// Delays that double with each consecutive failure, so that a peer or platform that recovers from an
/// outage is not overloaded by retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
}

impl Backoff {
    /// Returns a backoff from `initial_ms` to `max_ms`, in milliseconds.
    pub const fn new(initial_ms: u64, max_ms: u64) -> Self {
        Self { initial_ms, max_ms }
    }

    /// Returns the delay in milliseconds after a failure that followed `failures` consecutive ones.
    pub fn delay_ms(self, failures: u32) -> u64 {
        let factor = 1 << failures.min(DOUBLINGS_MAX);
        self.initial_ms.saturating_mul(factor).min(self.max_ms)
    }
}

/// Returns a delay between half of `delay_ms` and all of it, chosen by `random`, so that nodes whose
/// calls failed at the same time do not retry at the same time.
pub fn jittered_ms(delay_ms: u64, random: u64) -> u64 {
    let half_ms = delay_ms / 2;
    half_ms + random % (delay_ms - half_ms + 1)
}
