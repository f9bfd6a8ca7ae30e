//! How long a request is willing to wait for a slot.

use std::time::Duration;

use crate::core::configuration::Treatment;
use crate::core::mechanism::{Mechanism, MechanismSwitches};

/// Part of its target latency that a request waits for a slot at most. With a longer queue every answer would be
/// late and no more would be given.
const MAX_WAIT_DIVISOR: u32 = 3;

/// How long a caller's request of this treatment waits for a slot, where the team has said how soon it
/// wants the answer; without that, as long as the deadline allows.
pub fn for_caller_request(treatment: &Treatment, switches: MechanismSwitches) -> Duration {
    let target_ms = treatment.target_latency_ms;
    match target_ms.filter(|_| switches.is_enabled(Mechanism::QueueWaitLimit)) {
        None => timeout(treatment),
        Some(target_ms) => Duration::from_millis(u64::from(target_ms)) / MAX_WAIT_DIVISOR,
    }
}

/// How long a call of a running request waits: up to its deadline, as a refusal would waste what the request
/// behind it has done so far.
pub fn for_nested_call(treatment: &Treatment) -> Duration {
    timeout(treatment)
}

fn timeout(treatment: &Treatment) -> Duration {
    Duration::from_millis(u64::from(treatment.timeout_ms))
}
