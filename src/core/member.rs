//! Members of the mesh: nodes, and the backend server that each stands before.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::names::{DataCentreName, RegionName, ServiceName};
use crate::core::version::Version;

/// A node's identity: the address at which its own data centre reaches its peer listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub SocketAddr);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Where a node stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

impl Place {
    /// How far another place is.
    pub fn distance_to(&self, other: &Self) -> Distance {
        if self == other {
            Distance::DataCentre
        } else if self.region == other.region {
            Distance::Region
        } else {
            Distance::Mesh
        }
    }
}

/// How far apart two nodes stand, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the same region.
    Region,
    /// Across the billed link between regions.
    Mesh,
}

/// Whether a node lives, as far as the mesh knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// By its own word.
    Alive,
    /// A neighbour got no answer; the node may refute it.
    Suspect,
    /// Suspected for long without a word; kept as a tombstone.
    Dead,
    /// Said goodbye.
    Left,
}

/// State of a node's own backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Takes new work.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Not there.
    Gone,
}

/// What is known of one node. Written by the node itself, but for [`Liveness::Suspect`] and
/// [`Liveness::Dead`], which others say of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity.
    pub node: NodeId,
    /// Address to dial from another data centre.
    pub external: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Start of its process in microseconds since the epoch: orders restarts of one address.
    pub incarnation_us: u64,
    /// Raised by the node with each change of its own statement.
    pub sequence: u64,
    /// Whether it lives.
    pub liveness: Liveness,
    /// Service of its backend server, if it has one.
    pub service: Option<ServiceName>,
    /// State of that backend server.
    pub backend: BackendState,
    /// Version that it enforces, as far as the node that holds this knows: exact for itself, as
    /// reported inside its data centre, 0 elsewhere. No part of the statement; see
    /// [`crate::membership::reports`].
    pub enforced: Version,
}

impl Member {
    /// Order of statements about one node: a later one replaces an earlier one. At the same
    /// incarnation and sequence, worse news wins, so that a suspicion spreads until the node
    /// itself raises its sequence.
    pub fn precedence(&self) -> (u64, u64, Liveness) {
        (self.incarnation_us, self.sequence, self.liveness)
    }

    /// Whether the node's backend server takes new requests.
    pub fn accepts_requests(&self) -> bool {
        self.service.is_some()
            && self.backend == BackendState::Serving
            && matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Address to dial from a node at `from`.
    pub fn dial_address(&self, from: &Place) -> SocketAddr {
        if *from == self.place {
            self.node.0
        } else {
            self.external
        }
    }
}
