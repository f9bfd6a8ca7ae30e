//! Stand-ins for what dragonflywall meets, for tests and experiments.
//!
//! [`platform`] is the transactional table and object store, [`backend`] a backend server that
//! records what it ran, [`network`] the links between data centres, which can be cut, delayed,
//! throttled and counted. [`process`] starts nodes as processes and [`mesh`] a whole deployment.
//! [`users`] is all of this on the users' platform.
//!
//! All listen on loopback addresses; data centre number N has the addresses 127.x.N+1.1, where x is the network's own.

pub mod backend;
pub mod http;
pub mod mesh;
pub mod network;
pub mod platform;
pub mod process;
pub(crate) mod rate_limit;
pub mod users;
