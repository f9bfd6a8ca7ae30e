//! Exponential backoff with jitter, so that nodes that fail together do not retry together.

use std::collections::BTreeMap;

use dragonflywall::decide::backoff::{Backoff, jittered_ms};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NODES: usize = 520;
const OUTAGE_MS: u64 = 5_000;
/// Maximum rate of writes that the platform's table serves.
const WRITES_MAX_PER_S: u64 = 400;

/// Calls that the platform gets from nodes that all start at the beginning of an outage.
struct PlatformLoad {
    calls_during_outage: u64,
    max_calls_per_s_after: u64,
    last_served_ms: u64,
}

fn simulate_outage(mut delay_ms: impl FnMut(u32) -> u64) -> PlatformLoad {
    let mut due: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    due.insert(0, vec![0; NODES]);
    let mut per_second: BTreeMap<u64, u64> = BTreeMap::new();
    let mut served: BTreeMap<u64, u64> = BTreeMap::new();
    let mut load = PlatformLoad {
        calls_during_outage: 0,
        max_calls_per_s_after: 0,
        last_served_ms: 0,
    };
    while let Some((now_ms, calls)) = due.pop_first() {
        for failures in calls {
            let second = now_ms / 1_000;
            let in_outage = now_ms < OUTAGE_MS;
            if in_outage {
                load.calls_during_outage += 1;
            } else {
                *per_second.entry(second).or_default() += 1;
            }
            let served_now = served.entry(second).or_default();
            if !in_outage && *served_now < WRITES_MAX_PER_S {
                *served_now += 1;
                load.last_served_ms = now_ms;
                continue;
            }
            let next_ms = now_ms + delay_ms(failures).max(1);
            due.entry(next_ms).or_default().push(failures + 1);
        }
    }
    load.max_calls_per_s_after = per_second.into_values().max().unwrap_or(0);
    load
}

/// Guards against a retry storm: 520 nodes register while the platform is unavailable for five seconds.
/// With a fixed delay all of them call at the same times, during the outage and after it. With jittered
/// backoff the platform gets a fraction of the calls and is not overloaded when it recovers.
#[test]
fn jittered_backoff_spreads_retries_after_an_outage() {
    let mut rng = StdRng::seed_from_u64(7);
    let backoff = Backoff::new(200, 10_000);
    let with_backoff =
        simulate_outage(|failures| jittered_ms(backoff.delay_ms(failures), rng.random()));
    let fixed_delay = simulate_outage(|_| 200);
    assert!(with_backoff.calls_during_outage * 3 < fixed_delay.calls_during_outage);
    assert!(with_backoff.max_calls_per_s_after <= WRITES_MAX_PER_S);
    assert!(fixed_delay.max_calls_per_s_after > WRITES_MAX_PER_S);
    assert!(with_backoff.last_served_ms <= OUTAGE_MS + 10_000);
}

/// Delays double up to their maximum and stay there for any number of failures. Jitter takes off at most
/// half.
#[test]
fn delays_stay_within_their_limits() {
    let backoff = Backoff::new(250, 4_000);
    let delays: Vec<u64> = (0..7).map(|failures| backoff.delay_ms(failures)).collect();
    assert_eq!(delays, [250, 500, 1_000, 2_000, 4_000, 4_000, 4_000]);
    assert_eq!(backoff.delay_ms(u32::MAX), 4_000);
    for random in [0, 1, 124, 125, 126, u64::MAX] {
        let jittered = jittered_ms(250, random);
        assert!((125..=250).contains(&jittered), "{jittered}");
    }
}
