//! What the gates of a service count of their backend servers' responses during a roll-out.
//!
//! A gate sees every response of its backend server, so a few gates hold the evidence that would be
//! spread over all entry nodes. All counts of a [`NodeTally`] are totals since the order or since the
//! start of the node's process, so a lost message is made up for by the next one.

use std::collections::BTreeMap;

use super::policy::VersionRole;
use crate::core::member::NodeId;
use crate::core::names::{ResourceName, ServiceName, SoftwareVersion};

/// Buckets of service times per factor of two.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Upper limit of the first bucket, in microseconds.
const FIRST_BUCKET_US: f64 = 1_000.0;
/// Number of buckets: the last one begins at about half a minute.
pub const BUCKET_COUNT: usize = 31;

/// Number of resources that a node counts apart: above the number that a service has under load.
/// Responses of further resources are counted together.
const RESOURCES_MAX: usize = 16;

/// Name under which responses of resources above [`RESOURCES_MAX`] are counted.
const OTHER_RESOURCES: &str = "other";

/// Bucket of a service time.
pub fn bucket_of(service_time_us: u64) -> usize {
    let doublings = (service_time_us as f64 / FIRST_BUCKET_US).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

/// Logarithm of the middle of a bucket, in milliseconds.
pub fn bucket_ln(bucket: usize) -> f64 {
    (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING * std::f64::consts::LN_2
}

/// Responses for one resource.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceTally {
    /// Responses, failures included.
    pub answers: u64,
    /// Responses with a status of 500 or above, and requests without a complete response.
    pub failures: u64,
    /// Number of successful responses by service time, see [`bucket_of`]. Those of a backend server
    /// that was warming up are not counted.
    pub times: [u32; BUCKET_COUNT],
}

impl ResourceTally {
    /// Number of successful responses whose service time was counted.
    pub fn timed(&self) -> u64 {
        self.times.iter().map(|count| u64::from(*count)).sum()
    }

    /// Number of those in `bucket` or above.
    pub fn timed_from(&self, bucket: usize) -> u64 {
        let slow = &self.times[bucket.min(BUCKET_COUNT)..];
        slow.iter().map(|count| u64::from(*count)).sum()
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        for (total, count) in self.times.iter_mut().zip(other.times) {
            *total += count;
        }
    }

    /// Counts that were added since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut times = self.times;
        for (count, before) in times.iter_mut().zip(earlier.times) {
            *count = count.saturating_sub(before);
        }
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            times,
        }
    }
}

/// How the backend server answered one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the response was complete and its status below 500.
    pub succeeded: bool,
    /// How long the request held its slot, in microseconds; `None` if that says nothing about the
    /// version, because the backend server was warming up.
    pub service_time_us: Option<u64>,
}

/// Totals of one gate since the order of the roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeTally {
    /// The gate's node.
    pub node: NodeId,
    /// Start time of its process, as in [`crate::core::member::Member::incarnation_us`].
    pub incarnation_us: u64,
    /// Number of this message; orders those of one process.
    pub sequence: u64,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Software version of its backend server.
    pub version: Option<SoftwareVersion>,
    /// Revision of the order since which it counts.
    pub order_revision: u64,
    /// Slots of the backend server.
    pub slots: u32,
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Whether the gate refuses every new request because of the roll-out, and has received no reason
    /// to admit one since `in_flight` was read.
    pub closed: bool,
    /// Whether the backend server is warming up.
    pub cold: bool,
    /// Time that requests have held slots, all together, in milliseconds.
    pub busy_ms: u64,
    /// Responses by resource.
    pub resources: BTreeMap<ResourceName, ResourceTally>,
}

impl NodeTally {
    /// Counts a response.
    pub fn record(&mut self, resource: &ResourceName, answer: Answer) {
        let is_known = self.resources.contains_key(resource);
        let tally = match is_known || self.resources.len() < RESOURCES_MAX {
            true => self.resources.entry(resource.clone()).or_default(),
            false => {
                let other = ResourceName::new(OTHER_RESOURCES);
                self.resources.entry(other).or_default()
            }
        };
        tally.answers += 1;
        tally.failures += u64::from(!answer.succeeded);
        if let (true, Some(service_time_us)) = (answer.succeeded, answer.service_time_us) {
            tally.times[bucket_of(service_time_us)] += 1;
        }
    }

    /// Responses for all resources.
    pub fn answers(&self) -> u64 {
        self.resources.values().map(|tally| tally.answers).sum()
    }

    fn order(&self) -> (u64, u64, u64) {
        (self.order_revision, self.incarnation_us, self.sequence)
    }
}

/// The newest tally of each gate of one service. What earlier processes at an address have counted is
/// dropped with them.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    by_node: BTreeMap<NodeId, NodeTally>,
}

impl Tallies {
    /// Stores a tally, unless a newer one of the node is known. Returns whether it was stored.
    pub fn merge(&mut self, tally: NodeTally) -> bool {
        let known = self.by_node.get(&tally.node);
        if known.is_some_and(|known| known.order() >= tally.order()) {
            return false;
        }
        self.by_node.insert(tally.node, tally);
        true
    }

    /// Drops the tallies of other orders.
    pub fn retain_order(&mut self, order_revision: u64) {
        self.by_node
            .retain(|_, tally| tally.order_revision == order_revision);
    }

    /// Tally of one gate.
    pub fn get(&self, node: NodeId) -> Option<&NodeTally> {
        self.by_node.get(&node)
    }

    /// All tallies.
    pub fn iter(&self) -> impl Iterator<Item = &NodeTally> {
        self.by_node.values()
    }
}

/// Counts responses at the gate of one node, for the order of its service that is in force.
#[derive(Clone, Debug)]
pub struct GateCounter {
    tally: NodeTally,
    /// Times of the gate's clock at which the running requests began, summed, in microseconds.
    cold_until_us: u64,
}

impl GateCounter {
    /// Begins to count for an order.
    pub fn new(tally: NodeTally, cold_until_us: u64) -> Self {
        Self {
            tally,
            cold_until_us,
        }
    }

    /// Revision of the order that it counts for.
    pub fn order_revision(&self) -> u64 {
        self.tally.order_revision
    }

    /// Software version that it counts for.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        self.tally.version.as_ref()
    }

    /// Sets when the backend server ends its warm-up, in microseconds of the gate's clock.
    pub fn set_cold_until_us(&mut self, cold_until_us: u64) {
        self.cold_until_us = self.cold_until_us.max(cold_until_us);
    }

    /// Counts the response to a request that acquired its slot at `acquired_us` and held it for
    /// `service_time_us`.
    pub fn record(
        &mut self,
        resource: &ResourceName,
        succeeded: bool,
        acquired_us: u64,
        service_time_us: u64,
    ) {
        let was_warm = acquired_us >= self.cold_until_us;
        self.tally.busy_ms += service_time_us / 1_000;
        self.tally.record(
            resource,
            Answer {
                succeeded,
                service_time_us: was_warm.then_some(service_time_us),
            },
        );
    }

    /// The totals, as the next message of the gate.
    pub fn next_message(&mut self, now_us: u64, gate: GateState) -> NodeTally {
        self.tally.sequence += 1;
        self.tally.cold = now_us < self.cold_until_us;
        NodeTally {
            slots: gate.slots,
            in_flight: gate.in_flight,
            closed: gate.closed,
            ..self.tally.clone()
        }
    }
}

/// State of a gate when it reports its totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateState {
    /// Slots of the backend server.
    pub slots: u32,
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Whether the gate refuses every new request because of the roll-out.
    pub closed: bool,
}

/// Part of a gate in the comparison of versions.
pub fn role_of(tally: &NodeTally, candidate: &SoftwareVersion) -> VersionRole {
    match tally.version.as_ref() == Some(candidate) {
        true => VersionRole::Candidate,
        false => VersionRole::Established,
    }
}
