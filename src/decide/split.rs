//! Which branch of a split route a request takes.

/// Golden ratio of the unit interval, as a 32-bit fraction. Multiples of it spread over the interval
/// more evenly than random numbers do, wherever they begin.
const GOLDEN_RATIO_STEP: u32 = 0x9E37_79B9;

/// The branch of request number `request_number` among branches of these weights; 0 if none has any. Consecutive turns
/// stray from the weights by a few requests, random choices by a tenth of some hundred.
pub fn choose_branch(weights: impl Iterator<Item = u32> + Clone, request_number: u32) -> usize {
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
