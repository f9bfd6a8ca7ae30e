//! Stand-ins for the users' platform, which speak its published words.
//!
//! [`store`] is its store, [`backend`] a backend server as it has them, and [`mesh`] VMs with both and
//! a node process each. What they do wrong is told to them by tests.

pub mod backend;
pub mod configuration;
pub mod mesh;
pub mod store;
