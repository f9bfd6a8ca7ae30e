//! How much later than usual a request comes from another node.
//!
//! Two nodes have no common clock, but each has a steady one. The least difference between when a
//! request came, by the one, and when it was sent, by the other, is the distance of the clocks and the
//! usual way; what a request takes above it, it was held up.

/// After so long the least difference is looked for anew: steady clocks drift apart by some
/// thousandths of a percent, a millisecond in this time.
const WINDOW_US: u64 = 30_000_000;

/// What is known of the way from one node, on one connection. Times are microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayEstimator {
    /// Least differences of this window and of the one before.
    min_difference_us: [Option<i64>; 2],
    window_start_us: u64,
}

impl DelayEstimator {
    /// How long a request was held up that was sent at `sent_us` and has come at `now_us`.
    pub fn delay_us(&mut self, now_us: u64, sent_us: u64) -> u64 {
        if now_us.saturating_sub(self.window_start_us) >= WINDOW_US {
            self.min_difference_us = [None, self.min_difference_us[0]];
            self.window_start_us = now_us;
        }
        let difference_us = now_us.wrapping_sub(sent_us).cast_signed();
        let min_us = self.min_difference_us.into_iter().flatten().min();
        let usual_us = min_us.map_or(difference_us, |min_us| min_us.min(difference_us));
        let this_window =
            self.min_difference_us[0].map_or(difference_us, |known| known.min(difference_us));
        self.min_difference_us[0] = Some(this_window);
        u64::try_from(difference_us - usual_us).unwrap_or(0)
    }
}
