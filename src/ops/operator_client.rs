//! HTTP client for the operator listener of a node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Body;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::core::token::{MeshToken, TOKEN_HEADER};
use crate::util::dial::dial;
use crate::util::response_filter::FilteredStream;

#[cfg(test)]
mod tests;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Timeout of a request. A node answers from memory, so one that takes longer hangs or cannot be
/// reached.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest body of a response. Above the status of a node in the largest mesh.
const BODY_MAX_BYTES: usize = 16 << 20;

/// Why a request to an operator listener failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be opened.
    #[snafu(display("cannot connect to node {address}"))]
    Connect {
        /// Address of the operator listener.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The connection failed before the response was complete, or the response is malformed or too long.
    #[snafu(display("node {address} did not answer"))]
    Exchange {
        /// Address of the operator listener.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: BoxError,
    },
    /// The response did not arrive within the timeout.
    #[snafu(display("node {address} did not answer within {} ms", ANSWER_TIMEOUT.as_millis()))]
    TimedOut {
        /// Address of the operator listener.
        address: SocketAddr,
    },
    /// The response has another status than 200.
    #[snafu(display("node {address} answered {path} with status {status}"))]
    Refused {
        /// Address of the operator listener.
        address: SocketAddr,
        /// Path of the request.
        path: &'static str,
        /// Status of the response.
        status: StatusCode,
    },
    /// The response body does not have the expected form.
    #[snafu(display("node {address} answered {path} with an unexpected body"))]
    Decode {
        /// Address of the operator listener.
        address: SocketAddr,
        /// Path of the request.
        path: &'static str,
        /// The JSON parse error.
        source: serde_json::Error,
    },
}

/// Address of a node's operator listener, and the token for it.
#[derive(Clone, Debug)]
pub struct OperatorEndpoint {
    /// Address of the operator listener.
    pub address: SocketAddr,
    /// The mesh token, which authenticates requests.
    pub token: MeshToken,
}

/// Sends one request to a node's operator listener and decodes the JSON response.
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
    let stream = TokioIo::new(FilteredStream::unmatched(stream));
    let handshake = hyper::client::conn::http1::handshake(stream).await;
    let (mut sender, connection) = handshake
        .map_err(BoxError::from)
        .context(ExchangeSnafu { address })?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    request = request.header(hyper::header::HOST, address.to_string());
    if let Some(token) = node.token.secret_to_send() {
        request = request.header(TOKEN_HEADER, token);
    }
    let request = request
        .body(Empty::<Bytes>::new())
        .expect("the path is constant and the address is a valid header value");
    let response = sender.send_request(request).await;
    let response = response
        .map_err(BoxError::from)
        .context(ExchangeSnafu { address })?;
    let status = response.status();
    let body = read_body(response.into_body()).await;
    Ok((status, body.context(ExchangeSnafu { address })?))
}

async fn read_body<B>(body: B) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let body = Limited::new(body, BODY_MAX_BYTES).collect().await?;
    Ok(body.to_bytes())
}
