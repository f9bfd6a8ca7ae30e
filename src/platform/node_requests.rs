//! Requests that a node receives in the format of the users' platform: readiness probes, and
//! announcements of the backend server on the node's VM.
//!
//! | listener | request | meaning |
//! |---|---|---|
//! | `ready` | `GET /-/readyz` | responds with status 200 if the node accepts requests, otherwise 503 |
//! | `control` | `PUT /-/instances/NAME` | the backend server NAME announces its state |
//! | `control` | `DELETE /-/instances/NAME` | the backend server NAME has shut down |

use std::net::SocketAddr;

use http::Method;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

use super::duration::parse_ms;
use crate::core::member::BackendState;
use crate::core::names::{InstanceName, ServiceName, SoftwareVersion};
use crate::core::status::Announcement;
use crate::node::settings::BackendServer;

const READY_PATH: &str = "/-/readyz";
const INSTANCES_PATH: &str = "/-/instances/";

/// Largest number that is the same in every implementation of JSON.
const NUMBER_MAX: u64 = (1 << 53) - 1;
/// Most requests that a backend server may say it runs concurrently.
const SLOTS_MAX: u32 = 1 << 20;

/// Result of parsing an announcement.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request to the `control` address is rejected.
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
    /// Socket address that the backend server listens on.
    address: String,
    /// `ready` or `draining`.
    state: String,
    /// Version of the software that the backend server runs.
    version: Option<String>,
    /// Number of requests that the backend server runs concurrently.
    slots: u32,
    /// Remaining, not elapsed, warm-up time of the backend server, in which it is slow.
    #[serde(rename = "coldRemaining")]
    cold_remaining: Option<String>,
    /// Increases with each announcement, and starts again when the backend server restarts.
    seq: u64,
    /// Start time of the backend server, in milliseconds since the Unix epoch.
    born: Option<u64>,
}

/// Whether a request is a readiness probe.
pub(crate) fn is_readiness_probe(method: &Method, path: &str) -> bool {
    *method == Method::GET && path == READY_PATH
}

/// Parses a request to the `control` address. `local` is this VM's backend server according to the
/// settings.
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
    let address = address.filter(|address| address.port() > 0 && !address.ip().is_unspecified());
    let number = |number: u64, field| {
        (number <= NUMBER_MAX)
            .then_some(number)
            .context(InvalidFieldSnafu { instance, field })
    };
    let slots = Some(fields.slots).filter(|slots| (1..=SLOTS_MAX).contains(slots));
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
        started_ms: fields
            .born
            .map(|started_ms| number(started_ms, "born"))
            .transpose()?,
        sequence: Some(number(fields.seq, "seq")?),
        slots: Some(slots.context(InvalidFieldSnafu {
            instance,
            field: "slots",
        })?),
        software_version: fields.version.map(SoftwareVersion::new),
        cold_ms: cold_remaining.and_then(parse_ms).unwrap_or(0),
    })
}

/// The announcement that a backend server has shut down. The request may contain nothing but the name, so
/// service and address come from the settings.
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
        software_version: None,
        cold_ms: 0,
    }
}
