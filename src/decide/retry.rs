//! Whether a failed request is tried again.

use crate::core::configuration::Treatment;
use crate::core::verdict::Verdict;

/// Load made for: a backend server that fails some requests. Harm prevented: a payment that runs
/// twice, and a retry that doubles the load of a mesh that is already full. Reason for the limit:
/// the team's `attempts`, and for a non-idempotent request proof that it did not run.
pub fn may_retry(treatment: &Treatment, verdict: Verdict, attempts_made: u32) -> bool {
    if attempts_made >= treatment.attempts {
        return false;
    }
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => treatment.idempotent,
        Verdict::Answered => false,
    }
}
