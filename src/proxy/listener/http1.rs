//! One HTTP/1 connection of a caller.
//!
//! Callers keep many connections open and use few at a time, and the HTTP library keeps some 30 KB for each. So the
//! library is only there while requests are being served: when a connection has become idle it gives back the bare
//! stream, and gets it again when the caller sends something.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::callers::{caller_request, limits};
use crate::proxy::callers::Counted;
use crate::proxy::pipeline::Pipeline;
use crate::proxy::stall::StallGuard;
use crate::proxy::state::ProxyState;

/// What a caller may send on one connection, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) head_max_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub(super) head_timeout: Duration,
    /// Between two requests.
    pub(super) idle_timeout: Duration,
}

/// An idle connection.
struct Idle {
    stream: StallGuard,
    /// Bytes of the caller's next request that were read already.
    unread: Bytes,
}

/// Serves a connection until its caller closes it, it is idle for too long, its place is needed, or
/// `polite` asks it to end after the requests that it is serving.
pub(super) async fn serve(
    node: Arc<ProxyState>,
    stream: StallGuard,
    counted: &Counted,
    polite: CancellationToken,
) {
    let unread = Bytes::new();
    let mut idle = Idle { stream, unread };
    while is_used(&node, &idle, counted, &polite).await {
        // Boxed, so that an idle connection does not hold the room for it.
        match Box::pin(serve_requests(&node, idle, &polite)).await {
            Some(again) => idle = again,
            None => return,
        }
    }
}

/// Waits until the caller sends something; false if the connection is to be closed instead.
async fn is_used(
    node: &ProxyState,
    idle: &Idle,
    counted: &Counted,
    polite: &CancellationToken,
) -> bool {
    if !idle.unread.is_empty() {
        return true;
    }
    let mut place = counted.idle();
    tokio::select! {
        biased;
        readable = idle.stream.readable() => readable.is_ok(),
        () = place.place_needed() => false,
        () = idle_for_too_long(node) => false,
        () = polite.cancelled() => false,
    }
}

/// Waits for as long as a connection may be idle. Operators may allow a longer time meanwhile, so it is looked up
/// again when it seems to be over.
async fn idle_for_too_long(node: &ProxyState) {
    let since = Instant::now();
    loop {
        let most = limits(node).idle_timeout;
        if since.elapsed() >= most {
            return;
        }
        tokio::time::sleep_until(since + most).await;
    }
}

/// Serves requests until the connection is idle again, and returns it; none if it has ended.
async fn serve_requests(
    node: &Arc<ProxyState>,
    idle: Idle,
    polite: &CancellationToken,
) -> Option<Idle> {
    let limits = limits(node);
    let (pipeline, watched) = Pipeline::new(idle.stream, idle.unread, limits.head_max_bytes);
    let handle = {
        let (node, pipeline) = (Arc::clone(node), pipeline.clone());
        move |request| {
            let used = pipeline.begin();
            Box::pin(caller_request(
                Arc::clone(&node),
                request,
                pipeline.clone(),
                used,
            ))
        }
    };
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_max_bytes)
        .serve_connection(TokioIo::new(watched), service_fn(handle));
    let mut released = false;
    let mut stopping = false;
    let ended = loop {
        let progress = poll_fn(|context| match connection.poll_without_shutdown(context) {
            Poll::Ready(ended) => Poll::Ready(Some(ended)),
            Poll::Pending if !released && pipeline.is_idle() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            biased;
            progress = progress => match progress {
                Some(ended) => break ended,
                None => released = true,
            },
            () = polite.cancelled(), if !stopping => stopping = true,
        }
        // An idle connection ends with this at once and keeps its stream; another one ends after the
        // request that it is serving.
        Pin::new(&mut connection).graceful_shutdown();
    };
    if let Err(error) = ended {
        log::trace!(error:%; "connection ended");
        return None;
    }
    let parts = connection.into_parts();
    let (mut stream, unread) = pipeline.into_stream(parts.io.into_inner(), parts.read_buf)?;
    if released && !stopping {
        return Some(Idle { stream, unread });
    }
    // The answer has been written whole; that the caller is gone already is its affair.
    let _ = stream.shutdown().await;
    None
}
