//! The commands, one per file. Each parses its flags, calls an operation and prints the result.

mod audit;
pub(crate) mod check;
mod diff;
mod drain;
mod history;
mod node;
mod organisations;
mod publish;
mod rollout;
mod status;
mod watch;

use std::ffi::OsString;

use crate::cli::Result;

/// Name, help texts and entry point of a command.
pub(crate) struct Command {
    pub(crate) name: &'static str,
    pub(crate) summary: &'static str,
    pub(crate) help: fn() -> String,
    pub(crate) run: fn(Vec<OsString>) -> Result,
}

/// All commands, in the order in which `dragonflywall help` lists them.
pub(crate) const ALL: &[Command] = &[
    check::COMMAND,
    diff::COMMAND,
    publish::COMMAND,
    watch::COMMAND,
    status::COMMAND,
    rollout::COMMAND,
    organisations::COMMAND,
    history::COMMAND,
    audit::COMMAND,
    drain::COMMAND,
    node::COMMAND,
];
