//! The command line of dragonflywall: one binary that runs the node and the operators' commands.
//!
//! `main` passes the arguments to [`cli`], which selects the command. Each command parses its own
//! flags, calls one operation of the library and prints the result. [`cli::Failure`] maps all
//! failures to exit codes.

mod cli;
mod commands;
mod options;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
