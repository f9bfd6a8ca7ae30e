//! How long a request is willing to wait for a slot.

use std::time::Duration;

use crate::core::configuration::Treatment;

/// Part of its target latency that a request waits for a slot at most. Load made for: requests that come
/// faster than the slots turn over, for seconds. Harm prevented: the queue stays as long as it may
/// be, so that every answer is late although no more are given than with a short queue. Reason for
/// the figure: a queue worth a third of the target keeps every slot busy over the clumps in which
/// requests come, and leaves the work itself two thirds.
const PATIENCE_DIVISOR: u32 = 3;

/// How long a caller's request of this treatment waits for a slot, where the team has said how soon it
/// wants the answer; without that, as long as the deadline allows.
pub fn of_caller(treatment: &Treatment) -> Duration {
    match treatment.target_latency_ms {
        None => whole(treatment),
        Some(target_ms) => Duration::from_millis(u64::from(target_ms)) / PATIENCE_DIVISOR,
    }
}

/// How long a call of a running request waits.
///
/// Load made for: a called service that is full. Harm prevented: a call that is refused wastes what the
/// request behind it has done so far. It goes before callers' requests, so it waits for little more
/// than a slot to be given back, and its own deadline is the only limit that helps anybody.
pub fn of_call(treatment: &Treatment) -> Duration {
    whole(treatment)
}

fn whole(treatment: &Treatment) -> Duration {
    Duration::from_millis(u64::from(treatment.timeout_ms))
}
