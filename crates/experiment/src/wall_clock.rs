//! Wall-clock time, for comparison with the time stamps in the nodes' log lines.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch; 0 if the clock is set to an earlier time.
pub(crate) fn unix_time_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
