//! Listeners: accept connections and serve HTTP on each until the node stops.

pub(crate) mod callers;
mod http1;
pub(crate) mod peers;

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

use http::header::HeaderValue;
use http::{Method, Request, Response, StatusCode};
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

/// HTTP/2 stream window for request bodies: bytes that a sender may have in flight unread. Between
/// nodes, a slow link makes the window smaller. A gate does not read a very large upload before it
/// has a slot. Its entry node has sent at most one window of it until then, and must be able to
/// send this part again to another endpoint.
const REQUEST_WINDOW_BYTES: u32 = 65_535;
/// Send buffer per connection or stream, for callers and nodes that read slowly.
const SEND_BUFFER_MAX_BYTES: usize = 128 << 10;
/// Interval of HTTP/2 keep-alive pings on connections of callers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);

pub(crate) type Builder = auto::Builder<TokioExecutor>;

/// Whether a request to the peer or operator listener carries a valid mesh token. Checked before
/// anything else of the request is processed.
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

/// Accepts connections until `graceful_stop` or `hard_stop`. On `graceful_stop`, each connection
/// closes after its current requests; on `hard_stop`, at once.
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

/// Wraps a handler that always returns a response in the fallible signature that hyper requires.
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

/// The response to a request with this method, as HTTP/2 sends it: the library only leaves out the body of a response to
/// HEAD on HTTP/1.
fn response_to(method: &Method, response: Response<Body>) -> Response<Body> {
    match *method {
        Method::HEAD => response.map(|_| body::empty()),
        _ => response,
    }
}

/// Accepts the next connection. `None` once either token is cancelled.
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
                // Usually out of file descriptors. A pause lets some connections close; ending the
                // loop would refuse all callers for good.
                log::warn!(error:%; "failed to accept a connection");
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

/// Serves a connection until it ends. On `graceful_stop`, it closes after its current requests.
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
        log::trace!(error:%; "connection ended with an error");
    }
}
