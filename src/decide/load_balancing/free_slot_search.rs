//! How a request finds a free slot among endpoints whose load its entry hardly knows.

use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::NodeId;

/// Endpoints that a request asks for a slot that is free at once, before it waits at one.
const FREE_SLOT_PROBES_MAX: usize = 3;

/// The endpoints that one request has looked at.
///
/// An entry hears of an endpoint's load only with answers, which may be seldom. A gate says at once whether it
/// has a slot, so whoever has looked at some of them waits where the queue is known to be short.
#[derive(Clone, Debug, Default)]
pub struct FreeSlotSearch {
    switches: MechanismSwitches,
    busy_endpoints: Vec<NodeId>,
}

impl FreeSlotSearch {
    /// None looked at yet.
    pub fn new(switches: MechanismSwitches) -> Self {
        Self {
            switches,
            busy_endpoints: Vec::new(),
        }
    }

    /// Whether the request, which is placed at `node`, waits there if no slot is free.
    pub fn queues_at(&self, node: NodeId) -> bool {
        let probes_max = match self.switches.is_enabled(Mechanism::FreeSlotProbes) {
            true => FREE_SLOT_PROBES_MAX,
            false => 0,
        };
        self.busy_endpoints.len() >= probes_max || self.busy_endpoints.contains(&node)
    }

    /// `node` had no free slot.
    pub fn record_busy(&mut self, node: NodeId) {
        self.busy_endpoints.push(node);
    }
}
