//! Which request ids were received lately, within bounds of time and number.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};

/// How long an id is kept, in microseconds.
const KEEP_US: u64 = 10_000_000;
/// Most ids that are kept.
const IDS_MAX: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct RecentId {
    digest: u64,
    received_us: u64,
}

/// Recently received request ids. Times are microseconds of any monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct RecentIds {
    hasher: RandomState,
    /// In the order of their receipt.
    ids: VecDeque<RecentId>,
}

impl RecentIds {
    /// Records that `id` was received. Returns how often it was received before, as far as that is kept.
    pub fn record(&mut self, now_us: u64, id: &[u8]) -> usize {
        self.remove_old(now_us);
        let digest = self.hasher.hash_one(id);
        let earlier = self.ids.iter().filter(|recent| recent.digest == digest);
        let earlier = earlier.count();
        self.ids.push_back(RecentId {
            digest,
            received_us: now_us,
        });
        earlier
    }

    fn remove_old(&mut self, now_us: u64) {
        let is_old = |recent: &RecentId| now_us.saturating_sub(recent.received_us) >= KEEP_US;
        while self.ids.len() >= IDS_MAX || self.ids.front().is_some_and(is_old) {
            self.ids.pop_front();
        }
    }

    /// Number of ids that are kept.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
