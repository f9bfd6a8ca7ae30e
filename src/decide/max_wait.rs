//! Maximum time that a request waits for a slot of a backend server.

use std::time::Duration;

use crate::core::configuration::Treatment;
use crate::core::mechanism::{Mechanism, MechanismSwitches};

/// Ratio of the target latency of a request to its maximum wait for a slot. With a longer queue every
/// response would be late, and no more requests would be served.
const TARGET_LATENCY_TO_MAX_WAIT_RATIO: u32 = 3;

/// Returns the maximum wait of a caller's request: a part of the target latency if its team has
/// configured one, else the timeout.
pub fn for_caller_request(treatment: &Treatment, switches: MechanismSwitches) -> Duration {
    let target_ms = treatment.target_latency_ms;
    match target_ms.filter(|_| switches.is_enabled(Mechanism::QueueWaitLimit)) {
        None => timeout(treatment),
        Some(target_ms) => {
            Duration::from_millis(u64::from(target_ms)) / TARGET_LATENCY_TO_MAX_WAIT_RATIO
        }
    }
}

/// Returns the maximum wait of a call made by a running request: its timeout, because a refusal would
/// waste the work that the running request has already done.
pub fn for_nested_call(treatment: &Treatment) -> Duration {
    timeout(treatment)
}

fn timeout(treatment: &Treatment) -> Duration {
    Duration::from_millis(u64::from(treatment.timeout_ms))
}
