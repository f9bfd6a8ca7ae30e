//! HTTP/JSON client of the table and object store, in the product's own protocol.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /table/transact` | a [`Transaction`]; answers an [`Outcome`] |
//! | `GET /table/row?key=K` | a [`Row`], or 404 |
//! | `GET /table/rows?prefix=P&after=K&limit=N` | a map of [`Row`]s |
//! | `PUT /objects/DIGEST`, `GET /objects/DIGEST` | content |
//!
//! 429 is the rate ceiling and 503 an outage; both are sent before anything is written.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use super::{
    Error, ObjectStore, Outcome, ProtocolSnafu, Result, Row, Table, Transaction, UnavailableSnafu,
};
use crate::core::version::Digest;

/// Longest wait for one answer. The platform may be slow for long; a caller that waits on it does
/// nothing else, so it tries again later instead.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections are closed: 520 nodes that ask every few seconds must not hold the platform's
/// connections open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// A client for the platform at `base`, such as `http://10.0.0.9:7000`. `dial_from` is the
    /// local address to connect from, if it matters.
    pub fn new(base: &str, dial_from: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_local_address(dial_from);
        connector.set_reuse_address(true);
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client,
        }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Protocol {
                reason: error.to_string(),
            })?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                let reason = with_causes(&error);
                // Only a failed connect proves that the platform saw nothing of a write.
                if error.is_connect() {
                    Error::Unavailable { reason }
                } else {
                    Error::OutcomeUnknown { reason }
                }
            })?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| Error::OutcomeUnknown {
                reason: error.to_string(),
            })?;
            Ok((status, body.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::OutcomeUnknown {
                reason: format!("no answer in {} ms", ANSWER_TIMEOUT.as_millis()),
            })??;
        match status {
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy),
            StatusCode::SERVICE_UNAVAILABLE => UnavailableSnafu {
                reason: "it reports an outage",
            }
            .fail(),
            _ => Ok((status, body)),
        }
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        match self.call(Method::GET, path, Vec::new()).await? {
            (StatusCode::OK, body) => decode(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => unexpected(status),
        }
    }
}

fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Protocol {
        reason: error.to_string(),
    })
}

fn unexpected<T>(status: StatusCode) -> Result<T> {
    ProtocolSnafu {
        reason: format!("status {status}"),
    }
    .fail()
}

impl Table for HttpStore {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        let body = serde_json::to_vec(transaction).expect("a transaction always encodes");
        match self.call(Method::POST, "/table/transact", body).await? {
            // A garbled answer and a server's own failure say nothing of the write behind them.
            (StatusCode::OK, body) => decode(&body).map_err(|error| Error::OutcomeUnknown {
                reason: error.to_string(),
            }),
            (status, _) if status.is_server_error() => Err(Error::OutcomeUnknown {
                reason: format!("status {status}"),
            }),
            (status, _) => unexpected(status),
        }
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        self.get_json(&format!("/table/row?key={key}")).await
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        let path = format!("/table/rows?prefix={prefix}&after={after}&limit={limit}");
        Ok(self.get_json(&path).await?.unwrap_or_default())
    }
}

impl ObjectStore for HttpStore {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> Result<()> {
        let path = format!("/objects/{digest}");
        match self.call(Method::PUT, &path, bytes.to_vec()).await? {
            (StatusCode::OK | StatusCode::CREATED, _) => Ok(()),
            (status, _) => unexpected(status),
        }
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        match self
            .call(Method::GET, &format!("/objects/{digest}"), Vec::new())
            .await?
        {
            (StatusCode::OK, body) => Ok(Some(body.to_vec())),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => unexpected(status),
        }
    }
}
