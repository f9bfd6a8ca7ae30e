//! HTTP calls to a store, with failures classified by whether a write may have taken effect.
//!
//! The store sends status 429 (rate limit reached) and 503 (outage) before it does anything, so nothing
//! was written. The same is true if the connection could not be opened. After any other failure, a malformed response
//! among them, a write may have taken effect.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use self::connector::FilteringConnector;
use super::{Error, Result, UnavailableSnafu};
use crate::util::clock;

mod connector;
#[cfg(test)]
mod tests;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Time within which a TCP connection to the store must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limits on response bodies.
const BODY_LIMITS: BodyLimits = BodyLimits {
    // Above the largest rows and objects of the stores, in their encoding.
    max_bytes: 16 << 20,
    stall_timeout: Duration::from_secs(1),
    total_timeout: Duration::from_secs(30),
};
/// Time after which an idle connection is closed. 520 nodes that each send a request every few seconds
/// must not keep connections of the store open.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits on a response body.
#[derive(Clone, Copy, Debug)]
struct BodyLimits {
    max_bytes: usize,
    /// Time within which the next part must arrive.
    stall_timeout: Duration,
    /// Time within which the whole body must arrive.
    total_timeout: Duration,
}

/// HTTP client of one store, independent of the store's protocol.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    base_url: String,
    client: Client<FilteringConnector, Full<Bytes>>,
}

impl Transport {
    /// Creates a client for the store at `base_url`, such as `http://10.0.0.9:7000`. Connections are
    /// opened from the local address `dial_from`, or from one that the system selects.
    pub(crate) fn new(base_url: &str, dial_from: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_local_address(dial_from);
        connector.set_reuse_address(true);
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(FilteringConnector(connector));
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self {
            shared: Arc::new(Shared { base_url, client }),
        }
    }

    /// Sends a request and reads the whole response. Fails if the response does not begin within
    /// `timeout`, or if its body exceeds [`BODY_LIMITS`].
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.shared.base_url))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Protocol {
                reason: error.to_string(),
            })?;
        let response = with_timeout(timeout, self.send(request)).await??;
        let status = response.status();
        let body = read_body(response.into_body(), BODY_LIMITS).await?;
        match status {
            StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => UnavailableSnafu {
                reason: "status 503 Service Unavailable",
            }
            .fail(),
            _ => Ok((status, body)),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.shared.client.request(request).await.map_err(|error| {
            let reason = error_chain(&error);
            // Only a failed connect proves that the store did not receive the request.
            if error.is_connect() {
                Error::Unavailable { reason }
            } else {
                Error::OutcomeUnknown { reason }
            }
        })
    }
}

async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T> {
    let result = tokio::time::timeout(limit, future).await;
    result.map_err(|_| Error::TimedOut {
        after_ms: clock::whole_ms(limit),
    })
}

async fn read_body<B>(body: B, limits: BodyLimits) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    let mut body = Limited::new(body, limits.max_bytes);
    let reading = async {
        let mut body_bytes = BytesMut::new();
        while let Some(frame) = with_timeout(limits.stall_timeout, body.frame()).await? {
            let frame = frame.map_err(|error| Error::OutcomeUnknown {
                reason: error.to_string(),
            })?;
            if let Ok(data) = frame.into_data() {
                body_bytes.extend_from_slice(&data);
            }
        }
        Ok(body_bytes.freeze())
    };
    with_timeout(limits.total_timeout, reading).await?
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
