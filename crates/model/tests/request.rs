//! Request forwarding: the guarantees for callers hold, and the checker catches each mutation.

use model::checker::{EVENTUALLY_SETTLED, check};
use model::request::{Bounds, Mutation, RequestSpec};

const AT_MOST_ONCE: &str = "a non-idempotent request runs at most once";
const NOT_RUN: &str = "a request reported as not run did not run";
const OWN_ANSWER: &str = "every caller gets the answer to its own request";

/// A payment, which is not idempotent: it must not run twice.
const PAYMENTS: Bounds = Bounds {
    requests: 1,
    idempotent: false,
    attempts: 3,
    faults: 2,
};

/// A read, which is idempotent.
const READS: Bounds = Bounds {
    idempotent: true,
    ..PAYMENTS
};

/// Without retries, a wrong "not run" verdict is the first violation. With retries, the checker would
/// find the second run of the payment first.
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
    let found = report
        .counterexample
        .expect("the checker finds a counterexample to the mutated protocol");
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

/// A payment runs, its answer is lost, and the entry retries it on another backend server.
#[test]
fn retrying_always_is_caught() {
    assert_caught(PAYMENTS, Mutation::RetryAlways, AT_MOST_ONCE);
}

/// The connection to the gate is lost after the payment was forwarded, and the entry reports "not
/// run". With that verdict the entry or the caller retries a payment that may have run.
#[test]
fn reporting_a_lost_attempt_as_not_run_is_caught() {
    assert_caught(SINGLE_ATTEMPT, Mutation::LostConnectionMeansNotRun, NOT_RUN);
}

#[test]
fn reporting_a_late_attempt_as_not_run_is_caught() {
    assert_caught(SINGLE_ATTEMPT, Mutation::TimeoutMeansNotRun, NOT_RUN);
}

/// The gate refuses a payment that has waited too long in its queue, but hands it to the backend server
/// all the same.
#[test]
fn running_a_refused_request_is_caught() {
    assert_caught(SINGLE_ATTEMPT, Mutation::RunRefusedRequest, NOT_RUN);
}

/// The connection is lost during the first attempt of a read, and the gate refuses the second attempt.
/// The caller receives "not run" although the first attempt may have run.
#[test]
fn ignoring_earlier_attempts_is_caught() {
    assert_caught(READS, Mutation::IgnoreEarlierAttempts, NOT_RUN);
}

/// A deadline passes, and the answer arrives late on a backend connection that already carries another
/// caller's request. The other caller receives that answer.
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
