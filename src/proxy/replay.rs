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
pub(crate) const REPLAY_BUFFER_MAX_BYTES: usize = 192 << 10;

/// A request body, and whether it can be sent again.
#[derive(Debug)]
pub(crate) enum ReplayableBody {
    Empty,
    Streamed(Arc<Mutex<SharedBody>>),
}

#[derive(Debug)]
pub(crate) struct SharedBody {
    incoming: Incoming,
    size_hint: SizeHint,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    /// More was read than is kept.
    unreplayable: bool,
    ended: bool,
    /// The attempt that may read.
    attempt: u32,
    stall_timer: StallTimer,
}

/// Bounds how long a caller may send nothing while its body is waited for.
#[derive(Debug)]
struct StallTimer {
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallTimer {
    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        timer.as_mut().poll(context)
    }

    fn reset(&mut self) {
        if let Some(timer) = &mut self.timer {
            timer.as_mut().reset(Instant::now() + self.limit);
        }
    }
}

fn lock(source: &Mutex<SharedBody>) -> MutexGuard<'_, SharedBody> {
    source.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ReplayableBody {
    pub(crate) fn new(incoming: Incoming, stall_limit: Duration) -> Self {
        if incoming.is_end_stream() {
            return Self::Empty;
        }
        Self::Streamed(Arc::new(Mutex::new(SharedBody {
            size_hint: incoming.size_hint(),
            incoming,
            buffered: Vec::new(),
            buffered_bytes: 0,
            unreplayable: false,
            ended: false,
            attempt: 0,
            stall_timer: StallTimer {
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
    pub(crate) fn min_len_bytes(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::Streamed(source) => lock(source).size_hint.lower(),
        }
    }

    /// The body from its beginning. An earlier one reads nothing from now on: were it still to
    /// read, as a request that was given up a moment ago might, both would get half a body.
    pub(crate) fn next_attempt(&self) -> Body {
        match self {
            Self::Empty => body::empty(),
            Self::Streamed(source) => {
                let mut locked = lock(source);
                locked.attempt += 1;
                body::boxed(AttemptBody {
                    number: locked.attempt,
                    source: Arc::clone(source),
                    next_chunk: 0,
                })
            }
        }
    }

    /// Whether the whole body can still be sent.
    pub(crate) fn can_replay(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Streamed(source) => !lock(source).unreplayable,
        }
    }
}

/// One attempt's reading of the body.
struct AttemptBody {
    source: Arc<Mutex<SharedBody>>,
    number: u32,
    next_chunk: usize,
}

impl HttpBody for AttemptBody {
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
        if let Some(buffered) = source.buffered.get(self.next_chunk) {
            self.next_chunk += 1;
            return Poll::Ready(Some(Ok(Frame::data(buffered.clone()))));
        }
        let frame = ready!(source.poll_frame(context));
        self.next_chunk = source.buffered.len();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        source.ended && self.next_chunk >= source.buffered.len()
    }

    fn size_hint(&self) -> SizeHint {
        match self.next_chunk {
            0 => lock(&self.source).size_hint,
            _ => SizeHint::default(),
        }
    }
}

impl SharedBody {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) else {
            ready!(self.stall_timer.poll_expired(context));
            self.unreplayable = true;
            return Poll::Ready(Some(Err("the caller stopped sending".into())));
        };
        self.stall_timer.reset();
        match frame {
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                self.buffer(&frame);
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.unreplayable = true;
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    fn buffer(&mut self, frame: &Frame<Bytes>) {
        let data = frame.data_ref().filter(|_| !self.unreplayable);
        let room = REPLAY_BUFFER_MAX_BYTES - self.buffered_bytes;
        match data.filter(|data| data.len() <= room) {
            Some(data) => {
                self.buffered_bytes += data.len();
                self.buffered.push(data.clone());
            }
            None => {
                self.unreplayable = true;
                self.buffered.clear();
                self.buffered_bytes = 0;
            }
        }
    }
}
