//! The three listeners: accept connections and serve HTTP on each until told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tonic::codegen::Service;

use super::body::{self, Body};
use super::{entry, gate, headers};
use crate::node::operator::Operator;
use crate::node::state::NodeState;
use crate::peer::generated::control_server::ControlServer;
use crate::peer::server::ControlService;

/// Largest control message: a snapshot with its envelope.
const CONTROL_MESSAGE_MAX_BYTES: usize = 9 << 20;

pub(crate) async fn serve_callers(
    listener: TcpListener,
    node: Arc<NodeState>,
    stop: CancellationToken,
) {
    let draining = node.draining.clone();
    let handle = move |request| {
        let node = Arc::clone(&node);
        async move {
            let tracker = node.in_flight.clone();
            let token = tracker.token();
            let response = entry::serve(node, request).await;
            response.map(|inner| body::boxed(body::Guarded::new(inner, token)))
        }
    };
    serve(listener, draining, stop, handle).await;
}

pub(crate) async fn serve_peers(
    listener: TcpListener,
    node: Arc<NodeState>,
    control: ControlService,
    stop: CancellationToken,
) {
    let control = ControlServer::new(control)
        .max_decoding_message_size(CONTROL_MESSAGE_MAX_BYTES)
        .max_encoding_message_size(CONTROL_MESSAGE_MAX_BYTES);
    // A draining node still gossips, so its peer connections stay until the end.
    let polite = stop.clone();
    let handle = move |request: Request<Incoming>| {
        let node = Arc::clone(&node);
        let mut control = control.clone();
        async move {
            if !may_speak(&node, &request) {
                return unauthorized();
            }
            // Only nodes set this header: an entry drops it from what callers send.
            if request.headers().contains_key(headers::DATA) {
                let token = node.in_flight.token();
                let response = gate::serve(node, request.map(body::boxed)).await;
                return response.map(|inner| body::boxed(body::Guarded::new(inner, token)));
            }
            match control.call(request).await {
                Ok(response) => response.map(body::boxed),
                Err(never) => match never {},
            }
        }
    };
    serve(listener, polite, stop, handle).await;
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
    serve(listener, stop.clone(), stop, handle).await;
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
    response
}

/// Accepts until `stop`. `polite` asks each connection to end after the request it is serving.
async fn serve<H, F>(
    listener: TcpListener,
    polite: CancellationToken,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, polite.clone(), handle.clone());
                let stop = stop.clone();
                connections.spawn(async move { stop.run_until_cancelled(connection).await });
            }
            Err(error) => {
                // Out of descriptors: waiting lets some close; ending would lose every caller.
                log::warn!(error:%; "accepting a connection failed");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
    connections.close();
    connections.wait().await;
}

async fn serve_connection<H, F>(stream: TcpStream, polite: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
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
