//! dragonflywall distributes the configuration of a service mesh and enforces it.
//!
//! Each service team keeps a short configuration file next to its code. The `publish` command merges
//! team files into a new version of the configuration and commits it in one transaction on the
//! platform's table. A node process runs on each backend server VM. It is notified of a new version
//! by gossip, fetches the content from a peer or the object store, verifies it, and replaces the
//! enforced configuration as a whole. The same node is a proxy: as an entry node it routes the
//! requests of the callers that connect to it, and all requests to the VM's backend server pass
//! through its admission control, the gate.
//!
//! The modules:
//!
//! - [`core`]: plain data types that all other modules share.
//! - [`ops`]: operator commands and, separate from them, queries; both use [`store`].
//! - [`store`]: clients of the table and the object store.
//! - [`platform`]: adapter to the interfaces of the users' platform.
//! - [`distribution`], [`membership`], [`decide`]: decision logic as state machines that open no
//!   sockets and read no clock.
//! - [`peer`]: the gRPC protocol between nodes.
//! - [`node`]: the actors that run these state machines and provide their sockets and time.
//! - `proxy`: the path of requests from a caller to a backend server and back.

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
