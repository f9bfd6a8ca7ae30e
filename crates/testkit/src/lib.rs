//! Stand-ins for the systems around a dragonflywall node, for tests and experiments.
//!
//! - [`platform`]: the transactional table and object store.
//! - [`backend`]: a backend server that records the requests that it ran.
//! - [`network`]: the links between data centres, which can be cut, delayed, throttled and metered.
//! - [`process`]: starts a node as a process.
//! - [`mesh`]: starts a whole deployment.
//! - [`clock`]: a clock that all processes share.
//! - [`concurrent`]: waits for several futures.
//! - [`raw`]: connections on which a test chooses each byte.
//! - [`users`]: stand-ins for the platform on which the users run their VMs, which has its own protocol.
//!
//! Everything listens on loopback addresses. Data centre N, counted from 0, has the address
//! 127.x.N+1.1, where x differs between [`network::Network`]s.

pub mod backend;
pub mod clock;
pub mod concurrent;
pub mod http;
pub mod mesh;
pub mod network;
pub mod platform;
pub mod process;
pub(crate) mod rate_limit;
pub mod raw;
pub mod users;
