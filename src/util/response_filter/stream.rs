//! The stream from which hyper reads.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::invalid::InvalidResponse;
use super::{ResponseFilter, SharedFilter};
use crate::util::lock::lock_ignoring_poison;

/// Most bytes that are read from the connection at a time.
const READ_BYTES: usize = 8 << 10;

/// How long the end of a connection is held back, if it also ends a response and comes before the whole request has been sent.
/// A backend server that has closed its side without reading the request answers the rest of it with a reset.
const UNSENT_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Held by the body of a request until hyper has read it.
#[derive(Debug)]
pub(crate) struct RequestBodyGuard(SharedFilter);

impl RequestBodyGuard {
    pub(crate) fn new(filter: SharedFilter) -> Self {
        Self(filter)
    }
}

impl Drop for RequestBodyGuard {
    fn drop(&mut self) {
        lock_ignoring_poison(&self.0).record_body_read();
    }
}

/// A connection to a server from which only valid and expected responses are read.
#[derive(Debug)]
pub(crate) struct FilteredStream<S> {
    stream: S,
    filter: SharedFilter,
    /// Bytes of expected responses that hyper has not read yet.
    passed: BytesMut,
    end: Option<StreamEnd>,
    held_end: Option<HeldEnd>,
}

/// The end of a connection that is held back.
#[derive(Debug)]
struct HeldEnd {
    timer: Pin<Box<Sleep>>,
    reader: Waker,
}

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The server has closed it.
    Closed,
    /// What it sent is not a valid response.
    Invalid(InvalidResponse),
    /// It sends responses to no request without end.
    DropsTooMuch,
}

impl<S> FilteredStream<S> {
    pub(crate) fn new(stream: S, filter: SharedFilter) -> Self {
        Self {
            stream,
            filter,
            passed: BytesMut::new(),
            end: None,
            held_end: None,
        }
    }

    /// Passes on each valid response. For servers whose responses do not repeat an id, and clients that send no request with
    /// the method HEAD.
    pub(crate) fn unmatched(stream: S) -> Self {
        Self::new(stream, Arc::new(Mutex::new(ResponseFilter::new(None))))
    }

    /// Waits until the end of the connection may be passed on.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !lock_ignoring_poison(&self.filter).ends_before_request() {
            return Poll::Ready(());
        }
        let held = self.held_end.get_or_insert_with(|| HeldEnd {
            timer: Box::pin(tokio::time::sleep(UNSENT_REQUEST_WAIT)),
            reader: context.waker().clone(),
        });
        held.reader.clone_from(context.waker());
        held.timer.as_mut().poll(context)
    }

    fn record_flush(&self) {
        lock_ignoring_poison(&self.filter).record_flush();
        if let Some(held) = &self.held_end {
            held.reader.wake_by_ref();
        }
    }
}

impl<S: AsyncRead + Unpin> FilteredStream<S> {
    /// Reads from the connection into the filter.
    fn poll_feed(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut chunk);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut read))?;
        let filter = Arc::clone(&self.filter);
        let mut filter = lock_ignoring_poison(&filter);
        if read.filled().is_empty() {
            self.end = Some(StreamEnd::Closed);
            filter.end(&mut self.passed);
        } else if let Err(invalid) = filter.feed(read.filled(), &mut self.passed) {
            self.end = Some(StreamEnd::Invalid(invalid));
            metrics::counter!("dragonflywall_invalid_responses_total", "fault" => invalid.code())
                .increment(1);
            log::debug!(error:% = invalid; "closed a connection on which no valid response came");
        } else if filter.drops_too_much() {
            self.end = Some(StreamEnd::DropsTooMuch);
            log::warn!(
                dropped_bytes = filter.dropped_bytes;
                "closed a connection on which the backend server sends responses to no request"
            );
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FilteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if !self.passed.is_empty() {
                let len_bytes = self.passed.len().min(buffer.remaining());
                buffer.put_slice(&self.passed.split_to(len_bytes));
                if self.passed.is_empty() {
                    self.passed = BytesMut::new();
                }
                return Poll::Ready(Ok(()));
            }
            match self.end {
                None => (),
                Some(StreamEnd::Closed) => return self.poll_end(context).map(Ok),
                Some(StreamEnd::Invalid(invalid)) => {
                    let error = io::Error::new(io::ErrorKind::InvalidData, invalid);
                    return Poll::Ready(Err(error));
                }
                Some(StreamEnd::DropsTooMuch) => {
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
            }
            ready!(self.poll_feed(context))?;
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FilteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
