//! Which endpoint a request goes to.
//!
//! [`RankedEndpoints`] holds the endpoints of one service as one entry node ranks them. [`Balancer`] holds
//! what the entry has seen of endpoints with its own calls, which outweighs what gossip says.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use self::cost::Candidate;
use self::endpoint_stats::{EJECTION_MAX_US, EndpointStats};
use super::uploads::SMALL_BODY_MAX_BYTES;
use crate::core::configuration::Spill;
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::{Distance, Member, NodeId, Place};
use crate::core::names::ResourceName;

mod cost;
mod endpoint_stats;
mod free_slot_search;

pub use self::cost::TimeLimits;
pub use self::endpoint_stats::{AttemptOutcome, LoadReport};
pub use self::free_slot_search::FreeSlotSearch;

/// Endpoints of one service and distance that an entry uses at a time: each connection costs memory at both
/// ends, and a choice among few spreads load nearly as well as one among all.
const SUBSET_SIZE: usize = 8;

/// Spread of the noise that parts entries which see endpoints as equal; below the least
/// difference that matters, the crossing to another data centre.
const TIE_BREAK_NOISE: f64 = 0.004;

/// Length that an answer is taken to have before there was one: a short list.
const INITIAL_RESPONSE_BYTES: f64 = 2_000.0;
/// Gain of the running mean of lengths: one in so many.
const RESPONSE_BYTES_DIVISOR: f64 = 16.0;
/// Resources whose answers are measured: above those that a node calls under load.
const RESPONSE_RESOURCES_MAX: usize = 256;

/// Time that a request is taken to hold a slot before any endpoint has said it: short work.
const INITIAL_SERVICE_TIME_US: u64 = 20_000;

/// Endpoints remembered before the ones not used lately are forgotten.
const TRACKED_ENDPOINTS_MAX: usize = 2_048;

/// One endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its node.
    pub node: NodeId,
    /// Where to dial.
    pub address: SocketAddr,
    /// Start of its process, so that a restart is seen.
    pub incarnation_us: u64,
}

/// The endpoints of one service, by distance and then in the entry's own order.
#[derive(Clone, Debug, Default)]
pub struct RankedEndpoints {
    by_distance: [Vec<Endpoint>; 3],
}

impl RankedEndpoints {
    /// Adds a member as seen by the entry `entry_node` at `entry_place`.
    pub fn add(&mut self, entry_node: NodeId, entry_place: &Place, member: &Member) {
        let distance_index = entry_place.distance_to(&member.place) as usize;
        self.by_distance[distance_index].push(Endpoint {
            node: member.node,
            address: member.dial_address(entry_place),
            incarnation_us: member.incarnation_us,
        });
        // Rendezvous hashing: an endpoint that comes or goes changes one place of a few entries'
        // subsets and leaves all other connections as they are; the next in order is the spare.
        self.by_distance[distance_index]
            .sort_by_cached_key(|endpoint| Reverse(rendezvous_weight(entry_node, endpoint.node)));
    }

    /// Every endpoint, nearest first.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_distance.iter().flatten()
    }
}

fn rendezvous_weight(entry_node: NodeId, endpoint: NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entry_node, endpoint).hash(&mut hasher);
    hasher.finish()
}

/// What a request needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// How far away it may run.
    pub spill: Spill,
    /// Slots of an endpoint that has not said how many it has.
    pub default_slots: u32,
    /// What it asks for.
    pub resource: &'a ResourceName,
    /// Until when its answer is of use.
    pub limits: TimeLimits,
    /// Length of its body.
    pub body_bytes: u64,
    /// Endpoints that have failed it before.
    pub tried: &'a [NodeId],
}

/// What an entry believes of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEstimate {
    /// Requests that are running or waiting there.
    pub in_flight: f64,
    /// Requests that run there at a time.
    pub slots: f64,
    /// How long a request to the same resource holds a slot there, in microseconds, if it has said so
    /// lately.
    pub service_time_us: Option<u64>,
    /// Part of its requests that failed lately.
    pub failure_rate: f64,
    /// How long ago it last said its load, in microseconds; none if never.
    pub report_age_us: Option<u64>,
}

/// Which endpoints are looked at.
#[derive(Clone, Copy)]
struct EndpointFilter<'a> {
    /// Not these.
    tried: &'a [NodeId],
    /// Also those that are thought to be draining.
    include_draining: bool,
}

/// What one entry has seen of endpoints. Times are microseconds of any steady clock.
#[derive(Debug, Default)]
pub struct Balancer {
    switches: MechanismSwitches,
    stats_by_node: HashMap<NodeId, EndpointStats>,
    /// Mean length of answers, by resource.
    response_bytes: HashMap<ResourceName, f64>,
}

impl Balancer {
    /// Nothing seen yet.
    pub fn new(switches: MechanismSwitches) -> Self {
        Self {
            switches,
            ..Self::default()
        }
    }

    /// Picks the endpoint that is likely to serve the request best; see [`cost`].
    ///
    /// Reports are some answers old, and many entries go by the same ones. So each counts what it has sent there
    /// since, and a little noise parts those that see endpoints as equal. An endpoint that failed this request
    /// is asked again only if there is no other.
    pub fn choose(
        &mut self,
        now_us: u64,
        ranked: &RankedEndpoints,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let filter = EndpointFilter {
            tried: requirements.tried,
            include_draining: false,
        };
        let mut choose_filtered =
            |filter| self.choose_matching(now_us, ranked, requirements, filter, rng);
        choose_filtered(filter)
            .or_else(|| {
                choose_filtered(EndpointFilter {
                    tried: &[],
                    ..filter
                })
            })
            // It may have been told to serve again since it refused.
            .or_else(|| {
                choose_filtered(EndpointFilter {
                    tried: &[],
                    include_draining: true,
                })
            })
    }

    fn choose_matching(
        &self,
        now_us: u64,
        ranked: &RankedEndpoints,
        requirements: &Requirements<'_>,
        filter: EndpointFilter<'_>,
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let distances_allowed = match requirements.spill {
            Spill::DataCentre => 1,
            Spill::Region => 2,
            Spill::Mesh => 3,
        };
        let service_time_us = self.default_service_time_us(now_us, ranked, requirements);
        let size_kb = self.size_kb(requirements);
        let distances = [Distance::DataCentre, Distance::Region, Distance::Mesh];
        let reachable = ranked
            .by_distance
            .iter()
            .zip(distances)
            .take(distances_allowed);
        let mut best = None;
        let mut lowest_cost = f64::INFINITY;
        for (endpoints, distance) in reachable {
            for endpoint in self.eligible_endpoints(now_us, endpoints, filter) {
                let candidate =
                    self.candidate(now_us, endpoint, distance, requirements, service_time_us);
                let candidate = Candidate {
                    size_kb,
                    ..candidate
                };
                let cost = cost::of_candidate(&candidate, requirements.limits, self.switches)
                    + rng.random_range(0.0..TIE_BREAK_NOISE);
                if cost < lowest_cost {
                    lowest_cost = cost;
                    best = Some(*endpoint);
                }
            }
        }
        best
    }

    /// How long a request like this one is taken to hold a slot where that is not known: between the shortest
    /// known time and the mean of those known.
    ///
    /// An entry that has found a fast endpoint goes on using it. Were unknown endpoints taken for quicker, an
    /// entry with few requests would spend most of them on finding out, and half of those on slow endpoints.
    fn default_service_time_us(
        &self,
        now_us: u64,
        ranked: &RankedEndpoints,
        requirements: &Requirements<'_>,
    ) -> u64 {
        let stats = ranked
            .iter()
            .filter_map(|e| self.stats_by_node.get(&e.node));
        let known_times =
            stats.filter_map(|stats| stats.service_time_us(now_us, requirements.resource));
        let (mut sum_us, mut count, mut shortest_us) = (0, 0, u64::MAX);
        for service_time_us in known_times {
            sum_us += service_time_us;
            count += 1;
            shortest_us = shortest_us.min(service_time_us);
        }
        match count {
            0 => INITIAL_SERVICE_TIME_US,
            _ => shortest_us.midpoint(sum_us / count),
        }
    }

    fn candidate(
        &self,
        now_us: u64,
        endpoint: &Endpoint,
        distance: Distance,
        requirements: &Requirements<'_>,
        default_service_time_us: u64,
    ) -> Candidate {
        let stats = self.stats_by_node.get(&endpoint.node);
        let stats = stats.filter(|stats| stats.incarnation_us == endpoint.incarnation_us);
        let service_time_us =
            stats.and_then(|stats| stats.service_time_us(now_us, requirements.resource));
        let outstanding = stats.map_or(0, |stats| stats.outstanding);
        let unmeasured_outstanding = service_time_us.is_none().then_some(outstanding);
        let service_time_us = service_time_us.unwrap_or(default_service_time_us);
        let mean_service_time_us = stats
            .and_then(EndpointStats::mean_service_time_us)
            .unwrap_or(service_time_us);
        let slots = stats
            .and_then(EndpointStats::slots)
            .unwrap_or(requirements.default_slots);
        Candidate {
            distance,
            in_flight: stats.map_or(0.0, |stats| stats.in_flight(now_us, requirements.resource)),
            slots: f64::from(slots),
            service_time_us: service_time_us as f64,
            mean_service_time_us: mean_service_time_us as f64,
            failure_rate: stats.map_or(0.0, |stats| stats.failure_rate(now_us)),
            unmeasured_outstanding: f64::from(unmeasured_outstanding.unwrap_or(0)),
            upload_time_us: self.upload_time_us(stats, requirements),
            size_kb: 0.0,
        }
    }

    /// How long the body of the request takes to come in.
    fn upload_time_us(
        &self,
        stats: Option<&EndpointStats>,
        requirements: &Requirements<'_>,
    ) -> f64 {
        match requirements.body_bytes > SMALL_BODY_MAX_BYTES {
            true => stats.map_or(0.0, |stats| stats.upload_time_us() as f64),
            false => 0.0,
        }
    }

    fn size_kb(&self, requirements: &Requirements<'_>) -> f64 {
        let mean_bytes = self.response_bytes.get(requirements.resource);
        let mean_bytes = mean_bytes.copied().unwrap_or(INITIAL_RESPONSE_BYTES);
        (requirements.body_bytes as f64 + mean_bytes) / 1_000.0
    }

    /// What this entry goes by when it weighs `endpoint`; for whoever explains the choice.
    pub fn estimate(
        &self,
        now_us: u64,
        endpoint: &Endpoint,
        requirements: &Requirements<'_>,
    ) -> EndpointEstimate {
        let candidate = self.candidate(
            now_us,
            endpoint,
            Distance::DataCentre,
            requirements,
            INITIAL_SERVICE_TIME_US,
        );
        let stats = self.stats_by_node.get(&endpoint.node);
        EndpointEstimate {
            in_flight: candidate.in_flight,
            slots: candidate.slots,
            service_time_us: stats
                .and_then(|stats| stats.service_time_us(now_us, requirements.resource)),
            failure_rate: candidate.failure_rate,
            report_age_us: stats.and_then(|stats| stats.report_age_us(now_us)),
        }
    }

    /// An answer for `resource` is so long.
    pub fn record_response_size(&mut self, resource: &ResourceName, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.response_bytes.get_mut(resource) {
            *mean += (bytes - *mean) / RESPONSE_BYTES_DIVISOR;
        } else if self.response_bytes.len() < RESPONSE_RESOURCES_MAX {
            self.response_bytes.insert(resource.clone(), bytes);
        }
    }

    /// The request goes to `endpoint`.
    pub fn record_start(&mut self, now_us: u64, endpoint: &Endpoint) {
        if self.stats_by_node.len() >= TRACKED_ENDPOINTS_MAX {
            let cutoff_us = now_us.saturating_sub(EJECTION_MAX_US);
            let is_kept =
                |stats: &EndpointStats| stats.outstanding > 0 || stats.last_used_us > cutoff_us;
            self.stats_by_node.retain(|_, stats| is_kept(stats));
        }
        let stats = self.stats_mut(now_us, endpoint);
        stats.outstanding += 1;
        stats.last_used_us = now_us;
    }

    /// The request no longer occupies the endpoint.
    pub fn record_end(&mut self, node: NodeId) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.outstanding = stats.outstanding.saturating_sub(1);
        }
    }

    /// The endpoint reported its load with an answer to a request for `resource`.
    pub fn record_load(
        &mut self,
        now_us: u64,
        node: NodeId,
        resource: &ResourceName,
        load: LoadReport,
    ) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.record_load(now_us, resource, load);
        }
    }

    /// The endpoint reported, with an answer to another request, how long requests for `resource` hold a slot.
    pub fn record_service_time(
        &mut self,
        now_us: u64,
        node: NodeId,
        resource: &ResourceName,
        service_time_us: u64,
    ) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.record_service_time(now_us, resource, service_time_us);
        }
    }

    /// An attempt ended.
    pub fn record_outcome(&mut self, now_us: u64, node: NodeId, outcome: AttemptOutcome) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.record_outcome(now_us, outcome);
        }
    }

    /// Whether an endpoint is left out for now.
    pub fn is_ejected(&self, now_us: u64, node: NodeId) -> bool {
        let stats = self.stats_by_node.get(&node);
        stats.is_some_and(|stats| stats.is_ejected(now_us))
    }

    /// The part of a ring that may be used, in the entry's order: endpoints that fail or are slow are left out. With
    /// more than half left out the fault is hardly the endpoints' own, so all are used.
    fn eligible_endpoints<'a>(
        &self,
        now_us: u64,
        endpoints: &'a [Endpoint],
        filter: EndpointFilter<'_>,
    ) -> Vec<&'a Endpoint> {
        let max_count = match self.switches.is_enabled(Mechanism::Subset) {
            true => SUBSET_SIZE,
            false => endpoints.len(),
        };
        let ejection_enabled = self.switches.is_enabled(Mechanism::Ejection);
        let mut eligible = Vec::with_capacity(max_count.min(endpoints.len()));
        let mut matching = Vec::with_capacity(max_count.min(endpoints.len()));
        for endpoint in endpoints {
            let stats = self.stats_by_node.get(&endpoint.node);
            let stats = stats.filter(|stats| stats.incarnation_us == endpoint.incarnation_us);
            let draining = stats.is_some_and(|stats| stats.is_draining(now_us));
            let draining_excluded = draining && !filter.include_draining;
            if draining_excluded || filter.tried.contains(&endpoint.node) {
                continue;
            }
            if matching.len() < max_count {
                matching.push(endpoint);
            }
            if !ejection_enabled || stats.is_none_or(|stats| !stats.is_ejected(now_us)) {
                eligible.push(endpoint);
            }
            if eligible.len() == max_count {
                return eligible;
            }
        }
        if eligible.len() * 2 < matching.len() {
            matching
        } else {
            eligible
        }
    }

    fn stats_mut(&mut self, now_us: u64, endpoint: &Endpoint) -> &mut EndpointStats {
        let stats = self.stats_by_node.entry(endpoint.node);
        let stats = stats.or_insert_with(|| EndpointStats::new(now_us, endpoint));
        if stats.incarnation_us != endpoint.incarnation_us {
            // Another process has the address now: nothing of the old one holds for it.
            let outstanding = stats.outstanding;
            *stats = EndpointStats::new(now_us, endpoint);
            stats.outstanding = outstanding;
        }
        stats
    }
}
