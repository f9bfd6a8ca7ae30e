//! Asks a node what it knows of the mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};

use crate::core::member::{Liveness, Place};
use crate::core::status::Status;
use crate::core::token::{MeshToken, TOKEN_HEADER};
use crate::core::version::Version;
use crate::util::dial::dial;

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no status.
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
    /// It answered something else.
    #[snafu(display("node {address} did not answer with a status"))]
    Decode {
        /// Its operator address.
        address: SocketAddr,
        /// From the JSON reader.
        source: serde_json::Error,
    },
}

/// What the nodes of one data centre enforce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreRow {
    /// The data centre.
    pub place: Place,
    /// Nodes that are alive.
    pub nodes: usize,
    /// How many of them enforce each version.
    pub versions: BTreeMap<Version, usize>,
}

impl DataCentreRow {
    /// Such as `3 (4 nodes), 2 (1 nodes)`.
    pub fn versions_text(&self) -> String {
        let newest_first = self.versions.iter().rev();
        let parts: Vec<String> = newest_first
            .map(|(version, nodes)| format!("{version} ({nodes} nodes)"))
            .collect();
        parts.join(", ")
    }
}

/// Asks the node whose operator listener is at `address`.
pub async fn fetch(address: SocketAddr, token: &MeshToken) -> Result<Status> {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, get(address, "/status", token)).await;
    let body = answer.map_err(|_| Error::Late { address })??;
    serde_json::from_slice(&body).context(DecodeSnafu { address })
}

async fn get(address: SocketAddr, path: &str, token: &MeshToken) -> Result<Bytes> {
    let stream = dial(address, None, ANSWER_TIMEOUT).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { address })?;
    tokio::spawn(connection);
    let mut request = Request::get(path).header(hyper::header::HOST, address.to_string());
    if let Some(token) = token.to_send() {
        request = request.header(TOKEN_HEADER, token);
    }
    let request = request
        .body(Empty::<Bytes>::new())
        .expect("a constant path and an address make a request");
    let response = sender.send_request(request).await;
    let response = response.context(ExchangeSnafu { address })?;
    let body = response.into_body().collect().await;
    Ok(body.context(ExchangeSnafu { address })?.to_bytes())
}

/// Sums up the living members by data centre.
pub fn by_data_centre(status: &Status) -> Vec<DataCentreRow> {
    let mut rows: BTreeMap<(&str, &str), DataCentreRow> = BTreeMap::new();
    let living = status
        .members
        .iter()
        .filter(|member| member.liveness <= Liveness::Suspect);
    for member in living {
        let place = &member.place;
        let row = rows
            .entry((place.region.as_str(), place.data_centre.as_str()))
            .or_insert_with(|| DataCentreRow {
                place: place.clone(),
                nodes: 0,
                versions: BTreeMap::new(),
            });
        row.nodes += 1;
        *row.versions.entry(member.enforced.version).or_default() += 1;
    }
    rows.into_values().collect()
}
