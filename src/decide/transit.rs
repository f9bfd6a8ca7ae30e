//! Estimates how long a request from another node was delayed in transit.
//!
//! Two nodes have no common clock, but each has a monotonic one. The minimum difference between the
//! receiver's clock on arrival and the sender's clock on sending is the clock offset plus the usual
//! transit time. A request with a larger difference was delayed by the excess.
//!
//! The first request on a connection cannot be compared with others. After a freeze of the receiver it may
//! have waited for as long as the freeze.

/// Length of a measurement window, in microseconds. The minimum is taken over two windows at most,
/// because monotonic clocks drift apart by some thousandths of a percent: a millisecond in this time.
const WINDOW_US: u64 = 30_000_000;

/// Delay estimation for one connection from another node. Times are microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayEstimator {
    /// Minimum differences of the current window and of the previous one.
    min_difference_us: [Option<i64>; 2],
    window_start_us: u64,
}

impl DelayEstimator {
    /// Returns the transit delay of a request, from `sent_us` by the sender's clock and `now_us` by
    /// the receiver's, and updates the minimum. `unread_for_us` is how long the request may have waited
    /// because the receiver's process was frozen.
    pub fn delay_us(&mut self, now_us: u64, sent_us: u64, unread_for_us: u64) -> u64 {
        if now_us.saturating_sub(self.window_start_us) >= WINDOW_US {
            self.min_difference_us = [None, self.min_difference_us[0]];
            self.window_start_us = now_us;
        }
        let difference_us = now_us.wrapping_sub(sent_us).cast_signed();
        let min_us = self.min_difference_us.into_iter().flatten().min();
        if min_us.is_none() && unread_for_us > 0 {
            // Not a usual transit time, so later requests must not be compared with it.
            return unread_for_us;
        }
        let usual_us = min_us.map_or(difference_us, |min_us| min_us.min(difference_us));
        let this_window =
            self.min_difference_us[0].map_or(difference_us, |known| known.min(difference_us));
        self.min_difference_us[0] = Some(this_window);
        u64::try_from(difference_us - usual_us).unwrap_or(0)
    }
}
