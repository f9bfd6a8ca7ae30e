//! How a node comes by the accepted configuration, as a state machine without sockets.
//!
//! [`Holder`] keeps what the node enforces and knows which newer version it has heard of. Its
//! driver asks it what to fetch, and hands it the content. Content is verified, checked for
//! closure and compiled before it is returned as [`Applied`]; anything wrong leaves the node with
//! what it had. Only a greater version is ever applied.

pub mod holder;

pub use holder::{Applied, Content, Holder};
