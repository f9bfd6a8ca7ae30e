//! Structured logs on standard output, as text or JSON.
//!
//! A dedicated thread writes the lines, so that requests do not block when the reader of the output stops
//! reading. The queue of that thread is bounded; lines that do not fit are dropped and counted.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use log::LevelFilter;
use logforth::append;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};

use crate::node::settings::LogFormat;
use crate::util::log_queue::{self, QueueLimit};

mod bounded;

/// Capacity of the queue of lines to write. At about 300 bytes per line, a reader that has stopped reading costs
/// the process 1.2 MB at most.
pub const MAX_QUEUED_LINES: usize = 4_096;

/// Longest wait for the last lines at exit. It is a part of the grace period, after the steps that
/// [`DrainSchedule`](crate::decide::drain::DrainSchedule) limits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Installs the logger of the process. Further calls have no effect.
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
    let append = bounded::ReservingAppend::new(Arc::clone(&queue_limit), writer.build());
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(own_targets_filter()).append(append))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
        log_queue::install(queue_limit);
    }
}

/// Waits until all lines are written, but no longer than [`FLUSH_TIMEOUT`]: a reader that has stopped reading must
/// not prevent the process from exiting.
pub fn flush() {
    let (sender, flushed) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // Sending fails if the receiver has timed out.
        let _ = sender.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
}

/// Accepts only the log records of this program: the configured level is meant for them, and libraries log at
/// levels of their own.
fn own_targets_filter() -> logforth::filter::rustlog::RustLogFilter {
    logforth::filter::rustlog::RustLogFilterBuilder::from_spec("dragonflywall=all").build()
}
