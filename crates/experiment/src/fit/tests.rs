use super::LinearFit;

#[test]
fn exact_line_has_no_residuals() {
    let fit =
        LinearFit::least_squares(&[(8.0, 21.0), (16.0, 37.0), (64.0, 133.0)]).expect("three sizes");
    assert!((fit.intercept - 5.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    let estimate = fit.estimate_at(520.0);
    assert!((estimate.value - 1_045.0).abs() < 1e-6, "{estimate:?}");
    assert!(estimate.std_error < 1e-6, "{estimate:?}");
}

#[test]
fn standard_error_grows_with_extrapolation() {
    let fit = LinearFit::least_squares(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)])
        .expect("four sizes");
    assert!(fit.estimate_at(520.0).std_error > 10.0 * fit.estimate_at(2.5).std_error);
}

#[test]
fn one_size_gives_no_slope() {
    assert_eq!(LinearFit::least_squares(&[(8.0, 1.0), (8.0, 2.0)]), None);
    assert_eq!(LinearFit::least_squares(&[]), None);
}

/// A line always fits two points exactly. A standard error of 0 would suggest a precision that the
/// data does not support, so it is NaN.
#[test]
fn two_points_give_no_standard_error() {
    let fit = LinearFit::least_squares(&[(8.0, 1.0), (16.0, 2.0)]).expect("two sizes");
    assert!(fit.residual_std.is_nan(), "{fit:?}");
    assert!(fit.estimate_at(520.0).std_error.is_nan());
}
