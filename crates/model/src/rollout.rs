//! Specification of a roll-out's state: two leads that decide, the store, and the operator's orders.
//!
//! A lead decides with the product's own [`next_state`] and writes the result on condition that the order
//! and the state that it replaces are unchanged. A write can arrive at any later time, its answer can be
//! lost, and a lead can be restarted without its knowledge.
//!
//! The specification leaves out time (a phase may last as long or as short as it may, and the deadline
//! may have passed at any moment) and requests (an established endpoint may be busy or idle at any
//! moment). Whether the candidate is bad is decided by each lead for itself.

use std::net::{Ipv4Addr, SocketAddr};

use dragonflywall::core::member::NodeId;
use dragonflywall::core::names::SoftwareVersion;
use dragonflywall::core::rollout::{
    OrderEntry, RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, StateEntry,
};
use dragonflywall::decide::rollout::comparison::{Condemnation, Measure};
use dragonflywall::decide::rollout::plan::{Situation, next_state};
use dragonflywall::decide::rollout::{Stage, VersionPolicy};

use crate::checker::Specification;

/// Number of leads.
const LEADS: usize = 2;
/// Time from an order to its deadline, in milliseconds.
const DURATION_MS: u64 = 10_000;

/// Limits that keep the number of states finite.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Changes of the order by the operator, the first one included.
    pub orders: u8,
    /// Answers of the store that are lost, and leads that are restarted.
    pub faults: u8,
    /// Leads that find the candidate to be bad.
    pub condemnations: u8,
}

/// A change that breaks the protocol, to test that the checker finds a counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A state is written whatever state it replaces.
    WithoutStateCondition,
    /// A state is written whatever the order is by then.
    WithoutOrderCondition,
    /// A lead decides as if it had not found the candidate to be bad.
    IgnoreCondemnation,
    /// A lead does not learn the state that made its write fail.
    ForgetConflict,
}

/// One lead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lead {
    record: RolloutRecord,
    /// Revision of the order whose candidate it found to be bad.
    condemned_order: Option<u64>,
    /// Whether it waits for the answer to a write.
    writing: bool,
}

/// A write that the store has not received yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    lead: usize,
    state: RolloutState,
    replaced_revision: u64,
    order_revision: Option<u64>,
    /// Whether its lead had found the candidate to be bad when it sent the write.
    after_condemnation: bool,
    /// Whether its lead still waits for the answer.
    awaited: bool,
}

/// The state of the store, the leads and the writes between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    store: RolloutRecord,
    leads: [Lead; LEADS],
    writes: Vec<Write>,
    /// Next number of a transaction.
    next_revision: u64,
    /// Order whose roll-out has ended, and how.
    ended: Option<(u64, RolloutPhase)>,
    violation: Option<&'static str>,
    orders: u8,
    faults: u8,
    condemnations: u8,
}

/// Label of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each variant is named after its transition")]
pub enum Action {
    Order { to: &'static str },
    Withdraw,
    Learn { lead: usize },
    Condemn { lead: usize },
    Decide { lead: usize, phase: RolloutPhase },
    WriteArrives { write: usize },
    AnswerLost { lead: usize },
    Restart { lead: usize },
}

/// Safety properties.
pub const ONE_OUTCOME: &str = "the roll-out of an order has one outcome";
/// See [`ONE_OUTCOME`].
pub const NEVER_COMPLETED_BY_A_LEAD_THAT_CONDEMNED: &str =
    "a lead never completes a version that it has condemned";
/// See [`ONE_OUTCOME`].
pub const ONLY_FOR_THE_NEWEST_ORDER: &str = "a state belongs to the order that is in force";

/// The specification of roll-outs with given bounds.
#[derive(Debug)]
pub struct RolloutSpec {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

impl RolloutSpec {
    /// Creates the specification. A `mutation` breaks the protocol, to test the checker.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation }
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn decisions(&self, state: &State, lead: usize) -> Vec<Write> {
        let known = &state.leads[lead];
        if known.writing {
            return Vec::new();
        }
        let order_revision = known.record.order.revision;
        let condemned = known.condemned_order == Some(order_revision);
        let acts_on_it = condemned && !self.has_mutation(Mutation::IgnoreCondemnation);
        let mut writes: Vec<Write> = Vec::new();
        for (late, busy) in [(false, false), (false, true), (true, false)] {
            let situation = situation(acts_on_it, late, busy);
            let Some(next) = next_state(&known.record, &situation, node(lead)) else {
                continue;
            };
            let write = Write {
                lead,
                state: without_times(next),
                replaced_revision: known.record.state_revision(),
                order_revision: known.record.order.order.is_some().then_some(order_revision),
                after_condemnation: condemned,
                awaited: true,
            };
            if !writes.contains(&write) {
                writes.push(write);
            }
        }
        writes
    }

    fn arrive(&self, next: &mut State, index: usize) {
        let write = next.writes.remove(index);
        let order_exists = next.store.order.order.is_some();
        let order = order_exists.then_some(next.store.order.revision);
        let order_holds = write.order_revision.is_none()
            || write.order_revision == order
            || self.has_mutation(Mutation::WithoutOrderCondition);
        let state_holds = write.replaced_revision == next.store.state_revision()
            || self.has_mutation(Mutation::WithoutStateCondition);
        let applied = order_holds && state_holds;
        if applied {
            next.apply(&write);
        }
        let lead = &mut next.leads[write.lead];
        if write.awaited {
            lead.writing = false;
            if applied || !self.has_mutation(Mutation::ForgetConflict) {
                lead.record = next.store.clone();
            }
        }
    }
}

impl State {
    fn apply(&mut self, write: &Write) {
        let revision = self.next_revision;
        self.next_revision += 1;
        let state = &write.state;
        let is_withdrawn = self.store.order.order.is_none();
        let is_newest = state.order_revision == self.store.order.revision;
        let ends_withdrawn = is_withdrawn && state.phase == RolloutPhase::RolledBack;
        if !is_newest && !ends_withdrawn {
            self.violation = Some(ONLY_FOR_THE_NEWEST_ORDER);
        }
        if state.phase == RolloutPhase::Completed && write.after_condemnation {
            self.violation = Some(NEVER_COMPLETED_BY_A_LEAD_THAT_CONDEMNED);
        }
        if let Some((order, phase)) = self.ended
            && order == state.order_revision
            && phase != state.phase
        {
            self.violation = Some(ONE_OUTCOME);
        }
        if state.phase.is_final() {
            self.ended = Some((state.order_revision, state.phase));
        }
        self.store.state = Some(StateEntry {
            revision,
            state: state.clone(),
        });
    }

    fn order(&mut self, order: Option<&'static str>) {
        self.orders -= 1;
        self.store.order = OrderEntry {
            revision: self.next_revision,
            order: order.map(|to| RolloutOrder {
                to: SoftwareVersion::new(to),
                duration_ms: DURATION_MS,
            }),
        };
        self.next_revision += 1;
    }
}

fn situation(condemned: bool, late: bool, busy: bool) -> Situation {
    let condemnation = Condemnation {
        resource: None,
        measure: Measure::Failures,
        answers: 100,
        bad: 50,
        reference_rate: 0.0,
    };
    Situation {
        store_ms: if late { DURATION_MS } else { DURATION_MS - 1 },
        candidates: 1,
        candidate_slots: 100,
        candidate_answers: 100,
        established: 1,
        established_busy: usize::from(busy),
        established_unreachable: 0,
        view_complete: true,
        demand_slots: Some(1.0),
        suspicion: 0.0,
        condemnation: condemned.then_some(condemnation),
    }
}

/// The state as if it had been decided at once after the order, so that any time may have passed since.
fn without_times(state: RolloutState) -> RolloutState {
    RolloutState {
        ordered_store_ms: 0,
        decided_store_ms: 0,
        reason: String::new(),
        decided_by: node(0),
        ..state
    }
}

fn node(lead: usize) -> NodeId {
    let port = u16::try_from(lead + 1).unwrap_or(u16::MAX);
    NodeId(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port))
}

impl Specification for RolloutSpec {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            store: RolloutRecord::default(),
            leads: Default::default(),
            writes: Vec::new(),
            next_revision: 1,
            ended: None,
            violation: None,
            orders: self.bounds.orders,
            faults: self.bounds.faults,
            condemnations: self.bounds.condemnations,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        let mut step = |action, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((action, next));
        };
        if state.orders > 0 {
            // The names of the versions do not matter, so the first one is always the same.
            let is_first = state.orders == self.bounds.orders;
            for to in ["v2", "v3"].into_iter().take(if is_first { 1 } else { 2 }) {
                step(Action::Order { to }, &|next| next.order(Some(to)));
            }
            if state.store.order.order.is_some() {
                step(Action::Withdraw, &|next| next.order(None));
            }
        }
        for (write, _) in state.writes.iter().enumerate() {
            step(Action::WriteArrives { write }, &|next| {
                self.arrive(next, write);
            });
        }
        for (lead, known) in state.leads.iter().enumerate() {
            if known.record != state.store && !known.writing {
                step(Action::Learn { lead }, &|next| {
                    next.leads[lead].record = next.store.clone();
                });
            }
            let order = known.record.order.revision;
            if state.condemnations > 0
                && has_candidate_in_use(&known.record)
                && known.condemned_order != Some(order)
            {
                step(Action::Condemn { lead }, &|next| {
                    next.condemnations -= 1;
                    next.leads[lead].condemned_order = Some(order);
                });
            }
            for write in self.decisions(state, lead) {
                let phase = write.state.phase;
                step(Action::Decide { lead, phase }, &|next| {
                    next.writes.push(write.clone());
                    next.leads[lead].writing = true;
                });
            }
            if state.faults > 0 {
                step(Action::Restart { lead }, &|next| {
                    next.faults -= 1;
                    next.leads[lead] = Lead::default();
                    forget_writes(next, lead);
                });
                if known.writing {
                    step(Action::AnswerLost { lead }, &|next| {
                        next.faults -= 1;
                        next.leads[lead].writing = false;
                        forget_writes(next, lead);
                    });
                }
            }
        }
        steps
    }

    fn canonical(&self, state: State) -> State {
        let key = |lead: &Lead| {
            let record = &lead.record;
            (
                record.order.revision,
                record.state_revision(),
                lead.writing,
                lead.condemned_order,
            )
        };
        let mut state = state;
        if key(&state.leads[1]) < key(&state.leads[0]) {
            state.leads.swap(0, 1);
            for write in &mut state.writes {
                write.lead = 1 - write.lead;
            }
        }
        // The order of writes in flight has no meaning.
        state.writes.sort_by_key(|write| {
            (
                write.lead,
                write.replaced_revision,
                write.order_revision,
                write.awaited,
            )
        });
        state
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        state.violation
    }

    fn without_faults(&self, state: &State) -> Option<State> {
        Some(State {
            orders: 0,
            faults: 0,
            condemnations: 0,
            ..state.clone()
        })
    }

    fn is_settled(&self, state: &State) -> bool {
        !state.store.is_active()
    }
}

/// Whether a lead compares versions: only what gets requests can be found to be bad.
fn has_candidate_in_use(record: &RolloutRecord) -> bool {
    let stage = VersionPolicy::of(record).and_then(|policy| policy.stage());
    stage.is_some_and(|stage| stage != Stage::Pending)
}

/// Writes of a lead that it no longer waits for. They may still arrive.
fn forget_writes(state: &mut State, lead: usize) {
    for write in state.writes.iter_mut().filter(|write| write.lead == lead) {
        write.awaited = false;
    }
}
