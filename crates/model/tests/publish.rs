//! Publication by two operators: the properties of the product's `publish` hold, and the checker catches
//! each mutation.

use model::checker::check;
use model::publish::{Bounds, Mutation, PublishSpec, Scenario};

const AT_MOST_ONCE: &str = "a publication is committed at most once";
const NO_VERSION_LOST: &str = "an accepted version is never lost or reverted";
const OUTCOME_REPORTED: &str = "a command reports the true outcome of its publication";
const NO_UNSEEN_OVERWRITE: &str =
    "a publication overwrites no change to its team that its operator has not seen";

/// At most one lost answer, one call while the platform is unavailable, and one resumed run.
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
    let found = report
        .counterexample
        .expect("the checker finds a counterexample to the mutated protocol");
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

/// Two operators publish concurrently. The later commit replaces the head row and the version row of
/// the earlier one, and the change accepted first is lost.
#[test]
fn commit_without_the_head_condition_is_caught() {
    let mutation = Mutation::WithoutHeadCondition;
    assert_caught(Scenario::DifferentTeams, mutation, NO_VERSION_LOST);
}

/// A commit request is delayed. The operator settles the publication, which is reported as not
/// published, and then the delayed commit takes effect.
#[test]
fn commit_without_the_id_condition_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::WithoutIdCondition,
        OUTCOME_REPORTED,
    );
}

/// The platform stops between two writes of a commit, and the head names a version without a row.
#[test]
fn commit_in_parts_is_caught() {
    assert_caught(Scenario::SameTeam, Mutation::CommitInParts, NO_VERSION_LOST);
}

/// A commit request is delayed, a resumed run commits, and then the delayed commit takes effect too.
#[test]
fn unconditional_commit_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::CommitUnconditionally,
        AT_MOST_ONCE,
    );
}

/// The answer to a commit is lost. The operator publishes again under a new id, and the command
/// reports a refusal although the change was published.
#[test]
fn new_id_for_a_lost_publication_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::NewIdOnResume,
        OUTCOME_REPORTED,
    );
}

/// A commit request is lost, a second operator publishes the same team, and the resumed publication
/// overwrites the second operator's records without a message to either operator.
#[test]
fn resume_on_a_head_that_was_not_seen_is_caught() {
    assert_caught(
        Scenario::SameTeam,
        Mutation::ResumeOnCurrentHead,
        NO_UNSEEN_OVERWRITE,
    );
}

/// The answer to a commit is lost, and the platform is unavailable for one call of the resumed run.
/// The command reports "refused, nothing was changed" (exit code 1) although the version was
/// published. This check found that fault in the product.
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
