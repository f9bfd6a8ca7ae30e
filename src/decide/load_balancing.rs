//! Load balancing: an entry node chooses the endpoint of a service that a request is sent to.
//!
//! An entry node is the node at which a request enters the mesh. [`RankedEndpoints`] holds the
//! endpoints of one service in the order of one entry node. [`Balancer`] holds what the entry node has
//! measured of endpoints with its own requests, which takes precedence over their state in gossip.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use self::cost::Candidate;
use self::endpoint_stats::{EJECTION_MAX_US, EndpointStats};
use super::admission::Priority;
use super::uploads::SMALL_BODY_MAX_BYTES;
use crate::core::configuration::Spill;
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::{Distance, NodeId};
use crate::core::names::ResourceName;

mod cost;
mod endpoint_stats;
mod free_slot_search;
mod ranked_endpoints;
mod rate_throttle;
mod requirements;
mod version_set;

pub use self::cost::TimeLimits;
pub use self::endpoint_stats::{AttemptOutcome, LoadReport, RateReport};
pub use self::free_slot_search::FreeSlotSearch;
pub use self::ranked_endpoints::{Endpoint, RankedEndpoints};
pub use self::requirements::{EndpointEstimate, Requirements};
pub use self::version_set::{VersionIndex, VersionSet, Versions};

/// Number of endpoints per service and distance that an entry node uses. Each connection costs memory at
/// both ends, and a choice among a few endpoints spreads load nearly as well as a choice among all.
const SUBSET_SIZE: usize = 8;

/// Maximum random cost, which spreads the requests of entry nodes over endpoints of equal cost. It is
/// below the smallest cost difference that matters, the transfer to another data centre.
const TIE_BREAK_NOISE: f64 = 0.004;

/// Assumed length of a response for a resource without measurements, in bytes: that of a short list.
const INITIAL_RESPONSE_BYTES: f64 = 2_000.0;
/// Inverse of the weight of the newest sample in the mean response length.
const RESPONSE_BYTES_INVERSE_SAMPLE_WEIGHT: f64 = 16.0;
/// Number of resources whose response length is measured: above the number that a node requests under
/// load.
const RESPONSE_RESOURCES_MAX: usize = 256;

/// Assumed service time before any endpoint has reported one, in microseconds: that of short requests.
const INITIAL_SERVICE_TIME_US: u64 = 20_000;

/// Number of endpoints with statistics above which those not used recently are removed.
const TRACKED_ENDPOINTS_MAX: usize = 2_048;

/// Which endpoints are considered for a request.
#[derive(Clone, Copy)]
struct EndpointFilter<'a> {
    /// Endpoints to exclude.
    tried: &'a [NodeId],
    /// Endpoints from which the request is withheld because of their rate limits.
    withheld: &'a [NodeId],
    /// Whether endpoints that recently refused requests as draining are included.
    include_draining: bool,
    /// Whether endpoints that recently accepted no connection are included.
    include_unreachable: bool,
    /// Software versions to include.
    versions: VersionSet,
    /// Nodes to include; `None` for all.
    only: Option<&'a [NodeId]>,
}

/// Measurements of endpoints by one entry node. Times are microseconds of any monotonic clock.
#[derive(Debug, Default)]
pub struct Balancer {
    switches: MechanismSwitches,
    stats_by_node: HashMap<NodeId, EndpointStats>,
    /// Mean length of responses, by resource.
    response_bytes: HashMap<ResourceName, f64>,
}

impl Balancer {
    /// Returns a balancer without measurements.
    pub fn new(switches: MechanismSwitches) -> Self {
        Self {
            switches,
            ..Self::default()
        }
    }

    /// Chooses the endpoint with the lowest expected cost for the request; see [`cost`].
    ///
    /// Load reports arrive only with responses, and many entry nodes act on the same reports. So an
    /// entry node adds the requests that it has sent since the report, and a little random noise
    /// breaks ties. An endpoint at which the request has failed is chosen again only if there is no
    /// other. One whose backend server limits the rate of requests is left out for a part of them, so
    /// there may be none for a request; see [`Self::rate_limit_wait_us`].
    pub fn choose(
        &mut self,
        now_us: u64,
        ranked: &RankedEndpoints,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let mut withheld = Vec::new();
        loop {
            let endpoint =
                self.choose_unless_withheld(now_us, ranked, requirements, &withheld, rng)?;
            if !self.is_withheld(now_us, endpoint.node, requirements.priority, rng) {
                return Some(endpoint);
            }
            withheld.push(endpoint.node);
        }
    }

    /// Whether a request is not to be sent to an endpoint because its backend server limits the rate.
    fn is_withheld(
        &mut self,
        now_us: u64,
        node: NodeId,
        priority: Priority,
        rng: &mut impl Rng,
    ) -> bool {
        let stats = self.stats_by_node.get_mut(&node);
        stats.is_some_and(|stats| stats.withholds(now_us, priority, rng.random()))
    }

    /// Returns the time after which the rate limit of an endpoint may permit a request, in microseconds;
    /// `None` if no endpoint has a rate limit.
    pub fn rate_limit_wait_us(&self, now_us: u64, ranked: &RankedEndpoints) -> Option<u64> {
        let stats = ranked
            .iter()
            .filter_map(|endpoint| self.stats_by_node.get(&endpoint.node));
        stats.filter_map(|stats| stats.rate_wait_us(now_us)).min()
    }

    fn choose_unless_withheld(
        &self,
        now_us: u64,
        ranked: &RankedEndpoints,
        requirements: &Requirements<'_>,
        withheld: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let filter = EndpointFilter {
            tried: requirements.tried,
            withheld,
            include_draining: false,
            include_unreachable: false,
            versions: requirements.versions,
            only: requirements.only,
        };
        let mut choose_filtered =
            |filter| self.choose_matching(now_us, ranked, requirements, filter, rng);
        choose_filtered(filter)
            .or_else(|| {
                choose_filtered(EndpointFilter {
                    include_unreachable: true,
                    ..filter
                })
            })
            .or_else(|| {
                choose_filtered(EndpointFilter {
                    tried: &[],
                    include_unreachable: true,
                    ..filter
                })
            })
            // The endpoint may accept requests again since it refused one as draining.
            .or_else(|| {
                choose_filtered(EndpointFilter {
                    tried: &[],
                    include_draining: true,
                    include_unreachable: true,
                    ..filter
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

    /// Returns the service time to assume for endpoints without a measurement: midway between the
    /// shortest measured time and the mean of the measured times.
    ///
    /// With this value an entry node that has found a fast endpoint keeps using it. With a shorter
    /// value, an entry node with few requests would spend most of them on measuring endpoints, and
    /// half of those on slow ones.
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
            rate_wait_us: stats
                .and_then(|stats| stats.rate_wait_us(now_us))
                .map_or(0.0, |wait_us| wait_us as f64),
            size_kb: 0.0,
        }
    }

    /// Returns the expected upload time of the request body; 0 if the body is small or nothing is
    /// reported.
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

    /// Returns the estimate that [`Self::choose`] uses for `endpoint`, so that the choice can be logged.
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

    /// Records the length of a response for `resource`.
    pub fn record_response_size(&mut self, resource: &ResourceName, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.response_bytes.get_mut(resource) {
            *mean += (bytes - *mean) / RESPONSE_BYTES_INVERSE_SAMPLE_WEIGHT;
        } else if self.response_bytes.len() < RESPONSE_RESOURCES_MAX {
            self.response_bytes.insert(resource.clone(), bytes);
        }
    }

    /// Records that a request is sent to `endpoint`.
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

    /// Records that a request no longer occupies the endpoint.
    pub fn record_end(&mut self, node: NodeId) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.outstanding = stats.outstanding.saturating_sub(1);
        }
    }

    /// Records a load report that came with the response to a request for `resource`.
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

    /// Records the service time of `resource` that came with the response to a request for another
    /// resource.
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

    /// Records the outcome of an attempt, which may eject the endpoint.
    pub fn record_outcome(
        &mut self,
        now_us: u64,
        node: NodeId,
        priority: Priority,
        outcome: AttemptOutcome,
    ) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.record_outcome(now_us, outcome);
            stats.record_rate(now_us, priority, outcome);
        }
    }

    /// Returns the endpoints that are avoided because they refused a request as draining.
    pub fn draining(&self, now_us: u64) -> Vec<NodeId> {
        let stats = self.stats_by_node.iter();
        stats
            .filter(|(_, stats)| stats.is_draining(now_us))
            .map(|(node, _)| *node)
            .collect()
    }

    /// Records that an endpoint accepts requests again.
    pub fn record_return(&mut self, node: NodeId) {
        if let Some(stats) = self.stats_by_node.get_mut(&node) {
            stats.record_return();
        }
    }

    /// Whether an endpoint is ejected at `now_us`.
    pub fn is_ejected(&self, now_us: u64, node: NodeId) -> bool {
        let stats = self.stats_by_node.get(&node);
        stats.is_some_and(|stats| stats.is_ejected(now_us))
    }

    /// Returns the subset of the endpoints of one distance that may be used, in the order of the entry
    /// node. The next endpoints in that order replace ejected ones. If that leaves less than half of
    /// the subset, the cause of the failures is probably not in the endpoints, so ejected ones are used
    /// as well. Of unreachable ones only the one that was found so the longest time ago is returned, if all are.
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
        let mut unreachable = Vec::new();
        for endpoint in endpoints {
            let stats = self.stats_by_node.get(&endpoint.node);
            let stats = stats.filter(|stats| stats.incarnation_us == endpoint.incarnation_us);
            let is_included = filter.only.is_none_or(|only| only.contains(&endpoint.node));
            if !filter.versions.contains(endpoint.version) || !is_included {
                continue;
            }
            let draining = stats.is_some_and(|stats| stats.is_draining(now_us));
            let draining_excluded = draining && !filter.include_draining;
            let is_excluded =
                filter.tried.contains(&endpoint.node) || filter.withheld.contains(&endpoint.node);
            let is_unreachable =
                ejection_enabled && stats.is_some_and(|stats| stats.is_unreachable(now_us));
            let unreachable_excluded = is_unreachable && !filter.include_unreachable;
            if draining_excluded || unreachable_excluded || is_excluded {
                continue;
            }
            if is_unreachable {
                unreachable.push(endpoint);
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
        if matching.is_empty() {
            let unreachable_since = |endpoint: &&&Endpoint| {
                let stats = self.stats_by_node.get(&endpoint.node);
                stats.map_or(0, |stats| stats.unreachable_since_us)
            };
            let oldest = unreachable.iter().min_by_key(unreachable_since);
            return oldest.copied().into_iter().collect();
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
            // Another process has the address now, so the statistics of the old one do not apply.
            let outstanding = stats.outstanding;
            *stats = EndpointStats::new(now_us, endpoint);
            stats.outstanding = outstanding;
        }
        stats
    }
}
