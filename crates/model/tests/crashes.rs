//! A request that ends backend servers: which rule keeps the limit under which circumstances, and the shortest way in which
//! the others do not.

use model::checker::check;
use model::crashes::{Bounds, CrashSpec, Property, Reports, Rule};

/// One client that waits for each response, at two nodes in any order.
const ONE_CLIENT: Bounds = Bounds {
    nodes: 2,
    copies: 1,
    attempts: 5,
    reports: Reports::Prompt,
    faults: 0,
};

const COPIES: Bounds = Bounds {
    nodes: 3,
    copies: 3,
    attempts: 6,
    ..ONE_CLIENT
};

const AFTER_THREE: Property = Property::NoneSentAfterThreeEnds;
const THREE_AT_MOST: Property = Property::ThreeEndAtMost;

#[track_caller]
fn assert_holds(bounds: Bounds, property: Property) {
    let report = check(&CrashSpec::new(bounds, Rule::Product, property));
    assert!(report.counterexample.is_none(), "{report:?}");
}

/// Asserts that `rule` violates the property, in `steps` steps at the least.
#[track_caller]
fn assert_violated(bounds: Bounds, rule: Rule, property: Property, steps: usize) {
    let report = check(&CrashSpec::new(bounds, rule, property));
    let found = report.counterexample.expect("there is a counterexample");
    assert_eq!(found.property, property.as_str());
    assert_eq!(found.steps.len(), steps, "{:?}", found.steps);
}

#[test]
fn one_client_is_limited_at_whatever_nodes() {
    assert_holds(ONE_CLIENT, THREE_AT_MOST);
}

#[test]
fn one_client_at_one_node_is_limited_without_reports() {
    let bounds = Bounds {
        nodes: 1,
        ..ONE_CLIENT
    };
    assert_holds(bounds, THREE_AT_MOST);
    let report = check(&CrashSpec::new(bounds, Rule::OwnMemory, THREE_AT_MOST));
    assert!(report.counterexample.is_none(), "{report:?}");
}

#[test]
fn copies_at_once_are_limited_once_three_ends_are_told() {
    assert_holds(COPIES, AFTER_THREE);
}

/// The code before: nothing is remembered.
#[test]
fn without_memory_every_repeat_ends_a_server() {
    assert_violated(ONE_CLIENT, Rule::NoMemory, THREE_AT_MOST, 8);
}

/// A client that moves to another node.
#[test]
fn memory_of_its_own_does_not_suffice_at_two_nodes() {
    assert_violated(ONE_CLIENT, Rule::OwnMemory, THREE_AT_MOST, 8);
}

/// Two nodes that know of two ends each risk the last attempt at the same time.
#[test]
fn the_last_attempt_is_for_one_node() {
    let bounds = Bounds {
        nodes: 2,
        copies: 2,
        ..ONE_CLIENT
    };
    assert_violated(bounds, Rule::AnyNodeRisksTheLast, THREE_AT_MOST, 8);
}

/// Copies that begin before the first end are sent whatever is told later.
#[test]
fn copies_that_begin_together_exceed_three_ends() {
    let bounds = Bounds {
        copies: 4,
        ..COPIES
    };
    assert_violated(bounds, Rule::Product, THREE_AT_MOST, 8);
}
