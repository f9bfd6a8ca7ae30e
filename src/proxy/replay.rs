//! A caller's request body that can be sent again as long as little of it has been read.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use super::body::{self, Body, BoxError};

/// Bytes kept for a retry. Payments and bookings are a few KB. Of what is longer than this a gate reads
/// nothing before it has admitted the request, and until then takes a window of 64 KiB; with one read
/// of the caller's connection on top this is enough for an upload of any size that was refused or had to
/// wait.
pub(crate) const KEPT_MAX_BYTES: usize = 192 << 10;

/// A request body, and whether it can be sent again.
#[derive(Debug)]
pub(crate) enum Replay {
    Empty,
    Streamed(Arc<Mutex<Source>>),
}

#[derive(Debug)]
pub(crate) struct Source {
    incoming: Incoming,
    size: SizeHint,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    /// More was read than is kept.
    outgrown: bool,
    ended: bool,
    /// The attempt that may read.
    attempt: u32,
    stall: Stall,
}

/// Bounds how long a caller may send nothing while its body is waited for.
#[derive(Debug)]
struct Stall {
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stall {
    fn poll_passed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        timer.as_mut().poll(context)
    }

    fn restart(&mut self) {
        if let Some(timer) = &mut self.timer {
            timer.as_mut().reset(Instant::now() + self.limit);
        }
    }
}

fn lock(source: &Mutex<Source>) -> MutexGuard<'_, Source> {
    source.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Replay {
    pub(crate) fn new(incoming: Incoming, stall_limit: Duration) -> Self {
        if incoming.is_end_stream() {
            return Self::Empty;
        }
        Self::Streamed(Arc::new(Mutex::new(Source {
            size: incoming.size_hint(),
            incoming,
            kept: Vec::new(),
            kept_bytes: 0,
            outgrown: false,
            ended: false,
            attempt: 0,
            stall: Stall {
                limit: stall_limit,
                timer: None,
            },
        })))
    }

    /// Whether there is no body.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// How long the body is at least, as far as its caller says.
    pub(crate) fn least_len_bytes(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::Streamed(source) => lock(source).size.lower(),
        }
    }

    /// The body from its beginning. An earlier one reads nothing from now on: were it still to
    /// read, as a request that was given up a moment ago might, both would get half a body.
    pub(crate) fn next(&self) -> Body {
        match self {
            Self::Empty => body::empty(),
            Self::Streamed(source) => {
                let mut locked = lock(source);
                locked.attempt += 1;
                body::boxed(Attempt {
                    number: locked.attempt,
                    source: Arc::clone(source),
                    sent: 0,
                })
            }
        }
    }

    /// Whether the whole body can still be sent.
    pub(crate) fn has_next(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Streamed(source) => !lock(source).outgrown,
        }
    }
}

/// One attempt's reading of the body.
struct Attempt {
    source: Arc<Mutex<Source>>,
    number: u32,
    sent: usize,
}

impl HttpBody for Attempt {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let source = Arc::clone(&self.source);
        let mut source = lock(&source);
        if source.attempt != self.number {
            return Poll::Ready(Some(Err("a later attempt sends this body".into())));
        }
        if let Some(kept) = source.kept.get(self.sent) {
            self.sent += 1;
            return Poll::Ready(Some(Ok(Frame::data(kept.clone()))));
        }
        let frame = ready!(source.poll_frame(context));
        self.sent = source.kept.len();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        source.ended && self.sent >= source.kept.len()
    }

    fn size_hint(&self) -> SizeHint {
        match self.sent {
            0 => lock(&self.source).size,
            _ => SizeHint::default(),
        }
    }
}

impl Source {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) else {
            ready!(self.stall.poll_passed(context));
            self.outgrown = true;
            return Poll::Ready(Some(Err("the caller stopped sending".into())));
        };
        self.stall.restart();
        match frame {
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                self.keep(&frame);
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.outgrown = true;
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    fn keep(&mut self, frame: &Frame<Bytes>) {
        let data = frame.data_ref().filter(|_| !self.outgrown);
        let room = KEPT_MAX_BYTES - self.kept_bytes;
        match data.filter(|data| data.len() <= room) {
            Some(data) => {
                self.kept_bytes += data.len();
                self.kept.push(data.clone());
            }
            None => {
                self.outgrown = true;
                self.kept.clear();
                self.kept_bytes = 0;
            }
        }
    }
}
