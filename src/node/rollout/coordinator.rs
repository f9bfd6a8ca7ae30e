//! Decisions of a lead as coordinator of the roll-outs.

use ractor::ActorRef;

use super::{AdvanceEnded, RolloutMsg, State};
use crate::core::names::ServiceName;
use crate::core::rollout::{RolloutBook, RolloutRecord, RolloutState, StateEntry};
use crate::core::status::{RolloutStatus, VersionStatus};
use crate::decide::rollout::plan::{self, Situation};
use crate::decide::rollout::{Evidence, VersionPolicy, VersionRole};
use crate::store::{AdvanceOutcome, RolloutAdvance, RolloutTable};

/// How much later the lead of a data centre acts than that of the one before it, in milliseconds. The
/// state that the first one writes reaches the others within it.
const ACT_DELAY_PER_RANK_MS: u64 = 300;

/// Pause after a write whose outcome is not known, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;

/// The roll-out of one service at this node.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub(super) evidence: Evidence,
    /// Whether a write is in progress.
    writing: bool,
    /// No write before this time.
    not_before_ms: u64,
}

impl ServiceRollout {
    fn status(&self, service: &ServiceName, record: &RolloutRecord) -> RolloutStatus {
        let policy = VersionPolicy::of(record);
        let versions = self.evidence.tallies().iter().map(|tally| VersionStatus {
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
            suspicion: self.evidence.suspicion(),
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
                view_complete: self.report_time.has_complete_view(now_ms),
                ..rollout.evidence.situation(service, &policy, &view.members)
            };
            let Some(next) = plan::next_state(record, &situation, local) else {
                rollout.evidence.clear_due();
                continue;
            };
            let since_ms = rollout.evidence.set_due(now_ms, next.phase);
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
            rollout.evidence.clear_due();
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
