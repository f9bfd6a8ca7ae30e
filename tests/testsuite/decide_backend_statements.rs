//! Tests of what holds of a backend server's statements when responses cross or lack a header.

use dragonflywall::core::backend_statement::{
    BackendStatement, ReportedStatements, RequestRate, StatedLimit,
};
use dragonflywall::core::member::NodeId;
use dragonflywall::core::names::InstanceName;
use dragonflywall::core::status::BackendStart;
use dragonflywall::decide::backend_statements::{BackendStatements, LimitChange, StatementChanges};
use dragonflywall::decide::known_statements::KnownStatements;
use proptest::prelude::*;

const SECOND_US: u64 = 1_000_000;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a valid rate")
}

fn naming(per_s: f64) -> BackendStatement {
    BackendStatement {
        limit: StatedLimit::Rate(rate(per_s)),
        leaving: false,
    }
}

fn silent() -> BackendStatement {
    BackendStatement::default()
}

fn limit_change(changes: StatementChanges) -> Option<LimitChange> {
    changes.limit
}

#[test]
fn a_limit_holds_from_the_first_response_that_names_it() {
    let mut statements = BackendStatements::default();
    assert_eq!(statements.limit(), None);
    let changes = statements.record(10, 5, &naming(14.0));
    assert_eq!(
        limit_change(changes),
        Some(LimitChange::Started { rate: rate(14.0) })
    );
    assert_eq!(statements.limit(), Some(rate(14.0)));
    assert_eq!(statements.limit_age_us(110), Some(100));
}

/// Guards against a response from before the limit was named that ends it because it arrives later.
#[test]
fn responses_from_before_a_limit_do_not_end_it() {
    let mut statements = BackendStatements::default();
    statements.record(SECOND_US, 0, &naming(14.0));
    for sent_us in [0, SECOND_US / 2, SECOND_US] {
        for now_us in [SECOND_US + 1, 9 * SECOND_US] {
            assert_eq!(
                limit_change(statements.record(now_us, sent_us, &silent())),
                None
            );
        }
    }
    assert_eq!(statements.limit(), Some(rate(14.0)));
}

/// Guards against a limit that is dropped because some responses lack the header.
#[test]
fn a_limit_in_a_part_of_the_responses_holds() {
    let mut statements = BackendStatements::default();
    statements.record(0, 0, &naming(14.0));
    for number in 1..200_u64 {
        let now_us = number * 70_000;
        let statement = match number % 5 {
            0 => naming(14.0),
            _ => silent(),
        };
        statements.record(now_us, now_us - 30_000, &statement);
        assert_eq!(statements.limit(), Some(rate(14.0)), "at {now_us}");
    }
}

#[test]
fn a_limit_ends_within_about_a_second_of_its_last_naming() {
    let mut statements = BackendStatements::default();
    statements.record(0, 0, &naming(14.0));
    let mut ended_us = None;
    for number in 1..40_u64 {
        let now_us = number * 70_000;
        let changes = statements.record(now_us, now_us - 30_000, &silent());
        if let Some(LimitChange::Ended { rate: ended, .. }) = changes.limit {
            assert_eq!(ended, rate(14.0));
            ended_us = Some(now_us);
            break;
        }
    }
    assert!(
        ended_us.is_some_and(|at_us| at_us < 1_200_000),
        "{ended_us:?}"
    );
    assert_eq!(statements.limit(), None);
    assert_eq!(statements.limit_age_us(SECOND_US), None);
}

/// Guards against an older response that raises a limit which was lowered since.
#[test]
fn a_limit_falls_at_once_and_rises_only_by_later_responses() {
    let mut statements = BackendStatements::default();
    statements.record(100, 0, &naming(40.0));
    let lowered = LimitChange::Changed {
        from: rate(40.0),
        to: rate(14.0),
    };
    assert_eq!(
        limit_change(statements.record(200, 0, &naming(14.0))),
        Some(lowered)
    );
    assert_eq!(
        limit_change(statements.record(300, 150, &naming(40.0))),
        None
    );
    assert_eq!(statements.limit(), Some(rate(14.0)));
    let raised = LimitChange::Changed {
        from: rate(14.0),
        to: rate(40.0),
    };
    assert_eq!(
        limit_change(statements.record(400, 250, &naming(40.0))),
        Some(raised)
    );
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing() {
    let unreadable = BackendStatement {
        limit: StatedLimit::Unreadable,
        leaving: false,
    };
    let mut statements = BackendStatements::default();
    assert_eq!(limit_change(statements.record(0, 0, &unreadable)), None);
    assert_eq!(statements.limit(), None);
    statements.record(0, 0, &naming(14.0));
    for number in 1..100_u64 {
        let now_us = number * SECOND_US;
        assert_eq!(
            limit_change(statements.record(now_us, now_us - 1, &unreadable)),
            None
        );
    }
    assert_eq!(statements.limit(), Some(rate(14.0)));
}

#[test]
fn leaving_is_never_taken_back() {
    let leaving = BackendStatement {
        leaving: true,
        ..silent()
    };
    let mut statements = BackendStatements::default();
    assert!(statements.record(0, 0, &leaving).started_leaving);
    assert!(!statements.record(1, 0, &leaving).started_leaving);
    statements.record(9 * SECOND_US, 8 * SECOND_US, &silent());
    assert!(statements.is_leaving());
}

#[test]
fn only_finite_rates_that_are_not_negative_are_valid() {
    for per_s in [0.0, 0.5, 37.5, 1e9] {
        assert_eq!(rate(per_s).per_s(), per_s);
    }
    for per_s in [-1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(RequestRate::from_per_s(per_s), None);
    }
}

fn reported(per_s: Option<f64>, leaving: bool) -> ReportedStatements {
    ReportedStatements {
        start: BackendStart {
            instance: InstanceName::new("i-1"),
            started_ms: 10,
        },
        limit: per_s.map(rate),
        leaving,
    }
}

/// Guards against a process that starts without knowing of a limit which other nodes know.
#[test]
fn a_reported_limit_holds_until_responses_say_otherwise() {
    let mut statements = BackendStatements::default();
    let changes = statements.record_reported(0, Some(rate(14.0)), false);
    assert_eq!(
        limit_change(changes),
        Some(LimitChange::Started { rate: rate(14.0) })
    );
    statements.record_reported(1, Some(rate(20.0)), false);
    assert_eq!(statements.limit(), Some(rate(14.0)));
    statements.record(2 * SECOND_US, SECOND_US, &silent());
    statements.record(2 * SECOND_US, SECOND_US, &silent());
    assert_eq!(statements.limit(), None);
}

/// Guards against a limit that has ended and is brought back by a node that was not told of the end.
#[test]
fn a_reported_limit_is_ignored_after_the_first_response() {
    let mut statements = BackendStatements::default();
    statements.record(1, 0, &silent());
    statements.record_reported(2, Some(rate(14.0)), false);
    assert_eq!(statements.limit(), None);
}

#[test]
fn reported_leaving_counts_at_any_time() {
    let mut statements = BackendStatements::default();
    statements.record(1, 0, &silent());
    assert!(statements.record_reported(2, None, true).started_leaving);
    assert!(statements.is_leaving());
}

/// Guards against a response to an earlier request that makes a node forget what it was told since.
#[test]
fn known_statements_are_dropped_only_if_the_gate_was_sent_them() {
    let node = NodeId(([10, 0, 0, 1], 80).into());
    let limit = reported(Some(14.0), false);
    let mut known = KnownStatements::default();
    known.record(node, limit.clone());
    known.record_none(node, None);
    assert_eq!(known.get(node), Some(&limit));
    let leaving = reported(None, true);
    known.record(node, leaving.clone());
    known.record_none(node, Some(&limit));
    assert_eq!(known.get(node), Some(&leaving));
    known.record_none(node, Some(&leaving));
    assert_eq!(known.get(node), None);
}

#[test]
fn known_statements_are_bounded() {
    let mut known = KnownStatements::default();
    let node = |number: u16| NodeId(([10, 0, 0, 1], number).into());
    for number in 0..5_000 {
        known.record(node(number), reported(Some(14.0), false));
    }
    assert_eq!(known.get(node(0)), None);
    assert!(known.get(node(4_999)).is_some());
}

/// A response: when its request was sent, when it was made, when it arrived, and the limit that it names.
#[derive(Clone, Copy, Debug)]
struct TimedResponse {
    sent_us: u64,
    made_us: u64,
    received_us: u64,
    per_s: Option<f64>,
}

fn timed_responses() -> impl Strategy<Value = Vec<TimedResponse>> {
    let limits = prop::collection::vec(prop::option::of(1..50_u32), 1..6);
    let times = (0..8_000_000_u64, 0..300_000_u64, 0..400_000_u64);
    let times = prop::collection::vec(times, 1..120);
    (limits, times).prop_map(|(limits, times)| {
        let limit_at = |made_us: u64| {
            let position = made_us as usize * limits.len() / 9_000_000;
            limits[position.min(limits.len() - 1)].map(f64::from)
        };
        let response = |(sent_us, work_us, delay_us)| TimedResponse {
            sent_us,
            made_us: sent_us + work_us,
            received_us: sent_us + work_us + delay_us,
            per_s: limit_at(sent_us + work_us),
        };
        let mut responses: Vec<TimedResponse> = times.into_iter().map(response).collect();
        responses.sort_by_key(|response| response.received_us);
        responses
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against responses that cross and leave a higher limit in force than the last one that was made names.
    #[test]
    fn crossing_responses_never_raise_the_limit_above_the_latest(responses in timed_responses()) {
        let mut statements = BackendStatements::default();
        let mut latest: Option<TimedResponse> = None;
        for response in responses {
            let statement = response.per_s.map_or_else(silent, naming);
            statements.record(response.received_us, response.sent_us, &statement);
            if latest.is_none_or(|latest| latest.made_us <= response.made_us) {
                latest = Some(response);
            }
            let named = latest.and_then(|latest| latest.per_s);
            if let Some(named) = named {
                let in_force = statements.limit().map(RequestRate::per_s);
                prop_assert!(in_force.is_some_and(|per_s| per_s <= named), "{:?} > {}", in_force, named);
            }
        }
    }
}
