//! Decisions of a lead as coordinator of the roll-outs.

use ractor::ActorRef;

use super::{AdvanceEnded, RolloutMsg, State};
use crate::core::member::{BackendState, Liveness, Member};
use crate::core::names::ServiceName;
use crate::core::rollout::{RolloutBook, RolloutRecord, RolloutState, StateEntry};
use crate::core::status::{RolloutStatus, VersionStatus};
use crate::decide::rollout::plan::{self, Situation};
use crate::decide::rollout::{
    Comparison, Condemnation, NodeTally, Tallies, VersionPolicy, VersionRole,
};
use crate::store::{AdvanceOutcome, RolloutAdvance, RolloutTable};

/// How much later the lead of a data centre acts than that of the one before it, in milliseconds. The
/// state that the first one writes reaches the others within it.
const ACT_DELAY_PER_RANK_MS: u64 = 300;

/// Pause after a write whose outcome is not known, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;

/// Uptime from which the view of the members is complete, in milliseconds: several exchanges with
/// neighbours.
const VIEW_COMPLETE_AFTER_MS: u64 = 5_000;

/// Span over which the demand for slots is measured, in milliseconds.
const DEMAND_SPAN_MS: u64 = 2_000;

/// What a node knows of the running roll-out of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    tallies: Tallies,
    comparison: Option<Comparison>,
    condemnation: Option<Condemnation>,
    demand: Demand,
    /// Since when the next decision has been due, and its result.
    due: Option<(u64, RolloutState)>,
    /// Whether a write is in progress.
    writing: bool,
    /// No write before this time.
    not_before_ms: u64,
}

/// Slots that the requests of a service occupy, from the time that they held slots.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    measured_at_ms: u64,
    busy_ms: u64,
    slots: f64,
}

impl Demand {
    fn measure(&mut self, now_ms: u64, tallies: &Tallies) {
        let span_ms = now_ms.saturating_sub(self.measured_at_ms);
        if span_ms < DEMAND_SPAN_MS {
            return;
        }
        let busy_ms = tallies.iter().map(|tally| tally.busy_ms).sum();
        let is_first = self.measured_at_ms == 0;
        if !is_first {
            let added_ms = busy_ms - self.busy_ms.min(busy_ms);
            self.slots = added_ms as f64 / span_ms as f64;
        }
        *self = Self {
            measured_at_ms: now_ms,
            busy_ms,
            slots: self.slots,
        };
    }
}

impl ServiceRollout {
    pub(super) fn merge(&mut self, tally: NodeTally) -> bool {
        self.tallies.merge(tally)
    }

    /// Compares the versions by the newest tallies.
    pub(super) fn observe(&mut self, now_ms: u64, record: &RolloutRecord) {
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
    fn situation(
        &self,
        service: &ServiceName,
        policy: &VersionPolicy,
        members: &[Member],
    ) -> Situation {
        let mut situation = Situation {
            demand_slots: self.demand.slots,
            suspicion: self.comparison.as_ref().map_or(0.0, Comparison::suspicion),
            condemnation: self.condemnation.clone(),
            ..Situation::default()
        };
        let of_service = members.iter().filter(|member| {
            member.service.as_ref() == Some(service) && member.backend != BackendState::Gone
        });
        for member in of_service.filter(|member| member.liveness < Liveness::Dead) {
            let tally = self.tallies.get(member.node);
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

    fn status(&self, service: &ServiceName, record: &RolloutRecord) -> RolloutStatus {
        let policy = VersionPolicy::of(record);
        let versions = self.tallies.iter().map(|tally| VersionStatus {
            node: tally.node,
            version: tally.version.clone(),
            candidate: policy.as_ref().is_some_and(|policy| {
                policy.role_of(tally.version.as_ref()) == VersionRole::Candidate
            }),
            answers: tally.answers(),
            failures: tally.resources.values().map(|counts| counts.failures).sum(),
            in_flight: tally.in_flight,
            closed: tally.closed,
        });
        RolloutStatus {
            service: service.clone(),
            order: record.order.order.clone(),
            state: record.state.as_ref().map(|entry| entry.state.clone()),
            suspicion: self.comparison.as_ref().map_or(0.0, Comparison::suspicion),
            versions: versions.collect(),
        }
    }
}

impl State {
    /// Writes the states that are due.
    pub(super) fn advance(&mut self, myself: &ActorRef<RolloutMsg>, book: &RolloutBook) {
        let Some(store_ms) = self.node.store_clock_ms() else {
            return;
        };
        let now_ms = self.node.proxy.uptime_ms();
        let local = self.node.proxy.local_id;
        let view = self.node.proxy.view.load_full();
        let act_delay_ms = self.leads_elsewhere().1 as u64 * ACT_DELAY_PER_RANK_MS;
        for (service, record) in book.iter() {
            let Some(rollout) = self.services.get_mut(service) else {
                continue;
            };
            let Some(policy) = VersionPolicy::of(record) else {
                continue;
            };
            let situation = Situation {
                store_ms,
                view_complete: now_ms >= VIEW_COMPLETE_AFTER_MS,
                ..rollout.situation(service, &policy, &view.members)
            };
            let Some(next) = plan::next_state(record, &situation, local) else {
                rollout.due = None;
                continue;
            };
            let since_ms = match &rollout.due {
                Some((since_ms, due)) if due.phase == next.phase => *since_ms,
                _ => now_ms,
            };
            rollout.due = Some((since_ms, next.clone()));
            let may_act = now_ms >= since_ms + act_delay_ms && now_ms >= rollout.not_before_ms;
            if may_act && !std::mem::replace(&mut rollout.writing, true) {
                self.write(myself, service, record, next);
            }
        }
    }

    fn write(
        &self,
        myself: &ActorRef<RolloutMsg>,
        service: &ServiceName,
        record: &RolloutRecord,
        state: RolloutState,
    ) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let service = service.clone();
        let replaced_revision = record.state_revision();
        let order_revision = record
            .order
            .order
            .is_some()
            .then_some(record.order.revision);
        let myself = myself.clone();
        tokio::spawn(async move {
            let advance = RolloutAdvance {
                service: &service,
                state: &state,
                replaced_revision,
                order_revision,
            };
            let result = table.advance(&advance).await;
            // Sending fails only while the process is shutting down.
            let _ = myself.cast(RolloutMsg::AdvanceEnded(Box::new(AdvanceEnded {
                service,
                state,
                result,
            })));
        });
    }

    pub(super) fn handle_advance_ended(&mut self, ended: AdvanceEnded) {
        let AdvanceEnded {
            service,
            state,
            result,
        } = ended;
        let now_ms = self.node.proxy.uptime_ms();
        if let Some(rollout) = self.services.get_mut(&service) {
            rollout.writing = false;
            rollout.due = None;
            rollout.not_before_ms = match result {
                Ok(_) => 0,
                Err(_) => now_ms + RETRY_PAUSE_MS,
            };
        }
        match result {
            Ok(AdvanceOutcome::Written(entry)) => {
                log_written(&service, &entry);
                self.node
                    .update_rollouts(|book| book.merge_state(&service, entry));
            }
            Ok(AdvanceOutcome::Changed { order, state }) => {
                log::info!(service:%; "another node or the operator has changed the roll-out; going on from there");
                self.node.update_rollouts(|book| {
                    let order = order.is_some_and(|order| book.merge_order(&service, &order));
                    let state = state.is_some_and(|state| book.merge_state(&service, state));
                    order || state
                });
            }
            Err(error) => log::warn!(
                service:%, phase = state.phase.as_str(), error:%;
                "the state of a roll-out was not written"
            ),
        }
    }

    pub(super) fn status(&self) -> Vec<RolloutStatus> {
        let book = self.node.rollouts();
        let unknown = ServiceRollout::default();
        let status_of = |(service, record): (&ServiceName, &RolloutRecord)| {
            let rollout = self.services.get(service).unwrap_or(&unknown);
            rollout.status(service, record)
        };
        book.iter().map(status_of).collect()
    }
}

fn log_written(service: &ServiceName, entry: &StateEntry) {
    let state = &entry.state;
    let phase = state.phase.as_str();
    log::warn!(
        service:%, to:% = state.to, phase, share_percent = state.share_percent,
        order_revision = state.order_revision, revision = entry.revision, reason = state.reason;
        "decided on a roll-out"
    );
    metrics::counter!("dragonflywall_rollout_decisions_total", "phase" => phase).increment(1);
}
