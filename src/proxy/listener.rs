//! The three listeners: accept connections and serve HTTP on each until told to stop.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use snafu::{Snafu, ensure};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use tonic::codegen::Service;

use super::answer::{Failure, Reason};
use super::body::{self, Body};
use super::callers::Callers;
use super::pipeline::Pipeline;
use super::replay::Replay;
use super::stall::StallGuard;
use super::{entry, gate, headers, vocabulary};
use crate::core::verdict::Verdict;
use crate::node::operator::Operator;
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::peer::generated::control_server::ControlServer;
use crate::peer::server::ControlService;

/// Largest control message: a snapshot with its envelope.
const CONTROL_MESSAGE_MAX_BYTES: usize = 9 << 20;

/// Bytes of one request body that may be under way and unread. It is also what an entry has sent
/// of an upload that still waits for its slot, and has to be able to send again elsewhere.
const REQUEST_WINDOW_BYTES: u32 = 65_535;
/// Requests at a time on one connection between nodes: above slots and queue of any endpoint, so
/// that the gate refuses a request, and not the transport delays it.
const PEER_STREAMS_MAX: u32 = 1_024;
/// As much as all streams together, so that one stalled upload never holds up another.
const PEER_WINDOW_BYTES: u32 = PEER_STREAMS_MAX * REQUEST_WINDOW_BYTES;
/// Requests at a time on one HTTP/2 connection of a caller.
const CALLER_STREAMS_MAX: u32 = 128;

/// Buffer of one connection or stream towards a caller or node that reads slowly.
const SEND_BUFFER_MAX_BYTES: usize = 128 << 10;
/// A silent HTTP/2 connection is asked whether it is still there.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

type Builder = auto::Builder<TokioExecutor>;

/// Serves callers until `polite`, after which each connection ends with its last answer.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    node: Arc<NodeState>,
    polite: CancellationToken,
    stop: CancellationToken,
) {
    let builder = caller_builder(&node.settings);
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let opening_limit = Duration::from_millis(node.settings.caller_header_timeout_ms);
    let callers = Callers::new(node.settings.caller_connections_max);
    let head_max_bytes = node.settings.caller_header_max_bytes;
    let connections = TaskTracker::new();
    while let Some((stream, caller)) = accept(&listener, &polite, &stop).await {
        let Some(counted) = callers.enter(caller) else {
            log::debug!(caller:%; "refused a connection: too many of this caller");
            continue;
        };
        let stream = StallGuard::new(stream, stall_limit, opening_limit);
        let (pipeline, stream) = Pipeline::new(stream, head_max_bytes);
        let handling = Arc::clone(&node);
        let handle =
            move |request| caller_request(Arc::clone(&handling), request, pipeline.clone());
        let serving = serve_connection(builder.clone(), stream, polite.clone(), handle);
        let stop = stop.clone();
        connections.spawn(async move {
            let _counted = counted;
            stop.run_until_cancelled(serving).await;
        });
    }
    // New callers are refused by the system from now on, and reach another node at once.
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// The caller has closed its connection: there is nobody to answer.
#[derive(Debug, Snafu)]
#[snafu(display("the caller has closed the connection"))]
struct CallerLeft;

async fn caller_request<S: AsyncRead + Unpin>(
    node: Arc<NodeState>,
    request: Request<Incoming>,
    pipeline: Pipeline<S>,
) -> Result<Response<Body>, CallerLeft> {
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let leaving = node.leaving.clone();
    let (parts, incoming) = request.into_parts();
    let replay = Replay::new(incoming, stall_limit);
    if parts.version >= Version::HTTP_2 {
        return Ok(entry::serve(node, parts, replay).await);
    }
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
    Ok(response)
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
    node: &Arc<NodeState>,
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

fn caller_builder(settings: &Settings) -> Builder {
    let header_timeout = Duration::from_millis(settings.caller_header_timeout_ms);
    let header_max_bytes = settings.caller_header_max_bytes;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(header_max_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE)
        .max_concurrent_streams(CALLER_STREAMS_MAX)
        .initial_stream_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(CALLER_STREAMS_MAX * REQUEST_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_MAX_BYTES)
        .max_header_list_size(u32::try_from(header_max_bytes).unwrap_or(u32::MAX));
    builder
}

/// Serves other nodes until `polite`, after which each connection ends with its last answer. A
/// draining node still gossips, so its peers' connections stay until the end.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    node: Arc<NodeState>,
    control: ControlService,
    polite: CancellationToken,
    stop: CancellationToken,
) {
    let control = ControlServer::new(control)
        .max_decoding_message_size(CONTROL_MESSAGE_MAX_BYTES)
        .max_encoding_message_size(CONTROL_MESSAGE_MAX_BYTES);
    let handle = move |request: Request<Incoming>| {
        let node = Arc::clone(&node);
        let mut control = control.clone();
        async move {
            if !may_speak(&node, &request) {
                return unauthorized();
            }
            // Only nodes set this header: an entry drops it from what callers send.
            if request.headers().contains_key(headers::DATA) {
                let token = node.in_gate.token();
                let response = gate::serve(node, request.map(body::boxed)).await;
                return response.map(|inner| body::boxed(body::Guarded::new(inner, token)));
            }
            match control.call(request).await {
                Ok(response) => response.map(body::boxed),
                Err(never) => match never {},
            }
        }
    };
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(PEER_STREAMS_MAX)
        .initial_stream_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(PEER_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_MAX_BYTES);
    serve(listener, builder, polite, stop, handle).await;
}

pub(crate) async fn serve_operators(
    listener: TcpListener,
    operator: Arc<Operator>,
    stop: CancellationToken,
) {
    let handle = move |request: Request<Incoming>| {
        let operator = Arc::clone(&operator);
        async move {
            // Whoever restarts VMs asks for readiness and holds no secret of the mesh.
            let is_open = request.uri().path() == "/ready";
            if !is_open && !may_speak(&operator.node, &request) {
                return unauthorized();
            }
            operator.handle(request).await.map(body::boxed)
        }
    };
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    serve(listener, builder, stop.clone(), stop, handle).await;
}

/// Answers the platform's questions for readiness and takes what the VM's backend server says, each
/// at an address of its own. Whoever reaches these addresses may ask.
pub(crate) async fn serve_platform(
    listener: TcpListener,
    operator: Arc<Operator>,
    stop: CancellationToken,
) {
    let handle = move |request: Request<Incoming>| {
        let operator = Arc::clone(&operator);
        async move { operator.handle_platform(request).await.map(body::boxed) }
    };
    let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
    builder.http1().timer(TokioTimer::new());
    serve(listener, builder, stop.clone(), stop, handle).await;
}

/// Failure guarded against: a process that is no part of the mesh sends data past every entry, or
/// commands a node. It shows as requests that no entry logged. Without the secret nothing of the
/// request is looked at, so the guard holds.
fn may_speak(node: &NodeState, request: &Request<Incoming>) -> bool {
    let given = request.headers().get(headers::TOKEN);
    let token = &node.settings.mesh_token;
    token.accepts(given.map(|value| value.as_bytes()))
}

fn unauthorized() -> Response<Body> {
    let mut response = Response::new(body::full("the mesh token is missing or wrong\n"));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    let not_run = HeaderValue::from_static(Verdict::NotRun.as_str());
    response.headers_mut().insert(headers::VERDICT, not_run);
    response
}

/// Accepts until `polite` or `stop`. `polite` also asks each connection to end after the requests
/// that it is serving; `stop` drops it.
async fn serve<H, F>(
    listener: TcpListener,
    builder: Builder,
    polite: CancellationToken,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    while let Some((stream, _)) = accept(&listener, &polite, &stop).await {
        let handle = handle.clone();
        let handle = move |request| {
            let answer = handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        };
        let serving = serve_connection(builder.clone(), stream, polite.clone(), handle);
        let stop = stop.clone();
        connections.spawn(async move { stop.run_until_cancelled(serving).await });
    }
    connections.close();
    connections.wait().await;
}

/// The next connection; none once a token is cancelled.
async fn accept(
    listener: &TcpListener,
    polite: &CancellationToken,
    stop: &CancellationToken,
) -> Option<(TcpStream, IpAddr)> {
    loop {
        let accepted = tokio::select! {
            () = polite.cancelled() => return None,
            () = stop.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                let _ = stream.set_nodelay(true);
                return Some((stream, from.ip()));
            }
            Err(error) => {
                // Out of descriptors: waiting lets some close; ending would lose every caller.
                log::warn!(error:%; "accepting a connection failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<H, F, S, E>(
    builder: Builder,
    stream: S,
    polite: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, E>> + Send + 'static,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handle));
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = polite.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::trace!(error:%; "connection ended");
    }
}
