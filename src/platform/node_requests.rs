//! What the platform asks of a node: whether it is ready, and to take announcements of the VM's
//! backend server.
//!
//! | listener | request | meaning |
//! |---|---|---|
//! | `ready` | `GET /-/readyz` | 200 if the node takes requests, else 503 |
//! | `control` | `PUT /-/instances/NAME` | the backend server NAME says how it is |
//! | `control` | `DELETE /-/instances/NAME` | the backend server NAME leaves |

use std::net::SocketAddr;

use http::Method;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

use super::duration::parse_ms;
use crate::core::member::BackendState;
use crate::core::names::{InstanceName, ServiceName};
use crate::core::status::Announcement;
use crate::node::settings::BackendServer;

const READY_PATH: &str = "/-/readyz";
const INSTANCES_PATH: &str = "/-/instances/";

/// Result of this module.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request at the `control` address is no announcement.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{method} {path} is not a call of the platform"))]
    UnknownRequest { method: Method, path: String },
    #[snafu(display("the announcement of `{instance}` cannot be read"))]
    InvalidJson {
        instance: String,
        source: serde_json::Error,
    },
    #[snafu(display("the announcement of `{instance}` has no usable `{field}`"))]
    InvalidField {
        instance: String,
        field: &'static str,
    },
}

/// Body of `PUT /-/instances/NAME`.
#[derive(Debug, Deserialize)]
struct AnnouncementBody {
    service: String,
    /// Where it listens.
    address: String,
    /// `ready` or `draining`.
    state: String,
    /// Requests that it runs at a time.
    slots: u32,
    /// How much longer it is slow after its start; not how long it has been.
    #[serde(rename = "coldRemaining")]
    cold_remaining: Option<String>,
    /// Rises with each call of one start, and begins anew with the next.
    seq: u64,
    /// When it started, in milliseconds since the epoch.
    born: Option<u64>,
}

/// Whether a request asks for readiness.
pub(crate) fn is_readiness_probe(method: &Method, path: &str) -> bool {
    *method == Method::GET && path == READY_PATH
}

/// The announcement that a request at the `control` address makes. `local` is the backend server
/// of this VM as the settings name it.
pub(crate) fn parse_announcement(
    method: &Method,
    path: &str,
    body: &[u8],
    local: &BackendServer,
) -> Result<Announcement> {
    let instance = path.strip_prefix(INSTANCES_PATH);
    let instance = instance.filter(|name| !name.is_empty() && !name.contains('/'));
    match (method, instance) {
        (&Method::PUT, Some(instance)) => instance_announcement(instance, body),
        (&Method::DELETE, Some(instance)) => Ok(removal_announcement(instance, body, local)),
        _ => UnknownRequestSnafu {
            method: method.clone(),
            path,
        }
        .fail(),
    }
}

fn instance_announcement(instance: &str, body: &[u8]) -> Result<Announcement> {
    let fields: AnnouncementBody =
        serde_json::from_slice(body).context(InvalidJsonSnafu { instance })?;
    let state = match fields.state.as_str() {
        "ready" => Some(BackendState::Serving),
        "draining" => Some(BackendState::Draining),
        _ => None,
    };
    let address: Option<SocketAddr> = fields.address.parse().ok();
    let cold_remaining = fields.cold_remaining.as_deref();
    Ok(Announcement {
        service: ServiceName::new(fields.service),
        address: address.context(InvalidFieldSnafu {
            instance,
            field: "address",
        })?,
        state: state.context(InvalidFieldSnafu {
            instance,
            field: "state",
        })?,
        instance: Some(InstanceName::new(instance)),
        started_ms: fields.born,
        sequence: Some(fields.seq),
        slots: Some(fields.slots),
        cold_ms: cold_remaining.and_then(parse_ms).unwrap_or(0),
    })
}

/// One that leaves says little of itself, at times only its name.
fn removal_announcement(instance: &str, body: &[u8], local: &BackendServer) -> Announcement {
    #[derive(Default, Deserialize)]
    struct RemovalBody {
        born: Option<u64>,
    }
    let removal: RemovalBody = serde_json::from_slice(body).unwrap_or_default();
    Announcement {
        service: local.service.clone(),
        address: local.address,
        state: BackendState::Gone,
        instance: Some(InstanceName::new(instance)),
        started_ms: removal.born,
        sequence: None,
        slots: None,
        cold_ms: 0,
    }
}
