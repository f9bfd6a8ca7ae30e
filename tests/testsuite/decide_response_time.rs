//! How long the rest of a response is awaited.

use std::time::{Duration, Instant};

use dragonflywall::decide::response_time::{Overrun, PLAUSIBLE_MAX_BYTES, ResponseTime};

const DEADLINE: Duration = Duration::from_millis(1_500);
const MS: Duration = Duration::from_millis(1);
/// Time after its deadline at which a request must have ended.
const END_MAX: Duration = Duration::from_millis(500);

/// Plays a sender that sends `part_bytes` every `pause`, to a receiver that takes `receiver_pause` for each part. Returns when the
/// response was given up and why, or `None` if it still went on after `until`.
fn play(
    declared_bytes: Option<u64>,
    part_bytes: u64,
    pause: Duration,
    receiver_pause: Duration,
    until: Duration,
) -> Option<(Duration, Overrun)> {
    let start = Instant::now();
    let mut time = ResponseTime::new(start, start + DEADLINE, declared_bytes);
    let mut now = start;
    while now < start + until {
        time.record_request(now);
        if !pause.is_zero() {
            let limit = time.wait_until(now);
            if limit <= now + pause {
                return Some((limit - start, Overrun::Deadline));
            }
            now += pause;
        }
        if let Err(overrun) = time.record_part(now, part_bytes) {
            return Some((now - start, overrun));
        }
        now += receiver_pause.max(Duration::from_micros(10));
    }
    None
}

/// Guards against waiting beyond the deadline for a sender that fell silent.
#[test]
fn silence_ends_at_the_deadline() {
    let start = Instant::now();
    let mut time = ResponseTime::new(start, start + DEADLINE, Some(20_000));
    time.record_request(start);
    let part = time.record_part(start + 100 * MS, 10_000);
    assert_eq!(part, Ok(()));
    time.record_request(start + 100 * MS);
    assert_eq!(time.wait_until(start + 100 * MS), start + DEADLINE);
    assert_eq!(time.wait_until(start + 900 * MS), start + DEADLINE);
}

/// Guards against a response that never ends because something always arrives.
#[test]
fn response_without_end_is_given_up_soon_after_the_deadline() {
    let declared = [None, Some(u64::MAX), Some(PLAUSIBLE_MAX_BYTES)];
    let until = Duration::from_secs(60);
    for (declared_bytes, pause_ms) in declared.into_iter().zip([1_000, 100, 10]) {
        let ended = play(declared_bytes, 1, pause_ms * MS, Duration::ZERO, until);
        let (after, _) = ended.expect("a trickle is given up");
        assert!(after >= DEADLINE && after < DEADLINE + END_MAX, "{after:?}");
    }
    let ended = play(None, 8_192, Duration::ZERO, Duration::ZERO, until);
    let (after, overrun) = ended.expect("a flood is given up");
    assert_eq!(overrun, Overrun::LateBytes);
    assert!(after >= DEADLINE && after < DEADLINE + END_MAX, "{after:?}");
}

/// Guards against a flood that goes on because its receiver is slow.
#[test]
fn flood_to_a_slow_receiver_is_given_up() {
    let until = Duration::from_secs(60);
    // 8 KiB in 9 ms are 7 Mbit/s.
    let ended = play(None, 8_192, Duration::ZERO, 9 * MS, until);
    let (after, overrun) = ended.expect("a flood is given up");
    assert_eq!(overrun, Overrun::LateBytes);
    assert!(after < DEADLINE + END_MAX, "{after:?}");
}

/// Guards against cutting a whole response that its receiver reads slowly.
#[test]
fn slow_receiver_gets_a_whole_response() {
    const PART_BYTES: u64 = 10_000;
    const PARTS: u32 = 100;
    let start = Instant::now();
    let declared_bytes = PART_BYTES * u64::from(PARTS);
    let mut time = ResponseTime::new(start, start + DEADLINE, Some(declared_bytes));
    let mut now = start;
    for _ in 0..PARTS {
        time.record_request(now);
        // What refills the buffers takes a moment each time.
        assert!(time.wait_until(now) > now + MS);
        now += MS;
        assert_eq!(time.record_part(now, PART_BYTES), Ok(()));
        now += 500 * MS;
    }
}

/// Guards against cutting a response that was ready while this process was paused beyond the deadline.
#[test]
fn response_that_was_ready_is_delivered_after_a_pause() {
    let start = Instant::now();
    let mut time = ResponseTime::new(start, start + DEADLINE, None);
    time.record_request(start);
    assert_eq!(time.wait_until(start), start + DEADLINE);
    let resumed = start + Duration::from_secs(4);
    assert_eq!(time.record_part(resumed, 64 << 10), Ok(()));
    time.record_request(resumed);
    // The rest comes from another node, after a round trip.
    let limit = time.wait_until(resumed);
    assert!(limit > resumed + 40 * MS);
    assert_eq!(time.record_part(resumed + 40 * MS, 64 << 10), Ok(()));
}

/// Guards against cutting a response that waited for those before it on a connection.
#[test]
fn time_before_the_first_request_is_the_receivers() {
    let start = Instant::now();
    let mut time = ResponseTime::new(start, start + DEADLINE, None);
    let turn = start + 2 * DEADLINE;
    time.record_request(turn);
    assert_eq!(time.record_part(turn, 1_000), Ok(()));
    time.record_request(turn);
    assert!(time.wait_until(turn) >= turn + DEADLINE);
}

/// Guards against ending a long response in the middle, because the round trips that it takes after the deadline add up.
#[test]
fn a_response_that_goes_on_arriving_is_passed_on_after_the_deadline() {
    let start = Instant::now();
    let mut left_bytes = 6 << 20;
    let mut time = ResponseTime::new(start, start + DEADLINE, Some(left_bytes));
    let mut now = start + DEADLINE - MS;
    while left_bytes > 0 {
        time.record_request(now);
        assert!(now < start + DEADLINE || time.wait_until(now) > now + 30 * MS);
        now += 30 * MS;
        assert_eq!(time.record_part(now, 64 << 10), Ok(()));
        left_bytes -= 64 << 10;
    }
}

/// Guards against a sender that holds its request by sending little at a time.
#[test]
fn a_trickle_is_given_up() {
    for receiver_pause in [Duration::ZERO, 5 * MS] {
        let until = Duration::from_secs(60);
        let declared = Some(PLAUSIBLE_MAX_BYTES);
        let ended = play(declared, 100, 50 * MS, receiver_pause, until);
        let (after, overrun) = ended.expect("a trickle is given up");
        assert_eq!(overrun, Overrun::Deadline);
        assert!(after < DEADLINE + 2 * END_MAX, "{after:?}");
    }
}
