//! How many requests of an organisation a node may admit until it gets the next totals of the mesh.

use super::{QuotaLimits, Usage};
use crate::core::organisation::Quota;

/// Divisor of the target: with this part of it left, every node may admit [`FLOOR_REQUESTS`], so that an organisation
/// that seldom sends is served at every entry node.
const FLOOR_HEADROOM_DIVISOR: f64 = 3.0;
/// Requests that every node may admit then.
const FLOOR_REQUESTS: f64 = 2.0;

/// Divisor of the target: totals leave out organisations that have used less than this part.
const LISTED_DIVISOR: f64 = 4.0;

/// What a node knows of an organisation's use of its quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    /// Usage of the mesh; `None` if the totals do not list the organisation.
    pub(super) mesh: Option<Usage>,
    /// Usage at this node, as it was reported for these totals.
    pub(super) own: Usage,
    /// Nodes of the mesh.
    pub(super) nodes: u32,
    /// Nodes of the mesh that are part of the totals.
    pub(super) heard_nodes: u32,
    /// How much of the window is unknown because nodes have started within it, summed over nodes.
    pub(super) unknown_windows: f64,
}

/// Requests that a node may admit after its report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Allowance {
    /// May have a fraction.
    pub(super) requests: f64,
    /// Part of the organisation's rate that falls to this node.
    pub(super) share: f64,
}

/// Whether totals list an organisation with this usage.
pub(super) fn is_listed(limits: &QuotaLimits, quota: Quota, usage: Usage) -> bool {
    f64::from(usage.admitted) >= limits.target_requests(quota) / LISTED_DIVISOR
}

pub(super) fn allowance(limits: &QuotaLimits, quota: Quota, situation: &Situation) -> Allowance {
    let target = limits.target_requests(quota);
    let (used, asked) = match situation.mesh {
        Some(mesh) => (f64::from(mesh.admitted), mesh.asked),
        None => (target / LISTED_DIVISOR, situation.own.asked),
    };
    let nodes = f64::from(situation.nodes.max(1));
    // Nodes that are not heard admit their part of the rate.
    let unheard = (nodes - f64::from(situation.heard_nodes)).max(0.0) / nodes;
    let window_rate = limits.window_ms as f64 / 1_000.0 * quota.rate_per_s();
    let kept_back = unheard * window_rate + situation.unknown_windows / nodes * target;
    let headroom = (target - used - kept_back).max(0.0);
    let share = (f64::from(situation.own.asked) + 1.0) / (f64::from(asked) + nodes);
    let share = share.min(1.0);
    let floor = match headroom >= target / FLOOR_HEADROOM_DIVISOR {
        true => FLOOR_REQUESTS.min(headroom.floor()),
        false => 0.0,
    };
    Allowance {
        requests: (headroom * share).max(floor),
        share,
    }
}
