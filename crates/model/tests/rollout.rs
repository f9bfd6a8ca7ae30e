//! Roll-outs: the properties hold within small bounds, and the checker catches each mutation.

use model::checker::check;
use model::rollout::{
    Bounds, Mutation, NEVER_COMPLETED_BY_A_LEAD_THAT_CONDEMNED, ONE_OUTCOME,
    ONLY_FOR_THE_NEWEST_ORDER, RolloutSpec,
};

/// One order, and each kind of fault at most once.
const ONE_ORDER: Bounds = Bounds {
    orders: 1,
    faults: 1,
    condemnations: 1,
};

/// An order that is replaced or withdrawn.
const TWO_ORDERS: Bounds = Bounds {
    orders: 2,
    faults: 0,
    condemnations: 1,
};

fn violated_by(bounds: Bounds, mutation: Mutation) -> &'static str {
    let report = check(&RolloutSpec::new(bounds, Some(mutation)));
    let found = report.counterexample;
    found.expect("the checker finds a counterexample").property
}

#[test]
fn every_order_gets_one_outcome_while_leads_restart_and_answers_are_lost() {
    for bounds in [ONE_ORDER, TWO_ORDERS] {
        let report = check(&RolloutSpec::new(bounds, None));
        assert!(report.counterexample.is_none(), "{report:?}");
        assert!(report.states > 1_000, "{}", report.states);
    }
}

#[test]
fn a_write_without_the_condition_on_the_state_is_caught() {
    let property = violated_by(ONE_ORDER, Mutation::WithoutStateCondition);
    assert_eq!(property, ONE_OUTCOME);
}

#[test]
fn a_write_without_the_condition_on_the_order_is_caught() {
    let property = violated_by(TWO_ORDERS, Mutation::WithoutOrderCondition);
    assert_eq!(property, ONLY_FOR_THE_NEWEST_ORDER);
}

#[test]
fn a_lead_that_ignores_its_evidence_is_caught() {
    let property = violated_by(ONE_ORDER, Mutation::IgnoreCondemnation);
    assert_eq!(property, NEVER_COMPLETED_BY_A_LEAD_THAT_CONDEMNED);
}

#[test]
fn a_lead_that_does_not_learn_from_a_conflict_still_learns_from_the_store() {
    let report = check(&RolloutSpec::new(ONE_ORDER, Some(Mutation::ForgetConflict)));
    assert!(report.counterexample.is_none(), "{report:?}");
}
