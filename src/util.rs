//! Helpers used in more than one place.

pub(crate) mod clock;
pub(crate) mod dial;
pub(crate) mod file_descriptors;
