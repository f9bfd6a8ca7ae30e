//! A caller's request body that can be sent again as long as everything read of it fits in a
//! buffer.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

use super::body::{self, Body, BoxError};
use super::caller_body::CallerBody;
use crate::core::request_digest::BodyDigest;

/// Bytes of a request body that are buffered for a retry. Payments and bookings are a few KB. Of a
/// longer body, a gate accepts only a window of 64 KiB before the request is admitted. Together
/// with one read of the caller's connection this fits, so an upload of any length can be retried if
/// it was refused or had to wait.
pub(crate) const REPLAY_BUFFER_MAX_BYTES: usize = 192 << 10;

/// Bytes of a request body that are read before the request is sent, if they decide whether it is sent.
const READ_AHEAD_MAX_BYTES: usize = 64 << 10;

/// A request body that can be sent more than once.
#[derive(Debug)]
pub(crate) enum ReplayableBody {
    Empty,
    Streamed(Arc<Mutex<SharedBody>>),
}

#[derive(Debug)]
pub(crate) struct SharedBody {
    incoming: CallerBody,
    size_hint: SizeHint,
    buffered: Vec<Part>,
    buffered_bytes: usize,
    /// Set when more was read than is buffered, or reading failed.
    unreplayable: bool,
    ended: bool,
    /// Number of the attempt that may read the body.
    attempt: u32,
    stall_timer: StallTimer,
}

/// A part of a body that can be sent again.
#[derive(Clone, Debug)]
enum Part {
    Data(Bytes),
    Trailers(HeaderMap),
}

impl Part {
    /// `None` for a frame of a kind that HTTP does not have yet.
    fn of(frame: &Frame<Bytes>) -> Option<Self> {
        let data = frame.data_ref().cloned().map(Self::Data);
        data.or_else(|| frame.trailers_ref().cloned().map(Self::Trailers))
    }

    fn into_frame(self) -> Frame<Bytes> {
        match self {
            Self::Data(data) => Frame::data(data),
            Self::Trailers(trailers) => Frame::trailers(trailers),
        }
    }

    fn data(&self) -> &[u8] {
        match self {
            Self::Data(data) => data,
            Self::Trailers(_) => &[],
        }
    }

    /// Bytes that it occupies in the buffer.
    fn len_bytes(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::Trailers(trailers) => {
                let fields = trailers.iter();
                fields
                    .map(|(name, value)| name.as_str().len() + value.len())
                    .sum()
            }
        }
    }
}

/// Limits how long a caller may send nothing while its body is being read.
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
    pub(crate) fn new(incoming: CallerBody, stall_limit: Duration) -> Self {
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

    /// Whether the request has no body.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// Lower bound of the body's length, as far as the caller declared it.
    pub(crate) fn min_len_bytes(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::Streamed(source) => lock(source).size_hint.lower(),
        }
    }

    /// The body from its start, for a new attempt. The body of the previous attempt then fails when
    /// it is read. Otherwise an attempt that was just abandoned could still read, and each would
    /// get a part of the body.
    pub(crate) fn next_attempt(&self) -> Body {
        match self {
            Self::Empty => body::empty(),
            Self::Streamed(source) => {
                let mut locked = lock(source);
                locked.attempt += 1;
                body::boxed(AttemptBody {
                    number: locked.attempt,
                    source: Arc::clone(source),
                    next_part: 0,
                    has_started: false,
                })
            }
        }
    }

    /// Digest of the body if all of it has been read and is buffered, else of its declared length.
    pub(crate) fn digest(&self) -> BodyDigest {
        match self {
            Self::Empty => BodyDigest::EMPTY,
            Self::Streamed(source) => lock(source).digest(),
        }
    }

    /// Digest of what is known of the body before it is read.
    pub(crate) fn length_digest(&self) -> BodyDigest {
        match self {
            Self::Empty => BodyDigest::EMPTY,
            Self::Streamed(source) => lock(source).length_digest(),
        }
    }

    /// Reads a short body into the buffer, so that [`Self::digest`] is that of its content. Does nothing if its declared
    /// length exceeds [`READ_AHEAD_MAX_BYTES`], and stops at that length if none is declared. Returns whether an attempt
    /// can still read the whole body.
    pub(crate) async fn read_ahead(&self) -> bool {
        let Self::Streamed(source) = self else {
            return true;
        };
        if self.min_len_bytes() > READ_AHEAD_MAX_BYTES as u64 {
            return true;
        }
        while lock(source).may_read_ahead() {
            poll_fn(|context| lock(source).poll_frame(context)).await;
        }
        self.can_replay()
    }

    /// Whether the whole body can be sent again.
    pub(crate) fn can_replay(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Streamed(source) => !lock(source).unreplayable,
        }
    }
}

/// The body as one attempt reads it.
struct AttemptBody {
    source: Arc<Mutex<SharedBody>>,
    number: u32,
    next_part: usize,
    has_started: bool,
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
            return Poll::Ready(Some(Err("a later attempt took over this body".into())));
        }
        if let Some(part) = source.buffered.get(self.next_part).cloned() {
            self.next_part += 1;
            self.has_started = true;
            return Poll::Ready(Some(Ok(part.into_frame())));
        }
        if source.unreplayable && !self.has_started {
            return Poll::Ready(Some(Err("the start of this body was sent before".into())));
        }
        let frame = ready!(source.poll_frame(context));
        self.next_part = source.buffered.len();
        self.has_started = true;
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        let is_whole = self.has_started || !source.unreplayable;
        source.ended && is_whole && self.next_part >= source.buffered.len()
    }

    fn size_hint(&self) -> SizeHint {
        match self.next_part {
            0 => lock(&self.source).size_hint,
            _ => SizeHint::default(),
        }
    }
}

impl SharedBody {
    fn may_read_ahead(&self) -> bool {
        !self.ended && !self.unreplayable && self.buffered_bytes < READ_AHEAD_MAX_BYTES
    }

    fn digest(&self) -> BodyDigest {
        if self.ended && !self.unreplayable {
            return BodyDigest::of_chunks(self.buffered.iter().map(Part::data));
        }
        self.length_digest()
    }

    fn length_digest(&self) -> BodyDigest {
        BodyDigest::of_length(self.size_hint.exact())
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(frame) = self.incoming.poll_frame(context) else {
            ready!(self.stall_timer.poll_expired(context));
            self.unreplayable = true;
            self.incoming.give_up();
            return Poll::Ready(Some(Err(
                "the caller sent no data within the stall limit".into()
            )));
        };
        self.stall_timer.reset();
        match frame {
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                self.ended = self.incoming.is_end_stream();
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
        let part = Part::of(frame).filter(|_| !self.unreplayable);
        let room = REPLAY_BUFFER_MAX_BYTES - self.buffered_bytes;
        match part.filter(|part| part.len_bytes() <= room) {
            Some(part) => {
                self.buffered_bytes += part.len_bytes();
                self.buffered.push(part);
            }
            None => {
                self.unreplayable = true;
                self.buffered.clear();
                self.buffered_bytes = 0;
            }
        }
    }
}
