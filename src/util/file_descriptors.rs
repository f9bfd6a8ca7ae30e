//! How many descriptors the system lets this process open.

use nix::sys::resource::{Resource, getrlimit};

/// Taken where the system does not say it: the usual limit of a process.
const FALLBACK_LIMIT: u32 = 1_024;

/// Descriptors that this process may open.
pub(crate) fn soft_limit() -> u32 {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => u32::try_from(soft).unwrap_or(u32::MAX),
        Err(error) => {
            log::warn!(error:%, taken = FALLBACK_LIMIT; "the limit of descriptors is not known");
            FALLBACK_LIMIT
        }
    }
}
