//! What a node tells its operators, and what its backend server tells it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::member::{BackendState, Member, NodeId};
use crate::core::names::ServiceName;
use crate::core::version::Stamp;

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
    #[serde(default)]
    pub lacking: Vec<ServiceName>,
    /// Everything it knows of the mesh, itself included.
    pub members: Vec<Member>,
}

/// What a backend server says of itself with `POST /backend-server`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: BackendState,
}
