//! The number of file descriptors that the system allows this process to open.

use nix::sys::resource::{Resource, getrlimit};

/// The limit to assume if the system call fails: the common default for a process.
const FALLBACK_LIMIT: u32 = 1_024;

/// The soft limit on open file descriptors of this process (`RLIMIT_NOFILE`).
pub(crate) fn soft_limit() -> u32 {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => u32::try_from(soft).unwrap_or(u32::MAX),
        Err(error) => {
            log::warn!(error:%, assumed_limit = FALLBACK_LIMIT; "cannot read the limit on file descriptors");
            FALLBACK_LIMIT
        }
    }
}
