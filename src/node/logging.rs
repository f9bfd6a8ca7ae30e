//! Structured logs on standard output, as text or JSON.
//!
//! A line is handed to a thread of its own that writes it, so that a reader of the output that stops
//! reading blocks no request. What that thread cannot take is dropped and counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use log::LevelFilter;
use logforth::append;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};

use crate::node::settings::LogFormat;

mod bounded;

/// Lines that wait to be written. About 300 bytes each: a reader that has stopped costs the process
/// 1.2 MB at most.
pub const MAX_QUEUED_LINES: usize = 4_096;

/// Longest wait for the last lines when the process ends; writing all that may wait takes a tenth of it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Installs the process's logger. A second call changes nothing.
pub fn init(format: LogFormat, level: LevelFilter) {
    let stdout = append::Stdout::default();
    let stdout = match format {
        LogFormat::Text => stdout.with_layout(TextLayout::default().no_color()),
        LogFormat::Json => stdout.with_layout(JsonLayout::default()),
    };
    let queue_limit = QueueLimit::new(MAX_QUEUED_LINES);
    let writer = AsyncBuilder::new("log").append(bounded::ReleasingAppend::new(
        Arc::clone(&queue_limit),
        stdout,
    ));
    let append = bounded::ReservingAppend::new(queue_limit, writer.build());
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(own_targets_filter()).append(append))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}

/// Waits until all lines are written, but no longer than [`FLUSH_TIMEOUT`]: a reader that has stopped must
/// not keep the process from ending.
pub fn flush() {
    let (sender, flushed) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // Nobody waits any more once the time is up.
        let _ = sender.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
}

/// Libraries log at their own levels; operators asked for this program's.
fn own_targets_filter() -> logforth::filter::rustlog::RustLogFilter {
    logforth::filter::rustlog::RustLogFilterBuilder::from_spec("dragonflywall=all").build()
}

/// How many lines wait, and how many found no room.
#[derive(Debug)]
pub struct QueueLimit {
    max_lines: usize,
    queued: AtomicUsize,
    dropped: AtomicU64,
}

impl QueueLimit {
    /// For `max_lines` lines.
    pub fn new(max_lines: usize) -> Arc<Self> {
        Arc::new(Self {
            max_lines,
            queued: AtomicUsize::new(0),
            dropped: AtomicU64::new(0),
        })
    }

    /// Takes room for one line; without room the line counts as dropped.
    pub fn try_reserve(&self) -> bool {
        let before = self.queued.fetch_add(1, Ordering::AcqRel);
        if before < self.max_lines {
            return true;
        }
        self.queued.fetch_sub(1, Ordering::AcqRel);
        self.dropped.fetch_add(1, Ordering::AcqRel);
        metrics::counter!("dragonflywall_log_lines_dropped_total", "why" => "queue").increment(1);
        false
    }

    /// A line was written.
    pub fn release(&self) {
        self.queued.fetch_sub(1, Ordering::AcqRel);
    }

    /// Lines dropped since this was last asked.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::AcqRel)
    }
}
