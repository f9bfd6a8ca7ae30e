//! Operations that change something.

pub mod hint;
pub mod publish;
