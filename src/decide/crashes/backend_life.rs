//! Signs of life of a node's own backend server, by which its ends are counted once each.

use super::CrashId;
use super::announced_start::AnnouncedStart;
use crate::core::member::StartDigest;

/// Number of intervals between announcements of which the second longest is the one that is expected. The longest may be
/// that to an announcement which was delayed.
const INTERVALS_MAX: usize = 4;
/// Number of intervals without any sign of life after which a backend server counts as silent. One announcement may be lost.
const SILENT_INTERVALS: u64 = 2;

/// How often a backend server announces itself.
#[derive(Clone, Copy, Debug, Default)]
struct AnnouncementIntervals {
    last_us: Option<u64>,
    intervals_us: [u64; INTERVALS_MAX],
    next: usize,
}

impl AnnouncementIntervals {
    fn record(&mut self, now_us: u64) {
        if let Some(last_us) = self.last_us.replace(now_us) {
            self.intervals_us[self.next] = now_us.saturating_sub(last_us);
            self.next = (self.next + 1) % INTERVALS_MAX;
        }
    }

    /// The interval that is expected; `None` before the second announcement.
    fn expected_us(&self) -> Option<u64> {
        let mut intervals_us = self.intervals_us;
        intervals_us.sort_unstable_by(|a, b| b.cmp(a));
        let known = intervals_us.into_iter().take_while(|us| *us > 0);
        known.take(2).last()
    }
}

/// When a backend server last showed that it runs. Times are microseconds of any monotonic clock, and those of announced
/// starts of one that counts the time in which the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BackendLife {
    last_sign_us: u64,
    announcements: AnnouncementIntervals,
    announced: Option<AnnouncedStart>,
    /// Whether it has shown that it runs since its last crash.
    runs: bool,
    last_crash: CrashId,
}

impl Default for BackendLife {
    fn default() -> Self {
        Self {
            last_sign_us: 0,
            announcements: AnnouncementIntervals::default(),
            announced: None,
            runs: true,
            last_crash: CrashId::default(),
        }
    }
}

impl BackendLife {
    /// Records a response.
    pub fn record_response(&mut self, now_us: u64) {
        self.last_sign_us = now_us;
        self.runs = true;
    }

    /// Records an announcement.
    pub fn record_announcement(&mut self, now_us: u64) {
        self.record_response(now_us);
        self.announcements.record(now_us);
    }

    /// Records which start an announcement is of, unless a later one outdates it.
    pub fn record_announced_start(
        &mut self,
        now_us: u64,
        start: StartDigest,
        sequence: Option<u64>,
    ) {
        match &mut self.announced {
            Some(announced) => announced.record(now_us, start, sequence),
            None => self.announced = Some(AnnouncedStart::new(now_us, start, sequence)),
        }
    }

    /// Whether the announcements since `since_us` show that the backend server of this start did not end by then.
    pub fn has_announced_since(&self, start: StartDigest, since_us: u64) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|announced| announced.has_announced_since(start, since_us))
    }

    /// Records that a connection was accepted. A backend server that hangs accepts connections too.
    pub fn record_connection(&mut self) {
        self.runs = true;
    }

    /// Records that a request was lost, and returns the crash that this may be. Requests that are lost without a sign of
    /// life between them have the same crash.
    pub fn record_loss(&mut self, new_id: impl FnOnce() -> CrashId) -> CrashId {
        if std::mem::take(&mut self.runs) {
            self.last_crash = new_id();
        }
        self.last_crash
    }

    /// How long after `now_us` it will have shown no sign of life for so long that it has fallen silent, if it shows none
    /// meanwhile. `None` while it is not known how often it announces itself.
    pub fn silent_in_us(&self, now_us: u64) -> Option<u64> {
        let interval_us = self.announcements.expected_us()?;
        let silent_us = self.last_sign_us + SILENT_INTERVALS * interval_us;
        Some(silent_us.saturating_sub(now_us))
    }

    /// Whether it has fallen silent under a request that was sent at `sent_us` and has no response at `now_us`. A sign of
    /// life that arrives after the request was sent may be older than the request, so it does not count for longer than the
    /// backend server usually takes until the next one.
    pub fn is_silent(&self, now_us: u64, sent_us: u64) -> bool {
        let quiet_us = now_us.saturating_sub(self.last_sign_us);
        let interval_us = self.announcements.expected_us();
        let missed = |interval_us| quiet_us >= SILENT_INTERVALS * interval_us;
        self.last_sign_us <= sent_us || interval_us.is_some_and(missed)
    }
}
