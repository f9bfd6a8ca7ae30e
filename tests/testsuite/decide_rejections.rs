//! Rejections of a backend server, against what its gate has observed.

use dragonflywall::decide::rejections::{RejectedRequest, Rejections, rejection_time_max_us};
use proptest::prelude::*;

/// Usual service time of the requests.
const SERVICE_TIME_US: u64 = 240_000;
/// Longer than any rejection is disbelieved because of an earlier one.
const LATER_US: u64 = 10_000_000;

fn rejected(held_us: u64) -> RejectedRequest {
    RejectedRequest {
        held_us,
        rejection_time_max_us: rejection_time_max_us(SERVICE_TIME_US),
        has_calls: false,
        is_disconnected: false,
    }
}

#[test]
fn a_rejection_that_comes_at_once_counts() {
    let mut rejections = Rejections::default();
    assert!(rejections.record(0, &rejected(500)));
    assert!(rejections.record(1, &rejected(500)));
}

#[test]
fn the_time_of_a_rejection_is_a_small_part_of_a_run_within_bounds() {
    let most_us = rejection_time_max_us(u64::MAX);
    for service_time_us in [0, 1_000, 80_000, 240_000, 60_000_000] {
        let time_us = rejection_time_max_us(service_time_us);
        assert!(time_us > 0 && time_us <= most_us, "{service_time_us}");
    }
    assert!(rejection_time_max_us(SERVICE_TIME_US) * 16 <= SERVICE_TIME_US);
    assert!(most_us < 1_000_000);
}

/// Guards against a promise for a request that its backend server held for long enough to begin it.
#[test]
fn a_rejection_that_comes_late_proves_nothing() {
    let mut rejections = Rejections::default();
    let late_us = rejection_time_max_us(SERVICE_TIME_US) + 1;
    assert!(!rejections.record(0, &rejected(late_us)));
}

/// Guards against a promise for a request for which its backend server has made calls.
#[test]
fn a_rejection_of_a_request_with_calls_proves_nothing() {
    let mut rejections = Rejections::default();
    let request = RejectedRequest {
        has_calls: true,
        ..rejected(500)
    };
    assert!(!rejections.record(0, &request));
}

/// Guards against a promise for a request that was under way at a backend server which stops.
#[test]
fn a_rejection_before_the_connection_closes_proves_nothing() {
    let mut rejections = Rejections::default();
    let request = RejectedRequest {
        is_disconnected: true,
        ..rejected(500)
    };
    assert!(!rejections.record(0, &request));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(70),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a backend server that rejects all that it runs, in any order of the rejections.
    #[test]
    fn rejections_beside_a_contradicted_one_prove_nothing(
        held_us in proptest::collection::vec(0_u64..400_000, 1..20),
    ) {
        let mut rejections = Rejections::default();
        let late_us = rejection_time_max_us(SERVICE_TIME_US);
        let counted: Vec<bool> = held_us
            .iter()
            .map(|held_us| rejections.record(LATER_US, &rejected(*held_us)))
            .collect();
        let is_contradicted = held_us.iter().any(|held_us| *held_us > late_us);
        prop_assert_eq!(rejections.record(LATER_US, &rejected(0)), !is_contradicted);
        let first = held_us.iter().position(|held_us| *held_us > late_us);
        let expected: Vec<bool> = (0..held_us.len())
            .map(|position| first.is_none_or(|first| position < first))
            .collect();
        prop_assert_eq!(counted, expected);
        prop_assert!(rejections.record(2 * LATER_US, &rejected(0)));
    }
}
