//! Durations in the platform's format: a number followed by the unit `ms` or `s`.

/// Parses a duration such as `1500ms` or `2.5s` into milliseconds. Returns `None` if the text is not a
/// duration.
pub(crate) fn parse_ms(text: &str) -> Option<u64> {
    let (number, unit_ms) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let number: f64 = number.parse().ok()?;
    let ms = (number * unit_ms).round();
    // The upper bound is far above any duration on the platform, and far below the values at which an
    // `f64` cannot represent every whole number of milliseconds.
    let in_range = (0.0..1e12).contains(&ms);
    in_range.then_some(ms as u64)
}
