//! dragonflywall distributes the configuration of a service mesh and enforces it.
//!
//! Each service team keeps a short file beside its code. `publish` turns the accepted set of these
//! files into one version, a transaction on the platform's table. Every node (one small process on
//! each backend server VM) learns of the version by gossip, fetches its content from a peer or the
//! object store, checks it, and swaps it in whole. The same node carries the calls: as a caller's
//! entry, and as the only gate to its own backend server.
//!
//! Data flows through the modules as follows:
//!
//! - [`core`]: plain data that all others share.
//! - [`ops`]: what an operator does, commands apart from queries; talks to [`store`].
//! - [`distribution`], [`membership`], [`decide`]: decisions as state machines without sockets or
//!   a clock of their own.
//! - [`node`]: the actors that give these state machines their sockets and their time.

pub mod core;
pub mod decide;
pub mod distribution;
pub mod membership;
pub mod node;
pub mod ops;
pub mod peer;
pub mod platform;
pub mod store;

pub(crate) mod proxy;
pub(crate) mod util;
