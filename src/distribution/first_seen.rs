//! When versions that a node does not hold yet were first seen, from any source.

use std::collections::VecDeque;

use crate::core::version::Version;

/// Number of versions that are stored. If more are seen, later ones count as seen at the time of
/// the last stored one.
const VERSIONS_MAX: usize = 64;

/// Times at which versions were first seen, ordered by version and by time.
#[derive(Clone, Debug, Default)]
pub struct FirstSeen {
    seen: VecDeque<(Version, u64)>,
}

impl FirstSeen {
    /// Records that `version` exists. Returns whether it is newer than all versions seen before.
    pub fn record(&mut self, now_ms: u64, version: Version) -> bool {
        let is_new = self.seen.back().is_none_or(|(newest, _)| *newest < version);
        if is_new && self.seen.len() < VERSIONS_MAX {
            self.seen.push_back((version, now_ms));
        } else if is_new && let Some((newest, _)) = self.seen.back_mut() {
            *newest = version;
        }
        is_new
    }

    /// When `version`, or a newer one, was first seen.
    pub fn first_seen_ms(&self, version: Version) -> Option<u64> {
        let first = self.seen.iter().find(|(seen, _)| *seen >= version);
        first.map(|(_, seen_ms)| *seen_ms)
    }

    /// When the first version above `held` was seen.
    pub fn first_above_ms(&self, held: Version) -> Option<u64> {
        let first = self.seen.iter().find(|(seen, _)| *seen > held);
        first.map(|(_, seen_ms)| *seen_ms)
    }

    /// Removes `held` and all versions before it.
    pub fn discard_through(&mut self, held: Version) {
        while self.seen.front().is_some_and(|(seen, _)| *seen <= held) {
            self.seen.pop_front();
        }
    }
}
