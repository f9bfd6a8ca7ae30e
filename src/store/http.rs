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
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use super::transport::Transport;
use super::{
    Error, ObjectStore, Outcome, Result, Row, Table, Transaction, decode_json, unexpected_status,
};
use crate::core::version::Digest;

/// Longest wait for one answer. The platform may be slow for long; a caller that waits on it does
/// nothing else, so it tries again later instead.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    transport: Transport,
}

impl HttpStore {
    /// A client for the platform at `base_url`, such as `http://10.0.0.9:7000`. `dial_from` is the
    /// local address to connect from, if it matters.
    pub fn new(base_url: &str, dial_from: Option<IpAddr>) -> Self {
        Self {
            transport: Transport::new(base_url, dial_from),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<(StatusCode, Bytes)> {
        self.transport
            .call(method, path, body, RESPONSE_TIMEOUT)
            .await
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        match self.call(Method::GET, path, Vec::new()).await? {
            (StatusCode::OK, body) => decode_json(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => unexpected_status(status),
        }
    }
}

impl Table for HttpStore {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        let body = serde_json::to_vec(transaction).expect("a transaction always encodes");
        match self.call(Method::POST, "/table/transact", body).await? {
            // A garbled answer and a server's own failure say nothing of the write behind them.
            (StatusCode::OK, body) => decode_json(&body).map_err(|error| Error::OutcomeUnknown {
                reason: error.to_string(),
            }),
            (status, _) if status.is_server_error() => Err(Error::OutcomeUnknown {
                reason: format!("status {status}"),
            }),
            (status, _) => unexpected_status(status),
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
            (status, _) => unexpected_status(status),
        }
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        match self
            .call(Method::GET, &format!("/objects/{digest}"), Vec::new())
            .await?
        {
            (StatusCode::OK, body) => Ok(Some(body.to_vec())),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => unexpected_status(status),
        }
    }
}
