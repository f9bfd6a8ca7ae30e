//! What one entry has seen of one endpoint with its own calls.

use super::Endpoint;
use crate::core::names::ResourceName;

/// How long a reported load counts in full: some service times of short work.
const LOAD_FRESH_US: u64 = 200_000;
/// After so much longer it counts for nothing: what was in hand then has long become free.
const LOAD_DECAY_US: u64 = 800_000;

/// For so long the times that an endpoint has reported count in full.
const SERVICE_TIME_FRESH_US: u64 = 5_000_000;
/// After that they are taken for shorter and shorter, to a third in this time, so that an endpoint that was slow
/// for a moment is tried again.
const SERVICE_TIME_DECAY_US: f64 = 10_000_000.0;

/// Strikes that eject an endpoint. A lost connection is two, an answer of 5xx one; an answer
/// that is none clears them.
const ERROR_SCORE_MAX: u32 = 5;
const LOST_ERROR_SCORE: u32 = 2;
const EJECTION_FIRST_US: u64 = 1_000_000;
pub(super) const EJECTION_MAX_US: u64 = 30_000_000;

/// A draining endpoint is left alone for so long; by then gossip says the same.
const DRAINING_US: u64 = 5_000_000;

/// Gain of the running share of failures: one in so many.
const FAILURE_RATE_DIVISOR: f64 = 16.0;
/// A share of failures is forgotten at this pace, so that an endpoint that has recovered is found
/// out: to a third in this time.
const FAILURE_RATE_DECAY_US: f64 = 5_000_000.0;

/// Resources whose times are remembered for one endpoint: above those that a service has under
/// load; the oldest goes first.
const RESOURCES_MAX: usize = 16;

/// How an attempt ended, as far as it tells of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// An answer.
    Answered {
        /// Whether the backend server answered 5xx.
        server_error: bool,
    },
    /// Refused for load.
    Refused,
    /// Its backend server did not take it.
    Rejected,
    /// Refused because it is draining.
    Draining,
    /// Not reached.
    Unreachable,
    /// Connection lost, or no answer in time.
    Lost,
}

/// What a gate says of its backend server with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub in_use: u32,
    /// Waiting requests that would go before another one like the request that is answered.
    pub ahead: u32,
    /// Requests that run at a time.
    pub slots: u32,
    /// How long a request holds its slot on average, in microseconds; 0 before the first.
    pub mean_service_time_us: u64,
    /// The same for requests to the resource of the request that is answered.
    pub resource_service_time_us: u64,
    /// How long a large body takes to come in there, in microseconds, with its wait; 0 before the first.
    pub upload_time_us: u64,
}

/// What one entry has seen of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointStats {
    pub(super) incarnation_us: u64,
    pub(super) last_used_us: u64,
    pub(super) outstanding: u32,
    report: Option<ReceivedReport>,
    /// Time that a request holds a slot, by resource.
    resources: Vec<ResourceStats>,
    failure_rate: f64,
    failure_rate_updated_us: u64,
    error_score: u32,
    ejections: u32,
    ejected_until_us: u64,
    draining_until_us: u64,
}

/// How long a request to a resource holds a slot, and how many like it wait.
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
    /// Requests of this entry that were outstanding then.
    outstanding: u32,
}

/// How much a load still counts that was reported at `at_us`.
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
            draining_until_us: 0,
        }
    }

    /// Requests in hand at the endpoint: its own word while it is fresh, corrected by what this
    /// entry has begun and ended since, and never less than what this entry has there.
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
        // What was outstanding then is part of the report; what was begun since comes on top.
        let others = f64::from(report.load.in_use) + ahead - f64::from(report.outstanding);
        own + load_weight(now_us, report.received_us) * others.max(0.0)
    }

    /// How long ago it last said its load.
    pub(super) fn report_age_us(&self, now_us: u64) -> Option<u64> {
        let report = self.report.as_ref();
        report.map(|report| now_us.saturating_sub(report.received_us))
    }

    /// Slots, as last reported.
    pub(super) fn slots(&self) -> Option<u32> {
        let slots = self.report.as_ref().map(|report| report.load.slots);
        slots.filter(|slots| *slots > 0)
    }

    /// How long a request to `resource` holds a slot, as last reported; less if that is long ago.
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

    /// How long any request holds a slot, as last reported.
    pub(super) fn mean_service_time_us(&self) -> Option<u64> {
        let mean_us = self
            .report
            .as_ref()
            .map(|report| report.load.mean_service_time_us);
        mean_us.filter(|mean_us| *mean_us > 0)
    }

    /// How long a large body takes to come in, as last reported.
    pub(super) fn upload_time_us(&self) -> u64 {
        self.report
            .as_ref()
            .map_or(0, |report| report.load.upload_time_us)
    }

    /// Part of its requests that failed lately.
    pub(super) fn failure_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failure_rate_updated_us) as f64;
        self.failure_rate * (-age_us / FAILURE_RATE_DECAY_US).exp()
    }

    fn record_result(&mut self, now_us: u64, failed: bool) {
        let rate = self.failure_rate(now_us);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) / FAILURE_RATE_DIVISOR;
        self.failure_rate_updated_us = now_us;
    }

    fn eject(&mut self, now_us: u64) {
        let time_us = EJECTION_FIRST_US << self.ejections.min(5);
        self.ejections += 1;
        self.ejected_until_us = now_us + time_us.min(EJECTION_MAX_US);
        // When it comes back one more failure is enough, until it has given an answer.
        self.error_score = ERROR_SCORE_MAX - 1;
    }

    fn add_error_score(&mut self, now_us: u64, score: u32) {
        self.error_score += score;
        if self.error_score >= ERROR_SCORE_MAX {
            self.eject(now_us);
        }
    }

    /// Takes in how an attempt ended.
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
            }
            AttemptOutcome::Refused => (),
            AttemptOutcome::Rejected => self.record_result(now_us, true),
            AttemptOutcome::Draining => self.draining_until_us = now_us + DRAINING_US,
            AttemptOutcome::Unreachable => self.eject(now_us),
            AttemptOutcome::Lost => {
                self.record_result(now_us, true);
                self.add_error_score(now_us, LOST_ERROR_SCORE);
            }
        }
    }

    /// Takes in its own word of its load.
    pub(super) fn record_load(&mut self, now_us: u64, resource: &ResourceName, load: LoadReport) {
        self.report = Some(ReceivedReport {
            load,
            received_us: now_us,
            outstanding: self.outstanding,
        });
        if load.resource_service_time_us == 0 {
            return;
        }
        let resource_stats =
            self.record_service_time(now_us, resource, load.resource_service_time_us);
        resource_stats.ahead = load.ahead;
        resource_stats.ahead_updated_us = now_us;
    }

    /// Takes in its word of how long requests to `resource` hold a slot.
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

    pub(super) fn is_ejected(&self, now_us: u64) -> bool {
        self.ejected_until_us > now_us
    }

    pub(super) fn is_draining(&self, now_us: u64) -> bool {
        self.draining_until_us > now_us
    }
}
