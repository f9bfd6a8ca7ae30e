//! Which branch of a split route a request takes.

/// Golden ratio of the unit interval, as a 32-bit fraction. Multiples of it spread over the interval
/// more evenly than random numbers do, wherever they begin.
const STEP: u32 = 0x9E37_79B9;

/// The branch of request number `turn` among branches of these weights; 0 if none has any.
///
/// Load made for: a route whose requests are divided 90 to 10 between an old and a new service.
/// Harm prevented: with random choices 300 requests stray from their parts by up to a tenth, and a
/// canary gets a half more than its operator meant. Consecutive turns stray by a few requests.
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
