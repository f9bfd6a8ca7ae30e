//! HTTP/2 connections to the gates of other nodes: one per node, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};

use super::body::Body;
use super::failure::{Failure, Reason, Refusal};
use super::headers;
use super::promise::{NotRun, OpenAttempts};
use crate::peer::client::DialOptions;
use crate::util::dial::dial;
use crate::util::pause_tolerant_timer::PauseTolerantTimer;

#[cfg(test)]
mod tests;

/// Timeout for opening a connection. An endpoint that does not respond in this time is probably
/// gone, and a request to another endpoint is faster than a retransmitted connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval and timeout of keep-alive pings. With requests in flight, a frozen or unreachable peer
/// is detected within twice this time.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// HTTP/2 stream window for responses: bytes of one response that may be buffered for a slow
/// reader.
const RESPONSE_WINDOW_BYTES: u32 = 128 << 10;
/// HTTP/2 connection window: the sum of the stream windows, so that slow readers of some responses
/// do not block other responses on the connection.
const CONNECTION_WINDOW_BYTES: u32 = 1_024 * RESPONSE_WINDOW_BYTES;

/// Number of stored addresses at which those without an open connection are removed. More than the
/// endpoints in the subsets of all services that a node calls.
const ADDRESSES_MAX: usize = 512;

/// Sends requests over a connection to another node's gate.
#[derive(Clone, Debug)]
pub(crate) struct PeerSender {
    requests: http2::SendRequest<Body>,
    token: Option<HeaderValue>,
}

impl PeerSender {
    /// Sends a request with the mesh token, and counts it in `open_attempts`. The failure says whether the request may
    /// have been received.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Body>,
        open_attempts: &OpenAttempts,
    ) -> Result<Response<Incoming>, Failure> {
        if let Some(token) = &self.token {
            request.headers_mut().insert(headers::TOKEN, token.clone());
        }
        open_attempts.begin();
        let sent = self.requests.try_send_request(request).await;
        sent.map_err(|mut error| {
            let returned = error.take_message().as_ref().map(NotRun::returned);
            match returned.or_else(|| NotRun::stream_refused(error.error())) {
                Some(proof) => open_attempts.disprove(proof, Reason::Unreachable),
                None => Failure::may_have_run(Reason::Lost),
            }
        })
    }
}

/// The connections of this node to the gates of other nodes, by address.
#[derive(Debug)]
pub(crate) struct PeerConnections {
    dial_options: DialOptions,
    connections: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<ConnectionState>>>>,
}

/// The connection to one node. The lock is held during the handshake, so that concurrent requests
/// open one connection instead of one each.
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

    /// Returns the connection to the gate at `address`, or opens one.
    pub(crate) async fn sender(&self, address: SocketAddr) -> Result<PeerSender, Refusal> {
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
        // Requests that waited for a failed attempt share its result. Otherwise each would wait for
        // the whole timeout in turn.
        if connection
            .failed_at
            .is_some_and(|failed_at| failed_at > requested_at)
        {
            return Err(Reason::Unreachable.into());
        }
        match self.connect(address).await {
            Ok(sender) => {
                connection.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                log::debug!(peer:% = address, error:%; "failed to connect to a peer");
                connection.failed_at = Some(Instant::now());
                Err(Reason::Unreachable.into())
            }
        }
    }

    fn connection_state(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<ConnectionState>> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if connections.len() >= ADDRESSES_MAX {
            // VMs are replaced over time. Without this, the map would grow with each new address.
            connections
                .retain(|_, connection| Arc::strong_count(connection) > 1 || is_open(connection));
        }
        Arc::clone(connections.entry(address).or_default())
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerSender, super::body::BoxError> {
        let stream = dial(address, self.dial_options.dial_from, CONNECT_TIMEOUT).await?;
        let (requests, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(PauseTolerantTimer)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            // Responses to cancelled requests count towards this limit, over the lifetime of the
            // connection.
            .max_local_error_reset_streams(None)
            .max_header_list_size(headers::PEER_HEAD_MAX_BYTES)
            .initial_stream_window_size(RESPONSE_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        let token = self
            .dial_options
            .token
            .secret_to_send()
            .map(headers::to_value);
        Ok(PeerSender { requests, token })
    }
}
