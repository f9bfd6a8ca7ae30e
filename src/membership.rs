//! Who is in the mesh and how each one fares, as a state machine without sockets.
//!
//! Every node holds a [`Membership`]: its own statement and the latest one it has heard of each
//! other node. The driver (an actor of [`crate::node`]) calls [`Membership::tick`], sends the
//! exchanges that it returns, and feeds what comes back to [`Membership::receive`] and
//! [`Membership::exchange_failed`]. Statements are single-writer: ordered by incarnation and
//! sequence, which only the node itself raises. Others may only suspect it.

pub mod neighbours;
pub mod view;

pub use view::{Exchange, Gossip, Membership, Timing};
