//! Plays of the first seeds, against the goals of roll-outs.

use dragonflywall::core::rollout::RolloutPhase;

use super::judge::JudgeKind;
use super::scenario::Scenario;
use super::world::play;

/// Number of plays.
const SEEDS: u64 = 200;

/// Guards against a bad version that reaches more callers than allowed, is completed or is found too late, against a
/// good one that is condemned, and against requests that are cut off by the end of the old endpoints.
#[test]
fn roll_outs_keep_their_limits_and_find_the_right_verdict() {
    let mut condemned_good = 0;
    for seed in 0..SEEDS {
        let scenario = Scenario::of_seed(seed);
        let outcome = play(scenario, JudgeKind::CumulativeSum);
        let context = format!(
            "{scenario:?}: {:?} after {} ms, {}",
            outcome.phase, outcome.decided_ms, outcome.reason
        );
        assert_eq!(outcome.cut_off, 0, "{context}");
        match scenario.candidate.is_good() {
            true => condemned_good += u64::from(outcome.phase != Some(RolloutPhase::Completed)),
            false => {
                assert_eq!(outcome.phase, Some(RolloutPhase::RolledBack), "{context}");
                assert!(!outcome.is_overexposed(), "{context}");
                assert_eq!(outcome.late_arrivals, 0, "{context}");
            }
        }
    }
    assert_eq!(condemned_good, 0);
}
