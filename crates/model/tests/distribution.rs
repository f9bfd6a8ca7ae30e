//! Distribution: the properties hold within small bounds, and the checker catches each mutation.

use model::checker::{Counterexample, EVENTUALLY_SETTLED, check};
use model::distribution::{Bounds, DistributionSpec, FloorRule, Mutation, StartCondition, State};

const NO_VERSION_REGRESSION: &str = "a node never goes back to an older version";
const ALL_OR_NOTHING: &str = "a node enforces all of a version or none of it";

/// Two nodes, two versions, and each kind of fault at most once.
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
    found.expect("the checker finds a counterexample to the mutated protocol")
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

/// A node enforces version 2 and crashes before any peer has received its report. The process
/// restarted at its address cannot reach the platform, takes its floor from peers that have recorded
/// only version 1, and enforces version 1 again.
#[test]
fn floor_from_peers_alone_allows_an_older_version() {
    let found = counterexample(SMALL_BOUNDS, FloorRule::PEERS_ONLY, None)
        .expect("the checker finds a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
    assert_eq!(found.steps.len(), 8, "{found:?}");
}

/// One peer has recorded version 2 before the node enforces it, but that peer is cut off while the
/// restarted node queries its floor. The node goes back to version 1.
#[test]
fn one_witness_is_not_enough_when_it_is_cut_off() {
    let bounds = Bounds {
        nodes: 3,
        ..SMALL_BOUNDS
    };
    let found = counterexample(bounds, FloorRule::ONE_WITNESS, None)
        .expect("the checker finds a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
    assert!(found.steps.iter().any(|step| step.starts_with("CutOff")));
}

/// One peer has recorded version 2 and no node is cut off, but the restarted node starts with the
/// answers of the other peers only. With N witnesses, a start may omit the answers of N - 1 peers at
/// most.
#[test]
fn answers_without_the_witness_are_not_enough() {
    let bounds = Bounds {
        nodes: 3,
        cuts: 0,
        ..SMALL_BOUNDS
    };
    let rule = FloorRule::ONE_WITNESS_FEWER_ANSWERS;
    let found = counterexample(bounds, rule, None).expect("the checker finds a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
    let rule = FloorRule::TWO_WITNESSES_FEWER_ANSWERS;
    let found = counterexample(bounds, rule, None);
    assert!(found.is_none(), "{found:?}");
}

/// No peer is reachable to record version 2, and the node enforces it all the same. After a crash no
/// peer can report version 2 as the node's floor.
#[test]
fn enforcing_without_a_reachable_witness_allows_an_older_version() {
    let rule = FloorRule::ONE_WITNESS_IN_REACH;
    let found =
        counterexample(SMALL_BOUNDS, rule, None).expect("the checker finds a counterexample");
    assert_eq!(found.property, NO_VERSION_REGRESSION);
}

#[test]
fn start_without_floor_is_caught() {
    let rule = FloorRule {
        start_condition: StartCondition::Unconditional,
        ..FloorRule::TWO_WITNESSES
    };
    let found =
        counterexample(SMALL_BOUNDS, rule, None).expect("the checker finds a counterexample");
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

/// A faulty publisher has accepted version 2 although a team in it calls a service that it does not
/// contain. No node enforces version 2; all nodes go from version 1 to version 3.
#[test]
fn version_with_dangling_reference_is_skipped() {
    let found = counterexample(WITH_DANGLING_VERSION, FloorRule::HEAD_ONLY, None);
    assert!(found.is_none(), "{found:?}");
}

#[test]
fn apply_without_reference_check_is_caught() {
    let mutation = Mutation::ApplyWithoutReferenceCheck;
    let found = expect_caught(WITH_DANGLING_VERSION, FloorRule::HEAD_ONLY, mutation);
    assert_eq!(found.property, "every reference resolves");
}

/// A peer replaces the highest version recorded for an address by the first report of a restarted
/// process, which enforces nothing yet. The floor query itself then erases the floor.
#[test]
fn recording_only_the_latest_report_is_caught() {
    let found = expect_caught(
        SMALL_BOUNDS,
        FloorRule::TWO_WITNESSES,
        Mutation::RecordLatestReport,
    );
    assert_eq!(found.property, NO_VERSION_REGRESSION);
}

/// After one failed fetch a node never fetches again, and stays at its version after all faults end.
#[test]
fn never_retrying_a_fetch_is_caught() {
    let found = expect_caught(
        SMALL_BOUNDS,
        FloorRule::TWO_WITNESSES,
        Mutation::NeverRetryFetch,
    );
    assert_eq!(found.property, EVENTUALLY_SETTLED);
}
