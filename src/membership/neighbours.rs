//! Which peers a node gossips with: a small, stable and connected partial view.
//!
//! The members of a data centre form a ring, ordered by a hash of their identity. Each node
//! exchanges messages with the members 1, 3, 9, 27 and so on steps away in both directions, up to
//! half of the ring ([`ring_distances`]). Every distance on a ring is a sum of at most that many
//! steps, so the hops of an update and the connections of a node grow with the logarithm of the
//! data centre: five hops over eight connections at 87 nodes, six over ten at 250. Alternative paths
//! remain if a few nodes fail.
//!
//! Two data centres of a region are connected by [`BRIDGES`] pairs of members, and two regions by
//! one active and one standby pair of [`gateways`]. All of them are chosen by rendezvous hashing
//! over the live members of the highest capacity class, so both ends make the same choice without
//! coordination, and replacements take over as soon as a member is seen to be gone. A small VM
//! would spend most of its processor and link on the traffic of a large data centre.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::core::member::{CapacityClass, Distance, Liveness, Member, NodeId};

/// Steps along a ring to a node's neighbours, in both directions, if there are `others` further nodes on it.
pub fn ring_distances(others: usize) -> impl Iterator<Item = usize> {
    let powers = std::iter::successors(Some(1), |distance: &usize| distance.checked_mul(3));
    powers.take_while(move |distance| *distance == 1 || 2 * distance <= others + 1)
}

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
    let mut chosen = Vec::new();
    for distance in ring_distances(count) {
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

/// The first `count` members: those of the highest capacity class, and among them by rendezvous hashing.
fn ranked(members: Vec<&Member>, salt: &str, count: usize) -> Vec<NodeId> {
    // A member of a lower class is only chosen if there are fewer than `count` above it, so it need not be hashed.
    let mut classes: Vec<CapacityClass> = members.iter().map(|member| member.capacity).collect();
    classes.sort_unstable_by(|a, b| b.cmp(a));
    let lowest = classes.get(count.saturating_sub(1)).or(classes.last());
    let Some(lowest) = lowest.copied() else {
        return Vec::new();
    };
    let mut ranked: Vec<(Reverse<CapacityClass>, u64, NodeId)> = members
        .into_iter()
        .filter(|member| member.capacity >= lowest)
        .map(|member| {
            let hash = node_hash(member.node, salt);
            (Reverse(member.capacity), hash, member.node)
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, node)| node).collect()
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
