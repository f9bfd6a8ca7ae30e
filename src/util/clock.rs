//! Clocks: wall-clock time for records, and monotonic time for intervals.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Wall-clock time since the Unix epoch, for timestamps in records and for numbers that must increase
/// when a process restarts. It can jump, so it must not order events within a process.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// Microseconds since the VM booted, including time in which it was suspended.
pub(crate) fn boot_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let now = now.map(Duration::from).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// A duration in milliseconds, rounded down.
pub(crate) fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds elapsed since `start` on the monotonic clock, which excludes time in which the VM was
/// suspended.
pub(crate) fn since_ms(start: Instant) -> u64 {
    whole_ms(start.elapsed())
}

/// Microseconds from `start` to `end`; 0 if `end` is earlier.
pub(crate) fn us_between(start: Instant, end: Instant) -> u64 {
    let span = end.saturating_duration_since(start);
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Microseconds elapsed since `start` on the monotonic clock.
pub(crate) fn since_us(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
