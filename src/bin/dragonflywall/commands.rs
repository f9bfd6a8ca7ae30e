//! The commands, a file each: they parse, hand over to an operation, and print.

mod audit;
pub(crate) mod check;
mod diff;
mod drain;
mod history;
mod node;
mod publish;
mod status;
mod watch;

use std::ffi::OsString;

use crate::cli::Result;

/// One command of the command line.
pub(crate) struct Command {
    pub(crate) name: &'static str,
    pub(crate) summary: &'static str,
    pub(crate) help: fn() -> String,
    pub(crate) run: fn(Vec<OsString>) -> Result,
}

/// All commands, in the order of the overview.
pub(crate) const ALL: &[Command] = &[
    check::COMMAND,
    diff::COMMAND,
    publish::COMMAND,
    watch::COMMAND,
    status::COMMAND,
    history::COMMAND,
    audit::COMMAND,
    drain::COMMAND,
    node::COMMAND,
];
