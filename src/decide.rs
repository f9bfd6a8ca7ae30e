//! Decisions under load: plain functions and structs, time an argument, no sockets.

pub mod admission;
pub mod announcements;
pub mod connections;
pub mod held;
pub mod intake;
pub mod pacing;
pub mod patience;
pub mod placement;
pub mod retry;
pub mod split;
pub mod transit;
