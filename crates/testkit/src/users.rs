//! Stand-ins for the platform on which the users run their VMs. They implement the published protocol of
//! that platform.
//!
//! - [`store`]: the platform's store.
//! - [`backend`]: a backend server that announces itself to the node on its VM.
//! - [`backend_process`]: the same as a process of its own.
//! - [`configuration`]: configurations in the format that the users' operators write.
//! - [`mesh`]: a whole deployment, with a backend server and a node process on each VM.
//!
//! Tests inject faults into the store and the backend servers.

pub mod backend;
pub mod backend_process;
pub mod configuration;
pub mod mesh;
pub mod store;
