//! Bounds the queue of the thread that writes log lines.
//!
//! If nobody reads the output of the process, only that thread blocks. Lines that exceed the bound are dropped and
//! counted, so that requests never wait for the log.

use std::sync::Arc;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

use crate::util::log_queue::QueueLimit;

/// Appender in front of the queue: passes a line on only if [`QueueLimit`] has space for it.
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

/// Appender on the writing thread: releases the space of a line once it is written.
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
