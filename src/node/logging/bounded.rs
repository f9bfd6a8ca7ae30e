//! The bound on lines that wait for the writing thread.
//!
//! If nobody reads the process's output, that thread waits alone; a line beyond the bound is dropped and counted,
//! and no request waits.

use std::sync::Arc;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

use super::Queue;

/// In front of the thread: lets in as many lines as there is room for.
#[derive(Debug)]
pub(super) struct Entering<A> {
    queue: Arc<Queue>,
    to: A,
}

impl<A> Entering<A> {
    pub(super) fn new(queue: Arc<Queue>, to: A) -> Self {
        Self { queue, to }
    }
}

impl<A: Append> Append for Entering<A> {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        match self.queue.enter() {
            true => self.to.append(record, diags),
            false => Ok(()),
        }
    }

    fn flush(&self) -> Result<(), Error> {
        self.to.flush()
    }
}

/// On the thread: gives room back once a line is written.
#[derive(Debug)]
pub(super) struct Leaving<A> {
    queue: Arc<Queue>,
    to: A,
}

impl<A> Leaving<A> {
    pub(super) fn new(queue: Arc<Queue>, to: A) -> Self {
        Self { queue, to }
    }
}

impl<A: Append> Append for Leaving<A> {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let written = self.to.append(record, diags);
        self.queue.leave();
        written
    }

    fn flush(&self) -> Result<(), Error> {
        self.to.flush()
    }
}
