//! Control traffic between nodes: the gRPC service and its client.
//!
//! [`convert`] converts between the generated messages and the plain data of [`crate::core`]. A
//! message of which any part cannot be converted is rejected as a whole.

// Lints do not apply to generated code.
#[allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
#[rustfmt::skip]
#[path = "peer/generated/control.rs"]
pub(crate) mod generated;

pub mod client;
pub(crate) mod connector;
pub(crate) mod convert;
pub(crate) mod pool;
pub(crate) mod server;
