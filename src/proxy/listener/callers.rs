//! The listener for callers.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, Response, Version};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use snafu::{Snafu, ensure};
use tokio::io::AsyncRead;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::http1::{self, HttpLimits};
use super::{KEEP_ALIVE_INTERVAL, REQUEST_WINDOW_BYTES, SEND_BUFFER_MAX_BYTES};
use super::{accept, infallible, response_to, run_connection};
use crate::proxy::body::{self, Body, BufferedBody, DeferredErrorBody, GuardedBody};
use crate::proxy::caller_body::{CallerBody, Expectation};
use crate::proxy::caller_connections::{CallerConnections, ConnectionGuard};
use crate::proxy::failure::{Failure, Reason};
use crate::proxy::log_limiter::{self, LogClass};
use crate::proxy::pipeline::{ActiveRequest, Pipeline};
use crate::proxy::promise::OpenAttempts;
use crate::proxy::replay::ReplayableBody;
use crate::proxy::stall::StallGuard;
use crate::proxy::state::ProxyState;
use crate::proxy::{entry, header_profile, headers, response_body};
use crate::util::deadline;
use crate::util::pause_tolerant_timer::PauseTolerantTimer;

/// Maximum number of concurrent requests on one HTTP/2 connection of a caller.
const CALLER_STREAMS_MAX: u32 = 128;

/// Most bytes of a response that are received before they are passed on, while further requests of its connection run.
const WHOLE_RESPONSE_MAX_BYTES: u64 = 64 << 10;

/// Serves callers until `graceful_stop`. Each connection then closes after its current responses.
pub(crate) async fn serve(
    listener: TcpListener,
    node: Arc<ProxyState>,
    graceful_stop: CancellationToken,
    hard_stop: CancellationToken,
) {
    let caller_connections = CallerConnections::new(node.settings.connection_limits());
    let tasks = TaskTracker::new();
    while let Some((stream, caller)) = accept(&listener, &graceful_stop, &hard_stop).await {
        let Some(connection_guard) = caller_connections.register(caller) else {
            if node.log_limiter.may_log(LogClass::Notable) {
                log::warn!(caller:%; "refused a caller's connection: the connection limit is reached and no idle connection can be closed");
            }
            continue;
        };
        let serving = serve_connection(
            Arc::clone(&node),
            stream,
            connection_guard,
            graceful_stop.clone(),
        );
        let hard_stop = hard_stop.clone();
        tasks.spawn(async move {
            hard_stop.run_until_cancelled(serving).await;
        });
    }
    // From now on the operating system refuses new connections, so that callers use another node at
    // once.
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection(
    node: Arc<ProxyState>,
    stream: TcpStream,
    connection_guard: ConnectionGuard,
    graceful_stop: CancellationToken,
) {
    let limits = http_limits(&node);
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let mut idle_guard = connection_guard.mark_idle();
    let protocol = tokio::select! {
        biased;
        protocol = tokio::time::timeout(limits.idle_timeout, is_http2(&stream)) => protocol,
        () = idle_guard.close_requested() => return,
        () = graceful_stop.cancelled() => match deadline::if_arrived(is_http2(&stream)).await {
            Some(protocol) => Ok(protocol),
            None => return,
        },
    };
    drop(idle_guard);
    // The caller sent nothing in time, or the connection failed.
    let Ok(Ok(is_http2)) = protocol else {
        return;
    };
    let stream = StallGuard::new(stream, stall_limit);
    match is_http2 {
        true => Box::pin(serve_http2(node, stream, limits, graceful_stop)).await,
        false => http1::serve(node, stream, &connection_guard, graceful_stop).await,
    }
}

/// Limits for callers' requests: from the configuration, or else from the settings.
pub(super) fn http_limits(node: &ProxyState) -> HttpLimits {
    let settings = &node.settings;
    let configuration = node.last_configuration();
    let limits = configuration.as_ref();
    match limits.and_then(|compiled| compiled.configuration.caller_limits()) {
        Some(limits) => HttpLimits {
            head_max_bytes: limits.header_max_bytes as usize,
            head_timeout: Duration::from_millis(u64::from(limits.header_timeout_ms)),
            idle_timeout: Duration::from_millis(u64::from(limits.idle_timeout_ms)),
        },
        None => HttpLimits {
            head_max_bytes: settings.caller_header_max_bytes,
            head_timeout: Duration::from_millis(settings.caller_header_timeout_ms),
            idle_timeout: Duration::from_millis(settings.caller_header_timeout_ms),
        },
    }
}

/// Start of the HTTP/2 connection preface. No HTTP/1 method starts with it.
const HTTP2_PREFACE_START: &[u8] = b"PRI ";

/// Pause before peeking again, if only a part of the preface has arrived.
const PREFACE_PEEK_INTERVAL: Duration = Duration::from_millis(5);

/// Determines the protocol from the first bytes without consuming them.
async fn is_http2(stream: &TcpStream) -> std::io::Result<bool> {
    let mut prefix = [0; HTTP2_PREFACE_START.len()];
    loop {
        let len_bytes = stream.peek(&mut prefix).await?;
        let seen = &prefix[..len_bytes];
        if seen == HTTP2_PREFACE_START {
            return Ok(true);
        }
        if seen.is_empty() || !HTTP2_PREFACE_START.starts_with(seen) {
            return Ok(false);
        }
        tokio::time::sleep(PREFACE_PEEK_INTERVAL).await;
    }
}

async fn serve_http2(
    node: Arc<ProxyState>,
    stream: StallGuard,
    limits: HttpLimits,
    graceful_stop: CancellationToken,
) {
    let stream = stream.with_preface_timeout(limits.head_timeout);
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let handler = infallible(move |request: Request<Incoming>| {
        let (parts, incoming) = request.into_parts();
        let method = parts.method.clone();
        let response = entry::serve(
            Arc::clone(&node),
            parts,
            ReplayableBody::new(CallerBody::of_stream(incoming), stall_limit),
        );
        async move { response_to(&method, response.await) }
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(PauseTolerantTimer)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .max_concurrent_streams(CALLER_STREAMS_MAX)
        // A caller may cancel all of its requests at once.
        .max_pending_accept_reset_streams(CALLER_STREAMS_MAX as usize)
        .initial_stream_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(CALLER_STREAMS_MAX * REQUEST_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_MAX_BYTES)
        .max_header_list_size(u32::try_from(limits.head_max_bytes).unwrap_or(u32::MAX))
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    run_connection(connection, graceful_stop).await;
}

/// The caller has closed its connection, so no response can be sent.
#[derive(Debug, Snafu)]
#[snafu(display("the caller has closed the connection"))]
pub(super) struct CallerDisconnected;

/// Serves one request of an HTTP/1 connection. `active_request` is dropped at the end of the
/// response.
pub(super) async fn serve_caller_request<S: AsyncRead + Unpin + Send + 'static>(
    node: Arc<ProxyState>,
    request: Request<Incoming>,
    pipeline: Pipeline<S>,
    active_request: ActiveRequest<S>,
) -> Result<Response<Body>, CallerDisconnected> {
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let leaving = node.leaving.clone();
    let (parts, incoming) = request.into_parts();
    let version = parts.version;
    let incoming = CallerBody::of_connection(incoming, pipeline.bodies(), expectation(&parts));
    let body = ReplayableBody::new(incoming, stall_limit);
    let mut response = match head_bytes(&parts) > pipeline.head_max_bytes() {
        true => {
            drop(body);
            let failure = OpenAttempts::default().refuse(Reason::HeadTooLong);
            failure.into_response(node.header_profile)
        }
        false => respond(node, &pipeline, parts, body).await?,
    };
    if version < Version::HTTP_11 && response.body().size_hint().exact().is_none() {
        pipeline.set_ends_response();
    }
    // A connection with further running requests closes after the last of them.
    let is_leaving = leaving.is_cancelled() && !pipeline.has_early_requests();
    if is_leaving || pipeline.bodies().are_broken() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|inner| {
        let inner = body::boxed(DeferredErrorBody::new(inner));
        body::boxed(GuardedBody::new(inner, active_request))
    }))
}

async fn respond<S: AsyncRead + Unpin>(
    node: Arc<ProxyState>,
    pipeline: &Pipeline<S>,
    parts: Parts,
    body: ReplayableBody,
) -> Result<Response<Body>, CallerDisconnected> {
    let response = match pipeline.take_early_response(&parts) {
        Some(pending_response) => {
            await_response(&node, pipeline, early_response(pending_response)).await?
        }
        None if body.is_empty() => {
            let pending_response = entry::serve(Arc::clone(&node), parts, body);
            await_response(&node, pipeline, pending_response).await?
        }
        // Further bytes from the caller belong to this request's body.
        None => entry::serve(Arc::clone(&node), parts, body).await,
    };
    if !pipeline.has_early_requests() {
        return Ok(response);
    }
    // Boxed, so that the futures of all other requests do not reserve memory for it.
    Ok(Box::pin(receive_whole(&node, response)).await)
}

/// Receives the whole of a response behind which further requests of the connection are running. If its rest does not come, it
/// is replaced by a failure: breaking it off would end the connection, and their responses with it.
async fn receive_whole(node: &ProxyState, response: Response<Body>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let mut body = BufferedBody::new(body, WHOLE_RESPONSE_MAX_BYTES);
    match body.fill().await {
        Ok(()) => Response::from_parts(parts, body::boxed(body)),
        Err(error) => {
            let reason = response_body::failure_reason(&error);
            let id = parts.headers.get(&node.header_profile.request_id);
            log::warn!(
                request_id = log_limiter::id_text(id),
                reason = reason.code(),
                status = parts.status.as_u16(),
                error:%;
                "replaced a response whose rest did not arrive"
            );
            replace_response(node, &parts, reason)
        }
    }
}

/// The failure that a caller gets in place of a response with the head `replaced`.
fn replace_response(
    node: &ProxyState,
    replaced: &http::response::Parts,
    reason: Reason,
) -> Response<Body> {
    let mut response = Failure::may_have_run(reason).into_response(node.header_profile);
    for name in [&headers::VERSION, &node.header_profile.request_id] {
        if let Some(value) = replaced.headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

fn expectation(parts: &Parts) -> Expectation {
    let expected = parts.headers.get(header::EXPECT);
    match expected.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        true => Expectation::Continue,
        false => Expectation::None,
    }
}

/// Approximate length of a request's head. hyper checks its own limit only between two reads, and
/// one read can exceed it by much.
fn head_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query();
    let path = path.map_or(0, |path| path.as_str().len());
    let field = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    path + parts.headers.iter().map(field).sum::<usize>()
}

/// Waits for the response to a request that was started early.
async fn early_response(pending_response: AbortOnDropHandle<Response<Body>>) -> Response<Body> {
    pending_response.await.unwrap_or_else(|error| {
        // The task is aborted only together with its connection, so this is a panic.
        log::error!(error:%; "the task of a pipelined request panicked");
        Failure::may_have_run(Reason::Lost).into_response(&header_profile::DEFAULT)
    })
}

/// Waits for a response. Meanwhile, reads ahead and starts pipelined requests that may run early.
async fn await_response<S: AsyncRead + Unpin>(
    node: &Arc<ProxyState>,
    pipeline: &Pipeline<S>,
    pending_response: impl Future<Output = Response<Body>>,
) -> Result<Response<Body>, CallerDisconnected> {
    let try_start = |parts: &Parts| {
        let serving = entry::serve_early(node, parts)?;
        Some(AbortOnDropHandle::new(tokio::spawn(serving)))
    };
    tokio::pin!(pending_response);
    loop {
        pipeline.start_early(try_start);
        tokio::select! {
            biased;
            response = &mut pending_response => return Ok(response),
            is_open = poll_fn(|context| pipeline.poll_read_ahead(context)) => ensure!(is_open, CallerDisconnectedSnafu),
        }
    }
}
