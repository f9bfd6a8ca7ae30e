//! Callers that send further requests before the first one is answered.
//!
//! The HTTP library takes the requests of a connection one after the other, so each would wait for the answers to all
//! before it. Therefore the bytes are looked at as they pass to the library ([`WatchedStream`]), further requests without a
//! body are [started early](Pipeline::start_early), and when the library comes to one of them it is given the answer
//! that is under way ([`Pipeline::take_early_response`]). Answers keep their order, as the library still writes them.
//!
//! The bytes are looked at by the parser that the library itself uses. A request that the two were to read
//! differently is started anew; only requests that may run twice are started early.

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

/// Requests of one connection that are known ahead of the one being answered. A caller's library
/// sends a handful; each holds memory for its head and its answer.
const PIPELINED_MAX: usize = 16;

/// Bytes read from a connection ahead of the library: heads of a few requests.
const BUFFER_MAX_BYTES: usize = 16 << 10;

/// Fields of one head, as in the HTTP library.
const HEADERS_MAX: usize = 100;

/// A request known ahead: the library will come to it.
struct PipelinedRequest {
    parts: Parts,
    response_task: Option<AbortOnDropHandle<Response<Body>>>,
}

/// What is known of the requests of one connection.
#[derive(Default)]
struct PipelinedRequests {
    /// Bytes of a head that is not complete yet.
    partial: BytesMut,
    pending: VecDeque<PipelinedRequest>,
    /// Something was sent that is not looked at, such as a body; nothing is known from then on.
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
        // An idle connection keeps no buffer.
        self.partial = BytesMut::new();
    }
}

enum Parsed {
    Head(Box<Parts>, usize),
    Partial,
    /// A body follows, or it is no request.
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

/// Whether nothing but the next request follows the head.
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
    /// Taken when the library is done with it.
    stream: Option<S>,
    head_max_bytes: usize,
    /// Read ahead of the library.
    buffer: BytesMut,
    /// The caller has closed, or the connection broke.
    ended: bool,
    requests: PipelinedRequests,
    /// Requests whose answers the library has not taken whole yet.
    active_requests: usize,
    /// Whether there was a request at all.
    had_request: bool,
    /// The library has written all that it was given.
    flushed: bool,
    /// The library has looked for a request and found nothing.
    read_pending: bool,
    /// The library has read something since [`Pipeline::poll_read_ahead`] last said so.
    library_read: bool,
}

impl<S: Unpin> Shared<S> {
    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        let stream = self.stream.as_mut();
        stream
            .map(Pin::new)
            .ok_or(io::ErrorKind::NotConnected.into())
    }
}

/// A request that is being served, up to the end of its answer.
pub(crate) struct ActiveRequest<S>(Pipeline<S>);

impl<S> Drop for ActiveRequest<S> {
    fn drop(&mut self) {
        self.0.lock().active_requests -= 1;
    }
}

/// The requests of one connection.
pub(crate) struct Pipeline<S> {
    shared: Arc<Mutex<Shared<S>>>,
}

impl<S> Clone for Pipeline<S> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<S> Pipeline<S> {
    /// Watches `stream`, of which `unread` was read already; heads are at most `head_max_bytes`
    /// long. The library gets the second half.
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
                library_read: false,
            })),
        };
        (pipeline.clone(), WatchedStream(pipeline))
    }

    /// Longest head of a request, in bytes.
    pub(crate) fn head_max_bytes(&self) -> usize {
        self.lock().head_max_bytes
    }

    /// Notes that a request is being served.
    pub(crate) fn begin_request(&self) -> ActiveRequest<S> {
        let mut shared = self.lock();
        shared.active_requests += 1;
        shared.had_request = true;
        ActiveRequest(self.clone())
    }

    /// Whether requests were served, all are answered, and the caller has sent nothing more. The library flushes the
    /// stream only once it has nothing left to write; before that, letting go of the connection would cut an answer.
    pub(crate) fn is_idle(&self) -> bool {
        let shared = self.lock();
        let answered = shared.had_request && shared.active_requests == 0 && shared.flushed;
        let waiting = shared.read_pending && shared.buffer.is_empty() && !shared.ended;
        answered && waiting && shared.requests.pending.is_empty()
    }

    /// The stream back from the library, and what was read of the next request: `unread` is what the
    /// library has of it. None if the caller has closed.
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

    /// The answer that was started early for the request that the library has come to, if any.
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
            log::debug!(uri:% = parts.uri; "a request was read in two ways; none is started early");
            shared.requests.pending.clear();
            shared.requests.stopped_parsing = true;
            return None;
        }
        request.response_task
    }

    /// Starts the requests that are known ahead and not started yet. `start` declines what may not
    /// run early, and nothing behind such a request is started either.
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
    /// Reads what the caller sends while a request is being answered. Ready once more requests may be known, or with
    /// false once the caller has closed: nobody waits for the answer then.
    ///
    /// The library looks for the end of a connection only while it holds no bytes of a further request, so a caller that
    /// pipelines and leaves would go unnoticed. While it looks it reads one further request itself, which counts as well.
    /// It reads before it polls the answer that this is a part of, in the same task, so nobody has to be woken.
    pub(crate) fn poll_read_ahead(&self, context: &mut Context<'_>) -> Poll<bool> {
        let mut shared = self.lock();
        if shared.ended {
            return Poll::Ready(false);
        }
        if std::mem::take(&mut shared.library_read) {
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

/// The connection as the library reads and writes it.
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
        shared.library_read = true;
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
