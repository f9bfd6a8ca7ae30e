//! How long to wait before trying again: reconnects, fetches, calls to the platform.

/// Doublings after which a pause is at its longest whatever it began with; keeps the shift in range.
const DOUBLINGS_MAX: u32 = 16;

/// Pauses that double from one failure in a row to the next, so that a peer or platform that was away does not
/// come back to a storm of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
}

impl Backoff {
    /// Pauses from `initial_ms` up to `max_ms`, in milliseconds.
    pub const fn new(initial_ms: u64, max_ms: u64) -> Self {
        Self { initial_ms, max_ms }
    }

    /// The pause after the failure that `failures` others in a row came before, in milliseconds.
    pub fn delay_ms(self, failures: u32) -> u64 {
        let factor = 1 << failures.min(DOUBLINGS_MAX);
        self.initial_ms.saturating_mul(factor).min(self.max_ms)
    }
}

/// Half to whole of a pause, as `random` says, so that those who failed at one moment do not come back at one
/// moment.
pub fn jittered_ms(delay_ms: u64, random: u64) -> u64 {
    let half_ms = delay_ms / 2;
    half_ms + random % (delay_ms - half_ms + 1)
}
