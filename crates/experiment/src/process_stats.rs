//! Processor time and memory of a process, as the system counts them.

use std::mem::MaybeUninit;
use std::time::Duration;

/// Processor time of a running process, user and system, since its start.
///
/// `/proc/PID/stat` counts the same in steps of 10 ms, which is more than an idle node spends in
/// a whole measurement; the process's clock has steps of a nanosecond.
pub(crate) fn processor_time(id: u32) -> Option<Duration> {
    let id = libc::pid_t::try_from(id).ok()?;
    let mut clock = MaybeUninit::<libc::clockid_t>::uninit();
    // SAFETY: the pointer is valid for a write, and the number is not used as an address.
    let failed = unsafe { libc::clock_getcpuclockid(id, clock.as_mut_ptr()) } != 0;
    if failed {
        return None;
    }
    let mut time = MaybeUninit::<libc::timespec>::uninit();
    // SAFETY: the call above returned 0, so it has written `clock`; `time` is valid for a write.
    let failed = unsafe { libc::clock_gettime(clock.assume_init(), time.as_mut_ptr()) } != 0;
    if failed {
        return None;
    }
    // SAFETY: the call returned 0, so it has written `time`.
    let time = unsafe { time.assume_init() };
    let seconds = u64::try_from(time.tv_sec).ok()?;
    Some(Duration::new(seconds, u32::try_from(time.tv_nsec).ok()?))
}

/// Memory of a process, in kilobytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Memory {
    /// All resident pages, those of the program file included.
    pub(crate) resident_kb: u64,
    /// Pages that belong to the process alone: heap and stacks.
    pub(crate) anonymous_kb: u64,
}

/// Memory of a running process, from `/proc/PID/status`.
pub(crate) fn memory(id: u32) -> Option<Memory> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    Some(Memory {
        resident_kb: field("VmRSS:")?,
        anonymous_kb: field("RssAnon:")?,
    })
}
