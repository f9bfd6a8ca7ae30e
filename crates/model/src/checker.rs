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
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
    /// `state` with every fault ended, and none to come; `None` leaves it out of that check.
    fn without_faults(&self, state: &Self::State) -> Option<Self::State>;
    /// Whether everything has come about that must in the end.
    fn settled(&self, state: &Self::State) -> bool;
}

/// How a property fails, by the shortest way.
#[derive(Clone, Debug)]
pub struct Counterexample<S> {
    /// The property.
    pub property: &'static str,
    /// Steps from the initial state, in words.
    pub steps: Vec<String>,
    /// The state at the end.
    pub last: S,
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

/// Name of the property that [`Specification::settled`] stands for.
pub const EVENTUALLY: &str = "eventually settled once faults end";

/// Visits every state that `specification` can reach.
pub fn check<T: Specification>(specification: &T) -> Report<T::State> {
    let started = Instant::now();
    let mut reached = Vec::new();
    let mut found = None;
    for state in bfs_reach(initial(specification), |state| next(specification, state)) {
        found = specification.violated(&state);
        reached.push(state);
        if found.is_some() {
            break;
        }
    }
    let states = reached.len();
    let mut states_without_faults = 0;
    let counterexample = match found {
        Some(property) => Some(counterexample(specification, property, |state| {
            specification.violated(state).is_some()
        })),
        None => {
            let (count, stuck) = unsettled(specification, &reached);
            states_without_faults = count;
            stuck.map(|stuck| {
                counterexample(specification, EVENTUALLY, |state| {
                    specification
                        .without_faults(state)
                        .is_some_and(|calm| specification.canonical(calm) == stuck)
                        || *state == stuck
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

fn next<T: Specification>(specification: &T, state: &T::State) -> Vec<T::State> {
    let steps = specification.steps(state);
    let states = steps
        .into_iter()
        .map(|(_, next)| specification.canonical(next));
    states.filter(|next| next != state).collect()
}

fn initial<T: Specification>(specification: &T) -> T::State {
    specification.canonical(specification.initial())
}

/// Size of the graph without faults, and the first calm state from which a bottom component that
/// is not settled can be reached.
fn unsettled<T: Specification>(
    specification: &T,
    reached: &[T::State],
) -> (usize, Option<T::State>) {
    let calm: Vec<T::State> = reached
        .iter()
        .filter_map(|state| specification.without_faults(state))
        .map(|state| specification.canonical(state))
        .collect();
    let components = strongly_connected_components(&calm, |state| next(specification, state));
    let count = components.iter().map(Vec::len).sum();
    let stuck = components.iter().find(|component| {
        let bottom = component.iter().all(|state| {
            let next = next(specification, state);
            next.iter().all(|state| component.contains(state))
        });
        bottom && !component.iter().all(|state| specification.settled(state))
    });
    let Some(stuck) = stuck else {
        return (count, None);
    };
    let origin = calm.iter().find(|state| {
        let path = bfs(
            *state,
            |state| next(specification, state),
            |state| stuck.contains(state),
        );
        path.is_some()
    });
    (count, origin.cloned())
}

fn counterexample<T: Specification>(
    specification: &T,
    property: &'static str,
    ends: impl Fn(&T::State) -> bool,
) -> Counterexample<T::State> {
    let path = bfs(
        &initial(specification),
        |state| next(specification, state),
        |state| ends(state),
    );
    let path = path.expect("the state was reached before");
    // The path's states are canonical; the steps are told with the numbers of one real run.
    let mut steps = Vec::new();
    let mut last = specification.initial();
    for target in path.into_iter().skip(1) {
        let all = specification.steps(&last);
        let taken = all
            .into_iter()
            .find(|(_, state)| specification.canonical(state.clone()) == target);
        let (action, state) = taken.expect("a step of the path");
        steps.push(format!("{action:?}"));
        last = state;
    }
    Counterexample {
        property,
        steps,
        last,
    }
}
