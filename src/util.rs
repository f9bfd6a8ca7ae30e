//! Helpers that several modules use: clocks, timeouts, file descriptor limits, the queue of log lines, entries that cannot be
//! read, and TCP connections.

pub(crate) mod clock;
pub(crate) mod deadline;
pub(crate) mod dial;
pub(crate) mod file_descriptors;
pub(crate) mod log_queue;
pub(crate) mod pause_tolerant_timer;
pub(crate) mod unreadable;
