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
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a status and a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
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
    serve_counted(listener, stop, Arc::default(), handle).await;
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub struct Connections {
    open: AtomicU32,
    peak: AtomicU32,
}

impl Connections {
    /// Most that were open at a time.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Acquire)
    }

    fn opened(self: &Arc<Self>) -> OpenConnection {
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        self.peak.fetch_max(open, Ordering::AcqRel);
        OpenConnection(Arc::clone(self))
    }
}

struct OpenConnection(Arc<Connections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// As [`serve`], and counts connections.
pub async fn serve_counted<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    connections: Arc<Connections>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_from(listener, stop, connections, move |_, request| {
        handle(request)
    })
    .await;
}

/// As [`serve_counted`], and tells the handler who asks.
pub async fn serve_from<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    connections: Arc<Connections>,
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
        let open = connections.opened();
        tokio::spawn(async move {
            let _open = open;
            let drop_now = CancellationToken::new();
            let dropper = drop_now.clone();
            let service = service_fn(move |request| {
                let answer = handle(peer, request);
                let dropper = dropper.clone();
                async move {
                    match answer.await {
                        Some(response) => Ok::<_, Infallible>(response),
                        None => {
                            dropper.cancel();
                            std::future::pending().await
                        }
                    }
                }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => (),
                () = drop_now.cancelled() => (),
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
    let stream = TcpStream::connect(address).await.map_err(text)?;
    let _ = stream.set_nodelay(true);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(text)?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("host", host);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).map_err(text)?;
    let response = sender.send_request(request).await.map_err(text)?;
    let (parts, incoming) = response.into_parts();
    let body = incoming.collect().await.map_err(text)?.to_bytes();
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

/// An HTTP/2 connection of a caller, for several requests at a time.
#[derive(Debug)]
pub struct Http2 {
    sender: http2::SendRequest<Full<Bytes>>,
    connection: JoinHandle<()>,
}

impl Http2 {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(text)?;
        let _ = stream.set_nodelay(true);
        let builder = http2::Builder::new(TokioExecutor::new());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(text)?;
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
        self.request_with(method, host, path, &[("x-request-id", id)])
    }

    /// The same with headers of the caller's choice.
    pub fn request_with(
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
            let request = request.map_err(text)?;
            let response = sender.send_request(request).await.map_err(text)?;
            let (parts, incoming) = response.into_parts();
            let body = incoming.collect().await.map_err(text)?.to_bytes();
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        }
    }

    /// Waits until the other side has closed the connection.
    pub async fn closed(self) {
        // A connection is not kept open by a sender that sends nothing.
        let _ = self.connection.await;
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Waits until `condition` holds, looking every few milliseconds; panics with `what` when it does
/// not within `limit`, which bounds a hang and is no part of any verdict on speed.
pub async fn wait_until<F>(what: &str, limit: Duration, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + limit;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "never came: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
