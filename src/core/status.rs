//! What a node tells its operators, and what its backend server tells it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::member::{BackendState, Member, NodeId, Place};
use crate::core::names::{InstanceName, ServiceName};
use crate::core::version::{Stamp, Version};

/// What `GET /status` answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: NodeId,
    /// What it enforces; version 0 if nothing.
    pub enforced: Stamp,
    /// Whether it takes new work.
    pub ready: bool,
    /// Services of the enforced configuration without an endpoint that this node can reach.
    #[serde(default, rename = "lacking")]
    pub unreachable_services: Vec<ServiceName>,
    /// The node that it hears of new versions from; none if it reads the store itself.
    #[serde(default)]
    pub follows: Option<NodeId>,
    /// Everything it knows of the mesh, itself included.
    pub members: Vec<Member>,
    /// What the nodes of each data centre enforce.
    #[serde(default)]
    pub data_centres: Vec<DataCentreSummary>,
}

/// What the nodes of one data centre enforce. Counted by one of them, spread to all at a bounded
/// rate, so a figure from far away is a few seconds old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The data centre.
    pub place: Place,
    /// Nodes that are alive.
    pub nodes: usize,
    /// How many of them enforce each version.
    pub versions: BTreeMap<Version, usize>,
}

impl DataCentreSummary {
    /// Such as `3 (4 nodes), 2 (1 nodes)`.
    pub fn versions_text(&self) -> String {
        let newest_first = self.versions.iter().rev();
        let parts: Vec<String> = newest_first
            .map(|(version, nodes)| format!("{version} ({nodes} nodes)"))
            .collect();
        parts.join(", ")
    }
}

/// What a backend server says of itself, such as with `POST /backend-server`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: BackendState,
    /// What it calls itself. One that names itself is told apart from those that had its address
    /// before, and a request can be sent to it alone.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// When it started, in milliseconds since the epoch: orders those with one name or address.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Rises with each announcement of one start, so that a late one is known as such.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// Requests that it runs at a time; if left out, as its service's record says.
    #[serde(default)]
    pub slots: Option<u32>,
    /// How much longer it is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}
