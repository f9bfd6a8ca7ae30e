use super::Fit;

#[test]
fn exact_line_is_found_without_spread() {
    let fit = Fit::of(&[(8.0, 21.0), (16.0, 37.0), (64.0, 133.0)]).expect("three sizes");
    assert!((fit.base - 5.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    let reading = fit.at(520.0);
    assert!((reading.value - 1_045.0).abs() < 1e-6, "{reading:?}");
    assert!(reading.error < 1e-6, "{reading:?}");
}

#[test]
fn reading_far_outside_is_less_certain() {
    let fit = Fit::of(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)]).expect("four sizes");
    assert!(fit.at(520.0).error > 10.0 * fit.at(2.5).error);
}

#[test]
fn one_size_gives_no_slope() {
    assert_eq!(Fit::of(&[(8.0, 1.0), (8.0, 2.0)]), None);
    assert_eq!(Fit::of(&[]), None);
}

/// Two points always lie on a line: an error of 0 there would be a claim that nothing supports.
#[test]
fn two_points_give_no_spread() {
    let fit = Fit::of(&[(8.0, 1.0), (16.0, 2.0)]).expect("two sizes");
    assert!(fit.spread.is_nan(), "{fit:?}");
    assert!(fit.at(520.0).error.is_nan());
}
