//! Search for a free slot among endpoints whose current load is uncertain.

use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::NodeId;

/// Number of endpoints that a request probes for a free slot before it queues at one.
const FREE_SLOT_PROBES_MAX: usize = 3;
/// The same while the service refuses many requests, since a free slot is unlikely then.
const FREE_SLOT_PROBES_MAX_UNDER_OVERLOAD: usize = 1;

/// Endpoints that one request has probed.
///
/// The node at which a request enters the mesh, its entry node, receives load reports only with
/// responses, which may be rare. A probe is refused at once if the endpoint has no free slot, and the
/// refusal carries a load report. So after some probes the request queues at an endpoint whose queue
/// is known to be short.
#[derive(Clone, Debug, Default)]
pub struct FreeSlotSearch {
    switches: MechanismSwitches,
    is_overloaded: bool,
    busy_endpoints: Vec<NodeId>,
}

impl FreeSlotSearch {
    /// Returns a search without probes.
    pub fn new(switches: MechanismSwitches, is_overloaded: bool) -> Self {
        Self {
            switches,
            is_overloaded,
            busy_endpoints: Vec::new(),
        }
    }

    /// Whether a request that is sent to `node` queues there if no slot is free; else it is a probe.
    pub fn queues_at(&self, node: NodeId) -> bool {
        let probes_max = match self.switches.is_enabled(Mechanism::FreeSlotProbes) {
            true if self.is_overloaded => FREE_SLOT_PROBES_MAX_UNDER_OVERLOAD,
            true => FREE_SLOT_PROBES_MAX,
            false => 0,
        };
        self.busy_endpoints.len() >= probes_max || self.busy_endpoints.contains(&node)
    }

    /// Records that `node` had no free slot.
    pub fn record_busy(&mut self, node: NodeId) {
        self.busy_endpoints.push(node);
    }
}
