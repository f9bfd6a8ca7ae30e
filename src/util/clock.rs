//! Clocks: wall time for records, steady time for intervals.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall time since the epoch. Used in records that people read, never to order events.
pub(crate) fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Wall time in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    u64::try_from(wall().as_millis()).unwrap_or(u64::MAX)
}

/// Steady milliseconds since `start`.
pub(crate) fn since_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Steady microseconds since `start`.
pub(crate) fn since_us(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
