//! Spread, apply and restart: the protocol holds at small bounds, and each mutation is caught.

use model::checker::{Counterexample, EVENTUALLY_SETTLED, check};
use model::distribution::{Bounds, DistributionSpec, FloorRule, Mutation, StartCondition, State};

const NO_VERSION_REGRESSION: &str = "a version never goes back at a node";
const ALL_OR_NOTHING: &str = "all of a version or none of it";

/// Two nodes, every kind of fault once.
const SMALL_BOUNDS: Bounds = Bounds {
    nodes: 2,
    versions: 2,
    crashes: 1,
    cuts: 1,
    outages: 1,
    dangling_version: None,
};

const WITH_DANGLING_VERSION: Bounds = Bounds {
    versions: 3,
    dangling_version: Some(2),
    ..SMALL_BOUNDS
};

fn counterexample(
    bounds: Bounds,
    rule: FloorRule,
    mutation: Option<Mutation>,
) -> Option<Counterexample<State>> {
    check(&DistributionSpec::new(bounds, rule, mutation)).counterexample
}

fn expect_caught(bounds: Bounds, rule: FloorRule, mutation: Mutation) -> Counterexample<State> {
    let found = counterexample(bounds, rule, Some(mutation));
    found.expect("the checker catches the mutation")
}

#[test]
fn one_witness_is_enough_for_two_nodes_and_two_crashes() {
    let bounds = Bounds {
        crashes: 2,
        ..SMALL_BOUNDS
    };
    let report = check(&DistributionSpec::new(bounds, FloorRule::ONE_WITNESS, None));
    assert!(report.counterexample.is_none(), "{report:?}");
    assert!(report.states > 10_000, "{report:?}");
}

#[test]
fn properties_hold_with_three_versions() {
    let bounds = Bounds {
        versions: 3,
        ..SMALL_BOUNDS
    };
    let found = counterexample(bounds, FloorRule::TWO_WITNESSES, None);
    assert!(found.is_none(), "{found:?}");
}

#[test]
fn two_witnesses_are_enough_for_three_nodes() {
    let bounds = Bounds {
        nodes: 3,
        cuts: 0,
        ..SMALL_BOUNDS
    };
    let found = counterexample(bounds, FloorRule::TWO_WITNESSES, None);
    assert!(found.is_none(), "{found:?}");
}

/// An operator sees version 2 in force at a node, then version 1 again after its VM was replaced.
/// The node enforced 2 and died before any peer heard of it; its successor could not reach the
/// platform and took the floor from peers that knew only of 1.
#[test]
fn floor_from_peers_alone_allows_an_older_version() {
    let found =
        counterexample(SMALL_BOUNDS, FloorRule::PEERS_ONLY, None).expect("a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
    assert_eq!(found.steps.len(), 8, "{found:?}");
}

/// As above, though one peer knew: that peer is the one that is cut off when the successor asks.
#[test]
fn one_witness_is_not_enough_when_it_is_cut_off() {
    let bounds = Bounds {
        nodes: 3,
        ..SMALL_BOUNDS
    };
    let found = counterexample(bounds, FloorRule::ONE_WITNESS, None).expect("a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
    assert!(found.steps.iter().any(|step| step.starts_with("CutOff")));
}

/// As above, though a peer knew and nobody was cut off: the successor began on the answers of the
/// others. As many peers may be left out as there are witnesses but one.
#[test]
fn answers_without_the_witness_are_not_enough() {
    let bounds = Bounds {
        nodes: 3,
        cuts: 0,
        ..SMALL_BOUNDS
    };
    let rule = FloorRule::ONE_WITNESS_FEWER_ANSWERS;
    let found = counterexample(bounds, rule, None).expect("a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
    let rule = FloorRule::TWO_WITNESSES_FEWER_ANSWERS;
    let found = counterexample(bounds, rule, None);
    assert!(found.is_none(), "{found:?}");
}

/// As above, though the node asked for a witness: nobody was in reach, and it enforced anyway.
#[test]
fn enforcing_without_a_reachable_witness_allows_an_older_version() {
    let rule = FloorRule::ONE_WITNESS_IN_REACH;
    let found = counterexample(SMALL_BOUNDS, rule, None).expect("a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
}

#[test]
fn start_without_floor_is_caught() {
    let rule = FloorRule {
        start_condition: StartCondition::Unconditional,
        ..FloorRule::TWO_WITNESSES
    };
    let found = counterexample(SMALL_BOUNDS, rule, None).expect("a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
}

#[test]
fn apply_without_comparing_versions_is_caught() {
    let mutation = Mutation::ApplyWithoutVersionCheck;
    let found = expect_caught(SMALL_BOUNDS, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, NO_VERSION_REGRESSION);
}

#[test]
fn apply_without_verifying_the_digest_is_caught() {
    let mutation = Mutation::ApplyWithoutDigestCheck;
    let found = expect_caught(SMALL_BOUNDS, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, ALL_OR_NOTHING);
}

#[test]
fn apply_in_parts_is_caught() {
    let mutation = Mutation::ApplyInParts;
    let found = expect_caught(SMALL_BOUNDS, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, ALL_OR_NOTHING);
}

/// A publisher with a fault in it has accepted version 2 although a team in it calls a service that
/// it does not hold. No node enforces it; all stay at version 1 and go on to version 3.
#[test]
fn version_with_dangling_reference_is_skipped() {
    let found = counterexample(WITH_DANGLING_VERSION, FloorRule::HEAD_ONLY, None);
    assert!(found.is_none(), "{found:?}");
}

#[test]
fn apply_without_reference_check_is_caught() {
    let mutation = Mutation::ApplyWithoutReferenceCheck;
    let found = expect_caught(WITH_DANGLING_VERSION, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, "references close");
}

/// The first statement of a restarted process, which enforces nothing yet, replaces what a peer
/// remembered of its address; asking for the floor then erases the floor.
#[test]
fn recording_only_the_latest_report_is_caught() {
    let found = expect_caught(
        SMALL_BOUNDS,
        FloorRule::TWO_WITNESSES,
        Mutation::RecordLatestReport,
    );
    assert_eq!(found.property, NO_VERSION_REGRESSION);
}

/// One lost fetch, and a node stays at its version for ever although everything is back.
#[test]
fn never_retrying_a_fetch_is_caught() {
    let found = expect_caught(
        SMALL_BOUNDS,
        FloorRule::TWO_WITNESSES,
        Mutation::NeverRetryFetch,
    );
    assert_eq!(found.property, EVENTUALLY_SETTLED);
}
