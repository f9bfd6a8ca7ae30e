//! A small HTTP server and client on top of hyper, for the stand-ins and the tests.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::client::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use nix::sys::socket::{Shutdown, shutdown};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Body of the responses that a stand-in sends.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response without headers.
pub fn build_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Serves HTTP/1 and HTTP/2 until `stop` is cancelled. Then all connections are closed at once, as
/// if the process had been killed.
///
/// If the handler returns `None`, the connection is closed without a response.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_counting_connections(listener, stop, Arc::default(), handle).await;
}

/// Counts the open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionCounter {
    open: AtomicU32,
    peak: AtomicU32,
}

impl ConnectionCounter {
    /// Returns the highest number of connections that were open at the same time.
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

/// Like [`serve`], and counts the connections in `connections`.
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

/// Like [`serve_counting_connections`], and passes the address of the client to the handler.
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
            () = stop.cancelled() => return stop_listening(listener),
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

/// Closes a listener, so that new connections are refused from now on.
///
/// Closing its descriptor alone is not enough: a process that another thread is just starting has a
/// copy of it until it executes its program, and until then the kernel accepts connections.
fn stop_listening(listener: TcpListener) {
    // An error means that the socket does not listen any more.
    let _ = shutdown(listener.as_raw_fd(), Shutdown::Both);
}

/// The query of a request. Values are returned as sent, without percent-decoding.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a>(pub &'a str);

impl Query<'_> {
    /// Returns the first value of `name`, or an empty text if there is none.
    pub fn get(&self, name: &str) -> &str {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map_or("", |(_, value)| value)
    }
}

/// A response that was received completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the value of a header, or an empty text if it is absent or not ASCII text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// Result of a client call; the error is the text of the failure.
pub type Result<T, E = String> = std::result::Result<T, E>;

/// Sends a request over a new HTTP/1.1 connection and reads the whole response.
pub async fn request(
    address: SocketAddr,
    method: Method,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Reply> {
    let mut connection = Http1Connection::connect(address).await?;
    connection.request(method, host, path, headers, body).await
}

/// An HTTP/1.1 client connection, which stays open between requests.
#[derive(Debug)]
pub struct Http1Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    ended: CancellationToken,
}

/// Time after the end of a connection within which a response that it has received is there. A request that is given to
/// the library while the connection ends gets none, and no error either.
const LAST_RESPONSE_WAIT: Duration = Duration::from_secs(1);

impl Http1Connection {
    /// Opens a connection to `address`.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(error_text)?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(error_text)?;
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        tokio::spawn(async move {
            let _guard = guard;
            // An error of the connection is also returned by the request on it.
            let _ = connection.await;
        });
        Ok(Self { sender, ended })
    }

    /// Sends a request and reads the whole response.
    pub async fn request(
        &mut self,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("host", host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).map_err(error_text)?;
        self.sender.ready().await.map_err(error_text)?;
        let response = self.sender.send_request(request);
        let response = response_until_end(&self.ended, response).await?;
        let (parts, incoming) = response.into_parts();
        let body = incoming.collect().await.map_err(error_text)?.to_bytes();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Waits for the response to a request on a connection of which `ended` shows the end.
async fn response_until_end(
    ended: &CancellationToken,
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
) -> Result<Response<Incoming>> {
    let ended = async {
        ended.cancelled().await;
        tokio::time::sleep(LAST_RESPONSE_WAIT).await;
    };
    tokio::select! {
        response = response => response.map_err(error_text),
        () = ended => Err("the connection ended without a response".to_owned()),
    }
}

/// An HTTP/2 client connection, which carries several requests concurrently.
#[derive(Debug)]
pub struct Http2Connection {
    sender: http2::SendRequest<Body>,
    connection: JoinHandle<()>,
    ended: CancellationToken,
}

/// A body of which the receiver learns the length only at its end.
struct UndeclaredLength(Full<Bytes>);

impl HttpBody for UndeclaredLength {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.0).poll_frame(context)
    }
}

impl Http2Connection {
    /// Opens a connection to `address` without TLS.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(error_text)?;
        let _ = stream.set_nodelay(true);
        let builder = http2::Builder::new(TokioExecutor::new());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(error_text)?;
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        let connection = tokio::spawn(async move {
            let _guard = guard;
            // An error of the connection is also returned by the requests on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            connection,
            ended,
        })
    }

    /// Sends a request with an empty body and the id `id`.
    pub fn request(
        &self,
        method: Method,
        host: &str,
        path: &str,
        id: &str,
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        self.request_with_headers(method, host, path, &[("x-request-id", id)])
    }

    /// Like [`Self::request`], with the given headers in place of the id.
    pub fn request_with_headers(
        &self,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        self.request_with_body(method, host, path, headers, Bytes::new())
    }

    /// Like [`Self::request_with_headers`], with a body.
    pub fn request_with_body(
        &self,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        self.send(method, host, path, headers, full_body(body))
    }

    /// Like [`Self::request_with_body`], without the length of the body.
    pub fn request_without_length(
        &self,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        let body = UndeclaredLength(Full::new(body));
        let body = body.map_err(|never| match never {}).boxed_unsync();
        self.send(method, host, path, headers, body)
    }

    fn send(
        &self,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Body,
    ) -> impl Future<Output = Result<Reply>> + Send + 'static + use<> {
        let uri = format!("http://{host}{path}");
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body);
        let mut sender = self.sender.clone();
        let ended = self.ended.clone();
        async move {
            let request = request.map_err(error_text)?;
            let response = sender.send_request(request);
            let response = response_until_end(&ended, response).await?;
            let (parts, incoming) = response.into_parts();
            let body = incoming.collect().await.map_err(error_text)?.to_bytes();
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        }
    }

    /// Waits until the server has closed the connection.
    pub async fn wait_closed(self) {
        // `self.sender` lives until the end of this function, so the client doesn't close the connection.
        // An idle sender doesn't keep it open either.
        let _ = self.connection.await;
    }
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Checks `condition` every few milliseconds until it holds.
///
/// Panics with `description` after `timeout`. The timeout only keeps a broken test from running
/// forever; it doesn't measure speed.
pub async fn wait_until<F>(description: &str, timeout: Duration, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + timeout;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
