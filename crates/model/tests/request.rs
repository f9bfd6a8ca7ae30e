//! Requests on their way: the promises to callers hold, and each mutation is caught.

use model::checker::{EVENTUALLY_SETTLED, check};
use model::request::{Bounds, Mutation, RequestSpec};

const AT_MOST_ONCE: &str = "a non-idempotent request runs at most once";
const NOT_RUN: &str = "a request that is called not run did not run";
const OWN_ANSWER: &str = "every caller gets the answer to its own request";

/// Payments: must not run twice.
const PAYMENTS: Bounds = Bounds {
    requests: 1,
    idempotent: false,
    attempts: 3,
    faults: 2,
};

/// Reads of prices.
const READS: Bounds = Bounds {
    idempotent: true,
    ..PAYMENTS
};

/// Without a retry, a wrong "not run" shows before a second run does.
const SINGLE_ATTEMPT: Bounds = Bounds {
    attempts: 1,
    ..PAYMENTS
};

const TWO_PAYMENTS: Bounds = Bounds {
    requests: 2,
    attempts: 2,
    ..PAYMENTS
};

#[track_caller]
fn assert_holds(bounds: Bounds) {
    let report = check(&RequestSpec::new(bounds, None));
    assert!(report.counterexample.is_none(), "{report:?}");
}

#[track_caller]
fn assert_caught(bounds: Bounds, mutation: Mutation, property: &str) {
    let report = check(&RequestSpec::new(bounds, Some(mutation)));
    let found = report.counterexample.expect("a counterexample");
    assert_eq!(found.property, property, "{:?}", found.steps);
}

#[test]
fn one_payment_holds() {
    assert_holds(PAYMENTS);
}

#[test]
fn one_read_holds() {
    assert_holds(READS);
}

#[test]
fn two_payments_at_once_hold() {
    assert_holds(TWO_PAYMENTS);
}

/// A payment runs, its answer is lost, and the entry sends it to another backend server.
#[test]
fn retrying_always_is_caught() {
    assert_caught(PAYMENTS, Mutation::RetryAlways, AT_MOST_ONCE);
}

/// The connection to the gate breaks while the payment is on its way, and the entry calls it not
/// run; the payment is tried again, or the caller does so.
#[test]
fn reporting_a_lost_attempt_as_not_run_is_caught() {
    assert_caught(SINGLE_ATTEMPT, Mutation::LostConnectionMeansNotRun, NOT_RUN);
}

#[test]
fn reporting_a_late_attempt_as_not_run_is_caught() {
    assert_caught(SINGLE_ATTEMPT, Mutation::TimeoutMeansNotRun, NOT_RUN);
}

/// The gate refuses a payment whose wait in the queue is over, and a slot takes it all the same.
#[test]
fn running_a_refused_request_is_caught() {
    assert_caught(SINGLE_ATTEMPT, Mutation::RunRefusedRequest, NOT_RUN);
}

/// A read is lost at the first endpoint and refused by the second; the caller hears "not run".
#[test]
fn ignoring_earlier_attempts_is_caught() {
    assert_caught(READS, Mutation::IgnoreEarlierAttempts, NOT_RUN);
}

/// A caller gives up, her answer comes late on a connection that already carries another's request,
/// and he gets her answer.
#[test]
fn reusing_a_connection_with_an_answer_outstanding_is_caught() {
    let mutation = Mutation::ReuseConnectionWithAnswerOutstanding;
    assert_caught(TWO_PAYMENTS, mutation, OWN_ANSWER);
}

#[test]
fn never_answering_a_failed_request_is_caught() {
    assert_caught(
        PAYMENTS,
        Mutation::NeverAnswerAfterFailure,
        EVENTUALLY_SETTLED,
    );
}
