//! Decisions under load: plain functions and structs, time an argument, no sockets.

pub mod admission;
pub mod announcements;
pub mod backoff;
pub mod connections;
pub mod load_balancing;
pub mod max_wait;
pub mod retry;
pub mod service_times;
pub mod split;
pub mod transit;
pub mod uploads;
