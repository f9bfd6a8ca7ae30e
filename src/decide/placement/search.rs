//! How a request finds a free slot among endpoints whose load its entry hardly knows.

use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::NodeId;

/// Endpoints that a request asks for a slot that is free at once, before it waits at one.
const LOOKS_MAX: usize = 3;

/// The endpoints that one request has looked at.
///
/// An entry hears of an endpoint's load only with answers, which may be seldom. A gate says at once whether it
/// has a slot, so whoever has looked at some of them waits where the queue is known to be short.
#[derive(Clone, Debug, Default)]
pub struct Search {
    without: MechanismSwitches,
    busy: Vec<NodeId>,
}

impl Search {
    /// None looked at yet.
    pub fn new(without: MechanismSwitches) -> Self {
        Self {
            without,
            busy: Vec::new(),
        }
    }

    /// Whether the request, which is placed at `node`, waits there if no slot is free.
    pub fn waits_at(&self, node: NodeId) -> bool {
        let most = match self.without.is_enabled(Mechanism::FreeSlotProbes) {
            true => LOOKS_MAX,
            false => 0,
        };
        self.busy.len() >= most || self.busy.contains(&node)
    }

    /// `node` had no free slot.
    pub fn busy(&mut self, node: NodeId) {
        self.busy.push(node);
    }
}
