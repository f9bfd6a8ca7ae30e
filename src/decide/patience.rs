//! How long a request is willing to wait for a slot.

use std::time::Duration;

use crate::core::configuration::Treatment;

/// Part of its target latency that a request waits for a slot at most. Load made for: requests that come
/// faster than the slots turn over, for seconds. Harm prevented: the queue stays as long as it may
/// be, so that every answer is late although no more are given than with a short queue. Reason for
/// the figure: a queue worth a third of the target keeps every slot busy over the clumps in which
/// requests come, and leaves the work itself two thirds.
const PATIENCE_DIVISOR: u32 = 3;

/// Shortest patience. Load made for: short calls that a running request makes. Harm prevented: a
/// call that is refused wastes the request that made it, and what that has done so far. Reason for the
/// figure: several turns of a slot of the longest of such work; the request that called has more
/// time than that.
const PATIENCE_LEAST: Duration = Duration::from_millis(60);

/// How long a request of this treatment waits for a slot, where the team has said how soon it wants
/// the answer; without that, as long as the deadline allows.
pub fn of(treatment: &Treatment) -> Duration {
    match treatment.target_latency_ms {
        None => Duration::from_millis(u64::from(treatment.timeout_ms)),
        Some(target_ms) => {
            let target = Duration::from_millis(u64::from(target_ms));
            (target / PATIENCE_DIVISOR).max(PATIENCE_LEAST)
        }
    }
}
