//! How long requests between nodes were held up.

use dragonflywall::decide::transit::Transit;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

/// Two VMs were started an hour apart, so their clocks have nothing in common. A request takes 20 ms,
/// then one is lost on its way and comes a second later.
#[test]
fn the_way_is_told_apart_from_the_clocks() {
    for (sender, receiver) in [(0, 3_600 * SECOND), (3_600 * SECOND, 0)] {
        let mut transit = Transit::default();
        let mut delay_us =
            |sent_us, took_us| transit.delay_us(receiver + sent_us + took_us, sender + sent_us);
        assert_eq!(delay_us(0, 25 * MS), 0);
        assert_eq!(delay_us(10 * MS, 20 * MS), 0);
        assert_eq!(delay_us(20 * MS, 22 * MS), 2 * MS);
        assert_eq!(delay_us(30 * MS, SECOND), 980 * MS);
        assert_eq!(delay_us(2 * SECOND, 20 * MS), 0);
    }
}

/// The clocks drift apart by a twentieth of a percent for an hour. Held against the first request
/// of that hour, the last would seem to have been held up for seconds.
#[test]
fn drifting_clocks_hold_nothing_up() {
    let mut transit = Transit::default();
    for second in 0..3_600 {
        let sent_us = second * SECOND;
        let drift_us = sent_us / 2_000;
        let delay_us = transit.delay_us(sent_us + drift_us + 20 * MS, sent_us);
        assert!(delay_us < 50 * MS, "{delay_us} after {second} s");
    }
}
