//! Clocks: wall time for records, steady time for intervals.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Wall time since the epoch. Used in records that people read, never to order events.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Wall time in milliseconds.
pub(crate) fn unix_time_ms() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// Microseconds since the VM was started, those included for which it was suspended.
pub(crate) fn boot_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let now = now.map(Duration::from).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Whole milliseconds of a span.
pub(crate) fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Steady milliseconds since `start`.
pub(crate) fn since_ms(start: Instant) -> u64 {
    whole_ms(start.elapsed())
}

/// Steady microseconds since `start`.
pub(crate) fn since_us(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
