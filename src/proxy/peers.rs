//! HTTP/2 connections to other nodes' gates, one per node, opened when first needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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

type Sender = http2::SendRequest<Body>;

#[derive(Debug)]
pub(crate) struct PeerConnections {
    options: DialOptions,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

/// Held across the handshake, so that a burst opens one connection and not one per request.
type Slot = tokio::sync::Mutex<Option<Sender>>;

impl PeerConnections {
    pub(crate) fn new(options: DialOptions) -> Self {
        Self {
            options,
            slots: Mutex::default(),
        }
    }

    /// Sends a request to the gate at `address`.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Failure> {
        let mut sender = self.sender(address).await?;
        if let Some(token) = self.options.token.to_send() {
            let token = headers::value(token);
            request.headers_mut().insert(headers::TOKEN, token);
        }
        sender.try_send_request(request).await.map_err(|mut error| {
            // The library hands the request back only if none of it was sent.
            if error.take_message().is_some() {
                Failure::not_run(Reason::Unreachable)
            } else {
                Failure::may_have_run(Reason::Lost)
            }
        })
    }

    async fn sender(&self, address: SocketAddr) -> Result<Sender, Failure> {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(sender) = slot.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let sender = self.connect(address).await.map_err(|error| {
            log::debug!(peer:% = address, error:%; "peer not reached");
            Failure::not_run(Reason::Unreachable)
        })?;
        *slot = Some(sender.clone());
        Ok(sender)
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address).or_default())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, super::body::BoxError> {
        let stream = dial(address, self.options.dial_from, CONNECT_TIMEOUT).await?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}
