//! A minimal HTTP server and client around hyper, as the stand-ins need them.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Body of every answer of a stand-in.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A body held in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a status and a body.
pub fn build_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Serves until `stop`; then every connection is dropped as a killed process would drop it.
/// `None` from the handler drops the connection without an answer.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_counting_connections(listener, stop, Arc::default(), handle).await;
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionCounter {
    open: AtomicU32,
    peak: AtomicU32,
}

impl ConnectionCounter {
    /// Most that were open at a time.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Acquire)
    }

    fn connection_opened(self: &Arc<Self>) -> OpenConnectionGuard {
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        self.peak.fetch_max(open, Ordering::AcqRel);
        OpenConnectionGuard(Arc::clone(self))
    }
}

struct OpenConnectionGuard(Arc<ConnectionCounter>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// As [`serve`], and counts connections.
pub async fn serve_counting_connections<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    connections: Arc<ConnectionCounter>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_with_peer(listener, stop, connections, move |_, request| {
        handle(request)
    })
    .await;
}

/// As [`serve_counting_connections`], and tells the handler who asks.
pub async fn serve_with_peer<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    connections: Arc<ConnectionCounter>,
    handle: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let stop = stop.clone();
        let guard = connections.connection_opened();
        tokio::spawn(async move {
            let _guard = guard;
            let disconnect = CancellationToken::new();
            let disconnect_trigger = disconnect.clone();
            let service = service_fn(move |request| {
                let pending_response = handle(peer, request);
                let disconnect_trigger = disconnect_trigger.clone();
                async move {
                    match pending_response.await {
                        Some(response) => Ok::<_, Infallible>(response),
                        None => {
                            disconnect_trigger.cancel();
                            std::future::pending().await
                        }
                    }
                }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => (),
                () = disconnect.cancelled() => (),
                () = stop.cancelled() => (),
            }
        });
    }
}

/// The query of a request, whose values are plain.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a>(pub &'a str);

impl Query<'_> {
    /// The value of `name`, empty if absent.
    pub fn get(&self, name: &str) -> &str {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map_or("", |(_, value)| value)
    }
}

/// What a request brought.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// A header as text, empty if absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// Any failure of [`request`], as text.
pub type Result<T, E = String> = std::result::Result<T, E>;

/// One request on a connection of its own, HTTP/1.1.
pub async fn request(
    address: SocketAddr,
    method: Method,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Reply> {
    let stream = TcpStream::connect(address).await.map_err(error_text)?;
    let _ = stream.set_nodelay(true);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(error_text)?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("host", host);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).map_err(error_text)?;
    let response = sender.send_request(request).await.map_err(error_text)?;
    let (parts, incoming) = response.into_parts();
    let body = incoming.collect().await.map_err(error_text)?.to_bytes();
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

/// An HTTP/2 connection of a caller, for several requests at a time.
#[derive(Debug)]
pub struct Http2Connection {
    sender: http2::SendRequest<Full<Bytes>>,
    connection: JoinHandle<()>,
}

impl Http2Connection {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(error_text)?;
        let _ = stream.set_nodelay(true);
        let builder = http2::Builder::new(TokioExecutor::new());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(error_text)?;
        let connection = tokio::spawn(async move {
            // How it ended shows in the requests that were on it.
            let _ = connection.await;
        });
        Ok(Self { sender, connection })
    }

    /// One request of the connection.
    pub fn request(
        &self,
        method: Method,
        host: &str,
        path: &str,
        id: &str,
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        self.request_with_headers(method, host, path, &[("x-request-id", id)])
    }

    /// The same with headers of the caller's choice.
    pub fn request_with_headers(
        &self,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        let uri = format!("http://{host}{path}");
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::new()));
        let mut sender = self.sender.clone();
        async move {
            let request = request.map_err(error_text)?;
            let response = sender.send_request(request).await.map_err(error_text)?;
            let (parts, incoming) = response.into_parts();
            let body = incoming.collect().await.map_err(error_text)?.to_bytes();
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        }
    }

    /// Waits until the other side has closed the connection.
    pub async fn wait_closed(self) {
        // A connection is not kept open by a sender that sends nothing.
        let _ = self.connection.await;
    }
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Waits until `condition` holds, looking every few milliseconds; panics with `what` when it does
/// not within `limit`, which bounds a hang and is no part of any verdict on speed.
pub async fn wait_until<F>(description: &str, timeout: Duration, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + timeout;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "never came: {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
