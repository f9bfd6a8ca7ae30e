//! What a lead knows of the roll-out of one service from the reports of its gates.
//!
//! After a freeze of the process this is out of date: gates have restarted, and the reports that waited
//! in the sockets are from different times. So [`Evidence::restart`] begins anew, and the reports that
//! arrive first are not used, see [`ReportTime`].

use super::comparison::{Comparison, Condemnation};
use super::plan::Situation;
use super::policy::{VersionPolicy, VersionRole};
use super::tally::{NodeTally, Tallies};
use crate::core::member::{BackendState, Liveness, Member, VIEW_COMPLETE_AFTER_MS};
use crate::core::names::ServiceName;
use crate::core::rollout::{RolloutPhase, RolloutRecord};
use crate::decide::freeze::Epoch;

/// Span over which the demand for slots is measured, in milliseconds.
const DEMAND_SPAN_MS: u64 = 2_000;

/// Time after a freeze within which reports from before it may still arrive, in milliseconds. Senders
/// give a report up after this time.
const OLD_REPORTS_MS: u64 = 1_000;

/// Since when this process has received current reports. Times are arguments, in milliseconds since its
/// start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportTime {
    epoch: Epoch,
    /// First tick of the epoch; 0 in the first one.
    begun_ms: u64,
}

impl ReportTime {
    /// Sets the epoch. Returns whether a freeze has begun a new one, so that all evidence is to be
    /// restarted.
    pub fn set_epoch(&mut self, now_ms: u64, epoch: Epoch) -> bool {
        if self.epoch == epoch {
            return false;
        }
        *self = Self {
            epoch,
            begun_ms: now_ms,
        };
        true
    }

    /// Whether a report that arrives now was sent after the last freeze.
    pub fn has_current_reports(&self, now_ms: u64) -> bool {
        self.epoch == Epoch::default() || now_ms >= self.begun_ms + OLD_REPORTS_MS
    }

    /// Whether the view of the members is complete.
    pub fn has_complete_view(&self, now_ms: u64) -> bool {
        now_ms >= self.begun_ms + VIEW_COMPLETE_AFTER_MS
    }
}

/// Evidence on the roll-out of one service.
#[derive(Debug, Default)]
pub struct Evidence {
    tallies: Tallies,
    comparison: Option<Comparison>,
    condemnation: Option<Condemnation>,
    demand: Demand,
    /// The phase that is due to be decided, and since when.
    due: Option<(u64, RolloutPhase)>,
}

/// Slots that the requests of a service occupy, from the time that they held slots.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Time of the last measurement with the total by then.
    measured: Option<(u64, u64)>,
    slots: Option<f64>,
}

impl Demand {
    fn measure(&mut self, now_ms: u64, tallies: &Tallies) {
        if tallies.iter().next().is_none() {
            return;
        }
        let busy_ms = tallies.iter().map(|tally| tally.busy_ms).sum();
        let Some((measured_at_ms, earlier_ms)) = self.measured else {
            self.measured = Some((now_ms, busy_ms));
            return;
        };
        let span_ms = now_ms.saturating_sub(measured_at_ms);
        if span_ms < DEMAND_SPAN_MS {
            return;
        }
        self.slots = Some(busy_ms.saturating_sub(earlier_ms) as f64 / span_ms as f64);
        self.measured = Some((now_ms, busy_ms));
    }
}

impl Evidence {
    /// Drops what may have changed in a freeze. What speaks against the candidate is kept.
    pub fn restart(&mut self) {
        self.tallies = Tallies::default();
        self.demand = Demand::default();
        self.due = None;
        if let Some(comparison) = &mut self.comparison {
            comparison.restart();
        }
    }

    /// Stores the report of a gate, unless a newer one is known. Returns whether it was stored.
    pub fn merge(&mut self, tally: NodeTally) -> bool {
        self.tallies.merge(tally)
    }

    /// The newest report of each gate.
    pub fn tallies(&self) -> &Tallies {
        &self.tallies
    }

    /// How close the candidate is to being condemned, from 0 to 1.
    pub fn suspicion(&self) -> f64 {
        self.comparison.as_ref().map_or(0.0, Comparison::suspicion)
    }

    /// Compares the versions by the newest reports.
    pub fn observe(&mut self, now_ms: u64, record: &RolloutRecord) {
        let Some(policy) = VersionPolicy::of(record) else {
            return;
        };
        let Some((candidate, _)) = policy.candidate else {
            return;
        };
        let order_revision = policy.order_revision;
        let known = self.comparison.as_ref().map(Comparison::order_revision);
        if known != Some(order_revision) {
            self.comparison = Some(Comparison::new(order_revision, candidate));
            self.condemnation = None;
            self.demand = Demand::default();
        }
        self.tallies.retain_order(order_revision);
        self.demand.measure(now_ms, &self.tallies);
        if let Some(comparison) = &mut self.comparison {
            let condemnation = comparison.observe(now_ms, &self.tallies);
            self.condemnation = self.condemnation.take().or(condemnation);
        }
    }

    /// What the coordinator decides by.
    pub fn situation<'a>(
        &self,
        service: &ServiceName,
        policy: &VersionPolicy,
        members: impl IntoIterator<Item = &'a Member>,
    ) -> Situation {
        let mut situation = Situation {
            demand_slots: self.demand.slots,
            suspicion: self.suspicion(),
            condemnation: self.condemnation.clone(),
            ..Situation::default()
        };
        let of_service = members.into_iter().filter(|member| {
            member.service.as_ref() == Some(service) && member.backend != BackendState::Gone
        });
        for member in of_service.filter(|member| member.liveness < Liveness::Dead) {
            let tally = self.tallies.get(member.node);
            // What an earlier process of the gate reported says nothing about the requests of this one.
            let tally = tally.filter(|tally| tally.incarnation_us >= member.incarnation_us);
            match policy.role_of(member.software_version.as_ref()) {
                VersionRole::Candidate if member.accepts_requests() => {
                    situation.candidates += 1;
                    let warm = tally.filter(|tally| !tally.cold);
                    situation.candidate_slots += warm.map_or(0, |tally| tally.slots);
                    situation.candidate_answers += tally.map_or(0, NodeTally::answers);
                }
                VersionRole::Candidate | VersionRole::Barred => (),
                VersionRole::Established => {
                    situation.established += 1;
                    let is_idle = |tally: &NodeTally| tally.closed && tally.in_flight == 0;
                    match (tally.is_some_and(is_idle), member.liveness) {
                        (true, _) => (),
                        (false, Liveness::Alive) => situation.established_busy += 1,
                        (false, _) => situation.established_unreachable += 1,
                    }
                }
            }
        }
        situation
    }

    /// Records which phase is due to be decided. Returns since when it has been.
    pub fn set_due(&mut self, now_ms: u64, phase: RolloutPhase) -> u64 {
        let since_ms = match self.due {
            Some((since_ms, due)) if due == phase => since_ms,
            _ => now_ms,
        };
        self.due = Some((since_ms, phase));
        since_ms
    }

    /// Records that nothing is due to be decided.
    pub fn clear_due(&mut self) {
        self.due = None;
    }
}
