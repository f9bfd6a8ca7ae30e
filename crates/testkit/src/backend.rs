//! Stand-in for a backend server that records every request that it runs.
//!
//! The query of a request controls how it is run:
//!
//! - `work_ms`: time that the request takes.
//! - `answer_bytes`: size of the response body. Without it, the request body is echoed.
//! - `break_after`: the connection is closed after this many bytes of the response body.
//! - `status`: status code of the response.
//! - `chain`: a list `service:path,service:path`. Before it responds, the backend server calls the
//!   first entry through the node on its VM and passes the other entries on as that call's chain.
//!
//! The response header `x-digest` is the BLAKE3 digest of the request body, `x-ran-by` the name of the
//! backend server, and `x-ran-id` the id of the request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::net::TcpListener;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::{
    Body, ConnectionCounter, Reply, build_response, request, serve_counting_connections,
};

/// Header of a response that says that the backend server did not run the request.
const NOT_RUN: &str = "x-dragonflywall-not-run";

/// Capacity and faults of a backend server.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Number of requests that run concurrently. Further requests get status 503 at once, with the header
    /// that says that they did not run.
    pub slots: u32,
    /// Time that a request takes if its query has no `work_ms`.
    pub default_work_time: Duration,
    /// Length of the cold phase after the start. While it lasts, each request takes longer by the same
    /// time.
    pub cold_start: Duration,
    /// Whether `GET /health` returns 200 rather than 503. It does not depend on the results of
    /// other requests.
    pub reports_healthy: bool,
    /// While true, requests are accepted but not processed, health checks included.
    pub frozen: bool,
    /// Caller listener of the node on the same VM, which takes the calls of a `chain`.
    pub caller_listener: Option<SocketAddr>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 20,
            default_work_time: Duration::ZERO,
            cold_start: Duration::ZERO,
            reports_healthy: true,
            frozen: false,
            caller_listener: None,
        }
    }
}

/// Counters of a backend server since its start.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Number of runs started for each request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests that ended before they were complete: the client disconnected, or the request body or
    /// a chained call failed.
    pub cancelled: u64,
    /// Requests rejected with 503 because all slots were in use.
    pub shed: u64,
    /// Highest number of requests that ran concurrently.
    pub peak_running: u32,
    /// Highest number of connections open at the same time.
    pub peak_connections: u32,
    /// Values of the request header `x-dragonflywall-deadline-ms`, in milliseconds from the arrival.
    pub deadlines_ms: Vec<u64>,
    /// Time at which the most recent run started.
    pub last_run_start: Option<Instant>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    behaviour: Mutex<Behaviour>,
    record: Mutex<Record>,
    running: Mutex<u32>,
    started: Instant,
    connections: Arc<ConnectionCounter>,
}

/// A running backend server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Backend {
    /// Address of its listener.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
    server_tasks: TaskTracker,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Backend {
    /// Starts a backend server that listens on `address`. `name` is returned in `x-ran-by`.
    pub async fn start(
        address: SocketAddr,
        name: &str,
        behaviour: Behaviour,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            behaviour: Mutex::new(behaviour),
            record: Mutex::default(),
            running: Mutex::default(),
            started: Instant::now(),
            connections: Arc::default(),
        });
        let stop = CancellationToken::new();
        let handler_shared = Arc::clone(&shared);
        let connections = Arc::clone(&shared.connections);
        let handle = move |request| {
            let shared = Arc::clone(&handler_shared);
            async move { Some(shared.handle(request).await) }
        };
        let server_tasks = TaskTracker::new();
        server_tasks.spawn(serve_counting_connections(
            listener,
            stop.clone(),
            connections,
            handle,
        ));
        server_tasks.close();
        Ok(Self {
            address,
            shared,
            stop,
            server_tasks,
        })
    }

    /// Closes all connections and the listener, as a crash would. When it returns, new connections are
    /// refused.
    pub async fn kill(&self) {
        self.stop.cancel();
        self.server_tasks.wait().await;
    }

    /// Replaces the behaviour for requests that start from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Returns a snapshot of the counters.
    pub fn record(&self) -> Record {
        let mut record = lock(&self.shared.record).clone();
        record.peak_connections = self.shared.connections.peak();
        record
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guard of one running request. Dropping it frees the slot and counts the request as finished or
/// cancelled.
struct Run<'a> {
    shared: &'a Shared,
    finished: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        *lock(&self.shared.running) -= 1;
        let mut record = lock(&self.shared.record);
        if self.finished {
            record.finished += 1;
        } else {
            record.cancelled += 1;
        }
    }
}

impl Shared {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        while lock(&self.behaviour).frozen {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let behaviour = lock(&self.behaviour).clone();
        if request.uri().path() == "/health" {
            return health_response(behaviour.reports_healthy);
        }
        let query = request.uri().query().unwrap_or("").to_owned();
        let id = request.headers().get("x-request-id");
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
        let Some(mut run) = self.try_start(&id, &behaviour) else {
            let mut response = build_response(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
            let not_run = HeaderValue::from_static("1");
            response.headers_mut().insert(NOT_RUN, not_run);
            return response;
        };
        let headers = request.headers().clone();
        self.record_deadline(&headers);
        let Ok(body) = request.into_body().collect().await else {
            return build_response(StatusCode::BAD_REQUEST, "the body broke off\n");
        };
        let body = body.to_bytes();
        let mut work = query_number(&query, "work_ms")
            .map_or(behaviour.default_work_time, Duration::from_millis);
        if self.started.elapsed() < behaviour.cold_start {
            work += behaviour.cold_start;
        }
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        if let Some(chain) = query_text(&query, "chain") {
            let called = call_chain(behaviour.caller_listener, chain, &id, &headers).await;
            let Ok(reply) = called else {
                return build_response(StatusCode::BAD_GATEWAY, "the call was not answered\n");
            };
            if reply.status != StatusCode::OK {
                run.finished = true;
                return build_response(reply.status, reply.body);
            }
        }
        let digest = blake3::hash(&body).to_hex();
        let answer_bytes = query_number(&query, "answer_bytes");
        let content = answer_bytes.map_or(body, |bytes| generated_body(&id, bytes));
        run.finished = true;
        let status = query_number(&query, "status").and_then(|code| u16::try_from(code).ok());
        let status = status.and_then(|code| StatusCode::from_u16(code).ok());
        let mut response = build_response(status.unwrap_or(StatusCode::OK), content);
        if let Some(bytes) = query_number(&query, "break_after") {
            response = response.map(|whole| truncated_body(whole, bytes));
        }
        let headers = response.headers_mut();
        headers.insert("x-digest", header_value(&digest));
        headers.insert("x-ran-by", header_value(&self.name));
        headers.insert("x-ran-id", header_value(&id));
        response
    }

    fn record_deadline(&self, headers: &HeaderMap) {
        let deadline = headers.get("x-dragonflywall-deadline-ms");
        let deadline: Option<u64> = deadline.and_then(|value| value.to_str().ok()?.parse().ok());
        lock(&self.record).deadlines_ms.extend(deadline);
    }

    fn try_start(&self, id: &str, behaviour: &Behaviour) -> Option<Run<'_>> {
        let mut record = lock(&self.record);
        let mut running = lock(&self.running);
        if *running >= behaviour.slots {
            record.shed += 1;
            return None;
        }
        *running += 1;
        record.peak_running = record.peak_running.max(*running);
        *record.runs.entry(id.to_owned()).or_default() += 1;
        record.last_run_start = Some(Instant::now());
        Some(Run {
            shared: self,
            finished: false,
        })
    }
}

fn health_response(reports_healthy: bool) -> Response<Body> {
    if reports_healthy {
        build_response(StatusCode::OK, "ok\n")
    } else {
        build_response(StatusCode::SERVICE_UNAVAILABLE, "unhealthy\n")
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("?"))
}

fn query_text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(pairs.find(|(key, _)| *key == name)?.1)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

/// Sends the first call of `chain` through the node on the same VM. The call has the id of the request
/// that caused it and the token with which the node recognises it as a nested call.
async fn call_chain(
    caller_listener: Option<SocketAddr>,
    chain: &str,
    id: &str,
    headers: &HeaderMap,
) -> crate::http::Result<Reply> {
    let caller_listener = caller_listener.ok_or("no caller listener is set")?;
    let (first, rest) = chain.split_once(',').unwrap_or((chain, ""));
    let (service, path) = first
        .split_once(':')
        .ok_or("chain entry is not `service:path`")?;
    let path = match rest {
        "" => path.to_owned(),
        rest => format!("{path}?chain={rest}"),
    };
    let token = headers.get("x-dragonflywall-call");
    let token = token.and_then(|token| token.to_str().ok()).unwrap_or("");
    let headers = [("x-request-id", id), ("x-dragonflywall-call", token)];
    request(caller_listener, Method::GET, service, &path, &headers, "").await
}

/// Returns a body of at most `bytes` zero bytes and then an error.
///
/// `whole` gives the upper limit of the length. The error follows after a short pause, in which the
/// bytes are sent; it makes hyper close the connection before the response is complete.
fn truncated_body(whole: Body, bytes: u64) -> Body {
    let length = whole.size_hint().exact().unwrap_or(0);
    let content = vec![0; usize::try_from(bytes.min(length)).unwrap_or(0)];
    let (sender, frames) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        // Sending fails only if the connection is closed already.
        let _ = sender.send(Ok(Frame::data(Bytes::from(content)))).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let error = std::io::Error::other("response body truncated by `break_after`");
        let _ = sender.send(Err(error)).await;
    });
    BodyExt::boxed_unsync(StreamBody::new(ReceiverStream::new(frames)))
}

/// Returns `bytes` bytes derived from the request id. They differ between requests, so that a test
/// detects a response that was delivered for the wrong request.
pub fn generated_body(id: &str, bytes: u64) -> Bytes {
    let bytes = usize::try_from(bytes).unwrap_or(0);
    let mut content = vec![0; bytes];
    let mut hasher = blake3::Hasher::new();
    hasher.update(id.as_bytes());
    hasher.finalize_xof().fill(&mut content);
    content.into()
}

/// Returns the BLAKE3 digest of the body that [`Backend`] sends for request `id` if its query has
/// `answer_bytes`.
pub fn expected_answer_digest(id: &str, answer_bytes: u64) -> String {
    blake3::hash(&generated_body(id, answer_bytes))
        .to_hex()
        .to_string()
}
