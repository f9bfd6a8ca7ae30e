//! Spread, apply and restart: the protocol holds at small bounds, and each mutation is caught.

use model::checker::{Counterexample, EVENTUALLY, check};
use model::distribution::{Bounds, FloorRule, Mutation, Spread, Start, State};

const NEVER_BACK: &str = "a version never goes back at a node";
const WHOLE: &str = "all of a version or none of it";

/// Two nodes, every kind of fault once.
const SMALL: Bounds = Bounds {
    nodes: 2,
    versions: 2,
    crashes: 1,
    cuts: 1,
    outages: 1,
    open_version: None,
};

const WITH_OPEN_VERSION: Bounds = Bounds {
    versions: 3,
    open_version: Some(2),
    ..SMALL
};

fn counterexample(
    bounds: Bounds,
    rule: FloorRule,
    mutation: Option<Mutation>,
) -> Option<Counterexample<State>> {
    check(&Spread::new(bounds, rule, mutation)).counterexample
}

fn caught(bounds: Bounds, rule: FloorRule, mutation: Mutation) -> Counterexample<State> {
    let found = counterexample(bounds, rule, Some(mutation));
    found.expect("the checker catches the mutation")
}

#[test]
fn two_nodes_hold_with_one_witness_and_two_deaths() {
    let bounds = Bounds {
        crashes: 2,
        ..SMALL
    };
    let report = check(&Spread::new(bounds, FloorRule::ONE_WITNESS, None));
    assert!(report.counterexample.is_none(), "{report:?}");
    assert!(report.states > 10_000, "{report:?}");
}

#[test]
fn three_versions_hold() {
    let bounds = Bounds {
        versions: 3,
        ..SMALL
    };
    let found = counterexample(bounds, FloorRule::TWO_WITNESSES, None);
    assert!(found.is_none(), "{found:?}");
}

#[test]
fn three_nodes_hold_with_two_witnesses() {
    let bounds = Bounds {
        nodes: 3,
        cuts: 0,
        ..SMALL
    };
    let found = counterexample(bounds, FloorRule::TWO_WITNESSES, None);
    assert!(found.is_none(), "{found:?}");
}

/// An operator sees version 2 in force at a node, then version 1 again after its VM was replaced.
/// The node enforced 2 and died before any peer heard of it; its successor could not reach the
/// platform and took the floor from peers that knew only of 1.
#[test]
fn floor_from_peers_alone_goes_back() {
    let found = counterexample(SMALL, FloorRule::PEERS_ONLY, None).expect("a counterexample");
    assert_eq!(found.property, NEVER_BACK);
    assert_eq!(found.steps.len(), 8, "{found:?}");
}

/// As above, though one peer knew: that peer is the one that is cut off when the successor asks.
#[test]
fn one_witness_is_not_enough_when_it_is_cut_off() {
    let bounds = Bounds { nodes: 3, ..SMALL };
    let found = counterexample(bounds, FloorRule::ONE_WITNESS, None).expect("a counterexample");
    assert_eq!(found.property, NEVER_BACK);
    assert!(found.steps.iter().any(|step| step.starts_with("CutOff")));
}

/// As above, though a peer knew and nobody was cut off: the successor began on the answers of the
/// others. As many peers may be left out as there are witnesses but one.
#[test]
fn answers_without_the_witness_are_not_enough() {
    let bounds = Bounds {
        nodes: 3,
        cuts: 0,
        ..SMALL
    };
    let rule = FloorRule::ONE_WITNESS_FEWER_ANSWERS;
    let found = counterexample(bounds, rule, None).expect("a counterexample");
    assert_eq!(found.property, NEVER_BACK);
    let rule = FloorRule::TWO_WITNESSES_FEWER_ANSWERS;
    let found = counterexample(bounds, rule, None);
    assert!(found.is_none(), "{found:?}");
}

/// As above, though the node asked for a witness: nobody was in reach, and it enforced anyway.
#[test]
fn enforcing_unwitnessed_goes_back() {
    let rule = FloorRule::ONE_WITNESS_IN_REACH;
    let found = counterexample(SMALL, rule, None).expect("a counterexample");
    assert_eq!(found.property, NEVER_BACK);
}

#[test]
fn start_without_floor_is_caught() {
    let rule = FloorRule {
        start: Start::Nothing,
        ..FloorRule::TWO_WITNESSES
    };
    let found = counterexample(SMALL, rule, None).expect("a counterexample");
    assert_eq!(found.property, NEVER_BACK);
}

#[test]
fn apply_without_comparing_versions_is_caught() {
    let mutation = Mutation::ApplyWithoutComparing;
    let found = caught(SMALL, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, NEVER_BACK);
}

#[test]
fn apply_without_verifying_the_digest_is_caught() {
    let mutation = Mutation::ApplyWithoutDigest;
    let found = caught(SMALL, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, WHOLE);
}

#[test]
fn apply_in_parts_is_caught() {
    let mutation = Mutation::ApplyInParts;
    let found = caught(SMALL, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, WHOLE);
}

/// A publisher with a fault in it has accepted version 2 although a team in it calls a service that
/// it does not hold. No node enforces it; all stay at version 1 and go on to version 3.
#[test]
fn open_version_is_passed_over() {
    let found = counterexample(WITH_OPEN_VERSION, FloorRule::HEAD_ONLY, None);
    assert!(found.is_none(), "{found:?}");
}

#[test]
fn apply_without_closure_check_is_caught() {
    let mutation = Mutation::ApplyWithoutClosureCheck;
    let found = caught(WITH_OPEN_VERSION, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, "references close");
}

/// The first statement of a restarted process, which enforces nothing yet, replaces what a peer
/// remembered of its address; asking for the floor then erases the floor.
#[test]
fn remembering_only_the_latest_statement_is_caught() {
    let found = caught(SMALL, FloorRule::TWO_WITNESSES, Mutation::RememberLatest);
    assert_eq!(found.property, NEVER_BACK);
}

/// One lost fetch, and a node stays at its version for ever although everything is back.
#[test]
fn never_fetching_again_is_caught() {
    let found = caught(SMALL, FloorRule::TWO_WITNESSES, Mutation::NeverFetchAgain);
    assert_eq!(found.property, EVENTUALLY);
}
