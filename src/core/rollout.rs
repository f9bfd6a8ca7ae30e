//! Roll-outs: the traffic of a service moves from endpoints of its established software versions to
//! endpoints of a candidate version, or back.
//!
//! An operator writes a [`RolloutOrder`]. One node of the mesh, the coordinator, decides on each
//! [`RolloutPhase`] and writes it as a [`RolloutState`]. Every node keeps the newest order and state of
//! each service in a [`RolloutBook`]. Two books are merged entry by entry, so that nodes may receive
//! orders and states in any order and from any source.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::member::NodeId;
use crate::core::names::{ServiceName, SoftwareVersion};

/// An operator's order to move the traffic of a service to another software version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The candidate version.
    pub to: SoftwareVersion,
    /// Time from the order within which the roll-out is to end, in milliseconds.
    pub duration_ms: u64,
}

/// The newest order for a service, as the store had it at `revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderEntry {
    /// Number of the store's transaction that wrote the order, or at which it was found absent.
    /// Orders of one service are ordered by it.
    pub revision: u64,
    /// `None` if there is no order or it cannot be decoded.
    pub order: Option<RolloutOrder>,
}

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// The candidate gets a small share of the requests and is compared with the established
    /// versions.
    Trial,
    /// The candidate passed the trial; its share grows.
    Shift,
    /// The gates of established endpoints refuse new requests and complete those they have.
    Settle,
    /// The candidate is the only established version.
    Completed,
    /// The candidate gets no requests.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the phase is final: only another order changes it.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Name in logs, metrics and the operator's view.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Shift => "shift",
            Self::Settle => "settle",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// State of a roll-out, as the coordinator wrote it to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutState {
    /// [`OrderEntry::revision`] of the order that it belongs to.
    pub order_revision: u64,
    /// The candidate version.
    pub to: SoftwareVersion,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Share of the requests that the candidate gets, in percent.
    pub share_percent: u32,
    /// Time of the store's clock at which the order was first read, in milliseconds.
    pub ordered_store_ms: u64,
    /// Time of the store's clock at which the phase and the share were decided, in milliseconds.
    pub decided_store_ms: u64,
    /// The only established version, after a roll-out to it has been completed; `None` if all versions
    /// other than `to` and the barred ones are established.
    pub established: Option<SoftwareVersion>,
    /// Versions that get no requests, because a roll-out to them was rolled back or replaced.
    pub barred: Vec<SoftwareVersion>,
    /// Why the phase was entered, with the evidence.
    pub reason: String,
    /// The coordinator that decided on the phase.
    pub decided_by: NodeId,
}

/// The newest state for a service; `revision` is the number of the transaction that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateEntry {
    /// States of one service are ordered by it.
    pub revision: u64,
    /// The state.
    pub state: RolloutState,
}

/// What is known of the roll-outs of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    /// The newest order.
    pub order: OrderEntry,
    /// The newest state; `None` before the first roll-out.
    pub state: Option<StateEntry>,
}

impl RolloutRecord {
    /// Revision of the state; 0 if there is none, as a store's condition for an absent row.
    pub fn state_revision(&self) -> u64 {
        self.state.as_ref().map_or(0, |entry| entry.revision)
    }

    /// The state, if it belongs to the newest order.
    pub fn current_state(&self) -> Option<&RolloutState> {
        let state = self.state.as_ref().map(|entry| &entry.state)?;
        (state.order_revision >= self.order.revision).then_some(state)
    }

    /// Whether the record demands a decision: an order has no final state yet, or a roll-out runs whose
    /// order was withdrawn.
    pub fn is_active(&self) -> bool {
        let is_running = |state: &RolloutState| !state.phase.is_final();
        match (&self.order.order, self.current_state()) {
            (Some(_), None) => true,
            (_, Some(state)) => is_running(state),
            (None, None) => self.state.as_ref().is_some_and(|e| is_running(&e.state)),
        }
    }

    fn merge(&mut self, other: &Self) -> bool {
        let newer_order = other.order.revision > self.order.revision;
        if newer_order {
            self.order.clone_from(&other.order);
        }
        let newer_state = other.state_revision() > self.state_revision();
        if newer_state {
            self.state.clone_from(&other.state);
        }
        newer_order || newer_state
    }
}

/// The newest known order and state of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutBook {
    records: BTreeMap<ServiceName, RolloutRecord>,
}

impl RolloutBook {
    /// Record of a service, if there ever was an order or state for it.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutRecord> {
        self.records.get(service)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &RolloutRecord)> {
        self.records.iter()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Merges one record. Returns whether it contained anything new.
    pub fn merge_record(&mut self, service: &ServiceName, record: &RolloutRecord) -> bool {
        match self.records.get_mut(service) {
            Some(known) => known.merge(record),
            None => {
                self.records.insert(service.clone(), record.clone());
                true
            }
        }
    }

    /// Merges all records of another book. Returns whether it contained anything new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (service, record) in &other.records {
            changed |= self.merge_record(service, record);
        }
        changed
    }

    /// Merges all orders that the store had at `position`. An order that it did not have any more counts
    /// as withdrawn.
    pub fn merge_all_orders(
        &mut self,
        position: u64,
        orders: &BTreeMap<ServiceName, OrderEntry>,
    ) -> bool {
        let mut changed = false;
        for (service, record) in &mut self.records {
            let has_order = record.order.order.is_some();
            if has_order && !orders.contains_key(service) && record.order.revision < position {
                record.order = OrderEntry {
                    revision: position,
                    order: None,
                };
                changed = true;
            }
        }
        for (service, order) in orders {
            changed |= self.merge_order(service, order);
        }
        changed
    }

    /// Merges one order. Returns whether it is newer than the known one.
    pub fn merge_order(&mut self, service: &ServiceName, order: &OrderEntry) -> bool {
        let record = RolloutRecord {
            order: order.clone(),
            state: None,
        };
        self.merge_record(service, &record)
    }

    /// Merges one state. Returns whether it is newer than the known one.
    pub fn merge_state(&mut self, service: &ServiceName, state: StateEntry) -> bool {
        let record = RolloutRecord {
            order: OrderEntry::default(),
            state: Some(state),
        };
        self.merge_record(service, &record)
    }

    /// Hash over the revisions of all records; 0 if there are none. Equal digests show that two books
    /// are equal.
    pub fn digest(&self) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        let mut hasher = blake3::Hasher::new();
        for (service, record) in &self.records {
            hasher.update(service.as_str().as_bytes());
            hasher.update(&[0]);
            hasher.update(&record.order.revision.to_be_bytes());
            hasher.update(&record.state_revision().to_be_bytes());
        }
        let hash = hasher.finalize();
        let first = hash.as_bytes().first_chunk().copied();
        u64::from_be_bytes(first.unwrap_or_default()).max(1)
    }
}
