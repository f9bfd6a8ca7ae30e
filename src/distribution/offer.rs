//! A version that one node offers to another.

use super::holder::Content;
use crate::core::version::Stamp;

/// Content of a version, and the age of the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Version and digest of the configuration after the content is applied.
    pub stamp: Stamp,
    /// The configuration, or the difference from an older one.
    pub content: Content,
    /// Upper bound of the time since the version was accepted, in milliseconds, as far as the
    /// offering node can tell. Does not include the time for sending the offer. 0 if nothing is
    /// known.
    pub age_ms: u64,
}
