//! Weighted traffic split: chooses one of the targets of a route for each request.

/// Fractional part of the golden ratio, as a 32-bit fraction. Consecutive multiples of it, from any
/// start, spread more evenly over the unit interval than random numbers.
const GOLDEN_RATIO_STEP: u32 = 0x9E37_79B9;

/// Returns the index of the target of a request among targets with these weights, or 0 if all weights
/// are 0.
///
/// For consecutive request numbers the choices deviate from the weights by a few requests. Random
/// choices would deviate by about a tenth over a few hundred requests.
pub fn choose_target_index(
    weights: impl Iterator<Item = u32> + Clone,
    request_number: u32,
) -> usize {
    let total: u64 = weights.clone().map(u64::from).sum();
    let point = (u64::from(request_number.wrapping_mul(GOLDEN_RATIO_STEP)) * total) >> 32;
    let mut cumulative_weight = 0;
    for (position, weight) in weights.enumerate() {
        cumulative_weight += u64::from(weight);
        if point < cumulative_weight {
            return position;
        }
    }
    0
}
