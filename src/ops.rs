//! What an operator does: commands, which change something, apart from queries, which do not.
//!
//! Each operation is one function with an options struct. It talks to the platform through the
//! traits of [`crate::store`] and prints nothing; the command line does the printing.

pub mod command;
pub mod operator_client;
pub mod query;
