//! The bound on lines that wait for the writing thread.
//!
//! If nobody reads the process's output, that thread waits alone; a line beyond the bound is dropped and counted,
//! and no request waits.

use std::sync::Arc;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

use super::QueueLimit;

/// In front of the thread: lets in as many lines as there is room for.
#[derive(Debug)]
pub(super) struct ReservingAppend<A> {
    queue_limit: Arc<QueueLimit>,
    inner: A,
}

impl<A> ReservingAppend<A> {
    pub(super) fn new(queue_limit: Arc<QueueLimit>, inner: A) -> Self {
        Self { queue_limit, inner }
    }
}

impl<A: Append> Append for ReservingAppend<A> {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        match self.queue_limit.try_reserve() {
            true => self.inner.append(record, diags),
            false => Ok(()),
        }
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

/// On the thread: gives room back once a line is written.
#[derive(Debug)]
pub(super) struct ReleasingAppend<A> {
    queue_limit: Arc<QueueLimit>,
    inner: A,
}

impl<A> ReleasingAppend<A> {
    pub(super) fn new(queue_limit: Arc<QueueLimit>, inner: A) -> Self {
        Self { queue_limit, inner }
    }
}

impl<A: Append> Append for ReleasingAppend<A> {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let written = self.inner.append(record, diags);
        self.queue_limit.release();
        written
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
