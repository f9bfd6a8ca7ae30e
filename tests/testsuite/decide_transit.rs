//! Estimation of transit delays between nodes.

use dragonflywall::decide::transit::DelayEstimator;

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLISECOND_US;

/// Two VMs started an hour apart, so their monotonic clocks differ by an hour in either direction. The
/// usual transit time is 20 ms; a request that takes a second was delayed by the rest.
#[test]
fn delay_is_independent_of_the_clock_offset() {
    for (sender, receiver) in [(0, 3_600 * SECOND_US), (3_600 * SECOND_US, 0)] {
        let mut estimator = DelayEstimator::default();
        let mut delay_us =
            |sent_us, took_us| estimator.delay_us(receiver + sent_us + took_us, sender + sent_us);
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
        let delay_us = estimator.delay_us(sent_us + drift_us + 20 * MILLISECOND_US, sent_us);
        assert!(
            delay_us < 50 * MILLISECOND_US,
            "{delay_us} after {second} s"
        );
    }
}
