//! The listeners: accept connections and serve HTTP on each until told to stop.

pub(crate) mod callers;
mod http1;
pub(crate) mod peers;

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulConnection;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::{self, Body};
use super::headers;
use crate::core::verdict::Verdict;
use crate::proxy::state::ProxyState;

/// Bytes of one request body that may be under way and unread. It is also what an entry has sent
/// of an upload that still waits for its slot, and has to be able to send again elsewhere.
const REQUEST_WINDOW_BYTES: u32 = 65_535;
/// Buffer of one connection or stream towards a caller or node that reads slowly.
const SEND_BUFFER_MAX_BYTES: usize = 128 << 10;
/// A silent HTTP/2 connection is asked whether it is still there.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);

pub(crate) type Builder = auto::Builder<TokioExecutor>;

/// Whether a request to the peer or operator listener shows the mesh token; else nothing of it is looked at.
pub(crate) fn has_valid_token(node: &ProxyState, request: &Request<Incoming>) -> bool {
    let received = request.headers().get(headers::TOKEN);
    let token = &node.settings.mesh_token;
    token.accepts(received.map(|value| value.as_bytes()))
}

pub(crate) fn unauthorized() -> Response<Body> {
    let mut response = Response::new(body::full("the mesh token is missing or wrong\n"));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    let not_run = HeaderValue::from_static(Verdict::NotRun.as_str());
    response.headers_mut().insert(headers::VERDICT, not_run);
    response
}

/// Accepts until `graceful_stop` or `hard_stop`. `graceful_stop` also asks each connection to end after the requests
/// that it is serving; `hard_stop` drops it.
pub(crate) async fn serve_listener<H, F>(
    listener: TcpListener,
    builder: Builder,
    graceful_stop: CancellationToken,
    hard_stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let tasks = TaskTracker::new();
    while let Some((stream, _)) = accept(&listener, &graceful_stop, &hard_stop).await {
        let handler = infallible(handler.clone());
        let serving = serve_connection(builder.clone(), stream, graceful_stop.clone(), handler);
        let hard_stop = hard_stop.clone();
        tasks.spawn(async move { hard_stop.run_until_cancelled(serving).await });
    }
    tasks.close();
    tasks.wait().await;
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

/// A handler that always has an answer, in the form that the HTTP library wants.
fn infallible<H, F>(handler: H) -> impl Fn(Request<Incoming>) -> ResponseFuture
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    move |request| {
        let response = handler(request);
        Box::pin(async move { Ok(response.await) })
    }
}

/// The next connection; none once a token is cancelled.
async fn accept(
    listener: &TcpListener,
    graceful_stop: &CancellationToken,
    hard_stop: &CancellationToken,
) -> Option<(TcpStream, IpAddr)> {
    loop {
        let accepted = tokio::select! {
            () = graceful_stop.cancelled() => return None,
            () = hard_stop.cancelled() => return None,
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
    graceful_stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, E>> + Send + 'static,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
    run_connection(connection, graceful_stop).await;
}

/// Runs a connection to its end; `graceful_stop` asks it to end after the requests that it is serving.
async fn run_connection<C>(connection: C, graceful_stop: CancellationToken)
where
    C: GracefulConnection,
    C::Error: std::fmt::Display,
{
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = graceful_stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::trace!(error:%; "connection ended");
    }
}
