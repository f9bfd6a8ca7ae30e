//! A clock that all processes of the machine share.

/// Microseconds on the monotonic clock of the machine.
pub fn monotonic_us() -> u64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `now` is a valid place for the result.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut now) };
    assert_eq!(result, 0, "the monotonic clock can be read");
    let to_u64 = |number: i64| u64::try_from(number).unwrap_or(0);
    to_u64(now.tv_sec) * 1_000_000 + to_u64(now.tv_nsec) / 1_000
}
