//! Operations for operators: commands, which change state, and queries, which only read it.
//!
//! Each operation is a function that takes its options as a struct. It accesses the platform
//! through the traits of [`crate::store`] and prints nothing; the command line prints the result.

pub mod command;
pub mod operator_client;
pub mod query;
