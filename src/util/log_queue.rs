//! The bounded queue of log lines that a thread writes. Requests wait only for lines that must not be lost.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::Notify;

/// Longest time for which a response waits until the line about it is written. A reader that has stopped reading delays a
/// response by no more than this.
const WRITE_WAIT_MAX: Duration = Duration::from_millis(10);

/// The queue of the process's logger.
static QUEUE: OnceLock<Arc<QueueLimit>> = OnceLock::new();

/// Makes `queue` that of the process's logger. Further calls have no effect.
pub(crate) fn install(queue: Arc<QueueLimit>) {
    let _ = QUEUE.set(queue);
}

/// Lines that were dropped since the last call because the queue was full.
pub(crate) fn take_dropped() -> u64 {
    QUEUE.get().map_or(0, |queue| queue.take_dropped())
}

/// Waits until the lines that were logged so far are written, but no longer than [`WRITE_WAIT_MAX`].
pub(crate) async fn wait_written() {
    if let Some(queue) = QUEUE.get() {
        let _ = tokio::time::timeout(WRITE_WAIT_MAX, queue.wait_written()).await;
    }
}

/// Bounds the queue of lines to write, and counts the lines that are dropped because it is full.
#[derive(Debug)]
pub(crate) struct QueueLimit {
    max_lines: usize,
    queued: AtomicUsize,
    dropped: AtomicU64,
    /// Lines since the start for which there was space.
    reserved: AtomicU64,
    /// Lines of these that were written, which is done in their order.
    written: AtomicU64,
    line_written: Notify,
}

impl QueueLimit {
    /// Creates the bound of a queue of at most `max_lines` lines.
    pub(crate) fn new(max_lines: usize) -> Arc<Self> {
        Arc::new(Self {
            max_lines,
            queued: AtomicUsize::new(0),
            dropped: AtomicU64::new(0),
            reserved: AtomicU64::new(0),
            written: AtomicU64::new(0),
            line_written: Notify::new(),
        })
    }

    /// Reserves space for one line. Returns false, and counts the line as dropped, if the queue is full.
    pub(crate) fn try_reserve(&self) -> bool {
        let before = self.queued.fetch_add(1, Ordering::AcqRel);
        if before < self.max_lines {
            self.reserved.fetch_add(1, Ordering::AcqRel);
            return true;
        }
        self.queued.fetch_sub(1, Ordering::AcqRel);
        self.dropped.fetch_add(1, Ordering::AcqRel);
        metrics::counter!("dragonflywall_log_lines_dropped_total", "why" => "queue").increment(1);
        false
    }

    /// Releases the space of a line that was written.
    pub(crate) fn release(&self) {
        self.queued.fetch_sub(1, Ordering::AcqRel);
        self.written.fetch_add(1, Ordering::AcqRel);
        self.line_written.notify_waiters();
    }

    /// Waits until the lines for which space was reserved so far are written.
    pub(crate) async fn wait_written(&self) {
        let reserved = self.reserved.load(Ordering::Acquire);
        loop {
            let mut line_written = pin!(self.line_written.notified());
            line_written.as_mut().enable();
            if self.written.load(Ordering::Acquire) >= reserved {
                return;
            }
            line_written.await;
        }
    }

    /// Returns the number of lines dropped since the last call, and resets it.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::AcqRel)
    }
}
