//! Decisions about requests: admission, load balancing, retries, roll-outs, uploads, and which connections,
//! announcements and statements of its backend server a node accepts.
//!
//! They are plain functions and structs without I/O; the current time is an argument.

pub mod access;
pub mod admission;
pub mod announcements;
pub mod backend_statements;
pub mod backoff;
pub mod connections;
pub mod crashes;
pub mod drain;
pub mod freeze;
pub mod freshness;
pub mod known_statements;
pub mod load_balancing;
pub mod max_wait;
pub mod overload;
pub mod quota;
pub mod rate_limit;
pub mod recent_ids;
pub mod rejections;
pub mod response_time;
pub mod retry;
pub mod rollout;
pub mod service_times;
pub mod split;
pub mod transit;
pub mod uploads;
