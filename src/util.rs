//! Helpers that several modules use: clocks, timeouts, file descriptor limits, locks, the queue of log lines, entries that
//! cannot be read, TCP connections, and the check of responses.

pub(crate) mod clock;
pub(crate) mod deadline;
pub(crate) mod dial;
pub(crate) mod file_descriptors;
pub(crate) mod lock;
pub(crate) mod log_queue;
pub(crate) mod pause_tolerant_timer;
pub(crate) mod response_filter;
pub(crate) mod unreadable;
