//! The listener for callers.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{Snafu, ensure};
use tokio::io::AsyncRead;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::{Builder, KEEP_ALIVE, REQUEST_WINDOW_BYTES, SEND_BUFFER_MAX_BYTES};
use super::{accept, serve_connection};
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::proxy::answer::{Failure, Reason};
use crate::proxy::body::Body;
use crate::proxy::callers::Callers;
use crate::proxy::pipeline::Pipeline;
use crate::proxy::replay::Replay;
use crate::proxy::stall::StallGuard;
use crate::proxy::{entry, vocabulary};

/// Requests at a time on one HTTP/2 connection of a caller.
const CALLER_STREAMS_MAX: u32 = 128;

/// Serves callers until `polite`, after which each connection ends with its last answer.
pub(crate) async fn serve(
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
    let mut builder = Builder::new(TokioExecutor::new());
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
