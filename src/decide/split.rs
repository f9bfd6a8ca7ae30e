//! Which branch of a split route a request takes.

/// Golden ratio of the unit interval, as a 32-bit fraction. Multiples of it spread over the interval
/// more evenly than random numbers do, wherever they begin.
const STEP: u32 = 0x9E37_79B9;

/// The branch of request number `turn` among branches of these weights; 0 if none has any. Consecutive turns
/// stray from the weights by a few requests, random choices by a tenth of some hundred.
pub fn branch(weights: impl Iterator<Item = u32> + Clone, turn: u32) -> usize {
    let total: u64 = weights.clone().map(u64::from).sum();
    let point = (u64::from(turn.wrapping_mul(STEP)) * total) >> 32;
    let mut passed = 0;
    for (position, weight) in weights.enumerate() {
        passed += u64::from(weight);
        if point < passed {
            return position;
        }
    }
    0
}
