//! Decoder and encoder for the rows of roll-outs in the store of the users' platform.
//!
//! | table | key | value | written by |
//! |---|---|---|---|
//! | `op` | `rollout/SERVICE` | the order: service, version and duration | operators |
//! | `status` | `rollout/SERVICE` | the status for operators | the coordinator |

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::duration::parse_ms;
use crate::core::names::{ServiceName, SoftwareVersion, is_name};
use crate::core::rollout::{RolloutOrder, RolloutPhase, RolloutState};

/// Prefix of the keys of orders and of statuses.
const KEY_PREFIX: &str = "rollout/";

/// Result of decoding an order.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an order is rejected.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("the order cannot be decoded from JSON"))]
    InvalidJson { source: serde_json::Error },
    #[snafu(display("the order is for the service `{service}`, which is not that of its key"))]
    OtherService { service: String },
    #[snafu(display("the field `{field}` is missing or invalid"))]
    InvalidField { field: &'static str },
}

/// An order as operators write it.
#[derive(Debug, Deserialize)]
struct WireOrder {
    service: String,
    /// The software version that the traffic is to move to.
    to: String,
    /// Time from the order to its deadline.
    duration: String,
}

/// A status as operators read it.
#[derive(Debug, Serialize)]
struct WireStatus<'a> {
    service: &'a str,
    state: &'static str,
    to: &'a str,
}

/// Key of the order and of the status of a service.
pub(crate) fn key_of(service: &ServiceName) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// The service whose order or status has `key`; `None` if the key is of another kind of row.
pub(crate) fn service_of(key: &str) -> Option<ServiceName> {
    let service = key.strip_prefix(KEY_PREFIX)?;
    is_name(service).then(|| ServiceName::new(service))
}

/// Decodes the order for `service`.
pub(crate) fn decode_order(service: &ServiceName, bytes: &[u8]) -> Result<RolloutOrder> {
    let wire: WireOrder = serde_json::from_slice(bytes).context(InvalidJsonSnafu)?;
    ensure!(
        wire.service == service.as_str(),
        OtherServiceSnafu {
            service: wire.service
        }
    );
    ensure!(!wire.to.is_empty(), InvalidFieldSnafu { field: "to" });
    let duration_ms = parse_ms(&wire.duration).filter(|duration_ms| *duration_ms > 0);
    Ok(RolloutOrder {
        to: SoftwareVersion::new(wire.to),
        duration_ms: duration_ms.context(InvalidFieldSnafu { field: "duration" })?,
    })
}

/// Encodes the status that operators read.
pub(crate) fn encode_status(service: &ServiceName, state: &RolloutState) -> Vec<u8> {
    let name = match state.phase {
        RolloutPhase::Trial | RolloutPhase::Shift | RolloutPhase::Settle => "running",
        RolloutPhase::Completed => "completed",
        RolloutPhase::RolledBack => "rolled_back",
    };
    let status = WireStatus {
        service: service.as_str(),
        state: name,
        to: state.to.as_str(),
    };
    serde_json::to_vec(&status).expect("a status can be encoded as JSON")
}
