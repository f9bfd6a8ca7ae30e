//! Times as the platform writes them: a number and `ms` or `s`.

/// Milliseconds of a time such as `1500ms` or `2.5s`; none if it is not one.
pub(crate) fn parse_ms(text: &str) -> Option<u64> {
    let (number, unit_ms) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let number: f64 = number.parse().ok()?;
    let ms = (number * unit_ms).round();
    // Far above any time on the platform, far below where the number loses whole milliseconds.
    let in_range = (0.0..1e12).contains(&ms);
    in_range.then_some(ms as u64)
}
