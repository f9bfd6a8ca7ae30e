//! HTTP/2 connections to other nodes' gates, one per node, opened when first needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};

use super::answer::{Failure, Reason};
use super::body::Body;
use super::headers;
use crate::peer::client::DialOptions;
use crate::util::dial::dial;

/// Longest wait for a connection. Beyond it the endpoint is as good as gone, and another one is
/// nearer than its retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A frozen or cut-off peer is noticed within two of these while requests wait on it.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Bytes of one answer that may be under way and unread, so that a slow reader does not make it pile up here.
const ANSWER_WINDOW_BYTES: u32 = 128 << 10;
/// Window of the whole connection: as much as all of its streams together may have under way, so
/// that slow readers of some answers never hold up the others on the connection.
const CONNECTION_WINDOW_BYTES: u32 = 1_024 * ANSWER_WINDOW_BYTES;

/// Addresses known before those without a connection are forgotten: above the subsets of all
/// services that a node calls.
const KNOWN_MAX: usize = 512;

/// A connection to another node's gate.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    requests: http2::SendRequest<Body>,
    token: Option<HeaderValue>,
}

impl Sender {
    /// Sends a request.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Failure> {
        if let Some(token) = &self.token {
            request.headers_mut().insert(headers::TOKEN, token.clone());
        }
        let sent = self.requests.try_send_request(request).await;
        sent.map_err(|mut error| {
            // The library hands the request back only if none of it was sent.
            if error.take_message().is_some() || refused_stream(error.error()) {
                Failure::not_run(Reason::Unreachable)
            } else {
                Failure::may_have_run(Reason::Lost)
            }
        })
    }
}

/// Whether the other side says that it has not looked at the request (RFC 9113, section 8.7).
fn refused_stream(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let reset = source.and_then(|source| source.downcast_ref::<h2::Error>());
    reset.is_some_and(|reset| {
        reset.is_remote() && reset.is_reset() && reset.reason() == Some(h2::Reason::REFUSED_STREAM)
    })
}

#[derive(Debug)]
pub(crate) struct PeerConnections {
    options: DialOptions,
    slots: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Slot>>>>,
}

/// Locked across the handshake, so that a burst opens one connection and not one per request.
#[derive(Debug, Default)]
struct Slot {
    sender: Option<Sender>,
    failed_at: Option<Instant>,
}

fn is_open(slot: &tokio::sync::Mutex<Slot>) -> bool {
    let slot = slot.try_lock();
    slot.is_ok_and(|slot| {
        let sender = slot.sender.as_ref();
        sender.is_some_and(|sender| !sender.requests.is_closed())
    })
}

impl PeerConnections {
    pub(crate) fn new(options: DialOptions) -> Self {
        Self {
            options,
            slots: Mutex::default(),
        }
    }

    /// A connection to the gate at `address`; nothing has been sent if there is none.
    pub(crate) async fn sender(&self, address: SocketAddr) -> Result<Sender, Failure> {
        let asked_at = Instant::now();
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        let open = slot
            .sender
            .as_ref()
            .filter(|sender| !sender.requests.is_closed());
        if let Some(sender) = open {
            return Ok(sender.clone());
        }
        // Those that waited while one dial failed take its result; else each would dial for the whole timeout.
        if slot.failed_at.is_some_and(|failed_at| failed_at > asked_at) {
            return Err(Failure::not_run(Reason::Unreachable));
        }
        match self.connect(address).await {
            Ok(sender) => {
                slot.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                log::debug!(peer:% = address, error:%; "peer not reached");
                slot.failed_at = Some(Instant::now());
                Err(Failure::not_run(Reason::Unreachable))
            }
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<Slot>> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.len() >= KNOWN_MAX {
            // VMs come and go all year, and each address would stay.
            slots.retain(|_, slot| Arc::strong_count(slot) > 1 || is_open(slot));
        }
        Arc::clone(slots.entry(address).or_default())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, super::body::BoxError> {
        let stream = dial(address, self.options.dial_from, CONNECT_TIMEOUT).await?;
        let (requests, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .initial_stream_window_size(ANSWER_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        let token = self.options.token.outgoing().map(headers::value);
        Ok(Sender { requests, token })
    }
}
