//! Estimation of transit delays between nodes.

use dragonflywall::decide::freeze::FreezeDetector;
use dragonflywall::decide::transit::DelayEstimator;

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLISECOND_US;

/// Two VMs started an hour apart, so their monotonic clocks differ by an hour in either direction. The
/// usual transit time is 20 ms; a request that takes a second was delayed by the rest.
#[test]
fn delay_is_independent_of_the_clock_offset() {
    for (sender, receiver) in [(0, 3_600 * SECOND_US), (3_600 * SECOND_US, 0)] {
        let mut estimator = DelayEstimator::default();
        let mut delay_us = |sent_us, took_us| {
            estimator.delay_us(receiver + sent_us + took_us, sender + sent_us, 0)
        };
        assert_eq!(delay_us(0, 25 * MILLISECOND_US), 0);
        assert_eq!(delay_us(10 * MILLISECOND_US, 20 * MILLISECOND_US), 0);
        assert_eq!(
            delay_us(20 * MILLISECOND_US, 22 * MILLISECOND_US),
            2 * MILLISECOND_US
        );
        assert_eq!(
            delay_us(30 * MILLISECOND_US, SECOND_US),
            980 * MILLISECOND_US
        );
        assert_eq!(delay_us(2 * SECOND_US, 20 * MILLISECOND_US), 0);
    }
}

/// Guards against clock drift that is measured as delay: the clocks drift apart by a twentieth of a percent
/// for an hour. Compared with the first request, the last would seem delayed by seconds.
#[test]
fn clock_drift_is_not_taken_for_delay() {
    let mut estimator = DelayEstimator::default();
    for second in 0..3_600 {
        let sent_us = second * SECOND_US;
        let drift_us = sent_us / 2_000;
        let delay_us = estimator.delay_us(sent_us + drift_us + 20 * MILLISECOND_US, sent_us, 0);
        assert!(
            delay_us < 50 * MILLISECOND_US,
            "{delay_us} after {second} s"
        );
    }
}

/// Guards against requests that are run although they waited in the listen queue of a frozen node: the first ones on a
/// connection, which cannot be compared with others.
#[test]
fn first_requests_on_a_connection_are_delayed_by_a_freeze() {
    let freezes = FreezeDetector::default();
    freezes.tick(250);
    assert_eq!(freezes.unread_for_ms(3_249, 0), 0);
    assert_eq!(freezes.unread_for_ms(4_250, 249), 4_000, "before a tick");
    assert_eq!(freezes.tick(4_250), Some(4_000));
    assert_eq!(freezes.unread_for_ms(4_500, 249), 4_000);
    assert_eq!(freezes.unread_for_ms(4_500, 4_240), 0, "sent after it");
    freezes.tick(5_250);
    assert_eq!(freezes.unread_for_ms(5_250, 249), 0);

    let mut estimator = DelayEstimator::default();
    let freeze_us = 4 * SECOND_US;
    let resumed_us = 10 * SECOND_US;
    let mut delay_us = |now_us, sent_us, unread_for_us| {
        estimator.delay_us(resumed_us + now_us, sent_us, unread_for_us)
    };
    // Both were sent in the freeze, the second one later than the first.
    assert_eq!(delay_us(0, 6 * SECOND_US, freeze_us), freeze_us);
    assert_eq!(delay_us(1, 7 * SECOND_US, freeze_us), freeze_us);
    assert_eq!(delay_us(2 * SECOND_US, 12 * SECOND_US, 0), 0);
    assert_eq!(delay_us(3 * SECOND_US, 12 * SECOND_US, 0), SECOND_US);
}
