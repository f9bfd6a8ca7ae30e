//! Which peers a node gossips with: a small, stable and connected partial view.
//!
//! The members of a data centre form a ring, ordered by a hash of their identity. Each node
//! exchanges messages with the members 1, 3, 9 and 27 steps away in both directions
//! ([`RING_DISTANCES`]). Every distance up to 40 is a sum of at most four of these steps, so an
//! update reaches 87 nodes in about five hops over at most eight connections per node, and
//! alternative paths remain if a few nodes fail.
//!
//! Two data centres of a region are connected by [`BRIDGES`] pairs of members, and two regions by
//! one active and one standby pair of [`gateways`]. All of them are chosen by rendezvous hashing
//! over the live members, so both ends make the same choice without coordination, and replacements
//! take over as soon as a member is seen to be gone.

use std::collections::BTreeMap;

use crate::core::member::{Distance, Liveness, Member, NodeId};

/// Steps along the ring to a node's neighbours, in both directions.
pub const RING_DISTANCES: [usize; 4] = [1, 3, 9, 27];

/// Number of bridges between two data centres of a region. With two, the loss of one does not
/// separate them.
pub const BRIDGES: usize = 2;

/// Number of members of a data centre that may read the store for the others.
pub const LEADS: usize = 3;

/// Number of gateways of a region. The first is active, the second is its standby, and the third is
/// a spare reader of the store.
pub const GATEWAYS: usize = 3;

/// Role of a neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NeighbourKind {
    /// A member of the same data centre, some steps away on its ring.
    Ring,
    /// The other end of a bridge to another data centre of the region.
    Bridge,
    /// The other end of the active link to another region. Every update between the regions is sent
    /// over this link, once.
    Gateway,
    /// The other end of the standby link to another region. Both ends periodically compare their
    /// views, and exchange member records only if these still differ.
    Standby,
}

/// Chooses the neighbours of `local_member`, with which it starts exchanges.
pub fn choose<'a>(
    local_member: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> BTreeMap<NodeId, NeighbourKind> {
    let present: Vec<&Member> = members.filter(|member| is_present(member)).collect();
    let mut chosen = BTreeMap::new();
    chosen.extend(bridge_neighbours(local_member, &present));
    chosen.extend(gateway_neighbours(local_member, &present));
    chosen.extend(
        ring_neighbours(local_member, &present)
            .into_iter()
            .map(|node| (node, NeighbourKind::Ring)),
    );
    chosen.remove(&local_member.node);
    chosen
}

/// The members of `local_member`'s region that connect it with other regions and read the store,
/// highest ranked first.
pub fn gateways<'a>(
    local_member: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<NodeId> {
    let region = members
        .filter(|member| is_present(member) && member.place.region == local_member.place.region)
        .collect();
    ranked(region, "gateway", GATEWAYS)
}

/// The members of `local_member`'s data centre that poll the head row of the store, highest ranked
/// first. The first of them also counts which versions the nodes of the data centre enforce.
pub fn watchers<'a>(
    local_member: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<NodeId> {
    let near = members
        .filter(|member| is_present(member) && member.place == local_member.place)
        .collect();
    ranked(near, "watcher", BRIDGES)
}

/// The members of `local_member`'s data centre, possibly including `local_member`, that read the store
/// for the others: the first one while it can, otherwise the next. Suspect members are left out,
/// because nodes that follow a failed lead would receive no versions until it is declared dead.
pub fn leads<'a>(local_member: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let near = members
        .filter(|member| member.liveness == Liveness::Alive && member.place == local_member.place)
        .collect();
    ranked(near, "watcher", LEADS)
}

/// The highest ranked lead of each data centre but `local_member`'s, and the position of the latter in
/// the order of all data centres that have one.
pub fn leads_elsewhere<'a>(
    local_member: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> (Vec<NodeId>, usize) {
    let mut by_place: BTreeMap<(&str, &str), Vec<&Member>> = BTreeMap::new();
    for member in members.filter(|member| member.liveness == Liveness::Alive) {
        let place = &member.place;
        let key = (place.region.as_str(), place.data_centre.as_str());
        by_place.entry(key).or_default().push(member);
    }
    let place = &local_member.place;
    let local_key = (place.region.as_str(), place.data_centre.as_str());
    let rank = by_place.keys().filter(|key| **key < local_key).count();
    by_place.remove(&local_key);
    let first = |near| ranked(near, "watcher", 1);
    (by_place.into_values().flat_map(first).collect(), rank)
}

/// Whether `local_member` is an end of the links to `remote_member`'s data centre, even if no member
/// is alive there.
pub fn is_bridge_to<'a>(
    local_member: &Member,
    remote_member: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    match local_member.place.distance_to(&remote_member.place) {
        Distance::DataCentre => false,
        Distance::Region => {
            let near = members
                .filter(|member| is_present(member) && member.place == local_member.place)
                .collect();
            ranked(near, remote_member.place.data_centre.as_str(), BRIDGES)
                .contains(&local_member.node)
        }
        Distance::Mesh => gateways(local_member, members)
            .iter()
            .take(BRIDGES)
            .any(|node| *node == local_member.node),
    }
}

fn is_present(member: &Member) -> bool {
    matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
}

fn ring_neighbours(local_member: &Member, present: &[&Member]) -> Vec<NodeId> {
    let mut others: Vec<(u64, NodeId)> = present
        .iter()
        .filter(|member| member.place == local_member.place && member.node != local_member.node)
        .map(|member| (node_hash(member.node, "ring"), member.node))
        .collect();
    if others.is_empty() {
        return Vec::new();
    }
    others.sort_unstable();
    let count = others.len();
    let start = others.partition_point(|entry| {
        *entry <= (node_hash(local_member.node, "ring"), local_member.node)
    });
    let mut chosen = Vec::with_capacity(2 * RING_DISTANCES.len());
    for distance in RING_DISTANCES {
        if distance > 1 && 2 * distance > count + 1 {
            break;
        }
        chosen.push(others[(start + distance - 1) % count].1);
        chosen.push(others[(start + count - distance) % count].1);
    }
    chosen
}

fn bridge_neighbours(local_member: &Member, present: &[&Member]) -> Vec<(NodeId, NeighbourKind)> {
    let mut by_place: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in present {
        if member.place.region == local_member.place.region {
            let place = by_place.entry(member.place.data_centre.as_str());
            place.or_default().push(member);
        }
    }
    let here = local_member.place.data_centre.as_str();
    let near = by_place.remove(here).unwrap_or_default();
    let mut chosen = Vec::new();
    for (name, far) in by_place {
        let near_end = ranked(near.clone(), name, BRIDGES);
        let Some(rank) = near_end.iter().position(|node| *node == local_member.node) else {
            continue;
        };
        let far_end = ranked(alive_or_all(far), here, BRIDGES);
        chosen.push((far_end[rank % far_end.len()], NeighbourKind::Bridge));
    }
    chosen
}

fn gateway_neighbours(local_member: &Member, present: &[&Member]) -> Vec<(NodeId, NeighbourKind)> {
    let near = gateways(local_member, present.iter().copied());
    let Some(rank) = near
        .iter()
        .take(BRIDGES)
        .position(|node| *node == local_member.node)
    else {
        return Vec::new();
    };
    let mut by_region: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in present {
        if member.place.region != local_member.place.region {
            let region = by_region.entry(member.place.region.as_str());
            region.or_default().push(member);
        }
    }
    let kind = if rank == 0 {
        NeighbourKind::Gateway
    } else {
        NeighbourKind::Standby
    };
    let far_end = |far: Vec<&Member>| {
        let ends = ranked(alive_or_all(far), "gateway", BRIDGES);
        (ends[rank % ends.len()], kind)
    };
    by_region.into_values().map(far_end).collect()
}

/// The members that are not suspect, or all if every one is. A bridge whose peer becomes suspect
/// thus switches to another one at once, without waiting until the peer is declared dead.
fn alive_or_all(members: Vec<&Member>) -> Vec<&Member> {
    let alive: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|member| member.liveness == Liveness::Alive)
        .collect();
    if alive.is_empty() { members } else { alive }
}

fn ranked(members: Vec<&Member>, salt: &str, count: usize) -> Vec<NodeId> {
    let mut ranked: Vec<(u64, NodeId)> = members
        .into_iter()
        .map(|member| (node_hash(member.node, salt), member.node))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Hash that is the same on every node and in every build, unlike that of the standard library's
/// hasher.
pub(crate) fn node_hash(node: NodeId, salt: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    match node.0.ip() {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    };
    hasher.update(&node.0.port().to_be_bytes());
    hasher.update(salt.as_bytes());
    let hash = hasher.finalize();
    u64::from_le_bytes(
        hash.as_bytes()[..8]
            .try_into()
            .expect("a BLAKE3 hash has 32 bytes"),
    )
}
