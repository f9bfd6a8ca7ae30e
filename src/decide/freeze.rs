//! Detects that the process was frozen, and which answers are from before a freeze.
//!
//! A peer or the store may have sent an answer before the freeze that this process reads only after
//! it. Such an answer does not show the state of its sender now. A timeout that passes in a freeze
//! does not show that the other side failed.

use std::sync::atomic::{AtomicU64, Ordering};

/// Time between two ticks from which the process counts as having been frozen, in milliseconds.
pub const FREEZE_GAP_MS: u64 = 3_000;

/// Time after a freeze within which what has arrived in it is read, in milliseconds.
const BACKLOG_MS: u64 = 1_000;

/// The time between two freezes of a process. Comparable only within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(u64);

/// Detects freezes by the time between two ticks. Times are arguments, in milliseconds of a clock
/// that includes the time in which the VM was suspended.
#[derive(Debug, Default)]
pub struct FreezeDetector {
    last_tick_ms: AtomicU64,
    epoch: AtomicU64,
    /// Length of the last freeze, and when it was detected.
    frozen_ms: AtomicU64,
    detected_ms: AtomicU64,
    /// The epoch for which the configuration was last refreshed.
    refreshed_epoch: AtomicU64,
}

impl FreezeDetector {
    /// Records a tick. Returns the time since the previous one if the process was frozen in between,
    /// in milliseconds.
    pub fn tick(&self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Acquire));
        let was_frozen = gap_ms >= FREEZE_GAP_MS;
        if was_frozen {
            self.frozen_ms.store(gap_ms, Ordering::Release);
            self.detected_ms.store(now_ms, Ordering::Release);
            // Before `last_tick_ms`, so that readers see either the new epoch or the old tick.
            self.epoch.fetch_add(1, Ordering::AcqRel);
        }
        self.last_tick_ms.store(now_ms, Ordering::Release);
        was_frozen.then_some(gap_ms)
    }

    /// The current epoch. Read it before a request is sent, and pass it to [`Self::is_current`] when
    /// the answer arrives.
    pub fn epoch(&self) -> Epoch {
        Epoch(self.epoch.load(Ordering::Acquire))
    }

    /// Whether the process has not been frozen since `epoch` was read. Detects a freeze also before
    /// the first tick after it.
    pub fn is_current(&self, now_ms: u64, epoch: Epoch) -> bool {
        let since_tick_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Acquire));
        since_tick_ms < FREEZE_GAP_MS && self.epoch() == epoch
    }

    /// How long something that is read now may have waited because the process was frozen, in
    /// milliseconds. It was sent at `earliest_ms` or later. Detects a freeze also before the first tick
    /// after it.
    pub fn unread_for_ms(&self, now_ms: u64, earliest_ms: u64) -> u64 {
        if now_ms.saturating_sub(earliest_ms) < 2 * BACKLOG_MS {
            // Too short for a freeze to lie in between.
            return 0;
        }
        let since_tick_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Acquire));
        if since_tick_ms >= FREEZE_GAP_MS {
            return since_tick_ms;
        }
        match now_ms < self.detected_ms.load(Ordering::Acquire) + BACKLOG_MS {
            true => self.frozen_ms.load(Ordering::Acquire),
            false => 0,
        }
    }

    /// The epoch for which the configuration was last refreshed. While it is [current](Self::is_current), the
    /// configuration may be relied on.
    pub fn refreshed_epoch(&self) -> Epoch {
        Epoch(self.refreshed_epoch.load(Ordering::Acquire))
    }

    /// Reads a value that a refresh brings up to date, and returns it with the epoch for which that was done. `None`
    /// if the process has been frozen since.
    ///
    /// The epoch is read before the value, because a refresh that ends after the value was read does not bring it up
    /// to date. The time is read after the value, because a freeze may have passed since.
    pub fn read_refreshed<T>(
        &self,
        now_ms: impl FnOnce() -> u64,
        read: impl FnOnce() -> T,
    ) -> Option<(T, Epoch)> {
        let epoch = self.refreshed_epoch();
        let value = read();
        self.is_current(now_ms(), epoch).then_some((value, epoch))
    }

    /// Records that the configuration was refreshed after the freeze that began `epoch`.
    pub fn record_refreshed(&self, epoch: Epoch) {
        self.refreshed_epoch.fetch_max(epoch.0, Ordering::AcqRel);
    }
}
