//! A version as one node hands it to another.

use super::holder::Content;
use crate::core::version::Stamp;

/// Content of a version, and how old the version is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Reached by applying the content.
    pub stamp: Stamp,
    /// What to apply.
    pub content: Content,
    /// Longest time for which the version may have been accepted, in milliseconds, as far as whoever offers
    /// it can tell; the way here is not in it. 0 where nothing is known.
    pub age_ms: u64,
}
