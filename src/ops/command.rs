//! Operations that change something.

pub mod drain;
pub mod hint;
pub mod publish;
