//! Endpoints of one service, in the order of one entry node.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use super::version_set::{VersionIndex, Versions};
use crate::core::member::{Distance, Member, NodeId, Place, StartDigest};

/// One endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Node in front of the backend server.
    pub node: NodeId,
    /// Address at which the entry node connects to it.
    pub address: SocketAddr,
    /// Start time of the node's process, which distinguishes restarts.
    pub incarnation_us: u64,
    /// Start of the backend server, if it announced one.
    pub backend_start: Option<StartDigest>,
    /// Software version of the backend server, in [`RankedEndpoints::versions`].
    pub version: VersionIndex,
}

/// Endpoints of one service, by distance and then in the rendezvous order of one entry node.
#[derive(Clone, Debug, Default)]
pub struct RankedEndpoints {
    pub(super) by_distance: [Vec<Endpoint>; 3],
    versions: Versions,
}

impl RankedEndpoints {
    /// Ranks `members` for `entry_node`, which is located at `entry_place`.
    ///
    /// Rendezvous hashing: an added or removed endpoint changes one member of the subsets of a few entry nodes and
    /// leaves all other connections unchanged. The next endpoint in the order replaces one that is not available.
    pub fn rank<'a>(
        entry_node: NodeId,
        entry_place: &Place,
        members: impl IntoIterator<Item = &'a Member>,
    ) -> Self {
        Self::rank_by(entry_place, members, |endpoint| {
            rendezvous_weight(entry_node, endpoint)
        })
    }

    /// Like [`Self::rank`], the highest `weight` first. It is computed once for each member.
    pub fn rank_by<'a>(
        entry_place: &Place,
        members: impl IntoIterator<Item = &'a Member>,
        mut weight: impl FnMut(NodeId) -> u64,
    ) -> Self {
        let mut ranked = Self::default();
        for member in members {
            let version = ranked.versions.index_of(member.software_version.as_ref());
            let distance_index = entry_place.distance_to(&member.place) as usize;
            ranked.by_distance[distance_index].push(Endpoint {
                node: member.node,
                address: member.dial_address(entry_place),
                incarnation_us: member.incarnation_us,
                backend_start: member.backend_start,
                version,
            });
        }
        for endpoints in &mut ranked.by_distance {
            endpoints.sort_by_cached_key(|endpoint| Reverse(weight(endpoint.node)));
            endpoints.shrink_to_fit();
        }
        ranked
    }

    /// Software versions of the endpoints.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// How far the endpoint of `node` is from the entry node.
    pub fn distance_of(&self, node: NodeId) -> Option<Distance> {
        let distances = [Distance::DataCentre, Distance::Region, Distance::Mesh];
        let mut by_distance = self.by_distance.iter().zip(distances);
        let is_there =
            |(endpoints, _): &(&Vec<Endpoint>, Distance)| endpoints.iter().any(|e| e.node == node);
        by_distance.find(is_there).map(|(_, distance)| distance)
    }

    /// Iterates over all endpoints, nearest first.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_distance.iter().flatten()
    }
}

fn rendezvous_weight(entry_node: NodeId, endpoint: NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entry_node, endpoint).hash(&mut hasher);
    hasher.finish()
}
