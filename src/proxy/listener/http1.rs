//! Serves one HTTP/1 connection of a caller.
//!
//! Callers keep many connections open and use few at a time, and hyper uses about 30 KB per
//! connection. hyper therefore serves a connection only while it has requests. An idle connection
//! is reduced to its TCP stream and is handed to hyper again when the caller sends data.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::callers::{http_limits, serve_caller_request};
use crate::proxy::caller_body::{BodyEvent, DISCARD_MAX_BYTES};
use crate::proxy::caller_connections::ConnectionGuard;
use crate::proxy::pipeline::{Pipeline, WatchedStream};
use crate::proxy::stall::StallGuard;
use crate::proxy::state::ProxyState;
use crate::util::deadline;

/// Size and time limits for requests on a caller's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct HttpLimits {
    pub(super) head_max_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub(super) head_timeout: Duration,
    /// Longest time between two requests.
    pub(super) idle_timeout: Duration,
}

/// Least read buffer that hyper accepts. Heads are held to a lower limit when they are complete.
const READ_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Longest time in which the caller's last bytes are read after the connection has been closed for writing.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection without requests in progress.
struct IdleConnection {
    stream: StallGuard,
    /// Bytes of the next request that were already read.
    unread: Bytes,
}

/// Serves a connection until its caller closes it, the idle timeout passes, a new connection needs
/// its place, or `graceful_stop` is cancelled. In the last case the current requests are completed.
pub(super) async fn serve(
    node: Arc<ProxyState>,
    stream: StallGuard,
    connection_guard: &ConnectionGuard,
    graceful_stop: CancellationToken,
) {
    let unread = Bytes::new();
    let mut idle = IdleConnection { stream, unread };
    while wait_for_request(&node, &idle, connection_guard, &graceful_stop).await {
        // Boxed, so that the future of an idle connection does not reserve memory for serving.
        match Box::pin(serve_until_idle(&node, idle, &graceful_stop)).await {
            Some(next_idle) => idle = next_idle,
            None => return,
        }
    }
}

/// Waits until the caller sends data. Returns `false` if the connection must be closed instead.
async fn wait_for_request(
    node: &ProxyState,
    idle: &IdleConnection,
    connection_guard: &ConnectionGuard,
    graceful_stop: &CancellationToken,
) -> bool {
    if !idle.unread.is_empty() {
        return true;
    }
    let mut idle_guard = connection_guard.mark_idle();
    tokio::select! {
        biased;
        readable = idle.stream.readable() => readable.is_ok(),
        () = idle_guard.close_requested() => false,
        () = wait_idle_timeout(node) => false,
        // A request that has arrived by then is refused with a response.
        () = graceful_stop.cancelled() => {
            let readable = deadline::if_arrived(idle.stream.readable()).await;
            matches!(readable, Some(Ok(())))
        }
    }
}

/// Waits until the idle timeout has passed. Reads the limit again before it ends, because operators
/// may have raised it.
async fn wait_idle_timeout(node: &ProxyState) {
    let idle_since = Instant::now();
    loop {
        let idle_timeout = http_limits(node).idle_timeout;
        if idle_since.elapsed() >= idle_timeout {
            return;
        }
        tokio::time::sleep_until(idle_since + idle_timeout).await;
    }
}

/// Serves requests until the connection is idle again, and returns it. `None` if it has ended.
async fn serve_until_idle(
    node: &Arc<ProxyState>,
    idle: IdleConnection,
    graceful_stop: &CancellationToken,
) -> Option<IdleConnection> {
    let limits = http_limits(node);
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let (pipeline, watched_stream) = Pipeline::new(idle.stream, idle.unread, limits.head_max_bytes);
    let handler = {
        let (node, pipeline) = (Arc::clone(node), pipeline.clone());
        move |request| {
            let active_request = pipeline.begin_request();
            Box::pin(serve_caller_request(
                Arc::clone(&node),
                request,
                pipeline.clone(),
                active_request,
            ))
        }
    };
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_max_bytes.max(READ_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(watched_stream), service_fn(handler));
    let mut became_idle = false;
    let mut stop_requested = false;
    let result = {
        let mut body_event = pin!(pipeline.bodies().next_event(stall_limit));
        loop {
            let progress = poll_fn(|context| match connection.poll_without_shutdown(context) {
                Poll::Ready(result) => Poll::Ready(Some(result)),
                Poll::Pending if !became_idle && pipeline.is_idle() => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            });
            tokio::select! {
                biased;
                progress = progress => match progress {
                    Some(result) => break result,
                    None => became_idle = true,
                },
                () = graceful_stop.cancelled(), if !stop_requested => stop_requested = true,
                event = &mut body_event => {
                    if event == BodyEvent::Stalled && pipeline.is_answered() {
                        break Ok(());
                    }
                    body_event.set(pipeline.bodies().next_event(stall_limit));
                    continue;
                }
            }
            // The response to the last of them closes the connection.
            if stop_requested && pipeline.has_early_requests() {
                continue;
            }
            // An idle connection ends at once and keeps its stream; any other ends after its current
            // request.
            Pin::new(&mut connection).graceful_shutdown();
        }
    };
    let parts = connection.into_parts();
    let may_reuse = became_idle && !stop_requested;
    let (stream, unread) = (parts.io.into_inner(), parts.read_buf);
    release(pipeline, stream, unread, result, may_reuse).await
}

/// Takes a connection back from hyper, which has ended with `result`. Returns it if `may_reuse` and if its next byte begins a
/// request, and otherwise closes it.
async fn release(
    pipeline: Pipeline<StallGuard>,
    watched_stream: WatchedStream<StallGuard>,
    unread: Bytes,
    result: hyper::Result<()>,
    may_reuse: bool,
) -> Option<IdleConnection> {
    let looks_complete = pipeline.ends_response();
    let at_request_end = result.is_ok() && pipeline.bodies().are_complete();
    let (stream, unread) = pipeline.into_stream(watched_stream, unread)?;
    if let Err(error) = result {
        log::trace!(error:%; "connection ended with an error");
        if looks_complete {
            stream.reset();
            return None;
        }
    }
    if at_request_end && may_reuse {
        return Some(IdleConnection { stream, unread });
    }
    close(stream, at_request_end).await;
    None
}

/// Closes a connection. If the caller may still be sending, its bytes are read for a while: the operating system answers
/// unread bytes with a reset, upon which the caller may lose the response.
async fn close(mut stream: StallGuard, at_request_end: bool) {
    if let Err(error) = stream.shutdown().await {
        log::trace!(error:%; "the caller has already closed the connection");
        return;
    }
    if at_request_end {
        return;
    }
    log::debug!("closed a caller's connection before the body of its request had been read");
    let mut unread = stream.take(DISCARD_MAX_BYTES);
    let mut sink = tokio::io::sink();
    let reading = tokio::io::copy(&mut unread, &mut sink);
    match tokio::time::timeout(LINGER_TIMEOUT, reading).await {
        Ok(Ok(_)) => (),
        Ok(Err(error)) => log::trace!(error:%; "the caller has reset the connection"),
        Err(_) => log::trace!("the caller has not closed the connection in time"),
    }
}
