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

use super::body::Body;
use super::failure::{Failure, Reason};
use super::headers;
use crate::peer::client::DialOptions;
use crate::util::dial::dial;

/// Longest wait for a connection. Beyond it the endpoint is as good as gone, and another one is
/// nearer than its retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A frozen or cut-off peer is noticed within two of these while requests wait on it.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Bytes of one answer that may be under way and unread, so that a slow reader does not make it pile up here.
const RESPONSE_WINDOW_BYTES: u32 = 128 << 10;
/// Window of the whole connection: as much as all of its streams together may have under way, so
/// that slow readers of some answers never hold up the others on the connection.
const CONNECTION_WINDOW_BYTES: u32 = 1_024 * RESPONSE_WINDOW_BYTES;

/// Addresses known before those without a connection are forgotten: above the subsets of all
/// services that a node calls.
const ADDRESSES_MAX: usize = 512;

/// A connection to another node's gate.
#[derive(Clone, Debug)]
pub(crate) struct PeerSender {
    requests: http2::SendRequest<Body>,
    token: Option<HeaderValue>,
}

impl PeerSender {
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
    dial_options: DialOptions,
    connections: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<ConnectionState>>>>,
}

/// Locked across the handshake, so that a burst opens one connection and not one per request.
#[derive(Debug, Default)]
struct ConnectionState {
    sender: Option<PeerSender>,
    failed_at: Option<Instant>,
}

fn is_open(connection: &tokio::sync::Mutex<ConnectionState>) -> bool {
    let connection = connection.try_lock();
    connection.is_ok_and(|connection| {
        let sender = connection.sender.as_ref();
        sender.is_some_and(|sender| !sender.requests.is_closed())
    })
}

impl PeerConnections {
    pub(crate) fn new(dial_options: DialOptions) -> Self {
        Self {
            dial_options,
            connections: Mutex::default(),
        }
    }

    /// A connection to the gate at `address`; nothing has been sent if there is none.
    pub(crate) async fn sender(&self, address: SocketAddr) -> Result<PeerSender, Failure> {
        let requested_at = Instant::now();
        let connection = self.connection_state(address);
        let mut connection = connection.lock().await;
        let open = connection
            .sender
            .as_ref()
            .filter(|sender| !sender.requests.is_closed());
        if let Some(sender) = open {
            return Ok(sender.clone());
        }
        // Those that waited while one dial failed take its result; else each would dial for the whole timeout.
        if connection
            .failed_at
            .is_some_and(|failed_at| failed_at > requested_at)
        {
            return Err(Failure::not_run(Reason::Unreachable));
        }
        match self.connect(address).await {
            Ok(sender) => {
                connection.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                log::debug!(peer:% = address, error:%; "peer not reached");
                connection.failed_at = Some(Instant::now());
                Err(Failure::not_run(Reason::Unreachable))
            }
        }
    }

    fn connection_state(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<ConnectionState>> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if connections.len() >= ADDRESSES_MAX {
            // VMs come and go all year, and each address would stay.
            connections
                .retain(|_, connection| Arc::strong_count(connection) > 1 || is_open(connection));
        }
        Arc::clone(connections.entry(address).or_default())
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerSender, super::body::BoxError> {
        let stream = dial(address, self.dial_options.dial_from, CONNECT_TIMEOUT).await?;
        let (requests, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .initial_stream_window_size(RESPONSE_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        let token = self.dial_options.token.outgoing().map(headers::to_value);
        Ok(PeerSender { requests, token })
    }
}
