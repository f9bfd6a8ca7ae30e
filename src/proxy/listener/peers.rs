//! The listener for other nodes: control calls, and requests for the local backend server.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tonic::codegen::Service;

use super::{REQUEST_WINDOW_BYTES, SEND_BUFFER_MAX_BYTES};
use super::{accept, has_valid_token, infallible, run_connection, unauthorized};
use crate::core::mechanism::Mechanism;
use crate::decide::transit::DelayEstimator;
use crate::peer::generated::control_server::{Control, ControlServer};
use crate::proxy::body::{self, Body};
use crate::proxy::state::ProxyState;
use crate::proxy::{gate, headers};
use crate::util::clock;

/// Largest control message: a snapshot with its envelope.
const CONTROL_MESSAGE_MAX_BYTES: usize = 9 << 20;
/// Requests at a time on one connection between nodes: above slots and queue of any endpoint, so
/// that the gate refuses a request, and not the transport delays it.
const PEER_STREAMS_MAX: u32 = 1_024;
/// As much as all streams together, so that one stalled upload never holds up another.
const PEER_WINDOW_BYTES: u32 = PEER_STREAMS_MAX * REQUEST_WINDOW_BYTES;

/// Serves other nodes until `graceful_stop`, after which each connection ends with its last answer. A
/// draining node still gossips, so its peers' connections stay until the end.
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
    let builder = builder(node.link_share.window_bytes);
    let tasks = TaskTracker::new();
    while let Some((stream, _)) = accept(&listener, &graceful_stop, &hard_stop).await {
        let node = Arc::clone(&node);
        let control = control.clone();
        let transit = Arc::new(Mutex::new(DelayEstimator::default()));
        let handler = infallible(move |request| {
            let (node, control) = (Arc::clone(&node), control.clone());
            serve_peer_request(node, control, Arc::clone(&transit), request)
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
        let serving = run_connection(connection, graceful_stop.clone());
        let hard_stop = hard_stop.clone();
        tasks.spawn(async move { hard_stop.run_until_cancelled(serving).await });
    }
    tasks.close();
    tasks.wait().await;
}

/// `window_bytes` of each request's body come without being asked for.
fn builder(window_bytes: u32) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(PEER_STREAMS_MAX)
        .initial_stream_window_size(window_bytes)
        .initial_connection_window_size(PEER_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_MAX_BYTES);
    builder
}

async fn serve_peer_request<C: Control>(
    node: Arc<ProxyState>,
    mut control: ControlServer<C>,
    transit: Arc<Mutex<DelayEstimator>>,
    request: Request<Incoming>,
) -> Response<Body> {
    if !has_valid_token(&node, &request) {
        return unauthorized();
    }
    // Only nodes set this header: an entry drops it from what callers send.
    let Some(sent_us) = headers::get_u64(request.headers(), &headers::DATA) else {
        return match control.call(request).await {
            Ok(response) => response.map(body::boxed),
            Err(never) => match never {},
        };
    };
    let check_enabled = node.without().is_enabled(Mechanism::TransitDelayCheck);
    let delay = {
        let mut transit = transit.lock().unwrap_or_else(PoisonError::into_inner);
        let delay_us = transit.delay_us(clock::boot_us(), sent_us);
        Duration::from_micros(if check_enabled { delay_us } else { 0 })
    };
    let token = node.gate_requests.token();
    let response = gate::serve(node, request.map(body::boxed), delay).await;
    response.map(|inner| body::boxed(body::GuardedBody::new(inner, token)))
}
