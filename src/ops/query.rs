//! Operations that only read.

pub mod accepted;
pub mod check;
pub mod status;
