//! HTTP/1.1 connections to the node's own backend server.
//!
//! A connection carries one request at a time and goes back to the pool only after its answer has
//! been read to the end, so a late answer can never meet another request.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::sync::Notify;

use super::body::{self, Body, BoxError, GuardedBody};
use super::failure::{Failure, Reason};
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::util::dial::dial;

#[cfg(test)]
mod tests;

/// The backend server is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of one answer that are read ahead of a slow reader; also bounds the answer's head.
const READ_BUFFER_MAX_BYTES: usize = 64 << 10;

/// Longest wait for a connection that is being closed.
const CLOSE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Longest rest after which a connection is used again for a request that may not run twice. A backend server, or
/// what lies before it, may have forgotten it by then, and a request that meets a reset may have run.
const IDLE_REUSE_MAX: Duration = Duration::from_millis(100);

/// The same for idempotent requests, which are tried again after a reset.
const IDLE_REUSE_MAX_IDEMPOTENT: Duration = Duration::from_secs(1);

type Sender = http1::SendRequest<Body>;

/// A connection that no request uses.
#[derive(Debug)]
struct IdleConnection {
    address: SocketAddr,
    sender: Sender,
    idle_since: Instant,
}

/// Connections to the backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendPool {
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    open_count: Arc<AtomicU32>,
    connections_max: Arc<AtomicU32>,
    /// Told when a connection has been closed.
    closed: Arc<Notify>,
    without: MechanismSwitches,
}

/// Counts one open connection until it is closed.
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
    /// No connections yet.
    pub(crate) fn new(without: MechanismSwitches) -> Self {
        Self {
            without,
            ..Self::default()
        }
    }

    /// Sets how many connections the backend server accepts.
    pub(crate) fn set_connections_max(&self, connections_max: u32) {
        self.connections_max
            .store(connections_max, Ordering::Release);
    }

    /// Sends a request, which may be `idempotent`, to the backend server at `address`.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        idempotent: bool,
    ) -> Result<Response<Body>, Failure> {
        let mut request = request;
        let idle_max = match idempotent {
            true => IDLE_REUSE_MAX_IDEMPOTENT,
            false => IDLE_REUSE_MAX,
        };
        while let Some(sender) = self.take_idle(address, idle_max) {
            match self.exchange(address, sender, request).await {
                Ok(response) => return Ok(response),
                // An idle connection that the backend server had closed: nothing was sent.
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => {
                    self.drop_idle();
                    return Err(failure);
                }
            }
        }
        let reservation = self.reserve_connection().await;
        let reservation = reservation.ok_or(Failure::not_run(Reason::Full))?;
        let sender = connect(address, reservation).await.map_err(|error| {
            log::debug!(backend:% = address, error:%; "backend server not reached");
            Failure::not_run(Reason::Unreachable)
        })?;
        self.exchange(address, sender, request)
            .await
            .map_err(|(failure, _)| failure)
    }

    /// Uses no connection again that is idle now: what has broken one may have broken all.
    fn drop_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    /// Room for one more connection. Slots are never more than connections, so what is in the way are idle ones, or
    /// those of requests that were given up a moment ago.
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
        // One that is not known to take requests yet may be asked whether it does.
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
        mut sender: Sender,
        request: Request<Body>,
    ) -> Result<Response<Body>, (Failure, Option<Request<Body>>)> {
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.lease_until_read(address, sender, response)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => Err((Failure::not_run(Reason::Unreachable), Some(unsent))),
                None => Err((Failure::may_have_run(Reason::Lost), None)),
            },
        }
    }

    fn lease_until_read(
        &self,
        address: SocketAddr,
        sender: Sender,
        response: Response<Incoming>,
    ) -> Response<Body> {
        let lease = Lease {
            pool: self.clone(),
            address,
            sender: Some(sender),
        };
        response.map(|incoming| {
            let inner = body::boxed(incoming);
            body::boxed(GuardedBody::new(inner, lease))
        })
    }

    /// The connection that has rested for the shortest time, if that is below `idle_max`.
    fn take_idle(&self, address: SocketAddr, idle_max: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let reuse_any_idle = !self.without.is_enabled(Mechanism::IdleConnectionLimit);
        idle.retain(|connection| {
            let is_kept = connection.address == address && !connection.sender.is_closed();
            is_kept
                && (reuse_any_idle || connection.idle_since.elapsed() < IDLE_REUSE_MAX_IDEMPOTENT)
        });
        let is_usable = |connection: &IdleConnection| {
            let recently_used = reuse_any_idle || connection.idle_since.elapsed() < idle_max;
            recently_used && connection.sender.is_ready()
        };
        let ready = idle.iter().rposition(is_usable)?;
        Some(idle.remove(ready).sender)
    }
}

/// Returns a connection to the pool once its answer's body is dropped. The library reports the
/// connection ready only when the answer was read whole; one that was not is never taken again.
struct Lease {
    pool: BackendPool,
    address: SocketAddr,
    sender: Option<Sender>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take().filter(|sender| !sender.is_closed()) {
            let mut idle = self
                .pool
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            idle.push(IdleConnection {
                address: self.address,
                sender,
                idle_since: Instant::now(),
            });
        }
    }
}

async fn connect(address: SocketAddr, reservation: OpenConnection) -> Result<Sender, BoxError> {
    let stream = dial(address, None, CONNECT_TIMEOUT).await?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        let _reservation = reservation;
        // Its end, good or bad, is seen by the request on it.
        let _ = connection.await;
    });
    Ok(sender)
}
