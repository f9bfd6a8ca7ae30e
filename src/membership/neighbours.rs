//! Which peers a node gossips with: a small, stable, connected partial view.
//!
//! The members of a data centre stand on a ring ordered by a hash of their identity. Each node
//! gossips with the successors at distance 1, 2, 4, ... up to [`CHORDS`] of them: distance 1 alone
//! keeps the ring connected, the longer chords make the diameter logarithmic and survive the
//! loss of neighbours. One member per pair of data centres (the "bridge", by rendezvous hash) also
//! gossips across; another takes over as soon as the view says that it is gone.

use crate::core::member::{Liveness, Member, NodeId};
use crate::core::names::DataCentreName;

/// Neighbours inside the data centre. Four reach 87 nodes in about four hops at a cost that does
/// not grow with the number of nodes.
pub const CHORDS: usize = 4;

/// Bridges from one data centre to each other one. Two, so that the loss of one is not a gap.
pub const BRIDGES: usize = 2;

/// The peers that `me` starts exchanges with, given all members by identity.
pub fn choose<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let present: Vec<&Member> = members
        .filter(|member| matches!(member.liveness, Liveness::Alive | Liveness::Suspect))
        .collect();
    let mut chosen = ring_successors(me, &present);
    chosen.extend(bridge_peers(me, &present));
    chosen.sort();
    chosen.dedup();
    chosen
}

fn ring_successors(me: &Member, present: &[&Member]) -> Vec<NodeId> {
    let mut ring: Vec<(u64, NodeId)> = present
        .iter()
        .filter(|member| member.place == me.place && member.node != me.node)
        .map(|member| (hash(&[&member.node.to_string()]), member.node))
        .collect();
    if ring.is_empty() {
        return Vec::new();
    }
    ring.sort_unstable();
    let my_hash = hash(&[&me.node.to_string()]);
    let start = ring.partition_point(|entry| *entry <= (my_hash, me.node));
    let mut chosen = Vec::with_capacity(CHORDS);
    let mut distance = 1;
    while distance <= ring.len() && chosen.len() < CHORDS {
        chosen.push(ring[(start + distance - 1) % ring.len()].1);
        distance *= 2;
    }
    chosen
}

fn bridge_peers(me: &Member, present: &[&Member]) -> Vec<NodeId> {
    let mut data_centres: Vec<&DataCentreName> = present
        .iter()
        .map(|member| &member.place.data_centre)
        .filter(|name| **name != me.place.data_centre)
        .collect();
    data_centres.sort();
    data_centres.dedup();
    let mut chosen = Vec::new();
    for far in data_centres {
        let near_end = rendezvous(present, &me.place.data_centre, far, BRIDGES);
        let Some(rank) = near_end.iter().position(|node| *node == me.node) else {
            continue;
        };
        let far_end = rendezvous(present, far, &me.place.data_centre, BRIDGES);
        if !far_end.is_empty() {
            chosen.push(far_end[rank % far_end.len()]);
        }
    }
    chosen
}

/// The members of data centre `from` that hold its link to `to`.
fn rendezvous(
    present: &[&Member],
    from: &DataCentreName,
    to: &DataCentreName,
    count: usize,
) -> Vec<NodeId> {
    let mut ranked: Vec<(u64, NodeId)> = present
        .iter()
        .filter(|member| member.place.data_centre == *from)
        .map(|member| {
            let weight = hash(&[&member.node.to_string(), to.as_str()]);
            (weight, member.node)
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, node)| node).collect()
}

fn hash(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let bytes = hasher.finalize();
    u64::from_le_bytes(bytes.as_bytes()[..8].try_into().expect("eight of 32 bytes"))
}
