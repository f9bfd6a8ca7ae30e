//! The listener for callers.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use snafu::{Snafu, ensure};
use tokio::io::AsyncRead;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::http1::{self, Limits};
use super::{KEEP_ALIVE, REQUEST_WINDOW_BYTES, SEND_BUFFER_MAX_BYTES};
use super::{accept, infallible, run};
use crate::proxy::answer::{Failure, Reason};
use crate::proxy::body::{self, Body, Guarded};
use crate::proxy::callers::{Callers, Counted};
use crate::proxy::decisions::Weight;
use crate::proxy::pipeline::{Pipeline, Used};
use crate::proxy::replay::Replay;
use crate::proxy::stall::StallGuard;
use crate::proxy::state::ProxyState;
use crate::proxy::{entry, vocabulary};

/// Requests at a time on one HTTP/2 connection of a caller.
const CALLER_STREAMS_MAX: u32 = 128;

/// Serves callers until `polite`, after which each connection ends with its last answer.
pub(crate) async fn serve(
    listener: TcpListener,
    node: Arc<ProxyState>,
    polite: CancellationToken,
    stop: CancellationToken,
) {
    let callers = Callers::new(node.settings.connection_limits());
    let connections = TaskTracker::new();
    while let Some((stream, caller)) = accept(&listener, &polite, &stop).await {
        let Some(counted) = callers.enter(caller) else {
            if node.decisions.may_log(Weight::Notable) {
                log::warn!(caller:%; "refused a connection: none of the others is idle");
            }
            continue;
        };
        let serving = serve_connection(Arc::clone(&node), stream, counted, polite.clone());
        let stop = stop.clone();
        connections.spawn(async move {
            stop.run_until_cancelled(serving).await;
        });
    }
    // New callers are refused by the system from now on, and reach another node at once.
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(
    node: Arc<ProxyState>,
    stream: TcpStream,
    counted: Counted,
    polite: CancellationToken,
) {
    let limits = limits(&node);
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let mut place = counted.idle();
    let opening = tokio::select! {
        biased;
        opening = tokio::time::timeout(limits.idle_timeout, is_http2(&stream)) => opening,
        () = place.place_needed() => return,
        () = polite.cancelled() => return,
    };
    drop(place);
    // One that sends nothing is closed.
    let Ok(Ok(is_http2)) = opening else {
        return;
    };
    let stream = StallGuard::new(stream, stall_limit);
    match is_http2 {
        true => Box::pin(serve_http2(node, stream, limits, polite)).await,
        false => http1::serve(node, stream, &counted, polite).await,
    }
}

/// What callers may send: as the configuration says, else as the settings do.
pub(super) fn limits(node: &ProxyState) -> Limits {
    let settings = &node.settings;
    let enforced = node.enforced.load();
    let limits = enforced.as_ref();
    match limits.and_then(|applied| applied.configuration.caller_limits()) {
        Some(limits) => Limits {
            head_max_bytes: limits.header_max_bytes as usize,
            head_timeout: Duration::from_millis(u64::from(limits.header_timeout_ms)),
            idle_timeout: Duration::from_millis(u64::from(limits.idle_timeout_ms)),
        },
        None => Limits {
            head_max_bytes: settings.caller_header_max_bytes,
            head_timeout: Duration::from_millis(settings.caller_header_timeout_ms),
            idle_timeout: Duration::from_millis(settings.caller_header_timeout_ms),
        },
    }
}

/// Begin of the preface of HTTP/2; no method of HTTP/1 begins so.
const HTTP2_OPENING: &[u8] = b"PRI ";

/// Between two looks at a connection whose first bytes came singly.
const OPENING_PAUSE: Duration = Duration::from_millis(5);

/// Looks at the first bytes that a caller sends, without taking them.
async fn is_http2(stream: &TcpStream) -> std::io::Result<bool> {
    let mut opening = [0; HTTP2_OPENING.len()];
    loop {
        let len_bytes = stream.peek(&mut opening).await?;
        let seen = &opening[..len_bytes];
        if seen == HTTP2_OPENING {
            return Ok(true);
        }
        if seen.is_empty() || !HTTP2_OPENING.starts_with(seen) {
            return Ok(false);
        }
        tokio::time::sleep(OPENING_PAUSE).await;
    }
}

async fn serve_http2(
    node: Arc<ProxyState>,
    stream: StallGuard,
    limits: Limits,
    polite: CancellationToken,
) {
    let stream = stream.opening_within(limits.head_timeout);
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let handle = infallible(move |request: Request<Incoming>| {
        let (parts, incoming) = request.into_parts();
        entry::serve(Arc::clone(&node), parts, Replay::new(incoming, stall_limit))
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE)
        .max_concurrent_streams(CALLER_STREAMS_MAX)
        .initial_stream_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(CALLER_STREAMS_MAX * REQUEST_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_MAX_BYTES)
        .max_header_list_size(u32::try_from(limits.head_max_bytes).unwrap_or(u32::MAX))
        .serve_connection(TokioIo::new(stream), service_fn(handle));
    run(connection, polite).await;
}

/// The caller has closed its connection: there is nobody to answer.
#[derive(Debug, Snafu)]
#[snafu(display("the caller has closed the connection"))]
pub(super) struct CallerLeft;

/// Serves one request of an HTTP/1 connection; `used` is dropped with the end of its answer.
pub(super) async fn caller_request<S: AsyncRead + Unpin + Send + 'static>(
    node: Arc<ProxyState>,
    request: Request<Incoming>,
    pipeline: Pipeline<S>,
    used: Used<S>,
) -> Result<Response<Body>, CallerLeft> {
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let leaving = node.leaving.clone();
    let (parts, incoming) = request.into_parts();
    if head_bytes(&parts) > pipeline.head_max_bytes() {
        let failure = Failure::not_run(Reason::HeadTooLong);
        return Ok(failure.into_response(node.vocabulary));
    }
    let replay = Replay::new(incoming, stall_limit);
    let mut response = match pipeline.take(&parts) {
        Some(answer) => reading_on(&node, &pipeline, started_early(answer)).await?,
        None if replay.is_empty() => {
            let answer = entry::serve(Arc::clone(&node), parts, replay);
            reading_on(&node, &pipeline, answer).await?
        }
        // What the caller sends is this request's body.
        None => entry::serve(node, parts, replay).await,
    };
    if leaving.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|inner| body::boxed(Guarded::new(inner, used))))
}

/// Length of a request's head, about. The library looks at its own limit only between two reads, and
/// one read may bring much more.
fn head_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query();
    let path = path.map_or(0, |path| path.as_str().len());
    let field = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    path + parts.headers.iter().map(field).sum::<usize>()
}

/// The answer to a request that was started before the library came to it.
async fn started_early(answer: AbortOnDropHandle<Response<Body>>) -> Response<Body> {
    answer.await.unwrap_or_else(|error| {
        // The task is aborted only together with its connection, so it has panicked.
        log::error!(error:%; "serving a request failed");
        Failure::may_have_run(Reason::Lost).into_response(&vocabulary::OWN)
    })
}

/// Waits for an answer, reads meanwhile what the caller sends, and starts what may run early.
async fn reading_on<S: AsyncRead + Unpin>(
    node: &Arc<ProxyState>,
    pipeline: &Pipeline<S>,
    answer: impl Future<Output = Response<Body>>,
) -> Result<Response<Body>, CallerLeft> {
    let start = |parts: &Parts| {
        let serving = entry::serve(Arc::clone(node), parts.clone(), Replay::Empty);
        entry::may_start_early(node, parts).then(|| AbortOnDropHandle::new(tokio::spawn(serving)))
    };
    tokio::pin!(answer);
    loop {
        pipeline.start_early(start);
        tokio::select! {
            biased;
            response = &mut answer => return Ok(response),
            open = poll_fn(|context| pipeline.poll_more(context)) => ensure!(open, CallerLeftSnafu),
        }
    }
}
