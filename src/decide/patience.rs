//! How long a request is willing to wait for a slot.

use std::time::Duration;

use crate::core::configuration::Treatment;
use crate::core::mechanism::{Mechanism, MechanismSwitches};

/// Part of its target latency that a request waits for a slot at most. With a longer queue every answer would be
/// late and no more would be given.
const PATIENCE_DIVISOR: u32 = 3;

/// How long a caller's request of this treatment waits for a slot, where the team has said how soon it
/// wants the answer; without that, as long as the deadline allows.
pub fn of_caller(treatment: &Treatment, without: MechanismSwitches) -> Duration {
    let target_ms = treatment.target_latency_ms;
    match target_ms.filter(|_| without.is_enabled(Mechanism::QueueWaitLimit)) {
        None => whole(treatment),
        Some(target_ms) => Duration::from_millis(u64::from(target_ms)) / PATIENCE_DIVISOR,
    }
}

/// How long a call of a running request waits: up to its deadline, as a refusal would waste what the request
/// behind it has done so far.
pub fn of_call(treatment: &Treatment) -> Duration {
    whole(treatment)
}

fn whole(treatment: &Treatment) -> Duration {
    Duration::from_millis(u64::from(treatment.timeout_ms))
}
