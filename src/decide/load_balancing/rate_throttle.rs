//! Share of its requests that an entry node sends to an endpoint whose backend server limits their rate.
//!
//! Each refused request costs a round trip, so an entry node withholds most of those that the gate would refuse. It
//! knows neither the demand of other entry nodes nor its share of the rate. It measures how many of its requests were
//! admitted and sends somewhat more than that (adaptive throttling), so its share follows the demand of all.

use crate::decide::admission::Priority;

/// Time constant of the exponential decay of the counts, in microseconds.
const DECAY_US: f64 = 2_000_000.0;

/// Requests sent for each one that was admitted. The excess measures whether more would be admitted.
const SENT_PER_ADMITTED: f64 = 1.25;

/// Share of the requests sent that each priority gets at least, so that the lowest is not starved.
const SHARE_MIN: f64 = 0.125;

/// Requests for one endpoint in recent seconds. Times are microseconds.
#[derive(Clone, Debug)]
pub(super) struct RateThrottle {
    /// Requests that were admitted, refused for the rate or withheld, by priority.
    wanted: Vec<(Priority, f64)>,
    admitted: f64,
    updated_us: u64,
}

impl RateThrottle {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            wanted: Vec::new(),
            admitted: 0.0,
            updated_us: now_us,
        }
    }

    /// Records a request that was admitted.
    pub(super) fn record_admitted(&mut self, now_us: u64, priority: Priority) {
        self.record_not_admitted(now_us, priority);
        self.admitted += 1.0;
    }

    /// Records a request that was refused for the rate, or withheld.
    pub(super) fn record_not_admitted(&mut self, now_us: u64, priority: Priority) {
        self.decay(now_us);
        match self.wanted.iter_mut().find(|(known, _)| *known == priority) {
            Some((_, count)) => *count += 1.0,
            None => self.wanted.push((priority, 1.0)),
        }
    }

    /// Returns the probability with which a request is to be withheld.
    ///
    /// What may be sent goes to the higher priorities first. One request more than was ever wanted may always be
    /// sent, so an entry node with few requests withholds none.
    pub(super) fn withhold_probability(&mut self, now_us: u64, priority: Priority) -> f64 {
        self.decay(now_us);
        let sent_max = self.admitted * SENT_PER_ADMITTED + 1.0;
        let count_of = |is_counted: &dyn Fn(Priority) -> bool| -> f64 {
            let counted = self.wanted.iter().filter(|(known, _)| is_counted(*known));
            counted.map(|(_, count)| count).sum()
        };
        let wanted_before = count_of(&|known| known < priority);
        let wanted = count_of(&|known| known == priority) + 1.0;
        let share = (sent_max - wanted_before).max(sent_max * SHARE_MIN);
        (1.0 - share / wanted).max(0.0)
    }

    fn decay(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        let left = (-age_us / DECAY_US).exp();
        self.updated_us = self.updated_us.max(now_us);
        self.admitted *= left;
        for (_, count) in &mut self.wanted {
            *count *= left;
        }
    }
}
