//! The body type of requests and responses, and bodies that hold a guard until they end.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
pub(crate) type Body = UnsyncBoxBody<Bytes, BoxError>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

pub(crate) fn boxed<B>(body: B) -> Body
where
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A body that holds `guard` until it is dropped, usually after it has been read to its end.
pub(crate) struct GuardedBody<G> {
    inner: Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(inner: Body, guard: G) -> Self {
        Self {
            inner,
            _guard: guard,
        }
    }
}

impl<G: Unpin> HttpBody for GuardedBody<G> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body that reports an error one poll late, so that its reader can write out first what came before it.
///
/// hyper drops what it holds of a response when the body fails, its head included.
pub(crate) struct DeferredErrorBody {
    inner: Body,
    error: Option<BoxError>,
}

impl DeferredErrorBody {
    pub(crate) fn new(inner: Body) -> Self {
        Self { inner, error: None }
    }
}

impl HttpBody for DeferredErrorBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body whose first part, or all of it, has been read into memory.
pub(crate) struct BufferedBody {
    frames: VecDeque<Frame<Bytes>>,
    buffered_bytes: u64,
    buffer_max_bytes: u64,
    size_hint: SizeHint,
    ended: bool,
    inner: Body,
}

impl BufferedBody {
    /// Reads at most `buffer_max_bytes`, and the last frame beyond them, into memory.
    pub(crate) fn new(body: Body, buffer_max_bytes: u64) -> Self {
        Self {
            frames: VecDeque::new(),
            buffered_bytes: 0,
            buffer_max_bytes,
            size_hint: body.size_hint(),
            ended: false,
            inner: body,
        }
    }

    /// Reads until the body ends or the buffer is full.
    pub(crate) async fn fill(&mut self) -> Result<(), BoxError> {
        while !self.inner.is_end_stream() && self.buffered_bytes < self.buffer_max_bytes {
            let Some(frame) = self.inner.frame().await else {
                self.ended = true;
                break;
            };
            let frame = frame?;
            self.buffered_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            self.frames.push_back(frame);
        }
        Ok(())
    }
}

impl HttpBody for BufferedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && (self.ended || self.inner.is_end_stream())
    }

    /// The size that the sender declared. It does not shrink as the body is read; callers use it
    /// only before the first read.
    fn size_hint(&self) -> SizeHint {
        self.size_hint
    }
}
