//! The request path: from a caller through its entry node and an admission gate to a backend
//! server, and back.
//!
//! [`entry`] runs on the node that the caller is connected to. It matches the request to a route,
//! chooses an endpoint and retries failed attempts. [`gate`] runs on the node of the backend
//! server's VM. It admits requests and forwards them. If the chosen endpoint is the entry node's own
//! backend server, the request is passed to the gate by a function call, without a network
//! connection. Bodies are streamed in both directions. Every failure carries a verdict that says
//! whether the request may have run ([`failure::Failure`]).

pub(crate) mod backend;
pub(crate) mod body;
pub(crate) mod caller_body;
pub(crate) mod caller_connections;
pub(crate) mod crashes;
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
pub(crate) mod promise;
pub(crate) mod received_ids;
pub(crate) mod rejections;
pub(crate) mod replay;
pub(crate) mod response_body;
pub(crate) mod rollouts;
pub(crate) mod running_requests;
pub(crate) mod slots;
pub(crate) mod stall;
pub(crate) mod state;
pub(crate) mod statements;
pub(crate) mod uploads;
pub(crate) mod view;
