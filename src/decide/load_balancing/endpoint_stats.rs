//! What one entry has seen of one endpoint with its own calls.

use super::Endpoint;
use crate::core::names::ResourceName;

/// How long a reported load counts in full: some service times of short work.
const LOAD_FRESH_US: u64 = 200_000;
/// After so much longer it counts for nothing: what was in hand then has long become free.
const LOAD_FADES_US: u64 = 800_000;

/// For so long the times that an endpoint has reported count in full.
const HELD_FRESH_US: u64 = 5_000_000;
/// After that they are taken for shorter and shorter, to a third in this time, so that an endpoint that was slow
/// for a moment is tried again.
const HELD_FADES_US: f64 = 10_000_000.0;

/// Strikes that eject an endpoint. A lost connection is two, an answer of 5xx one; an answer
/// that is none clears them.
const STRIKES_MAX: u32 = 5;
const STRIKES_LOST: u32 = 2;
const EJECTED_FIRST_US: u64 = 1_000_000;
pub(super) const EJECTED_MOST_US: u64 = 30_000_000;

/// A draining endpoint is left alone for so long; by then gossip says the same.
const DRAINING_US: u64 = 5_000_000;

/// Gain of the running share of failures: one in so many.
const FAILING_DIVISOR: f64 = 16.0;
/// A share of failures is forgotten at this pace, so that an endpoint that has recovered is found
/// out: to a third in this time.
const FAILING_FORGOTTEN_US: f64 = 5_000_000.0;

/// Resources whose times are remembered for one endpoint: above those that a service has under
/// load; the oldest goes first.
const RESOURCES_MAX: usize = 16;

/// How an attempt ended, as far as it tells of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
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
    pub mean_held_us: u64,
    /// The same for requests to the resource of the request that is answered.
    pub resource_held_us: u64,
    /// How long a large body takes to come in there, in microseconds, with its wait; 0 before the first.
    pub intake_us: u64,
}

/// What one entry has seen of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub(super) incarnation_us: u64,
    pub(super) used_us: u64,
    pub(super) outstanding: u32,
    report: Option<Reported>,
    /// Time that a request holds a slot, by resource.
    held: Vec<Held>,
    failing: f64,
    failing_at_us: u64,
    strikes: u32,
    ejections: u32,
    ejected_until_us: u64,
    draining_until_us: u64,
}

/// How long a request to a resource holds a slot, and how many like it wait.
#[derive(Clone, Debug)]
pub(super) struct Held {
    resource: ResourceName,
    held_us: u64,
    at_us: u64,
    ahead: u32,
    ahead_at_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    load: LoadReport,
    at_us: u64,
    /// Requests of this entry that were outstanding then.
    outstanding: u32,
}

/// How much a load still counts that was reported at `at_us`.
fn counts(now_us: u64, at_us: u64) -> f64 {
    let age_us = now_us.saturating_sub(at_us);
    let stale_us = age_us.saturating_sub(LOAD_FRESH_US) as f64;
    (1.0 - stale_us / LOAD_FADES_US as f64).max(0.0)
}

impl Seen {
    pub(super) fn new(now_us: u64, endpoint: &Endpoint) -> Self {
        Self {
            incarnation_us: endpoint.incarnation_us,
            used_us: now_us,
            outstanding: 0,
            report: None,
            held: Vec::new(),
            failing: 0.0,
            failing_at_us: now_us,
            strikes: 0,
            ejections: 0,
            ejected_until_us: 0,
            draining_until_us: 0,
        }
    }

    /// Requests in hand at the endpoint: its own word while it is fresh, corrected by what this
    /// entry has begun and ended since, and never less than what this entry has there.
    pub(super) fn in_hand(&self, now_us: u64, resource: &ResourceName) -> f64 {
        let own = f64::from(self.outstanding);
        let Some(report) = &self.report else {
            return own;
        };
        let held = self.held.iter().find(|held| held.resource == *resource);
        let ahead = held.map_or(0.0, |held| {
            counts(now_us, held.ahead_at_us) * f64::from(held.ahead)
        });
        // What was outstanding then is part of the report; what was begun since comes on top.
        let others = f64::from(report.load.in_use) + ahead - f64::from(report.outstanding);
        own + counts(now_us, report.at_us) * others.max(0.0)
    }

    /// How long ago it last said its load.
    pub(super) fn report_age_us(&self, now_us: u64) -> Option<u64> {
        let report = self.report.as_ref();
        report.map(|report| now_us.saturating_sub(report.at_us))
    }

    /// Slots, as last reported.
    pub(super) fn slots(&self) -> Option<u32> {
        let slots = self.report.as_ref().map(|report| report.load.slots);
        slots.filter(|slots| *slots > 0)
    }

    /// How long a request to `resource` holds a slot, as last reported; less if that is long ago.
    pub(super) fn held_us(&self, now_us: u64, resource: &ResourceName) -> Option<u64> {
        let held = self.held.iter().find(|held| held.resource == *resource)?;
        let age_us = now_us.saturating_sub(held.at_us);
        let faded_us = age_us.saturating_sub(HELD_FRESH_US) as f64;
        let left = (-faded_us / HELD_FADES_US).exp();
        Some((held.held_us as f64 * left) as u64)
    }

    /// How long any request holds a slot, as last reported.
    pub(super) fn mean_held_us(&self) -> Option<u64> {
        let mean_us = self.report.as_ref().map(|report| report.load.mean_held_us);
        mean_us.filter(|mean_us| *mean_us > 0)
    }

    /// How long a large body takes to come in, as last reported.
    pub(super) fn intake_us(&self) -> u64 {
        self.report
            .as_ref()
            .map_or(0, |report| report.load.intake_us)
    }

    /// Part of its requests that failed lately.
    pub(super) fn failing(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failing_at_us) as f64;
        self.failing * (-age_us / FAILING_FORGOTTEN_US).exp()
    }

    fn learn_failing(&mut self, now_us: u64, failed: bool) {
        let known = self.failing(now_us);
        let now = if failed { 1.0 } else { 0.0 };
        self.failing = known + (now - known) / FAILING_DIVISOR;
        self.failing_at_us = now_us;
    }

    fn eject(&mut self, now_us: u64) {
        let time_us = EJECTED_FIRST_US << self.ejections.min(5);
        self.ejections += 1;
        self.ejected_until_us = now_us + time_us.min(EJECTED_MOST_US);
        // When it comes back one more failure is enough, until it has given an answer.
        self.strikes = STRIKES_MAX - 1;
    }

    fn strike(&mut self, now_us: u64, strikes: u32) {
        self.strikes += strikes;
        if self.strikes >= STRIKES_MAX {
            self.eject(now_us);
        }
    }

    /// Takes in how an attempt ended.
    pub(super) fn observe(&mut self, now_us: u64, observed: Observed) {
        match observed {
            Observed::Answered { server_error: true } => {
                self.learn_failing(now_us, true);
                self.strike(now_us, 1);
            }
            Observed::Answered { .. } => {
                self.learn_failing(now_us, false);
                self.strikes = 0;
                self.ejections = 0;
            }
            Observed::Refused => (),
            Observed::Rejected => self.learn_failing(now_us, true),
            Observed::Draining => self.draining_until_us = now_us + DRAINING_US,
            Observed::Unreachable => self.eject(now_us),
            Observed::Lost => {
                self.learn_failing(now_us, true);
                self.strike(now_us, STRIKES_LOST);
            }
        }
    }

    /// Takes in its own word of its load.
    pub(super) fn report(&mut self, now_us: u64, resource: &ResourceName, load: LoadReport) {
        self.report = Some(Reported {
            load,
            at_us: now_us,
            outstanding: self.outstanding,
        });
        if load.resource_held_us == 0 {
            return;
        }
        let held = self.learn_held(now_us, resource, load.resource_held_us);
        held.ahead = load.ahead;
        held.ahead_at_us = now_us;
    }

    /// Takes in its word of how long requests to `resource` hold a slot.
    pub(super) fn learn_held(
        &mut self,
        now_us: u64,
        resource: &ResourceName,
        held_us: u64,
    ) -> &mut Held {
        let mut known = self.held.iter();
        let position = match known.position(|held| held.resource == *resource) {
            Some(position) => position,
            None => {
                if self.held.len() >= RESOURCES_MAX {
                    self.held.remove(0);
                }
                self.held.push(Held {
                    resource: resource.clone(),
                    held_us,
                    at_us: now_us,
                    ahead: 0,
                    ahead_at_us: now_us,
                });
                self.held.len() - 1
            }
        };
        let held = &mut self.held[position];
        held.held_us = held_us;
        held.at_us = now_us;
        held
    }

    pub(super) fn is_ejected(&self, now_us: u64) -> bool {
        self.ejected_until_us > now_us
    }

    pub(super) fn is_draining(&self, now_us: u64) -> bool {
        self.draining_until_us > now_us
    }
}
