//! The request path: a caller's request goes entry -> gate -> backend server and back.
//!
//! [`entry`] runs at the node that the caller reached: it routes, places and retries. [`gate`] runs
//! at the backend server's own node: it admits and forwards. Where the entry's own backend server
//! is the chosen endpoint, the two meet in one process and nothing crosses a socket between them.
//! Bodies stream in both directions. Every failure carries a verdict ([`failure::Failure`]).

pub(crate) mod backend;
pub(crate) mod body;
pub(crate) mod caller_connections;
pub(crate) mod entry;
pub(crate) mod failure;
pub(crate) mod gate;
pub(crate) mod header_profile;
pub(crate) mod headers;
pub(crate) mod health;
pub(crate) mod hop;
pub(crate) mod listener;
pub(crate) mod local_backend;
pub(crate) mod log_limiter;
pub(crate) mod peers;
pub(crate) mod pipeline;
pub(crate) mod replay;
pub(crate) mod running_requests;
pub(crate) mod slots;
pub(crate) mod stall;
pub(crate) mod state;
pub(crate) mod uploads;
pub(crate) mod view;
