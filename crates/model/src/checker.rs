//! Explicit-state model checking by graph search.
//!
//! A [`Specification`] gives an initial state and the steps out of any state. [`check`] visits
//! every reachable state breadth first and asks for violated properties, so the first violation
//! found has a shortest counterexample. Then it ends the faults in every state and looks at the
//! graph of what may still happen: each bottom strongly connected component must be settled.
//! Steps are taken fairly, so whatever path is taken, it ends in such a component.

use std::fmt::Debug;
use std::hash::Hash;
use std::time::{Duration, Instant};

use pathfinding::prelude::{bfs, bfs_reach, strongly_connected_components};

/// A protocol as a graph of states: the checker's edge to what it checks.
pub trait Specification {
    /// A state.
    type State: Clone + Debug + Eq + Hash;
    /// The name of a step, for counterexamples.
    type Action: Debug;

    /// Where everything begins.
    fn initial(&self) -> Self::State;
    /// All steps out of `state`.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;
    /// The one state that stands for all those that differ only in how equal things are numbered.
    fn canonical(&self, state: Self::State) -> Self::State {
        state
    }
    /// The first property that `state` violates.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;
    /// `state` with every fault ended, and none to come; `None` leaves it out of that check.
    fn without_faults(&self, state: &Self::State) -> Option<Self::State>;
    /// Whether everything has come about that must in the end.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// How a property fails, by the shortest way.
#[derive(Clone, Debug)]
pub struct Counterexample<S> {
    /// The property.
    pub property: &'static str,
    /// Steps from the initial state, in words.
    pub steps: Vec<String>,
    /// The state at the end.
    pub final_state: S,
}

/// What [`check`] found.
#[derive(Clone, Debug)]
pub struct Report<S> {
    /// Distinct states visited.
    pub states: usize,
    /// Distinct states of the graph without faults; 0 if a property failed before.
    pub states_without_faults: usize,
    /// The failure, if any.
    pub counterexample: Option<Counterexample<S>>,
    /// Time taken.
    pub elapsed: Duration,
}

/// Name of the property that [`Specification::is_settled`] stands for.
pub const EVENTUALLY_SETTLED: &str = "eventually settled once faults end";

/// Visits every state that `specification` can reach.
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

/// Size of the graph without faults, and the first calm state from which a bottom component that
/// is not settled can be reached.
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
    let path = path.expect("the state was reached before");
    // The path's states are canonical; the steps are told with the numbers of one real run.
    let mut steps = Vec::new();
    let mut state = specification.initial();
    for target in path.into_iter().skip(1) {
        let possible_steps = specification.steps(&state);
        let taken = possible_steps
            .into_iter()
            .find(|(_, next_state)| specification.canonical(next_state.clone()) == target);
        let (action, next_state) = taken.expect("a step of the path");
        steps.push(format!("{action:?}"));
        state = next_state;
    }
    Counterexample {
        property,
        steps,
        final_state: state,
    }
}
