//! Members of the mesh: the nodes, each with the backend server that it proxies.

use std::fmt;
use std::net::SocketAddr;
use std::num::NonZeroU32;

use serde::{Deserialize, Serialize};

use crate::core::names::{DataCentreName, RegionName, ServiceName, SoftwareVersion};
use crate::core::version::Version;

/// Time without a freeze after which the view of the members is complete, in milliseconds: several
/// exchanges with neighbours.
pub const VIEW_COMPLETE_AFTER_MS: u64 = 5_000;

/// Identity of a node: the address of its peer listener for nodes of the same data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub SocketAddr);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Location of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Region of the data centre.
    pub region: RegionName,
    /// Data centre of the node's VM.
    pub data_centre: DataCentreName,
}

impl Place {
    /// The smallest unit of the mesh that contains both places.
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

/// Class of a VM by the processor and the link that it has. A VM has at least twice as much of one of them as a VM of the
/// class below.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CapacityClass(pub u8);

impl CapacityClass {
    /// The class of a VM whose processor or link is not known, and the highest of all.
    const MAX: u8 = 15;

    /// The class of a VM with this share of a core, in percent, and this link, in kilobits per second. The scarcer of
    /// both decides: 1 % of a core counts as much as 1 Mbit/s.
    pub fn of(cpu_percent: Option<u32>, link_kbit_per_s: Option<u32>) -> Self {
        let class_of = |amount: u32| u8::try_from(amount.max(1).ilog2()).unwrap_or(Self::MAX);
        let cpu = cpu_percent.map_or(Self::MAX, class_of);
        let link = link_kbit_per_s.map_or(Self::MAX, |kbit| class_of(kbit / 1_000));
        Self(cpu.min(link).min(Self::MAX))
    }
}

/// Network distance between two nodes, ordered from the nearest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same data centre.
    DataCentre,
    /// Different data centres of the same region.
    Region,
    /// Different regions, connected by the billed link.
    Mesh,
}

/// State of a node according to the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The node announces itself as running.
    Alive,
    /// The node did not answer a gossip exchange, or several members of its data centre did not. The node
    /// can refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion in time. Its entry is kept as a tombstone.
    Dead,
    /// The node announced that it leaves the mesh.
    Left,
}

/// State of the backend server that a node proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Accepts new requests.
    Serving,
    /// Accepts no new requests and completes those it has.
    Draining,
    /// Not running, or not announced yet.
    Gone,
}

/// Digest of one start of a backend server; see [`crate::core::status::BackendStart::digest`]. A backend server that
/// restarts has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartDigest(pub NonZeroU32);

/// The backend server of a node, as the node describes it to the mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendRecord {
    /// Service that it provides; `None` if there is no backend server.
    pub service: Option<ServiceName>,
    /// Its start; `None` if it did not announce one.
    pub start: Option<StartDigest>,
    /// Version of the software that it runs, if it announced one.
    pub software_version: Option<SoftwareVersion>,
    /// Whether it accepts requests.
    pub state: BackendState,
}

/// The gossip state of one node. Only the node itself writes it, except for [`Liveness::Suspect`]
/// and [`Liveness::Dead`], which other nodes set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the node.
    pub node: NodeId,
    /// Address of its peer listener for nodes of other data centres.
    pub external: SocketAddr,
    /// Region and data centre of the node.
    pub place: Place,
    /// Start time of its process in microseconds since the epoch. It orders the processes that use
    /// one address after each other.
    pub incarnation_us: u64,
    /// Number of this state. The node increments it each time it changes its own state.
    pub sequence: u64,
    /// Result of failure detection for the node.
    pub liveness: Liveness,
    /// Service of its backend server, if it has one.
    pub service: Option<ServiceName>,
    /// State of that backend server.
    pub backend: BackendState,
    /// Start of that backend server, if it announced one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend_start: Option<StartDigest>,
    /// Version of the software that it runs, if it announced one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<SoftwareVersion>,
    /// What the node's VM can carry of the work that one node does for others.
    #[serde(default)]
    pub capacity: CapacityClass,
    /// Version that the node enforces, as known locally: exact for the local node, the last report
    /// for nodes of the same data centre, and 0 for all others. It is not part of the state that
    /// gossip spreads; see [`crate::membership::reports`].
    pub enforced: Version,
}

impl Member {
    /// Sort key of the states of one node: a higher one replaces a lower one. At equal incarnation
    /// and sequence the worse liveness wins, so a suspicion spreads until the node itself increments
    /// its sequence.
    pub fn precedence(&self) -> (u64, u64, Liveness) {
        (self.incarnation_us, self.sequence, self.liveness)
    }

    /// Whether requests may be sent to the node's backend server.
    pub fn accepts_requests(&self) -> bool {
        self.service.is_some()
            && self.backend == BackendState::Serving
            && matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Address to which a node at `from` connects.
    pub fn dial_address(&self, from: &Place) -> SocketAddr {
        if *from == self.place {
            self.node.0
        } else {
            self.external
        }
    }
}
