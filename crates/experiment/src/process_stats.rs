//! CPU time and memory of a process, as the kernel reports them.

use std::mem::MaybeUninit;
use std::time::Duration;

/// CPU time, user and system, that a running process has used since its start; `None` if there is
/// no such process.
///
/// Reads the CPU-time clock of the process, which has a resolution of 1 ns. `/proc/PID/stat` has
/// steps of 10 ms, which is more than an idle node uses during a whole measurement.
pub(crate) fn processor_time(id: u32) -> Option<Duration> {
    let id = libc::pid_t::try_from(id).ok()?;
    let mut clock = MaybeUninit::<libc::clockid_t>::uninit();
    // SAFETY: the pointer is valid for a write, and the kernel checks the process id.
    let failed = unsafe { libc::clock_getcpuclockid(id, clock.as_mut_ptr()) } != 0;
    if failed {
        return None;
    }
    let mut time = MaybeUninit::<libc::timespec>::uninit();
    // SAFETY: `clock_getcpuclockid` returned 0, so `clock` is initialised; `time` is valid for a
    // write.
    let failed = unsafe { libc::clock_gettime(clock.assume_init(), time.as_mut_ptr()) } != 0;
    if failed {
        return None;
    }
    // SAFETY: `clock_gettime` returned 0, so `time` is initialised.
    let time = unsafe { time.assume_init() };
    let seconds = u64::try_from(time.tv_sec).ok()?;
    Some(Duration::new(seconds, u32::try_from(time.tv_nsec).ok()?))
}

/// Memory of a process, in kilobytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Memory {
    /// All resident pages, including those mapped from the program file (`VmRSS`).
    pub(crate) resident_kb: u64,
    /// Resident anonymous pages: heap and stacks (`RssAnon`).
    pub(crate) anonymous_kb: u64,
}

/// Memory of a running process, read from `/proc/PID/status`; `None` if there is no such process.
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
