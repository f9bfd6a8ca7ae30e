//! How large bodies are let in.

use dragonflywall::decide::uploads::{Intake, LinkShare};

#[test]
fn a_slow_link_is_kept_busy_for_forty_milliseconds_at_most() {
    let share = LinkShare::of_link(Some(7_000));
    let asked_bits = u64::from(share.window_bytes) * u64::from(share.at_a_time) * 8;
    assert!(asked_bits <= 7_000 * 40, "{share:?}");
    assert_eq!(share.at_a_time, 2);
}

#[test]
fn a_fast_link_and_an_unknown_one_bound_little() {
    for link in [None, Some(1_000_000)] {
        let share = LinkShare::of_link(link);
        assert_eq!(share.window_bytes, 65_535);
        assert_eq!(share.at_a_time, 64);
    }
}

/// Uploads come faster than the link takes them. An entry that is not told would go on sending them
/// there, and each would wait until its caller has given up.
#[test]
fn the_wait_grows_with_what_is_ahead_and_ends_with_it() {
    let mut intake = Intake::new(LinkShare::of_link(Some(7_000)));
    for _ in 0..8 {
        intake.waits();
        intake.begun();
        intake.ended(70_000);
    }
    assert_eq!(intake.wait_us(), 0);
    assert_eq!(intake.taken_us(), 70_000);
    for _ in 0..2 {
        intake.waits();
        intake.begun();
    }
    for _ in 0..3 {
        intake.waits();
    }
    assert_eq!(intake.wait_us(), 4 * 70_000 / 2);
    for _ in 0..3 {
        intake.left();
    }
    for _ in 0..2 {
        intake.ended(70_000);
    }
    assert_eq!(intake.wait_us(), 0);
}
