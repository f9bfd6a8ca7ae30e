//! Which peers a node gossips with: a small, stable, connected partial view.
//!
//! The members of a data centre stand on a ring ordered by a hash of their identity. Each node
//! talks to those at distance 1, 3, 9 and 27 either way ([`RING_DISTANCES`]): with steps both
//! ways, every distance up to 40 is a sum of at most four of them, so news crosses 87 nodes in
//! about five hops over at most eight connections, and the loss of any few leaves other ways.
//!
//! Data centres of a region are joined by [`BRIDGES`] pairs of members each, and regions by one
//! pair of [`gateways`] that carries and one that stands by. All are chosen by rendezvous hash
//! over the live view, so both ends agree without a word, and others take over as soon as the view
//! says that one is gone.

use std::collections::BTreeMap;

use crate::core::member::{Distance, Liveness, Member, NodeId};

/// Steps along the ring, both ways.
pub const RING_DISTANCES: [usize; 4] = [1, 3, 9, 27];

/// Bridges between two data centres of a region. Two, so that the loss of one is not a gap.
pub const BRIDGES: usize = 2;

/// Members of a data centre that may read the store for the others.
pub const LEADS: usize = 3;

/// Gateways of a region: the first carries, the second stands by, the third is a spare for the
/// store.
pub const GATEWAYS: usize = 3;

/// What a neighbour is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NeighbourKind {
    /// In the same data centre.
    Ring,
    /// In another data centre of the region.
    Bridge,
    /// In another region; every change crosses here, once.
    Gateway,
    /// In another region; compares views now and then, and steps in when they stay apart.
    Standby,
}

/// The peers that `me` starts exchanges with, given all members.
pub fn choose<'a>(
    me: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> BTreeMap<NodeId, NeighbourKind> {
    let present: Vec<&Member> = members.filter(|member| is_present(member)).collect();
    let mut chosen = BTreeMap::new();
    chosen.extend(bridges(me, &present));
    chosen.extend(across_regions(me, &present));
    chosen.extend(
        ring(me, &present)
            .into_iter()
            .map(|node| (node, NeighbourKind::Ring)),
    );
    chosen.remove(&me.node);
    chosen
}

/// The members of `me`'s region that deal with other regions and with the store, first first.
pub fn gateways<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let region = members
        .filter(|member| is_present(member) && member.place.region == me.place.region)
        .collect();
    ranked(region, "gateway", GATEWAYS)
}

/// The members of `me`'s data centre that watch the head row and report on it, first first.
pub fn watchers<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let near = members
        .filter(|member| is_present(member) && member.place == me.place)
        .collect();
    ranked(near, "watcher", BRIDGES)
}

/// The members of `me`'s data centre that read the store for the others, `me` itself maybe: the first
/// while it can, the next in its place. One that is suspected is none: whoever follows it would hear of
/// nothing until it counts as dead.
pub fn leads<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let near = members
        .filter(|member| member.liveness == Liveness::Alive && member.place == me.place)
        .collect();
    ranked(near, "watcher", LEADS)
}

/// Whether `me` looks after the links to `far`'s data centre, also when nobody there is alive.
pub fn is_bridge_to<'a>(
    me: &Member,
    far: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    match me.place.distance_to(&far.place) {
        Distance::DataCentre => false,
        Distance::Region => {
            let near = members
                .filter(|member| is_present(member) && member.place == me.place)
                .collect();
            ranked(near, far.place.data_centre.as_str(), BRIDGES).contains(&me.node)
        }
        Distance::Mesh => gateways(me, members)
            .iter()
            .take(BRIDGES)
            .any(|node| *node == me.node),
    }
}

fn is_present(member: &Member) -> bool {
    matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
}

fn ring(me: &Member, present: &[&Member]) -> Vec<NodeId> {
    let mut others: Vec<(u64, NodeId)> = present
        .iter()
        .filter(|member| member.place == me.place && member.node != me.node)
        .map(|member| (node_hash(member.node, "ring"), member.node))
        .collect();
    if others.is_empty() {
        return Vec::new();
    }
    others.sort_unstable();
    let count = others.len();
    let start = others.partition_point(|entry| *entry <= (node_hash(me.node, "ring"), me.node));
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

fn bridges(me: &Member, present: &[&Member]) -> Vec<(NodeId, NeighbourKind)> {
    let mut by_place: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in present {
        if member.place.region == me.place.region {
            let place = by_place.entry(member.place.data_centre.as_str());
            place.or_default().push(member);
        }
    }
    let here = me.place.data_centre.as_str();
    let near = by_place.remove(here).unwrap_or_default();
    let mut chosen = Vec::new();
    for (name, far) in by_place {
        let near_end = ranked(near.clone(), name, BRIDGES);
        let Some(rank) = near_end.iter().position(|node| *node == me.node) else {
            continue;
        };
        let far_end = ranked(alive_or_all(far), here, BRIDGES);
        chosen.push((far_end[rank % far_end.len()], NeighbourKind::Bridge));
    }
    chosen
}

fn across_regions(me: &Member, present: &[&Member]) -> Vec<(NodeId, NeighbourKind)> {
    let near = gateways(me, present.iter().copied());
    let Some(rank) = near.iter().take(BRIDGES).position(|node| *node == me.node) else {
        return Vec::new();
    };
    let mut by_region: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in present {
        if member.place.region != me.place.region {
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

/// Those that nobody suspects, or else all: a bridge whose partner is suspected tries the next
/// one at once instead of waiting for the verdict.
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

/// The same on every node and in every build, unlike the standard library's hasher.
pub(crate) fn node_hash(node: NodeId, salt: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    match node.0.ip() {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    };
    hasher.update(&node.0.port().to_be_bytes());
    hasher.update(salt.as_bytes());
    let hash = hasher.finalize();
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight of 32 bytes"))
}
