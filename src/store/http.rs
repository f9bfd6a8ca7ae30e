//! HTTP/JSON client of the table and object store, in dragonflywall's own protocol.
//!
//! | request | body of the request | body of the response |
//! |---|---|---|
//! | `POST /table/transact` | a [`Transaction`] | an [`Outcome`] |
//! | `GET /table/row?key=K` | none | a [`Row`], or status 404 |
//! | `GET /table/rows?prefix=P&after=K&limit=N` | none | a map from keys to [`Row`]s |
//! | `PUT /objects/DIGEST` | the object | ignored |
//! | `GET /objects/DIGEST` | none | the object, or status 404 |
//!
//! Status 429 means that the rate limit is reached, and 503 an outage. The platform sends both before
//! it writes anything.

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

/// Time within which a response must begin. The platform can be slow for a long time, and a caller
/// is blocked while it waits for the response, so it gives up and tries again later instead.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of a platform that implements dragonflywall's own protocol.
#[derive(Clone, Debug)]
pub struct HttpStore {
    transport: Transport,
}

impl HttpStore {
    /// Creates a client for the platform at `base_url`, such as `http://10.0.0.9:7000`. Connections
    /// are opened from the local address `dial_from`, or from one that the system selects.
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
        let body = serde_json::to_vec(transaction).expect("a transaction can be encoded as JSON");
        match self.call(Method::POST, "/table/transact", body).await? {
            // After an undecodable response or a 5xx status, the write may have taken effect.
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
