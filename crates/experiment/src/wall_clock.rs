//! The time of day, to compare with nodes' time stamps.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the epoch.
pub(crate) fn unix_time_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
