//! Request ids that are received again.

use dragonflywall::decide::recent_ids::RecentIds;

/// Longer than an id is kept.
const LATER_US: u64 = 60_000_000;
/// More ids than are kept.
const MANY: usize = 100_000;

#[test]
fn an_id_that_is_received_again_is_counted() {
    let mut ids = RecentIds::default();
    assert_eq!(ids.record(0, b"a"), 0);
    assert_eq!(ids.record(1, b"b"), 0);
    assert_eq!(ids.record(2, b"a"), 1);
    assert_eq!(ids.record(3, b"a"), 2);
    assert_eq!(ids.record(4, b"b"), 1);
}

#[test]
fn ids_are_kept_for_a_limited_time() {
    let mut ids = RecentIds::default();
    ids.record(0, b"a");
    assert_eq!(ids.record(LATER_US, b"a"), 0);
    assert_eq!(ids.len(), 1);
}

#[test]
fn a_limited_number_of_ids_is_kept() {
    let mut ids = RecentIds::default();
    for number in 0..MANY {
        ids.record(0, &number.to_be_bytes());
    }
    assert!(ids.len() < MANY / 2);
    assert_eq!(ids.record(0, &(MANY - 1).to_be_bytes()), 1);
    assert_eq!(ids.record(0, &0_usize.to_be_bytes()), 0);
}
