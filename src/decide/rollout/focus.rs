//! Concentrates the requests for a candidate on a part of its endpoints, so that each of these gets about
//! as many as an endpoint gets when the roll-out is completed. A version that is bad under load shows it
//! while its share is still small.

use super::policy::Stage;
use crate::core::member::NodeId;

/// How long the same endpoints are in use during a trial, in milliseconds. All entry nodes use about the
/// same ones, as they receive the order at about the same time.
const ROTATION_MS: u64 = 2_000;

/// Smallest number of endpoints in use: with one, a bad version is not told from a faulty endpoint.
const IN_USE_MIN: usize = 2;

/// The part of `endpoints` that is in use `age_ms` after the order arrived. `trial_percent` is the share
/// of the requests in a trial.
pub fn endpoints_in_use(
    mut endpoints: Vec<NodeId>,
    stage: Stage,
    trial_percent: u32,
    age_ms: u64,
) -> Vec<NodeId> {
    let percent = match stage {
        Stage::Pending => 0,
        Stage::Trial => trial_percent,
        Stage::Shift { percent } => percent,
        Stage::Settle => 100,
    };
    let count = endpoints.len();
    let in_use = (count * percent as usize + 50) / 100;
    let in_use = in_use.clamp(IN_USE_MIN.min(count), count);
    if in_use < count {
        endpoints.sort_unstable();
        let turn = (age_ms / ROTATION_MS) as usize;
        endpoints.rotate_left(turn * in_use % count);
        endpoints.truncate(in_use);
    }
    endpoints
}
