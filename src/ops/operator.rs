//! Asks a node's operator listener, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

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
    Late {
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

/// One request to the operator listener at `address`, answered with JSON.
pub(crate) async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &'static str,
) -> Result<T> {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange(address, method, path)).await;
    let (status, body) = answer.map_err(|_| Error::Late { address })??;
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
    address: SocketAddr,
    method: Method,
    path: &'static str,
) -> Result<(StatusCode, Bytes)> {
    let stream = dial(address, None, ANSWER_TIMEOUT).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { address })?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("a constant path and an address make a request");
    let response = sender.send_request(request).await;
    let response = response.context(ExchangeSnafu { address })?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.context(ExchangeSnafu { address })?.to_bytes();
    Ok((status, body))
}
