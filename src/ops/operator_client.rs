//! Asks a node's operator listener, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::core::token::{MeshToken, TOKEN_HEADER};
use crate::util::dial::dial;

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A node answers out of its memory; one that takes longer than this is stuck or cut off.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a node gave no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The node was not reached.
    #[snafu(display("node {address} was not reached"))]
    Connect {
        /// Its operator address.
        address: SocketAddr,
        /// From the system.
        source: std::io::Error,
    },
    /// It did not answer.
    #[snafu(display("node {address} did not answer"))]
    Exchange {
        /// Its operator address.
        address: SocketAddr,
        /// From the HTTP library.
        source: hyper::Error,
    },
    /// It did not answer in time.
    #[snafu(display("node {address} did not answer in {} ms", ANSWER_TIMEOUT.as_millis()))]
    TimedOut {
        /// Its operator address.
        address: SocketAddr,
    },
    /// It refused.
    #[snafu(display("node {address} answered with status {status} to {path}"))]
    Refused {
        /// Its operator address.
        address: SocketAddr,
        /// What was asked.
        path: &'static str,
        /// As answered.
        status: StatusCode,
    },
    /// It answered something else.
    #[snafu(display("node {address} answered something unexpected to {path}"))]
    Decode {
        /// Its operator address.
        address: SocketAddr,
        /// What was asked.
        path: &'static str,
        /// From the JSON reader.
        source: serde_json::Error,
    },
}

/// Where a node's operator listener is, and what opens it.
#[derive(Clone, Debug)]
pub struct OperatorEndpoint {
    /// Its operator address.
    pub address: SocketAddr,
    /// The mesh's secret.
    pub token: MeshToken,
}

/// One request to a node's operator listener, answered with JSON.
pub(crate) async fn request_json<T: DeserializeOwned>(
    node: &OperatorEndpoint,
    method: Method,
    path: &'static str,
) -> Result<T> {
    let address = node.address;
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange(node, method, path)).await;
    let (status, body) = answer.map_err(|_| Error::TimedOut { address })??;
    ensure!(
        status == StatusCode::OK,
        RefusedSnafu {
            address,
            path,
            status
        }
    );
    serde_json::from_slice(&body).context(DecodeSnafu { address, path })
}

async fn exchange(
    node: &OperatorEndpoint,
    method: Method,
    path: &'static str,
) -> Result<(StatusCode, Bytes)> {
    let address = node.address;
    let stream = dial(address, None, ANSWER_TIMEOUT).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { address })?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    request = request.header(hyper::header::HOST, address.to_string());
    if let Some(token) = node.token.outgoing() {
        request = request.header(TOKEN_HEADER, token);
    }
    let request = request
        .body(Empty::<Bytes>::new())
        .expect("a constant path and an address make a request");
    let response = sender.send_request(request).await;
    let response = response.context(ExchangeSnafu { address })?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.context(ExchangeSnafu { address })?.to_bytes();
    Ok((status, body))
}
