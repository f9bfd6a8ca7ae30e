//! Operations that read the platform or nodes and change nothing.

pub mod accepted;
pub mod audit;
pub mod check;
pub mod diff;
pub mod organisations;
pub mod progress;
pub mod rollout;
pub mod status;
pub mod watch;
