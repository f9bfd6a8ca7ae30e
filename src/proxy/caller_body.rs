//! The body of a caller's request, and what becomes of the part that nobody reads.
//!
//! A response may be complete before the body of its request has arrived. The next request on an HTTP/1 connection begins
//! behind that body. [`RequestBodies`] therefore tracks the bodies of a connection until they end. The rest of a body that
//! its reader has dropped is read and discarded, within limits. Beyond them the connection is not used again.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};
use tokio::sync::Notify;

/// Most bytes of a body that are read and discarded to keep its connection. A new connection costs less than a longer body.
pub(super) const DISCARD_MAX_BYTES: u64 = 1 << 20;

/// Longest time in which the rest of a body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The caller has closed the connection, or what it sent is no valid body.
    #[snafu(display("the body of the caller's request failed"))]
    Receive {
        /// The error of the connection.
        source: hyper::Error,
    },
    /// Reading has been given up before.
    #[snafu(display("the body of the caller's request was given up"))]
    GivenUp,
}

/// Result of reading a caller's body.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether the caller waits for `100 Continue` before it sends the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expectation {
    None,
    Continue,
}

#[derive(Debug)]
enum Source {
    Open(Incoming),
    Ended,
    GivenUp,
}

/// The body of a caller's request. The rest of it is handed back to its connection on drop.
#[derive(Debug)]
pub(crate) struct CallerBody {
    source: Source,
    /// `None` on HTTP/2, where each request has a stream of its own.
    connection: Option<Arc<RequestBodies>>,
    expectation: Expectation,
    /// Whether the body has been asked for data, upon which hyper sends `100 Continue`.
    requested: bool,
}

impl CallerBody {
    /// The body of a request on an HTTP/2 connection.
    pub(crate) fn of_stream(incoming: Incoming) -> Self {
        Self::new(incoming, None, Expectation::None)
    }

    /// The body of a request on the HTTP/1 connection to which `bodies` belongs.
    pub(crate) fn of_connection(
        incoming: Incoming,
        bodies: &Arc<RequestBodies>,
        expectation: Expectation,
    ) -> Self {
        Self::new(incoming, Some(Arc::clone(bodies)), expectation)
    }

    fn new(
        incoming: Incoming,
        connection: Option<Arc<RequestBodies>>,
        expectation: Expectation,
    ) -> Self {
        let source = match incoming.is_end_stream() {
            true => Source::Ended,
            false => Source::Open(incoming),
        };
        if let (Source::Open(_), Some(connection)) = (&source, &connection) {
            connection.lock().open += 1;
            connection.changed.notify_one();
        }
        Self {
            source,
            connection,
            expectation,
            requested: false,
        }
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Ended)
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Open(incoming) => incoming.size_hint(),
            Source::Ended | Source::GivenUp => SizeHint::with_exact(0),
        }
    }

    pub(crate) fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let incoming = match &mut self.source {
            Source::Open(incoming) => incoming,
            Source::Ended => return Poll::Ready(None),
            Source::GivenUp => return Poll::Ready(Some(GivenUpSnafu.fail())),
        };
        self.requested = true;
        let frame = ready!(Pin::new(&mut *incoming).poll_frame(context));
        let has_ended = incoming.is_end_stream();
        match frame {
            Some(Ok(frame)) => {
                self.record_progress();
                if has_ended {
                    self.close(Source::Ended);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.give_up();
                Poll::Ready(Some(Err(error).context(ReceiveSnafu)))
            }
            None => {
                self.close(Source::Ended);
                Poll::Ready(None)
            }
        }
    }

    /// Ends reading for good. The connection is not used for another request.
    pub(crate) fn give_up(&mut self) {
        self.close(Source::GivenUp);
    }

    fn close(&mut self, closed: Source) {
        let is_open = matches!(self.source, Source::Open(_));
        if let (true, Some(connection)) = (is_open, &self.connection) {
            connection.record_end(&closed);
        }
        self.source = closed;
    }

    fn record_progress(&self) {
        if let Some(connection) = &self.connection {
            connection.lock().progress_count += 1;
        }
    }

    /// Whether the rest is worth reading for the connection. A caller that still waits for `100 Continue` may never send
    /// the body, and send another request in its place.
    fn is_discardable(&self) -> bool {
        let announced = self.expectation == Expectation::None || self.requested;
        announced && self.size_hint().lower() <= DISCARD_MAX_BYTES
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        let is_discardable = self.is_discardable();
        let Some(connection) = &self.connection else {
            return;
        };
        let Source::Open(incoming) = std::mem::replace(&mut self.source, Source::GivenUp) else {
            return;
        };
        match is_discardable {
            true => {
                connection.lock().unread.push(incoming);
                connection.changed.notify_one();
            }
            false => connection.record_unread_end(Source::GivenUp),
        }
    }
}

#[derive(Debug, Default)]
struct BodiesState {
    /// Bodies that have not ended.
    open: usize,
    /// Bodies among these that nobody reads.
    unread: Vec<Incoming>,
    /// Whether a body ended before its last byte.
    broken: bool,
    /// Counts the frames that readers have received.
    progress_count: u64,
}

/// What happened to the request bodies of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEvent {
    /// A body has begun or ended.
    Changed,
    /// No reader has received anything for the time limit, and a body is open.
    Stalled,
}

/// The request bodies of one HTTP/1 connection.
#[derive(Debug, Default)]
pub(crate) struct RequestBodies {
    state: Mutex<BodiesState>,
    changed: Notify,
}

impl RequestBodies {
    /// Whether each body has been read to its end, so that the next byte on the connection begins a request.
    pub(crate) fn are_complete(&self) -> bool {
        let state = self.lock();
        state.open == 0 && !state.broken
    }

    /// Whether a body ended before its last byte. The connection can carry no further request.
    pub(crate) fn are_broken(&self) -> bool {
        self.lock().broken
    }

    /// Discards what nobody reads, and returns the next event. A reader may receive nothing for `stall_limit`.
    pub(crate) async fn next_event(&self, stall_limit: Duration) -> BodyEvent {
        let changed = self.changed.notified();
        let (unread, has_open, progress_count) = {
            let mut state = self.lock();
            (state.unread.pop(), state.open > 0, state.progress_count)
        };
        if let Some(unread) = unread {
            self.record_unread_end(discard(unread).await);
            return BodyEvent::Changed;
        }
        if !has_open {
            changed.await;
            return BodyEvent::Changed;
        }
        let is_idle = tokio::time::timeout(stall_limit, changed).await.is_err();
        match is_idle && self.lock().progress_count == progress_count {
            true => BodyEvent::Stalled,
            false => BodyEvent::Changed,
        }
    }

    /// Records the end of a body that its reader had dropped.
    fn record_unread_end(&self, closed: Source) {
        let outcome = match closed {
            Source::Ended => "discarded",
            Source::Open(_) | Source::GivenUp => "given-up",
        };
        metrics::counter!("dragonflywall_unread_request_bodies_total", "outcome" => outcome)
            .increment(1);
        self.record_end(&closed);
    }

    fn record_end(&self, closed: &Source) {
        let mut state = self.lock();
        state.open -= 1;
        state.broken |= !matches!(closed, Source::Ended);
        drop(state);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, BodiesState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the rest of a body and discards it. Returns how the body ended.
async fn discard(mut body: Incoming) -> Source {
    let mut remaining_bytes = DISCARD_MAX_BYTES;
    let reading = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Source::GivenUp;
            };
            let len_bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            match remaining_bytes.checked_sub(len_bytes) {
                Some(remaining) => remaining_bytes = remaining,
                None => return Source::GivenUp,
            }
        }
        Source::Ended
    };
    let ended = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
    ended.unwrap_or(Source::GivenUp)
}
