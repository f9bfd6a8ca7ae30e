//! HTTP/1.1 connections to the node's own backend server.
//!
//! A connection carries one request at a time. It returns to the pool only after its response has
//! been read to the end, so that a late response cannot be taken for that of another request. Only valid responses are
//! read, and where responses repeat the id of their request, those to other requests are dropped, see
//! [`response_filter`](crate::util::response_filter).

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{Method, Request, Response};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;

use super::body::{self, Body, BoxError, GuardedBody};
use super::failure::{Failure, Reason, Refusal};
use super::header_profile::{self, HeaderProfile};
use super::promise::{NotRun, OpenAttempts};
use super::{headers, log_limiter};
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::StartDigest;
use crate::decide::crashes::{BackendLife, CrashId, CrashSet};
use crate::util::clock;
use crate::util::dial::dial;
use crate::util::lock::lock_ignoring_poison;
use crate::util::response_filter::{
    ExpectedResponse, FilteredStream, RequestBodyGuard, ResponseFilter, SharedFilter,
};

mod framing;
#[cfg(test)]
mod tests;

/// Timeout for opening a connection. Short, because the backend server is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Read buffer per connection: limits the head of a response, and how much of a response is read
/// ahead of a slow caller.
const READ_BUFFER_MAX_BYTES: usize = 64 << 10;

/// Longest wait for a connection that is being closed, before a new one may be opened.
const CLOSE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Longest idle time after which a connection is reused for a request that is not idempotent. After
/// a longer time the backend server, or a device in front of it, may have dropped the connection. A
/// request that fails with a connection reset may have run.
const IDLE_REUSE_MAX: Duration = Duration::from_millis(100);

/// The same limit for idempotent requests, which are retried after a connection reset.
const IDLE_REUSE_MAX_IDEMPOTENT: Duration = Duration::from_secs(1);

/// Share of the idle time that the backend server states after which a connection is not reused. The rest
/// covers a request that is on its way when the backend server closes the connection.
const STATED_IDLE_TIME_NUMERATOR: u32 = 4;
const STATED_IDLE_TIME_DENOMINATOR: u32 = 5;

/// Longest idle time after which a connection is reused, if the backend server says that it closes idle
/// connections after `keep_alive`.
fn idle_reuse_max(idempotent: bool, keep_alive: Option<Duration>) -> Duration {
    let reuse_max = match idempotent {
        true => IDLE_REUSE_MAX_IDEMPOTENT,
        false => IDLE_REUSE_MAX,
    };
    let stated = keep_alive.map(|timeout| {
        timeout.saturating_mul(STATED_IDLE_TIME_NUMERATOR) / STATED_IDLE_TIME_DENOMINATOR
    });
    stated.map_or(reuse_max, |stated| stated.min(reuse_max))
}

/// A connection to the backend server.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Body>,
    filter: SharedFilter,
}

impl Connection {
    /// Whether the previous request and its response are out, and nothing else is being received.
    fn is_ready(&self) -> bool {
        let is_silent = lock_ignoring_poison(&self.filter).is_between_responses();
        is_silent && self.sender.is_ready()
    }
}

/// A connection without a request.
#[derive(Debug)]
struct IdleConnection {
    address: SocketAddr,
    connection: Connection,
    idle_since: Instant,
    /// How long the backend server keeps it open, if it said so.
    keep_alive: Option<Duration>,
}

impl IdleConnection {
    fn may_be_reused(&self, idempotent: bool) -> bool {
        self.idle_since.elapsed() < idle_reuse_max(idempotent, self.keep_alive)
    }
}

/// Pool of connections to the backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendPool {
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    open_count: Arc<AtomicU32>,
    connections_max: Arc<AtomicU32>,
    /// Notified when a connection has closed.
    closed: Arc<Notify>,
    created_at: Instant,
    life: Arc<Mutex<BackendLife>>,
    /// Digest of the start of the backend server, or 0.
    start: Arc<AtomicU32>,
    mechanisms: MechanismSwitches,
    profile: &'static HeaderProfile,
}

impl Default for BackendPool {
    fn default() -> Self {
        Self::new(MechanismSwitches::default(), &header_profile::DEFAULT)
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection {
    open_count: Arc<AtomicU32>,
    closed: Arc<Notify>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::AcqRel);
        self.closed.notify_waiters();
    }
}

impl BackendPool {
    /// Creates an empty pool.
    pub(crate) fn new(mechanisms: MechanismSwitches, profile: &'static HeaderProfile) -> Self {
        Self {
            idle: Arc::default(),
            open_count: Arc::default(),
            connections_max: Arc::default(),
            closed: Arc::default(),
            created_at: Instant::now(),
            life: Arc::default(),
            start: Arc::default(),
            mechanisms,
            profile,
        }
    }

    fn record_response(&self) {
        let now_us = clock::since_us(self.created_at);
        lock_ignoring_poison(&self.life).record_response(now_us);
    }

    /// Records an announcement of the backend server.
    pub(crate) fn record_announcement(&self) {
        let now_us = clock::since_us(self.created_at);
        lock_ignoring_poison(&self.life).record_announcement(now_us);
    }

    /// Records which start of the backend server an announcement is of, unless a later one outdates it.
    pub(crate) fn record_announced_start(&self, start: StartDigest, sequence: Option<u64>) {
        lock_ignoring_poison(&self.life).record_announced_start(clock::boot_us(), start, sequence);
    }

    /// Whether the announcements within a time show that the backend server of this start has not ended before it.
    pub(crate) fn has_announced_within(&self, start: StartDigest, within: Duration) -> bool {
        let within_us = u64::try_from(within.as_micros()).unwrap_or(u64::MAX);
        let since_us = clock::boot_us().saturating_sub(within_us);
        lock_ignoring_poison(&self.life).has_announced_since(start, since_us)
    }

    /// Sets the start of the backend server, if it announced one.
    pub(crate) fn set_start(&self, start: Option<StartDigest>) {
        let number = start.map_or(0, |StartDigest(number)| number.get());
        self.start.store(number, Ordering::Release);
    }

    /// The start of the backend server, if it announced one.
    pub(crate) fn start(&self) -> Option<StartDigest> {
        NonZeroU32::new(self.start.load(Ordering::Acquire)).map(StartDigest)
    }

    /// Records that the backend server, which had this start, did not answer a request. Returns the crash that this may be.
    pub(crate) fn record_loss(&self, start: Option<StartDigest>) -> CrashId {
        let new_id = || CrashId::new(start, rand::random());
        lock_ignoring_poison(&self.life).record_loss(new_id)
    }

    /// Whether the backend server has fallen silent under a request that was sent at `sent_at` and has no response yet.
    pub(crate) fn is_silent(&self, sent_at: Instant) -> bool {
        let now_us = clock::since_us(self.created_at);
        let sent_us = clock::us_between(self.created_at, sent_at);
        lock_ignoring_poison(&self.life).is_silent(now_us, sent_us)
    }

    /// Time after which the backend server will have fallen silent unless it shows a sign of life. `None` if that is not known.
    pub(crate) fn silent_in(&self) -> Option<Duration> {
        let now_us = clock::since_us(self.created_at);
        let silent_in_us = lock_ignoring_poison(&self.life).silent_in_us(now_us);
        silent_in_us.map(Duration::from_micros)
    }

    /// Sets the maximum number of connections that the backend server accepts.
    pub(crate) fn set_connections_max(&self, connections_max: u32) {
        self.connections_max
            .store(connections_max, Ordering::Release);
    }

    /// Sends a request to the backend server at `address`. `idempotent` requests may use
    /// connections that have been idle for longer. `check` is called right before the request is sent, and prevents
    /// that if it fails. Attempts that are sent are counted in `open_attempts`.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        idempotent: bool,
        open_attempts: &OpenAttempts,
        check: impl Fn() -> Result<(), Refusal>,
    ) -> Result<Response<Body>, Failure> {
        let refuse = |refusal| open_attempts.refuse(refusal);
        let mut request = request;
        while let Some(connection) = self.take_idle(address, idempotent) {
            check().map_err(refuse)?;
            let exchange = self.exchange(address, connection, request, open_attempts);
            match exchange.await {
                Ok(response) => return Ok(response),
                // The backend server had closed the idle connection before anything was sent.
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => {
                    self.drop_idle();
                    return Err(failure);
                }
            }
        }
        let reservation = self.reserve_connection().await;
        let reservation = reservation.ok_or_else(|| refuse(Reason::Full.into()))?;
        let connection = self.connect(address, reservation).await.map_err(|error| {
            log::debug!(backend:% = address, error:%; "failed to connect to the backend server");
            refuse(Reason::BackendDown.into())
        })?;
        check().map_err(refuse)?;
        self.exchange(address, connection, request, open_attempts)
            .await
            .map_err(|(failure, _)| failure)
    }

    /// Closes all idle connections. The fault that broke one connection may have broken the others.
    fn drop_idle(&self) {
        let mut idle = lock_ignoring_poison(&self.idle);
        idle.clear();
    }

    /// Reserves one more connection. There are never more slots than connections, so at the limit
    /// the others are idle, or belong to abandoned requests and are being closed.
    async fn reserve_connection(&self) -> Option<OpenConnection> {
        if let Some(reservation) = self.try_reserve() {
            return Some(reservation);
        }
        self.drop_idle();
        let reserved = async {
            loop {
                let mut closed = pin!(self.closed.notified());
                closed.as_mut().enable();
                if let Some(reservation) = self.try_reserve() {
                    return reservation;
                }
                closed.await;
            }
        };
        tokio::time::timeout(CLOSE_WAIT_MAX, reserved).await.ok()
    }

    fn try_reserve(&self) -> Option<OpenConnection> {
        // A backend server without a limit yet may receive health checks on one connection.
        let connections_max = self.connections_max.load(Ordering::Acquire).max(1);
        let one_more = |open| (open < connections_max).then_some(open + 1);
        let incremented =
            self.open_count
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_more);
        incremented.ok().map(|_| OpenConnection {
            open_count: Arc::clone(&self.open_count),
            closed: Arc::clone(&self.closed),
        })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        mut request: Request<Body>,
        open_attempts: &OpenAttempts,
    ) -> Result<Response<Body>, (Failure, Option<Request<Body>>)> {
        framing::frame_body(&mut request);
        let id = request.headers().get(&self.profile.request_id).cloned();
        let sends_body = !request.body().is_end_stream();
        lock_ignoring_poison(&connection.filter).expect(ExpectedResponse {
            id: id.clone(),
            is_head: request.method() == Method::HEAD,
            sends_body,
        });
        let request = match sends_body {
            true => request.map(|inner| {
                let guard = RequestBodyGuard::new(Arc::clone(&connection.filter));
                body::boxed(GuardedBody::new(inner, guard))
            }),
            false => request,
        };
        let start = self.start();
        open_attempts.begin();
        match connection.sender.try_send_request(request).await {
            Ok(response) if self.belongs_to(id.as_ref(), &response) => {
                self.record_response();
                Ok(self.lease_until_read(address, connection, response))
            }
            Ok(_) => Err((Failure::may_have_run(Reason::Lost), None)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => {
                    let proof = NotRun::returned(&unsent);
                    let failure = open_attempts.disprove(proof, Reason::Unreachable);
                    Err((failure, Some(unsent)))
                }
                None => {
                    let crashes = CrashSet::of(self.record_loss(start));
                    let failure = Failure::may_have_run(Reason::Lost).with_crashes(crashes);
                    Err((failure, None))
                }
            },
        }
    }

    /// Whether a response is that to the request with this id. Otherwise its connection must not be
    /// used again.
    fn belongs_to(&self, id: Option<&HeaderValue>, response: &Response<Incoming>) -> bool {
        let belongs = id.is_none() || self.profile.is_response_to(id, response);
        if !belongs {
            let response_id = response.headers().get(&self.profile.request_id);
            log::warn!(
                request_id = log_limiter::id_text(id),
                response_id = log_limiter::id_text(response_id),
                status = response.status().as_u16();
                "the backend server's response does not belong to the request"
            );
        }
        belongs
    }

    fn lease_until_read(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Response<Body> {
        let lease = Lease {
            pool: self.clone(),
            address,
            connection: Some(connection),
            keep_alive: headers::keep_alive_timeout(response.headers()),
        };
        response.map(|incoming| {
            let inner = body::boxed(incoming);
            body::boxed(GuardedBody::new(inner, lease))
        })
    }

    /// Takes the most recently used idle connection, if it has not been idle for too long.
    fn take_idle(&self, address: SocketAddr, idempotent: bool) -> Option<Connection> {
        let mut idle = lock_ignoring_poison(&self.idle);
        let reuse_any_idle = !self.mechanisms.is_enabled(Mechanism::IdleConnectionTimeout);
        idle.retain(|idle| {
            let is_kept = idle.address == address && !idle.connection.sender.is_closed();
            is_kept && (reuse_any_idle || idle.may_be_reused(true))
        });
        let is_usable = |idle: &IdleConnection| {
            let recently_used = reuse_any_idle || idle.may_be_reused(idempotent);
            recently_used && idle.connection.is_ready()
        };
        let ready = idle.iter().rposition(is_usable)?;
        Some(idle.remove(ready).connection)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        reservation: OpenConnection,
    ) -> Result<Connection, BoxError> {
        let stream = dial(address, None, CONNECT_TIMEOUT).await?;
        lock_ignoring_poison(&self.life).record_connection();
        let repeats_id = self.profile.responses_repeat_id;
        let id_header = repeats_id.then(|| self.profile.request_id.clone());
        let filter = Arc::new(Mutex::new(ResponseFilter::new(id_header)));
        let stream = FilteredStream::new(stream, Arc::clone(&filter));
        let sender = handshake(stream, reservation).await?;
        Ok(Connection { sender, filter })
    }
}

/// Returns a connection to the pool when the response body is dropped. hyper reports the connection
/// as ready only if the response was read completely; otherwise it is not reused.
struct Lease {
    pool: BackendPool,
    address: SocketAddr,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|connection| !connection.sender.is_closed()) {
            lock_ignoring_poison(&self.pool.idle).push(IdleConnection {
                address: self.address,
                connection,
                idle_since: Instant::now(),
                keep_alive: self.keep_alive,
            });
        }
    }
}

async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    reservation: OpenConnection,
) -> hyper::Result<http1::SendRequest<Body>> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        let _reservation = reservation;
        // An error is also returned to the request on the connection.
        let _ = connection.await;
    });
    Ok(sender)
}
