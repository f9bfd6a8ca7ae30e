//! Messages between a node and its operators and backend server: the status of the node, and
//! announcements of the backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;

use serde::{Deserialize, Serialize};

use crate::core::member::{BackendState, Member, NodeId, Place, StartDigest};
use crate::core::names::{InstanceName, OrganisationName, ServiceName, SoftwareVersion};
use crate::core::rollout::{RolloutOrder, RolloutState};
use crate::core::version::{Stamp, Version};

/// Response body of `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The node that answers.
    pub node: NodeId,
    /// Version that the node enforces; version 0 before the first one.
    pub enforced: Stamp,
    /// Whether the node accepts new requests.
    pub ready: bool,
    /// Services of the enforced configuration without an endpoint that this node can reach.
    #[serde(default, rename = "lacking")]
    pub unreachable_services: Vec<ServiceName>,
    /// The lead from which this node gets new versions; `None` if this node reads the store itself.
    #[serde(default)]
    pub follows: Option<NodeId>,
    /// All members that the node knows, including itself.
    pub members: Vec<Member>,
    /// Versions that the nodes of each data centre enforce.
    #[serde(default)]
    pub data_centres: Vec<DataCentreSummary>,
}

/// How a node keeps the quotas of organisations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationsStatus {
    /// Milliseconds since the enforced configuration was known to be the newest; `None` if it never was.
    pub known_newest_ms_ago: Option<u64>,
    /// Milliseconds since the report that the current grants answer; `None` if there are no current grants.
    pub grants_age_ms: Option<u64>,
    /// Organisations whose callers sent requests to the node within the quota window, those that sent most first.
    pub organisations: Vec<OrganisationStatus>,
}

/// The use of one organisation's quota, as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Requests per second that its quota permits, as a decimal number.
    pub rate_per_s: String,
    /// Requests that its quota permits beyond that.
    pub burst_requests: u64,
    /// Requests that callers sent to this node within the window.
    pub asked: u32,
    /// Requests that this node admitted within the window.
    pub admitted: u32,
    /// Requests that this node refused because of the quota, since the first request within the window.
    pub refused_total: u64,
    /// Requests that all nodes admitted within the window; `None` if that is too little to be reported.
    pub mesh_admitted: Option<u32>,
    /// Requests that this node may still admit before its next report.
    pub granted_left: u64,
}

/// How many nodes of one data centre enforce each version. One node of the data centre counts, and
/// gossip spreads the result at a limited rate, so a summary of another data centre is a few seconds
/// old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The data centre that is summarised.
    pub place: Place,
    /// Number of live nodes.
    pub nodes: usize,
    /// Number of live nodes by enforced version.
    pub versions: BTreeMap<Version, usize>,
}

impl DataCentreSummary {
    /// The versions as text, newest first, such as `3 (4 nodes), 2 (1 nodes)`.
    pub fn versions_text(&self) -> String {
        let newest_first = self.versions.iter().rev();
        let parts: Vec<String> = newest_first
            .map(|(version, nodes)| format!("{version} ({nodes} nodes)"))
            .collect();
        parts.join(", ")
    }
}

/// Roll-out of one service, as a node sees it: an item of the response body of `GET /rollouts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The newest order; `None` if it was withdrawn or cannot be decoded.
    pub order: Option<RolloutOrder>,
    /// The newest state; `None` before the order is taken up.
    pub state: Option<RolloutState>,
    /// How close the candidate is to being condemned, from 0 to 1, by the evidence of this node.
    pub suspicion: f64,
    /// What the gates of the service have reported to this node.
    pub versions: Vec<VersionStatus>,
}

/// What one gate has reported during a roll-out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The gate's node.
    pub node: NodeId,
    /// Software version of its backend server.
    pub version: Option<SoftwareVersion>,
    /// Whether that is the candidate version.
    pub candidate: bool,
    /// Responses since the order.
    pub answers: u64,
    /// Failed ones among them.
    pub failures: u64,
    /// Requests that run.
    pub in_flight: u32,
    /// Whether the gate refuses every new request because of the roll-out.
    pub closed: bool,
}

/// Identifies one start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendStart {
    /// Name of the instance, which a restarted one may keep.
    pub instance: InstanceName,
    /// Start time in milliseconds since the epoch; 0 if it is unknown.
    pub started_ms: u64,
}

impl BackendStart {
    /// Whether `other` has ended if this start has: it is the same, or an earlier one under the same name.
    pub fn ends(&self, other: &Self) -> bool {
        self.instance == other.instance && other.started_ms <= self.started_ms
    }

    /// Digest by which other nodes tell this start from others. `None` without a start time, as the next start may have the
    /// same name.
    pub fn digest(&self) -> Option<StartDigest> {
        if self.started_ms == 0 {
            return None;
        }
        let hash = blake3::hash(format!("{} {}", self.started_ms, self.instance).as_bytes());
        let bytes = hash.as_bytes().first_chunk();
        let number = u32::from_be_bytes(*bytes.expect("a digest has 32 bytes"));
        Some(StartDigest(
            NonZeroU32::new(number).unwrap_or(NonZeroU32::MAX),
        ))
    }
}

/// State that a backend server announces to its node, for example with `POST /backend-server`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the backend server provides.
    pub service: ServiceName,
    /// Address on which it listens for requests.
    pub address: SocketAddr,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// Name of this instance. It distinguishes the instance from earlier ones at the same address,
    /// and callers can address a request to it.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// Start time in milliseconds since the epoch. It orders instances that have the same name or
    /// address.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Number of the announcement since the start. It increases, so that an announcement that
    /// arrives late can be ignored.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// Maximum number of concurrent requests; by default `slots_per_endpoint` of the service's
    /// record.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Version of the software that the backend server runs, by which roll-outs select endpoints.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
    /// Remaining warm-up time, during which the backend server is slow, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Announcement {
    /// The start of the backend server, if it names its instance.
    pub fn start(&self) -> Option<BackendStart> {
        let instance = self.instance.clone();
        instance.map(|instance| BackendStart {
            instance,
            started_ms: self.started_ms.unwrap_or(0),
        })
    }
}
