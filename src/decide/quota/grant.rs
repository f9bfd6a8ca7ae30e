//! How many requests of an organisation a node may admit until its next report.

use super::{QuotaLimits, Usage};
use crate::core::organisation::Quota;

/// Requests that every node may admit of a small organisation, so that one that seldom sends is served at every entry node.
const FLOOR_REQUESTS: u32 = 2;
/// An organisation is small if its target is at most this many requests for each node. Shares of larger ones suffice for
/// every node.
const SMALL_REQUESTS_PER_NODE: f64 = 6.0;
/// The same for the smallest ones.
const SMALLEST_REQUESTS_PER_NODE: f64 = 2.0;
/// Divisor of the target: part of it that must be left for [`FLOOR_REQUESTS`]. The smaller an organisation, the fewer
/// requests can it send before its use of the quota is known.
const SMALL_HEADROOM_DIVISOR: f64 = 2.5;
/// The same for the smallest ones.
const SMALLEST_HEADROOM_DIVISOR: f64 = 3.0;

/// Divisor of the target: organisations that have used and asked for less than this part are not listed in grants.
const LISTED_DIVISOR: f64 = 8.0;
/// Divisor of the target: what all nodes together may admit of an organisation that is not listed.
const UNLISTED_DIVISOR: f64 = 4.0;

/// What a lead knows of an organisation when it answers the report of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    /// Usage of the whole mesh.
    pub(super) mesh: Usage,
    /// Requests asked for at the nodes that report to this lead, as other leads know it.
    pub(super) shared_asked: u32,
    /// Usage of the nodes that report to this lead.
    pub(super) local: Usage,
    /// What these nodes may have admitted since their reports, without the node that reports now.
    pub(super) granted: u32,
    /// Usage at the node that reports now.
    pub(super) node: Usage,
    pub(super) nodes: Nodes,
}

/// Numbers of nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Nodes {
    /// Nodes that report to this lead.
    pub(super) local: u32,
    /// Nodes that report to some lead that is heard.
    pub(super) heard: u32,
    /// All nodes of the mesh.
    pub(super) all: u32,
    /// How much of the window is unknown because nodes have started within it, summed over nodes.
    pub(super) unknown: f64,
}

impl Nodes {
    /// Part of the quota that falls to nodes that are heard and whose usage is known. The rest may be used by the other
    /// nodes, also if they are cut off and have a lead of their own.
    pub(super) fn known_share(&self) -> f64 {
        let all = f64::from(self.all.max(self.heard).max(1));
        ((f64::from(self.heard) - self.unknown) / all).max(0.0)
    }
}

/// Whether grants list an organisation with this usage of the mesh.
pub(super) fn is_listed(limits: &QuotaLimits, quota: Quota, mesh: Usage) -> bool {
    f64::from(mesh.asked.max(mesh.admitted)) >= limits.target_requests(quota) / LISTED_DIVISOR
}

/// Part of what is left that falls to a node: half of it by what was asked for there, half evenly, because callers may turn
/// to any entry node.
fn node_share(node: Usage, local: Usage, nodes: Nodes) -> f64 {
    let local_nodes = f64::from(nodes.local.max(1));
    let local_asked = f64::from(local.asked);
    let weight = f64::from(node.asked) + local_asked / local_nodes + 1.0;
    (weight / (2.0 * local_asked + local_nodes)).min(1.0)
}

/// Requests of an organisation that a node may admit if grants do not list it.
/// `known_share` is the part of the quota that falls to nodes whose usage is known.
pub(super) fn unlisted_requests(
    limits: &QuotaLimits,
    quota: Quota,
    nodes: u32,
    known_share: f64,
) -> u32 {
    let target = limits.target_requests(quota) * known_share;
    let part = target / UNLISTED_DIVISOR / f64::from(nodes.max(1));
    (part as u32).max(floor_requests(target, 0, nodes))
}

/// Requests that every node may admit, whatever its share.
fn floor_requests(target: f64, mesh_admitted: u32, nodes: u32) -> u32 {
    let per_node = target / f64::from(nodes.max(1));
    let divisor = if per_node <= SMALLEST_REQUESTS_PER_NODE {
        SMALLEST_HEADROOM_DIVISOR
    } else if per_node <= SMALL_REQUESTS_PER_NODE {
        SMALL_HEADROOM_DIVISOR
    } else {
        return 0;
    };
    let headroom = target - f64::from(mesh_admitted);
    match headroom >= target / divisor {
        true => FLOOR_REQUESTS.min(headroom as u32),
        false => 0,
    }
}

/// The requests that the node may admit. `chance` is a random number from 0 to 1, by which a fraction is rounded.
pub(super) fn granted_requests(
    limits: &QuotaLimits,
    quota: Quota,
    situation: &Situation,
    chance: f64,
) -> u32 {
    let Situation {
        mesh,
        shared_asked,
        local,
        granted,
        node,
        nodes,
    } = *situation;
    let target = limits.target_requests(quota) * nodes.known_share();
    // What was asked for at other leads is known with a delay, so what was asked for here counts with the same delay.
    let asked = mesh.asked - local.asked.min(mesh.asked) + shared_asked;
    let local_share = f64::from(shared_asked + nodes.local) / f64::from(asked + nodes.heard.max(1));
    let local_share = local_share.min(1.0);
    let local_left = target * local_share - f64::from(local.admitted);
    // Shares move with demand at once, and what was admitted elsewhere before stays in the window.
    let mesh_left = (target - f64::from(mesh.admitted)) * local_share;
    let left = local_left.min(mesh_left);
    let not_granted = left - f64::from(granted);
    let requests = (left * node_share(node, local, nodes)).min(not_granted);
    let requests = requests.max(0.0);
    let is_rounded_up = requests.fract() > chance;
    let requests = requests as u32 + u32::from(is_rounded_up);
    requests.max(floor_requests(target, mesh.admitted, nodes.all))
}
