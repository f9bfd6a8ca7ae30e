//! A caller's TCP stream that fails when the caller does not read for too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Fails a write that has been pending for the limit. A caller that does not read its response
/// would otherwise hold a slot of the backend server and full buffers.
#[derive(Debug)]
pub(crate) struct StallGuard {
    stream: TcpStream,
    limit: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
    preface: Option<PrefaceTimeout>,
}

/// Limits the time until the HTTP/2 preface has been received.
#[derive(Debug)]
struct PrefaceTimeout {
    remaining_bytes: usize,
    timer: Pin<Box<Sleep>>,
}

/// Length of the HTTP/2 connection preface.
const HTTP2_PREFACE_BYTES: usize = 24;

impl StallGuard {
    /// Wraps `stream`. A write may be pending for at most `limit`.
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            stall_timer: None,
            preface: None,
        }
    }

    /// Requires the HTTP/2 preface within `limit`.
    pub(crate) fn with_preface_timeout(mut self, limit: Duration) -> Self {
        self.preface = Some(PrefaceTimeout {
            remaining_bytes: HTTP2_PREFACE_BYTES,
            timer: Box::pin(tokio::time::sleep(limit)),
        });
        self
    }

    /// Closes the connection with a reset, so that what was sent does not look complete.
    pub(crate) fn reset(self) {
        if let Err(error) = self.stream.set_zero_linger() {
            log::warn!(error:%; "failed to reset a caller's connection");
        }
    }

    /// Waits until data can be read or the caller has closed the connection.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    fn check_write<T>(
        &mut self,
        result: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall_timer = None;
            return result;
        }
        let limit = self.limit;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match stall_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let Some(preface) = &mut self.preface else {
            return read;
        };
        if read.is_pending() {
            ready!(preface.timer.as_mut().poll(context));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let read_bytes = buffer.filled().len() - filled_before;
        preface.remaining_bytes = preface.remaining_bytes.saturating_sub(read_bytes);
        if preface.remaining_bytes == 0 {
            self.preface = None;
        }
        read
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(result, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write(result, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
