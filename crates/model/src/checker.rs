//! Explicit-state model checking by graph search.
//!
//! A [`Specification`] defines an initial state and the transitions out of each state. [`check`]
//! visits every reachable state breadth first and evaluates the safety properties in it, so the
//! first violation has a shortest counterexample.
//!
//! If no safety property is violated, [`check`] tests the liveness property. It ends all faults in
//! every reachable state and explores the states that follow. Transitions are assumed to be
//! scheduled fairly, so every run ends in a bottom strongly connected component: one that no
//! transition leaves. Every state of such a component must be settled.

use std::fmt::Debug;
use std::hash::Hash;
use std::time::{Duration, Instant};

use pathfinding::prelude::{bfs, bfs_reach, strongly_connected_components};

/// A protocol as a graph of states and transitions, for [`check`].
pub trait Specification {
    /// A state of the whole system: its processes, messages and the faults still allowed.
    type State: Clone + Debug + Eq + Hash;
    /// The label of a transition, printed in counterexamples.
    type Action: Debug;

    /// The state from which the search starts.
    fn initial(&self) -> Self::State;
    /// All transitions out of `state`, each with its label and the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;
    /// The representative of all states that differ from `state` only in the numbering of
    /// interchangeable processes. The checker visits representatives only (symmetry reduction).
    fn canonical(&self, state: Self::State) -> Self::State {
        state
    }
    /// The first safety property that `state` violates, or `None`.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;
    /// `state` with every present fault ended and no further faults allowed. `None` excludes the
    /// state from the liveness check.
    fn without_faults(&self, state: &Self::State) -> Option<Self::State>;
    /// Whether `state` satisfies the goal of the liveness property.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// A shortest path to a state that violates a property.
#[derive(Clone, Debug)]
pub struct Counterexample<S> {
    /// The violated property.
    pub property: &'static str,
    /// Labels of the transitions from the initial state to `final_state`.
    pub steps: Vec<String>,
    /// The state in which the property is violated.
    pub final_state: S,
}

/// The result of [`check`].
#[derive(Clone, Debug)]
pub struct Report<S> {
    /// Number of distinct states visited, with faults.
    pub states: usize,
    /// Number of distinct states visited after faults ended; 0 if a safety property was violated.
    pub states_without_faults: usize,
    /// The violation, or `None` if all properties hold.
    pub counterexample: Option<Counterexample<S>>,
    /// Duration of the check.
    pub elapsed: Duration,
}

/// Name of the liveness property, whose goal is [`Specification::is_settled`].
pub const EVENTUALLY_SETTLED: &str = "eventually settled once faults end";

/// Checks all properties of `specification` in every reachable state.
pub fn check<T: Specification>(specification: &T) -> Report<T::State> {
    let started = Instant::now();
    let mut reachable_states = Vec::new();
    let mut violated_property = None;
    for state in bfs_reach(canonical_initial(specification), |state| {
        successors(specification, state)
    }) {
        violated_property = specification.violated_property(&state);
        reachable_states.push(state);
        if violated_property.is_some() {
            break;
        }
    }
    let states = reachable_states.len();
    let mut states_without_faults = 0;
    let counterexample = match violated_property {
        Some(property) => Some(counterexample(specification, property, |state| {
            specification.violated_property(state).is_some()
        })),
        None => {
            let (count, unsettled) = find_unsettled(specification, &reachable_states);
            states_without_faults = count;
            unsettled.map(|unsettled| {
                counterexample(specification, EVENTUALLY_SETTLED, |state| {
                    specification
                        .without_faults(state)
                        .is_some_and(|fault_free| specification.canonical(fault_free) == unsettled)
                        || *state == unsettled
                })
            })
        }
    };
    Report {
        states,
        states_without_faults,
        counterexample,
        elapsed: started.elapsed(),
    }
}

fn successors<T: Specification>(specification: &T, state: &T::State) -> Vec<T::State> {
    let steps = specification.steps(state);
    let states = steps
        .into_iter()
        .map(|(_, next)| specification.canonical(next));
    states.filter(|next| next != state).collect()
}

fn canonical_initial<T: Specification>(specification: &T) -> T::State {
    specification.canonical(specification.initial())
}

/// Checks the liveness property. Returns the number of states visited without faults, and the first
/// of the fault-free states from which a bottom component that is not settled can be reached.
fn find_unsettled<T: Specification>(
    specification: &T,
    reachable_states: &[T::State],
) -> (usize, Option<T::State>) {
    let fault_free_states: Vec<T::State> = reachable_states
        .iter()
        .filter_map(|state| specification.without_faults(state))
        .map(|state| specification.canonical(state))
        .collect();
    let components =
        strongly_connected_components(&fault_free_states, |state| successors(specification, state));
    let count = components.iter().map(Vec::len).sum();
    let unsettled_component = components.iter().find(|component| {
        let bottom = component.iter().all(|state| {
            let successors = successors(specification, state);
            successors.iter().all(|state| component.contains(state))
        });
        bottom
            && !component
                .iter()
                .all(|state| specification.is_settled(state))
    });
    let Some(unsettled_component) = unsettled_component else {
        return (count, None);
    };
    let start = fault_free_states.iter().find(|state| {
        let path = bfs(
            *state,
            |state| successors(specification, state),
            |state| unsettled_component.contains(state),
        );
        path.is_some()
    });
    (count, start.cloned())
}

fn counterexample<T: Specification>(
    specification: &T,
    property: &'static str,
    is_target: impl Fn(&T::State) -> bool,
) -> Counterexample<T::State> {
    let path = bfs(
        &canonical_initial(specification),
        |state| successors(specification, state),
        |state| is_target(state),
    );
    let path = path.expect("a matching state is reachable");
    // The path consists of canonical states, in which a process may change its number from one state
    // to the next. Repeat the path without renumbering, so that each process keeps one number.
    let mut steps = Vec::new();
    let mut state = specification.initial();
    for target in path.into_iter().skip(1) {
        let possible_steps = specification.steps(&state);
        let taken = possible_steps
            .into_iter()
            .find(|(_, next_state)| specification.canonical(next_state.clone()) == target);
        let (action, next_state) = taken.expect("a transition leads to the next state of the path");
        steps.push(format!("{action:?}"));
        state = next_state;
    }
    Counterexample {
        property,
        steps,
        final_state: state,
    }
}
