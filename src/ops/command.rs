//! Operations that change the configuration or the state of nodes.

pub mod drain;
pub mod hint;
pub mod publish;
