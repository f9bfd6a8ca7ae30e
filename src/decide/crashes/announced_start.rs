//! The start of which a node's own backend server has announced itself, and when.

use crate::core::member::StartDigest;

/// Number of announcements after which a backend server that was taken for ended has not. A single one may have been on
/// its way when it ended.
const CONFIRMING_ANNOUNCEMENTS: usize = 2;

/// The last announcements of one start, each with a higher sequence than the one before. Times are microseconds of any
/// monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnnouncedStart {
    start: StartDigest,
    sequence: Option<u64>,
    /// The latest one last.
    received_us: [Option<u64>; CONFIRMING_ANNOUNCEMENTS],
}

impl AnnouncedStart {
    pub(super) fn new(now_us: u64, start: StartDigest, sequence: Option<u64>) -> Self {
        let mut received_us = [None; CONFIRMING_ANNOUNCEMENTS];
        received_us[CONFIRMING_ANNOUNCEMENTS - 1] = Some(now_us);
        Self {
            start,
            sequence,
            received_us,
        }
    }

    /// Records a further announcement, or the first one of another start.
    pub(super) fn record(&mut self, now_us: u64, start: StartDigest, sequence: Option<u64>) {
        if self.start != start {
            *self = Self::new(now_us, start, sequence);
        } else if sequence.is_none() || sequence > self.sequence {
            self.sequence = sequence;
            self.received_us.rotate_left(1);
            self.received_us[CONFIRMING_ANNOUNCEMENTS - 1] = Some(now_us);
        }
    }

    /// Whether the start has announced itself often enough since `since_us` to be known not to have ended by then.
    pub(super) fn has_announced_since(&self, start: StartDigest, since_us: u64) -> bool {
        let is_later = |received_us: &Option<u64>| received_us.is_some_and(|us| us > since_us);
        self.start == start && self.received_us.iter().all(is_later)
    }
}
