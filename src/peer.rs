//! Control traffic between nodes: the gRPC service and its client.
//!
//! [`convert`] translates between the generated messages and the plain data of [`crate::core`]; a
//! message that does not translate is refused whole.

// The generator's own style is not ours to lint.
#[allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
#[rustfmt::skip]
#[path = "peer/generated/control.rs"]
pub(crate) mod generated;

pub mod client;
pub(crate) mod connector;
pub(crate) mod convert;
pub(crate) mod pool;
pub(crate) mod server;
