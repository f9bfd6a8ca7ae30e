//! Helpers used in more than one place.

pub(crate) mod clock;
pub(crate) mod descriptors;
pub(crate) mod dial;
