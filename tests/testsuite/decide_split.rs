//! Division of requests among the targets of a route by their weights.

use dragonflywall::decide::split::choose_target_index;

/// Guards against uneven splits: random choices would occasionally give 5 % or 15 % of 300 requests to a
/// target with a weight of 10 %. No window of 100 requests may deviate by more than two.
#[test]
fn every_window_of_requests_is_divided_by_the_weights() {
    let weights = [90, 10];
    for first in [0, 7, u32::MAX - 150, 123_456_789] {
        let request_numbers = (0..100).map(|n| first.wrapping_add(n));
        let new_service = request_numbers
            .filter(|request_number| choose_target_index(weights.into_iter(), *request_number) == 1)
            .count();
        assert!(
            (8..=12).contains(&new_service),
            "{new_service} of 100 from request {first} on"
        );
    }
}

/// A target with weight 0 gets no requests, and the others get theirs by weight.
#[test]
fn target_without_weight_gets_no_requests() {
    let weights = [2, 0, 1];
    let mut counts = [0; 3];
    for request_number in 0..300 {
        counts[choose_target_index(weights.into_iter(), request_number)] += 1;
    }
    assert_eq!(counts[1], 0);
    assert!((198..=202).contains(&counts[0]), "{counts:?}");
    assert_eq!(choose_target_index([0, 0].into_iter(), 5), 0);
}
