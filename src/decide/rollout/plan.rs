//! The next phase of a roll-out.
//!
//! [`next_state`] is a pure function of what the coordinator knows. The state that it returns is written
//! under the condition that neither the previous state nor the order has changed, so of two nodes that
//! both act as coordinator one succeeds, and the other goes on from its result.

use super::comparison::Condemnation;
use super::policy::EarlierVersions;
use crate::core::member::NodeId;
use crate::core::rollout::{RolloutOrder, RolloutPhase, RolloutRecord, RolloutState};

/// Length of the trial, in thousandths of the order's duration.
const TRIAL_PER_MILLE: u64 = 450;
/// Latest end of the trial, in thousandths of the duration, if the candidate has had few requests.
const TRIAL_MAX_PER_MILLE: u64 = 550;
/// Responses of the candidate after which its trial may end.
const TRIAL_ANSWERS_MIN: u64 = 50;

/// Shares of the candidate after the trial, in percent, each with its length in thousandths of the
/// duration. With the last one, the established endpoints still answer enough requests to compare with.
const SHIFT_STEPS: [ShiftStep; 3] = [
    ShiftStep::new(25, 80),
    ShiftStep::new(50, 60),
    ShiftStep::new(90, 40),
];
/// Shortest length of a step, in milliseconds: within it a condemnation reaches every node.
const SHIFT_STEP_MIN_MS: u64 = 400;

/// Largest share of the candidate's slots that the next step may need.
const CAPACITY_SHARE_MAX: f64 = 0.8;

/// Suspicion above which the share does not grow; see [`super::Comparison::suspicion`].
const SUSPICION_MAX: f64 = 0.25;

/// One step of the growth of the candidate's share.
#[derive(Clone, Copy, Debug)]
struct ShiftStep {
    percent: u32,
    per_mille: u64,
}

impl ShiftStep {
    const fn new(percent: u32, per_mille: u64) -> Self {
        Self { percent, per_mille }
    }

    fn length_ms(self, duration_ms: u64) -> u64 {
        (duration_ms * self.per_mille / 1_000).max(SHIFT_STEP_MIN_MS)
    }
}

/// What the coordinator knows of the endpoints and responses of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Situation {
    /// Time of the store's clock, in milliseconds.
    pub store_ms: u64,
    /// Live endpoints of the candidate that accept requests.
    pub candidates: usize,
    /// Slots of those that are not warming up.
    pub candidate_slots: u32,
    /// Responses of the candidate since the order.
    pub candidate_answers: u64,
    /// Live endpoints of established versions, in any state.
    pub established: usize,
    /// Those of them that answer and whose gates have not reported that they are closed and hold no
    /// request.
    pub established_busy: usize,
    /// Those of them that do not answer, but are not known to be dead, without such a report.
    pub established_unreachable: usize,
    /// Whether this process has run for long enough without a freeze to know all members.
    pub view_complete: bool,
    /// Slots that all requests of the service occupy on average; `None` if gates have not reported for
    /// long enough.
    pub demand_slots: Option<f64>,
    /// How close the candidate is to being condemned, from 0 to 1.
    pub suspicion: f64,
    /// Why the candidate is bad, if it is.
    pub condemnation: Option<Condemnation>,
}

/// Returns the state to write next; `None` if nothing is to be decided now.
pub fn next_state(
    record: &RolloutRecord,
    situation: &Situation,
    decided_by: NodeId,
) -> Option<RolloutState> {
    let previous = record.state.as_ref().map(|entry| &entry.state);
    let Some(order) = &record.order.order else {
        let running = previous.filter(|state| !state.phase.is_final())?;
        let withdrawn = RolloutState {
            order_revision: record.order.revision.max(running.order_revision),
            ..running.clone()
        };
        let decision = Decision::rolled_back("the order was withdrawn or cannot be decoded");
        return Some(decision.apply(&withdrawn, situation, decided_by));
    };
    let Some(state) = record.current_state() else {
        return Some(take_up(record, order, situation, decided_by));
    };
    let decision = decide(order, state, situation)?;
    Some(decision.apply(state, situation, decided_by))
}

/// The first state of an order.
fn take_up(
    record: &RolloutRecord,
    order: &RolloutOrder,
    situation: &Situation,
    decided_by: NodeId,
) -> RolloutState {
    let previous = record.state.as_ref().map(|entry| &entry.state);
    let earlier = EarlierVersions::before(previous, &order.to);
    let in_force = earlier.established.as_ref() == Some(&order.to);
    let no_other =
        situation.view_complete && situation.candidates > 0 && situation.established == 0;
    let decision = match in_force || no_other {
        true => Decision::completed("no endpoint of another version is in use"),
        false => Decision {
            phase: RolloutPhase::Trial,
            percent: 0,
            reason: "the order was taken up".to_owned(),
        },
    };
    let first = RolloutState {
        order_revision: record.order.revision,
        to: order.to.clone(),
        phase: RolloutPhase::Trial,
        share_percent: 0,
        ordered_store_ms: situation.store_ms,
        decided_store_ms: situation.store_ms,
        established: earlier.established,
        barred: earlier.barred,
        reason: String::new(),
        decided_by,
    };
    decision.apply(&first, situation, decided_by)
}

/// A phase, with the share and the reason that go with it.
struct Decision {
    phase: RolloutPhase,
    percent: u32,
    reason: String,
}

impl Decision {
    fn rolled_back(reason: impl Into<String>) -> Self {
        Self {
            phase: RolloutPhase::RolledBack,
            percent: 0,
            reason: reason.into(),
        }
    }

    fn completed(reason: &str) -> Self {
        Self {
            phase: RolloutPhase::Completed,
            percent: 100,
            reason: reason.to_owned(),
        }
    }

    fn shift(percent: u32, situation: &Situation) -> Self {
        Self {
            phase: RolloutPhase::Shift,
            percent,
            reason: format!(
                "the candidate has given {} responses that are as good as those of the established versions",
                situation.candidate_answers
            ),
        }
    }

    fn apply(
        self,
        state: &RolloutState,
        situation: &Situation,
        decided_by: NodeId,
    ) -> RolloutState {
        RolloutState {
            phase: self.phase,
            share_percent: self.percent,
            reason: self.reason,
            decided_store_ms: situation.store_ms,
            decided_by,
            ..state.clone()
        }
    }
}

fn decide(order: &RolloutOrder, state: &RolloutState, situation: &Situation) -> Option<Decision> {
    if state.phase.is_final() {
        return None;
    }
    if let Some(condemnation) = &situation.condemnation {
        return Some(Decision::rolled_back(condemnation.to_string()));
    }
    let elapsed_ms = situation.store_ms.saturating_sub(state.ordered_store_ms);
    let is_late = elapsed_ms >= order.duration_ms;
    match state.phase {
        RolloutPhase::Trial if is_late => Some(Decision::rolled_back(late_reason(situation))),
        RolloutPhase::Shift if is_late => Some(Decision::rolled_back(late_reason(situation))),
        RolloutPhase::Trial => {
            let may_end = trial_may_end(order, elapsed_ms, situation);
            let percent = SHIFT_STEPS[0].percent;
            (may_end && may_grow(situation, percent)).then(|| Decision::shift(percent, situation))
        }
        RolloutPhase::Shift => next_share(order, state, situation),
        RolloutPhase::Settle => settled(order, elapsed_ms, situation),
        RolloutPhase::Completed | RolloutPhase::RolledBack => None,
    }
}

fn late_reason(situation: &Situation) -> String {
    match situation.candidates {
        0 => "no endpoint of the candidate was available in the time given".to_owned(),
        _ => format!(
            "not completed in the time given: {} responses, {} slots for a demand of {:.0}",
            situation.candidate_answers,
            situation.candidate_slots,
            situation.demand_slots.unwrap_or(0.0)
        ),
    }
}

fn trial_may_end(order: &RolloutOrder, elapsed_ms: u64, situation: &Situation) -> bool {
    let tested = situation.candidate_answers >= TRIAL_ANSWERS_MIN;
    let per_mille = match tested {
        true => TRIAL_PER_MILLE,
        false => TRIAL_MAX_PER_MILLE,
    };
    elapsed_ms >= order.duration_ms * per_mille / 1_000
}

/// Whether the candidate may get a share of `percent`.
fn may_grow(situation: &Situation, percent: u32) -> bool {
    let Some(demand_slots) = situation.demand_slots else {
        return false;
    };
    let needed_slots = demand_slots * f64::from(percent) / 100.0;
    let available_slots = f64::from(situation.candidate_slots) * CAPACITY_SHARE_MAX;
    situation.candidates > 0
        && needed_slots <= available_slots
        && situation.suspicion <= SUSPICION_MAX
}

fn next_share(
    order: &RolloutOrder,
    state: &RolloutState,
    situation: &Situation,
) -> Option<Decision> {
    let is_current = |step: &&ShiftStep| step.percent == state.share_percent;
    let step = SHIFT_STEPS.iter().find(is_current)?;
    let step_ms = situation.store_ms.saturating_sub(state.decided_store_ms);
    if step_ms < step.length_ms(order.duration_ms) {
        return None;
    }
    let next = SHIFT_STEPS.iter().find(|next| next.percent > step.percent);
    let percent = next.map_or(100, |next| next.percent);
    if !may_grow(situation, percent) {
        return None;
    }
    Some(match next {
        Some(next) => Decision::shift(next.percent, situation),
        None => Decision {
            phase: RolloutPhase::Settle,
            percent: 100,
            reason: "the candidate carries nearly the whole load".to_owned(),
        },
    })
}

/// Completes the roll-out once no request is left at an established endpoint. At the end of the time
/// given, endpoints that cannot be reached are not waited for.
fn settled(order: &RolloutOrder, elapsed_ms: u64, situation: &Situation) -> Option<Decision> {
    if situation.candidates == 0 {
        let in_time = elapsed_ms < order.duration_ms;
        let lost = "every endpoint of the candidate was lost";
        return (!in_time && situation.view_complete).then(|| Decision::rolled_back(lost));
    }
    let is_late = elapsed_ms >= order.duration_ms;
    let unreachable = situation.established_unreachable > 0 && !is_late;
    (situation.established_busy == 0 && !unreachable && situation.view_complete)
        .then(|| Decision::completed("no request is left at an established endpoint"))
}
