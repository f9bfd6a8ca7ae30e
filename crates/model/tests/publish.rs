//! Publication by two operators: the product's `publish` holds, and each mutation is caught.

use model::checker::check;
use model::publish::{Bounds, Mutation, PublishSpec, Scenario};

const AT_MOST_ONCE: &str = "a publication is committed at most once";
const NO_VERSION_LOST: &str = "accepted is never lost or reverted";
const OUTCOME_REPORTED: &str = "the operator is told what became of the publication";
const NO_UNSEEN_OVERWRITE: &str =
    "what others published to the same team is not overwritten unseen";

/// One answer lost, one call that finds the platform away, one resumed run.
fn small_bounds(scenario: Scenario) -> Bounds {
    Bounds {
        scenario,
        outages: 1,
        losses: 1,
        runs: 2,
    }
}

fn assert_holds(scenario: Scenario) {
    let report = check(&PublishSpec::new(small_bounds(scenario), None));
    assert!(report.counterexample.is_none(), "{report:?}");
    assert!(report.states > 4_000, "{} states", report.states);
}

#[track_caller]
fn assert_caught(scenario: Scenario, mutation: Mutation, property: &str) {
    let report = check(&PublishSpec::new(small_bounds(scenario), Some(mutation)));
    let found = report.counterexample.expect("a counterexample");
    assert_eq!(found.property, property, "{:?}", found.steps);
}

#[test]
fn two_operators_publish_the_same_team() {
    assert_holds(Scenario::SameTeam);
}

#[test]
fn two_operators_publish_different_teams() {
    assert_holds(Scenario::DifferentTeams);
}

#[test]
fn two_operators_publish_conflicting_references() {
    assert_holds(Scenario::CrossReference);
}

/// Two operators publish at once; the later commit replaces the earlier one's head and row, and the
/// earlier operator's accepted change is gone.
#[test]
fn commit_without_the_head_condition_is_caught() {
    let mutation = Mutation::WithoutHeadCondition;
    assert_caught(Scenario::DifferentTeams, mutation, NO_VERSION_LOST);
}

/// An operator's commit is delayed on its way; she settles it as "not published", publishes nothing,
/// and then the delayed commit arrives.
#[test]
fn commit_without_the_id_condition_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::WithoutIdCondition,
        OUTCOME_REPORTED,
    );
}

/// The platform stops between two writes: the head names a version that has no row.
#[test]
fn commit_in_parts_is_caught() {
    assert_caught(Scenario::SameTeam, Mutation::CommitInParts, NO_VERSION_LOST);
}

/// A commit is delayed, the operator resumes and commits, and the delayed commit arrives as well.
#[test]
fn unconditional_commit_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::CommitUnconditionally,
        AT_MOST_ONCE,
    );
}

/// The answer is lost after the commit; the operator publishes again under a new id and is told that
/// it was refused, though it is in force.
#[test]
fn new_id_for_a_lost_publication_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::NewIdOnResume,
        OUTCOME_REPORTED,
    );
}

/// The commit is lost, another operator publishes the same team, and the resumed publication
/// overwrites her records without either of them being told.
#[test]
fn resume_on_a_head_that_was_not_seen_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::ResumeOnCurrentHead,
        NO_UNSEEN_OVERWRITE,
    );
}

/// The answer is lost after the commit, the operator resumes, and the platform is away for one
/// call: the command said "refused, nothing was changed" (exit code 1) of a version in force. The
/// product did so until the model found it.
#[test]
fn resume_that_ignores_the_earlier_run_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::ResumeAsFirstRun,
        OUTCOME_REPORTED,
    );
}

#[test]
fn reporting_a_lost_answer_as_a_refusal_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::LostAnswerMeansRefused,
        OUTCOME_REPORTED,
    );
}
