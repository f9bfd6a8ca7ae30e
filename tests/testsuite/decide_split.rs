//! How the requests of a split route are divided.

use dragonflywall::decide::split::branch;

/// An operator gives a tenth of a route's requests to a new service. Random choices would give it
/// 5 % or 15 % of 300 requests now and then; here no window of 100 strays by more than two.
#[test]
fn every_window_of_requests_is_divided_by_the_weights() {
    let weights = [90, 10];
    for first in [0, 7, u32::MAX - 150, 123_456_789] {
        let turns = (0..100).map(|n| first.wrapping_add(n));
        let new = turns
            .filter(|turn| branch(weights.into_iter(), *turn) == 1)
            .count();
        assert!((8..=12).contains(&new), "{new} of 100 from turn {first} on");
    }
}

/// Three parts, one of them of no weight: it gets nothing.
#[test]
fn a_part_without_weight_gets_nothing() {
    let weights = [2, 0, 1];
    let mut parts = [0; 3];
    for turn in 0..300 {
        parts[branch(weights.into_iter(), turn)] += 1;
    }
    assert_eq!(parts[1], 0);
    assert!((198..=202).contains(&parts[0]), "{parts:?}");
    assert_eq!(branch([0, 0].into_iter(), 5), 0);
}
