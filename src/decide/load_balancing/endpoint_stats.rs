//! Statistics that an entry node, at which requests enter the mesh, keeps of one endpoint.
//!
//! They come from its own requests and from the load reports in their responses.

use super::Endpoint;
use super::rate_throttle::RateThrottle;
use crate::core::names::ResourceName;
use crate::decide::admission::Priority;

/// How long a load report counts in full, in microseconds: several service times of short requests.
const LOAD_FRESH_US: u64 = 200_000;
/// Additional time after which a load report counts for nothing, in microseconds. By then the requests
/// that it counted have ended.
const LOAD_DECAY_US: u64 = 800_000;

/// How long a reported service time counts in full, in microseconds.
const SERVICE_TIME_FRESH_US: u64 = 5_000_000;
/// Time constant of the exponential decay of a reported service time after that, in microseconds: to
/// about a third in this time. The decay makes sure that an endpoint that was slow for a moment is
/// tried again.
const SERVICE_TIME_DECAY_US: f64 = 10_000_000.0;

/// Error score at which an endpoint is ejected. A lost request adds [`LOST_ERROR_SCORE`] and a 5xx
/// response 1; any other response of the backend server resets the score.
const ERROR_SCORE_MAX: u32 = 5;
/// What a lost connection or a missing response adds to the error score.
const LOST_ERROR_SCORE: u32 = 2;
/// Duration of the first ejection, in microseconds. It doubles with each further one.
const EJECTION_FIRST_US: u64 = 1_000_000;
/// Maximum duration of an ejection, in microseconds.
pub(super) const EJECTION_MAX_US: u64 = 30_000_000;

/// How long an endpoint is avoided after it refused a request as draining, in microseconds. By then
/// gossip has spread that state.
const DRAINING_AVOIDED_US: u64 = 5_000_000;

/// Inverse of the weight of the newest sample in the failure rate.
const FAILURE_RATE_INVERSE_SAMPLE_WEIGHT: f64 = 16.0;
/// Time constant of the exponential decay of the failure rate, in microseconds: to about a third in this
/// time. The decay makes sure that a recovered endpoint is tried again.
const FAILURE_RATE_DECAY_US: f64 = 5_000_000.0;

/// Number of resources with statistics per endpoint: above the number that a service has under load. The
/// one that was added first is removed to make room.
const RESOURCES_MAX: usize = 16;

/// How an attempt ended, as far as that indicates the state of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server responded.
    Answered {
        /// Whether the status of the response was 5xx.
        server_error: bool,
    },
    /// The node refused the request, for load or another reason that is no fault of the endpoint.
    Refused,
    /// The node refused the request because its backend server limits the rate of requests.
    RateLimited,
    /// The backend server rejected the request without running it.
    Rejected,
    /// The node refused the request because its backend server is draining or no longer
    /// provides the service.
    Draining,
    /// The node could not be reached, or it could not reach its backend server.
    Unreachable,
    /// The connection was lost, or no response came in time.
    Lost,
}

/// Load of a backend server, which its node reports with each response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub in_use: u32,
    /// Waiting requests that would go before a new request like the answered one.
    pub ahead: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Mean service time of all requests, in microseconds; 0 before the first.
    pub mean_service_time_us: u64,
    /// Mean service time of requests for the resource of the answered request, in microseconds.
    pub resource_service_time_us: u64,
    /// Expected time to upload a large body, in microseconds, including the wait for the upload to
    /// start; 0 before the first.
    pub upload_time_us: u64,
    /// The rate limit of the backend server, if it has named one.
    pub rate: Option<RateReport>,
}

/// Rate limit of a backend server, as its node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateReport {
    /// Spacing of the requests that the limit permits, in microseconds.
    pub interval_us: u64,
    /// Time until the limit would permit a new request like the answered one, in microseconds.
    pub wait_us: u64,
}

/// Statistics of one endpoint, kept by one entry node.
#[derive(Clone, Debug)]
pub(super) struct EndpointStats {
    pub(super) incarnation_us: u64,
    pub(super) last_used_us: u64,
    pub(super) outstanding: u32,
    report: Option<ReceivedReport>,
    /// Statistics by resource, in the order in which they were added.
    resources: Vec<ResourceStats>,
    failure_rate: f64,
    failure_rate_updated_us: u64,
    error_score: u32,
    ejections: u32,
    ejected_until_us: u64,
    /// When it last accepted no connection.
    pub(super) unreachable_since_us: u64,
    /// Until when it is not used for that, unless there is no other.
    unreachable_until_us: u64,
    draining_until_us: u64,
    /// While the backend server limits the rate of requests.
    throttle: Option<RateThrottle>,
}

/// Service time of a resource, and the number of waiting requests that go before a new one for it.
#[derive(Clone, Debug)]
pub(super) struct ResourceStats {
    resource: ResourceName,
    service_time_us: u64,
    updated_us: u64,
    ahead: u32,
    ahead_updated_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    load: LoadReport,
    received_us: u64,
    /// Requests of this entry node that were outstanding when the report arrived.
    outstanding: u32,
}

/// Returns the weight, from 1 down to 0, of a load that was reported at `at_us`.
fn load_weight(now_us: u64, at_us: u64) -> f64 {
    let age_us = now_us.saturating_sub(at_us);
    let stale_us = age_us.saturating_sub(LOAD_FRESH_US) as f64;
    (1.0 - stale_us / LOAD_DECAY_US as f64).max(0.0)
}

impl EndpointStats {
    pub(super) fn new(now_us: u64, endpoint: &Endpoint) -> Self {
        Self {
            incarnation_us: endpoint.incarnation_us,
            last_used_us: now_us,
            outstanding: 0,
            report: None,
            resources: Vec::new(),
            failure_rate: 0.0,
            failure_rate_updated_us: now_us,
            error_score: 0,
            ejections: 0,
            ejected_until_us: 0,
            unreachable_since_us: 0,
            unreachable_until_us: 0,
            draining_until_us: 0,
            throttle: None,
        }
    }

    /// Estimates the requests running or waiting at the endpoint: the outstanding ones of this entry
    /// node, plus those of other entry nodes from the last load report, weighted by its age.
    pub(super) fn in_flight(&self, now_us: u64, resource: &ResourceName) -> f64 {
        let own = f64::from(self.outstanding);
        let Some(report) = &self.report else {
            return own;
        };
        let resource_stats = self
            .resources
            .iter()
            .find(|resource_stats| resource_stats.resource == *resource);
        let ahead = resource_stats.map_or(0.0, |resource_stats| {
            load_weight(now_us, resource_stats.ahead_updated_us) * f64::from(resource_stats.ahead)
        });
        // The report includes the requests that this entry node had outstanding when it arrived.
        let others = f64::from(report.load.in_use) + ahead - f64::from(report.outstanding);
        own + load_weight(now_us, report.received_us) * others.max(0.0)
    }

    /// Returns the age of the last load report.
    pub(super) fn report_age_us(&self, now_us: u64) -> Option<u64> {
        let report = self.report.as_ref();
        report.map(|report| now_us.saturating_sub(report.received_us))
    }

    /// Returns the number of slots in the last load report.
    pub(super) fn slots(&self) -> Option<u32> {
        let slots = self.report.as_ref().map(|report| report.load.slots);
        slots.filter(|slots| *slots > 0)
    }

    /// Returns the last reported service time of `resource`, decayed by its age.
    pub(super) fn service_time_us(&self, now_us: u64, resource: &ResourceName) -> Option<u64> {
        let resource_stats = self
            .resources
            .iter()
            .find(|resource_stats| resource_stats.resource == *resource)?;
        let age_us = now_us.saturating_sub(resource_stats.updated_us);
        let faded_us = age_us.saturating_sub(SERVICE_TIME_FRESH_US) as f64;
        let left = (-faded_us / SERVICE_TIME_DECAY_US).exp();
        Some((resource_stats.service_time_us as f64 * left) as u64)
    }

    /// Returns the last reported mean service time of all requests.
    pub(super) fn mean_service_time_us(&self) -> Option<u64> {
        let mean_us = self
            .report
            .as_ref()
            .map(|report| report.load.mean_service_time_us);
        mean_us.filter(|mean_us| *mean_us > 0)
    }

    /// Returns the last reported time to upload a large body.
    pub(super) fn upload_time_us(&self) -> u64 {
        self.report
            .as_ref()
            .map_or(0, |report| report.load.upload_time_us)
    }

    /// Returns the share of recent requests that failed, decayed by the time since the last one.
    pub(super) fn failure_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failure_rate_updated_us) as f64;
        self.failure_rate * (-age_us / FAILURE_RATE_DECAY_US).exp()
    }

    fn record_result(&mut self, now_us: u64, failed: bool) {
        let rate = self.failure_rate(now_us);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) / FAILURE_RATE_INVERSE_SAMPLE_WEIGHT;
        self.failure_rate_updated_us = now_us;
    }

    fn eject(&mut self, now_us: u64) {
        let time_us = EJECTION_FIRST_US << self.ejections.min(5);
        self.ejections += 1;
        self.ejected_until_us = now_us + time_us.min(EJECTION_MAX_US);
        // After the ejection a single error ejects the endpoint again, until a response resets the
        // score.
        self.error_score = ERROR_SCORE_MAX - 1;
    }

    fn add_error_score(&mut self, now_us: u64, score: u32) {
        self.error_score += score;
        if self.error_score >= ERROR_SCORE_MAX {
            self.eject(now_us);
        }
    }

    /// Updates the failure rate, the error score and the ejection by the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, now_us: u64, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered { server_error: true } => {
                self.record_result(now_us, true);
                self.add_error_score(now_us, 1);
            }
            AttemptOutcome::Answered { .. } => {
                self.record_result(now_us, false);
                self.error_score = 0;
                self.ejections = 0;
                self.unreachable_until_us = 0;
            }
            AttemptOutcome::Refused | AttemptOutcome::RateLimited => (),
            AttemptOutcome::Rejected => self.record_result(now_us, true),
            AttemptOutcome::Draining => self.draining_until_us = now_us + DRAINING_AVOIDED_US,
            AttemptOutcome::Unreachable => {
                self.eject(now_us);
                self.unreachable_since_us = now_us;
                self.unreachable_until_us = self.ejected_until_us;
            }
            AttemptOutcome::Lost => {
                self.record_result(now_us, true);
                self.add_error_score(now_us, LOST_ERROR_SCORE);
            }
        }
    }

    /// Records whether the rate limit of the backend server permitted a request.
    pub(super) fn record_rate(&mut self, now_us: u64, priority: Priority, outcome: AttemptOutcome) {
        let Some(throttle) = &mut self.throttle else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Rejected | AttemptOutcome::Lost => {
                throttle.record_admitted(now_us, priority);
            }
            AttemptOutcome::RateLimited => throttle.record_not_admitted(now_us, priority),
            AttemptOutcome::Refused | AttemptOutcome::Draining | AttemptOutcome::Unreachable => (),
        }
    }

    /// Whether a request is to be withheld because of the rate limit; `random` is uniform between 0 and 1.
    pub(super) fn withholds(&mut self, now_us: u64, priority: Priority, random: f64) -> bool {
        let Some(throttle) = &mut self.throttle else {
            return false;
        };
        let withheld = random < throttle.withhold_probability(now_us, priority);
        if withheld {
            throttle.record_not_admitted(now_us, priority);
        }
        withheld
    }

    /// Returns the time until the rate limit may permit a request, by the last load report; `None`
    /// without a limit.
    pub(super) fn rate_wait_us(&self, now_us: u64) -> Option<u64> {
        let report = self.report.as_ref()?;
        let rate = report.load.rate?;
        Some(
            rate.wait_us
                .saturating_sub(now_us.saturating_sub(report.received_us)),
        )
    }

    /// Records a load report that came with the response to a request for `resource`.
    pub(super) fn record_load(&mut self, now_us: u64, resource: &ResourceName, load: LoadReport) {
        self.report = Some(ReceivedReport {
            load,
            received_us: now_us,
            outstanding: self.outstanding,
        });
        self.throttle = load.rate.map(|_| {
            self.throttle
                .take()
                .unwrap_or_else(|| RateThrottle::new(now_us))
        });
        if load.resource_service_time_us == 0 {
            return;
        }
        let resource_stats =
            self.record_service_time(now_us, resource, load.resource_service_time_us);
        resource_stats.ahead = load.ahead;
        resource_stats.ahead_updated_us = now_us;
    }

    /// Records a reported service time of `resource`.
    pub(super) fn record_service_time(
        &mut self,
        now_us: u64,
        resource: &ResourceName,
        service_time_us: u64,
    ) -> &mut ResourceStats {
        let mut tracked = self.resources.iter();
        let position = match tracked.position(|resource_stats| resource_stats.resource == *resource)
        {
            Some(position) => position,
            None => {
                if self.resources.len() >= RESOURCES_MAX {
                    self.resources.remove(0);
                }
                self.resources.push(ResourceStats {
                    resource: resource.clone(),
                    service_time_us,
                    updated_us: now_us,
                    ahead: 0,
                    ahead_updated_us: now_us,
                });
                self.resources.len() - 1
            }
        };
        let resource_stats = &mut self.resources[position];
        resource_stats.service_time_us = service_time_us;
        resource_stats.updated_us = now_us;
        resource_stats
    }

    pub(super) fn is_unreachable(&self, now_us: u64) -> bool {
        self.unreachable_until_us > now_us
    }

    pub(super) fn is_ejected(&self, now_us: u64) -> bool {
        self.ejected_until_us > now_us
    }

    /// Ends the time in which the endpoint is avoided as draining.
    pub(super) fn record_return(&mut self) {
        self.draining_until_us = 0;
    }

    pub(super) fn is_draining(&self, now_us: u64) -> bool {
        self.draining_until_us > now_us
    }
}
