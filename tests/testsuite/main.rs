//! The integration tests: whole processes, and the library's decisions from outside.

mod spread_membership;
mod spread_network;
mod support;
mod token;
mod whole_path;
