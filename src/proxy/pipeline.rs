//! HTTP/1 pipelining: callers that send further requests before the first one is answered.
//!
//! hyper serves the requests of a connection one after the other, so each would wait for all
//! responses before it. Therefore the bytes are also parsed on their way to hyper
//! ([`WatchedStream`]), and further requests without a body are [started
//! early](Pipeline::start_early). When hyper reaches such a request, it receives the response that
//! is already in progress ([`Pipeline::take_early_response`]). Responses keep their order because
//! hyper still writes them.
//!
//! The bytes are parsed with httparse, as in hyper. If hyper still parses a request differently,
//! the request that hyper parsed is run as well; therefore only idempotent requests are started
//! early.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::task::AbortOnDropHandle;

use super::body::Body;
use super::caller_body::RequestBodies;

/// Most requests that are parsed ahead on one connection. Clients pipeline only a few, and each
/// uses memory for its head and its response.
const PIPELINED_MAX: usize = 16;

/// Most bytes that are read from a connection ahead of hyper. Holds the heads of a few requests.
const BUFFER_MAX_BYTES: usize = 16 << 10;

/// Most header fields in one head, the same limit as in hyper.
const HEADERS_MAX: usize = 100;

/// A request that was parsed ahead of hyper.
struct PipelinedRequest {
    parts: Parts,
    response_task: Option<AbortOnDropHandle<Response<Body>>>,
}

/// The requests parsed ahead on one connection.
#[derive(Default)]
struct PipelinedRequests {
    /// Start of a head that is not complete yet.
    partial: BytesMut,
    pending: VecDeque<PipelinedRequest>,
    /// Set when the bytes cannot be parsed ahead any more, for example because a request has a
    /// body.
    stopped_parsing: bool,
}

impl PipelinedRequests {
    fn parse_bytes(&mut self, bytes: &[u8], head_max_bytes: usize) {
        if self.stopped_parsing {
            return;
        }
        self.partial.extend_from_slice(bytes);
        while !self.partial.is_empty() {
            let full = self.pending.len() >= PIPELINED_MAX || self.partial.len() > head_max_bytes;
            match parse(&self.partial) {
                Parsed::Head(parts, len_bytes) if !full => {
                    self.partial.advance(len_bytes);
                    let response_task = None;
                    let parts = *parts;
                    self.pending.push_back(PipelinedRequest {
                        parts,
                        response_task,
                    });
                }
                Parsed::Partial if !full => return,
                _ => {
                    self.stopped_parsing = true;
                    self.partial = BytesMut::new();
                    return;
                }
            }
        }
        // Frees the buffer, so that an idle connection uses no memory for it.
        self.partial = BytesMut::new();
    }
}

enum Parsed {
    Head(Box<Parts>, usize),
    Partial,
    /// A request with a body, or no valid request.
    Unsupported,
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut fields);
    let len_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(len_bytes)) => len_bytes,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Unsupported,
    };
    match to_parts(&request) {
        Some(parts) if has_no_body(&parts) => Parsed::Head(Box::new(parts), len_bytes),
        _ => Parsed::Unsupported,
    }
}

fn to_parts(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut builder = Request::builder()
        .method(request.method?)
        .uri(request.path?);
    for field in request.headers.iter() {
        let value = HeaderValue::from_bytes(field.value).ok()?;
        builder = builder.header(field.name, value);
    }
    let (parts, ()) = builder.body(()).ok()?.into_parts();
    Some(parts)
}

/// Whether the head is followed directly by the next request.
fn has_no_body(parts: &Parts) -> bool {
    let body_headers = [
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
    ];
    body_headers
        .iter()
        .all(|name| !parts.headers.contains_key(name))
}

struct Shared<S> {
    /// `None` after hyper has returned the stream.
    stream: Option<S>,
    head_max_bytes: usize,
    /// Bytes read ahead of hyper.
    buffer: BytesMut,
    /// Set when the caller has closed the connection or reading failed.
    ended: bool,
    requests: PipelinedRequests,
    /// Requests whose responses hyper has not finished writing.
    active_requests: usize,
    /// Whether hyper has served any request on this connection.
    had_request: bool,
    /// Whether hyper has flushed everything that it wrote.
    flushed: bool,
    /// Whether hyper's last read found no data.
    read_pending: bool,
    /// Whether hyper has read data since [`Pipeline::poll_read_ahead`] last reported it.
    hyper_read: bool,
    /// Whether the end of the connection is the end of the current response.
    ends_response: bool,
}

impl<S: Unpin> Shared<S> {
    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        let stream = self.stream.as_mut();
        stream
            .map(Pin::new)
            .ok_or(io::ErrorKind::NotConnected.into())
    }
}

/// A request that is being served. Dropped at the end of its response.
pub(crate) struct ActiveRequest<S>(Pipeline<S>);

impl<S> Drop for ActiveRequest<S> {
    fn drop(&mut self) {
        self.0.lock().active_requests -= 1;
    }
}

/// Requests and read-ahead buffer of one connection. Clones share them.
pub(crate) struct Pipeline<S> {
    shared: Arc<Mutex<Shared<S>>>,
    bodies: Arc<RequestBodies>,
}

impl<S> Clone for Pipeline<S> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            bodies: Arc::clone(&self.bodies),
        }
    }
}

impl<S> Pipeline<S> {
    /// Wraps `stream`. `unread` are bytes that were already read from it; heads are limited to
    /// `head_max_bytes`. The returned stream is for hyper.
    pub(crate) fn new(stream: S, unread: Bytes, head_max_bytes: usize) -> (Self, WatchedStream<S>) {
        let mut requests = PipelinedRequests::default();
        requests.parse_bytes(&unread, head_max_bytes);
        let pipeline = Self {
            shared: Arc::new(Mutex::new(Shared {
                stream: Some(stream),
                head_max_bytes,
                buffer: BytesMut::from(&unread[..]),
                ended: false,
                requests,
                active_requests: 0,
                had_request: false,
                flushed: true,
                read_pending: false,
                hyper_read: false,
                ends_response: false,
            })),
            bodies: Arc::default(),
        };
        (pipeline.clone(), WatchedStream(pipeline))
    }

    /// Limit on the head of a request, in bytes.
    pub(crate) fn head_max_bytes(&self) -> usize {
        self.lock().head_max_bytes
    }

    /// Counts a request as active until the returned guard is dropped.
    pub(crate) fn begin_request(&self) -> ActiveRequest<S> {
        let mut shared = self.lock();
        shared.active_requests += 1;
        shared.had_request = true;
        ActiveRequest(self.clone())
    }

    /// Records that the current response has no other end than that of the connection.
    pub(crate) fn set_ends_response(&self) {
        self.lock().ends_response = true;
    }

    /// Whether a regular end of the connection would make the current response look complete.
    pub(crate) fn ends_response(&self) -> bool {
        self.lock().ends_response
    }

    /// The request bodies of the connection.
    pub(crate) fn bodies(&self) -> &Arc<RequestBodies> {
        &self.bodies
    }

    /// Whether at least one request was served, all are answered, and their responses are written completely.
    ///
    /// hyper flushes the stream only after it has written everything. Releasing the connection
    /// before that would truncate a response.
    pub(crate) fn is_answered(&self) -> bool {
        let shared = self.lock();
        shared.had_request && shared.active_requests == 0 && shared.flushed
    }

    /// Whether all requests are answered, and the caller has sent nothing more. The rest of a request body may arrive long
    /// after the response, and would be taken for a request.
    pub(crate) fn is_idle(&self) -> bool {
        if !self.is_answered() || !self.bodies.are_complete() {
            return false;
        }
        let shared = self.lock();
        let waiting = shared.read_pending && shared.buffer.is_empty() && !shared.ended;
        waiting && shared.requests.pending.is_empty()
    }

    /// Takes the stream back from hyper, with the bytes already read of the next request. `unread`
    /// are the bytes that hyper has read. `None` if the caller has closed the connection.
    pub(crate) fn into_stream(
        self,
        watched_stream: WatchedStream<S>,
        unread: Bytes,
    ) -> Option<(S, Bytes)> {
        drop(watched_stream);
        let mut shared = self.lock();
        if shared.ended {
            return None;
        }
        let stream = shared.stream.take()?;
        if shared.buffer.is_empty() {
            return Some((stream, unread));
        }
        let mut combined = BytesMut::from(&unread[..]);
        combined.extend_from_slice(&shared.buffer);
        Some((stream, combined.freeze()))
    }

    fn lock(&self) -> MutexGuard<'_, Shared<S>> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The response task of the request that hyper has reached, if it was started early.
    pub(crate) fn take_early_response(
        &self,
        parts: &Parts,
    ) -> Option<AbortOnDropHandle<Response<Body>>> {
        let mut shared = self.lock();
        let request = shared.requests.pending.pop_front()?;
        let same = request.parts.method == parts.method
            && request.parts.uri == parts.uri
            && request.parts.headers == parts.headers;
        if !same {
            log::debug!(uri:% = parts.uri; "a pipelined request was parsed differently by hyper; no further request of this connection starts early");
            shared.requests.pending.clear();
            shared.requests.stopped_parsing = true;
            return None;
        }
        request.response_task
    }

    /// Whether requests behind the current one run already.
    pub(crate) fn has_early_requests(&self) -> bool {
        let shared = self.lock();
        let mut pending = shared.requests.pending.iter();
        pending.any(|request| request.response_task.is_some())
    }

    /// Starts the parsed requests that are not running yet. `start` returns `None` for a request
    /// that must not start early; the requests behind it then wait, too.
    pub(crate) fn start_early(
        &self,
        mut start: impl FnMut(&Parts) -> Option<AbortOnDropHandle<Response<Body>>>,
    ) {
        let mut shared = self.lock();
        for request in &mut shared.requests.pending {
            if request.response_task.is_none() {
                request.response_task = start(&request.parts);
            }
            if request.response_task.is_none() {
                return;
            }
        }
    }
}

impl<S: AsyncRead + Unpin> Pipeline<S> {
    /// Reads what the caller sends while a request is being answered. Returns `true` when more
    /// requests may have been parsed, and `false` when the caller has closed the connection and no
    /// longer waits for the response.
    ///
    /// hyper detects a closed connection only while its own buffer is empty, so it would miss a
    /// caller that pipelines requests and disconnects. While it checks, it may read one further
    /// request itself; the `hyper_read` flag reports that. No wake-up is needed, because hyper
    /// reads in the same task before it polls the response future that calls this function.
    pub(crate) fn poll_read_ahead(&self, context: &mut Context<'_>) -> Poll<bool> {
        let mut shared = self.lock();
        if shared.ended {
            return Poll::Ready(false);
        }
        if std::mem::take(&mut shared.hyper_read) {
            return Poll::Ready(true);
        }
        if shared.buffer.len() >= BUFFER_MAX_BYTES {
            return Poll::Pending;
        }
        let mut chunk = [0; 4_096];
        let mut read = ReadBuf::new(&mut chunk);
        let stream = match shared.stream() {
            Ok(stream) => stream,
            Err(_) => return Poll::Ready(false),
        };
        let polled = ready!(stream.poll_read(context, &mut read));
        let bytes = read.filled();
        if polled.is_err() || bytes.is_empty() {
            shared.ended = true;
            return Poll::Ready(false);
        }
        shared.buffer.extend_from_slice(bytes);
        let head_max_bytes = shared.head_max_bytes;
        shared.requests.parse_bytes(bytes, head_max_bytes);
        Poll::Ready(true)
    }
}

/// The stream that hyper reads and writes. Parses the bytes that pass through.
pub(crate) struct WatchedStream<S>(Pipeline<S>);

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.0.lock();
        if !shared.buffer.is_empty() {
            let len_bytes = shared.buffer.len().min(buffer.remaining());
            buffer.put_slice(&shared.buffer.split_to(len_bytes));
            if shared.buffer.is_empty() {
                shared.buffer = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        if shared.ended {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = shared.stream()?.poll_read(context, buffer);
        shared.read_pending = polled.is_pending();
        ready!(polled)?;
        shared.hyper_read = true;
        let head_max_bytes = shared.head_max_bytes;
        shared
            .requests
            .parse_bytes(&buffer.filled()[before..], head_max_bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.lock();
        shared.flushed = false;
        shared.stream()?.poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.0.lock();
        ready!(shared.stream()?.poll_flush(context))?;
        shared.flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.lock().stream()?.poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.lock();
        shared.flushed = false;
        shared.stream()?.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        let shared = self.0.lock();
        shared
            .stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }
}
