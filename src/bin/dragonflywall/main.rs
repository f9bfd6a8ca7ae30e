//! The command line of dragonflywall: one binary for the node and for its operators.
//!
//! `main` hands the arguments to [`cli`], which picks a command; each command parses its own
//! flags, calls one operation of the library and prints the outcome. What a command may fail with
//! becomes an exit code in one place, [`cli::Failure`].

mod cli;
mod commands;
mod options;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
