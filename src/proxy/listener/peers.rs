//! The listener for other nodes: control calls, and requests for the local backend server.

use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tonic::codegen::Service;

use super::{REQUEST_WINDOW_BYTES, SEND_BUFFER_MAX_BYTES};
use super::{accept, has_valid_token, infallible, response_to, run_connection, unauthorized};
use crate::core::mechanism::Mechanism;
use crate::decide::transit::DelayEstimator;
use crate::peer::generated::control_server::{Control, ControlServer};
use crate::proxy::body::{self, Body};
use crate::proxy::state::ProxyState;
use crate::proxy::{gate, headers};
use crate::util::clock;

/// Largest control message: a configuration snapshot with its envelope.
const CONTROL_MESSAGE_MAX_BYTES: usize = 9 << 20;
/// Concurrent requests on one connection between nodes. More than the slots and queue of any
/// endpoint, so that excess requests are refused by the gate instead of delayed by HTTP/2.
const PEER_STREAMS_MAX: u32 = 1_024;
/// Cancelled requests that may be received on one connection before the node handles them. While the
/// process is paused, all requests whose deadlines pass are cancelled. Above the limit the connection
/// is closed, which breaks off the other requests on it.
const PEER_RESETS_MAX: usize = 16 * PEER_STREAMS_MAX as usize;
/// HTTP/2 connection window: at least the sum of all stream windows, so that a stalled upload does
/// not block other uploads.
const PEER_WINDOW_BYTES: u32 = PEER_STREAMS_MAX * REQUEST_WINDOW_BYTES;

/// Interval at which an idle listen queue is checked, so that after a freeze the connections that waited
/// in it are told from those that are opened later.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Serves other nodes until `graceful_stop`. Each connection then closes after its current
/// responses. A draining node still takes part in gossip, so this listener stops last.
pub(crate) async fn serve<C: Control>(
    listener: TcpListener,
    node: Arc<ProxyState>,
    control: C,
    graceful_stop: CancellationToken,
    hard_stop: CancellationToken,
) {
    let control = ControlServer::new(control)
        .max_decoding_message_size(CONTROL_MESSAGE_MAX_BYTES)
        .max_encoding_message_size(CONTROL_MESSAGE_MAX_BYTES);
    let builder = builder(node.upload_limits.window_bytes);
    let tasks = TaskTracker::new();
    let mut queue = ListenQueue {
        listener,
        node: Arc::clone(&node),
        empty_ms: node.uptime_ms(),
    };
    while let Some(stream) = queue.accept(&graceful_stop, &hard_stop).await {
        let node = Arc::clone(&node);
        let opened_ms = queue.empty_ms;
        let control = control.clone();
        let delay_estimator = Arc::new(Mutex::new(DelayEstimator::default()));
        let handler = infallible(move |request| {
            let (node, control) = (Arc::clone(&node), control.clone());
            let delay_estimator = Arc::clone(&delay_estimator);
            serve_peer_request(node, control, delay_estimator, opened_ms, request)
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
        let serving = run_connection(connection, graceful_stop.clone());
        let hard_stop = hard_stop.clone();
        tasks.spawn(async move { hard_stop.run_until_cancelled(serving).await });
    }
    // From now on the operating system refuses connections, so that other nodes do not wait for them.
    drop(queue);
    tasks.close();
    tasks.wait().await;
}

/// The connections that wait to be accepted.
struct ListenQueue {
    listener: TcpListener,
    node: Arc<ProxyState>,
    /// When the queue was last seen to be empty. What is accepted now was opened later.
    empty_ms: u64,
}

impl ListenQueue {
    /// Accepts the next connection. `None` once either token is cancelled.
    async fn accept(
        &mut self,
        graceful_stop: &CancellationToken,
        hard_stop: &CancellationToken,
    ) -> Option<TcpStream> {
        loop {
            let checked_ms = self.node.uptime_ms();
            if self.is_empty() {
                self.empty_ms = checked_ms;
            }
            let accepting = accept(&self.listener, graceful_stop, hard_stop);
            if let Ok(accepted) = tokio::time::timeout(QUEUE_CHECK_INTERVAL, accepting).await {
                return accepted.map(|(stream, _)| stream);
            }
        }
    }

    /// Asks the operating system. The runtime may not have heard yet of connections that were opened while
    /// the process was paused.
    fn is_empty(&self) -> bool {
        let mut listener = [PollFd::new(self.listener.as_fd(), PollFlags::POLLIN)];
        poll(&mut listener, PollTimeout::ZERO) == Ok(0)
    }
}

/// Sets the limits of a connection. `window_bytes` is the stream window: how much of a request body
/// the sender may send before it is read.
fn builder(window_bytes: u32) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(PEER_STREAMS_MAX)
        .max_header_list_size(headers::PEER_HEAD_MAX_BYTES)
        .max_pending_accept_reset_streams(PEER_RESETS_MAX)
        // Without a limit: it would apply to the lifetime of the connection.
        .max_local_error_reset_streams(None)
        .initial_stream_window_size(window_bytes)
        .initial_connection_window_size(PEER_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_MAX_BYTES);
    builder
}

async fn serve_peer_request<C: Control>(
    node: Arc<ProxyState>,
    mut control: ControlServer<C>,
    delay_estimator: Arc<Mutex<DelayEstimator>>,
    opened_ms: u64,
    request: Request<Incoming>,
) -> Response<Body> {
    if !has_valid_token(&node, &request) {
        return unauthorized();
    }
    // Only nodes send this header; an entry node removes it from callers' requests.
    let Some(sent_us) = headers::get_u64(request.headers(), &headers::DATA) else {
        return match control.call(request).await {
            Ok(response) => response.map(body::boxed),
            Err(never) => match never {},
        };
    };
    let check_enabled = node.mechanisms().is_enabled(Mechanism::TransitDelayCheck);
    let delay = {
        let mut delay_estimator = delay_estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let unread_for_us = node.freezes.unread_for_ms(node.uptime_ms(), opened_ms) * 1_000;
        let delay_us = delay_estimator.delay_us(clock::boot_us(), sent_us, unread_for_us);
        Duration::from_micros(if check_enabled { delay_us } else { 0 })
    };
    let token = node.gate_requests.token();
    let method = request.method().clone();
    let response = gate::serve(node, request.map(body::boxed), delay).await;
    response_to(&method, response).map(|inner| body::boxed(body::GuardedBody::new(inner, token)))
}
