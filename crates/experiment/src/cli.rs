//! Selects the command to run, and reports its error as text and exit code.

use std::error::Error as _;
use std::ffi::OsString;
use std::future::Future;
use std::process::ExitCode;

use crate::error::{Error, Result};
use crate::{all, convergence, demo, node, requests, rollout, slopes};

const HELP: &str = "\
Runs meshes of dragonflywall nodes on this machine and measures them.

Usage: experiment COMMAND

Commands:
  demo [chatarras|marinhas]  a whole small mesh: publish, call, publish again
  convergence                time from acceptance to enforcing, control bytes, memory
  requests                   latency added, processor time of a call, overload, drain
  slopes                     cost of the state machines at the design size
  rollout                    roll-outs of good and bad versions, in virtual time
  all                        all of these but rollout, and the numbers of docs/CAPACITY.md

Options of the measuring commands:
  --quick                    small sizes, to see that it runs (the default)
  --full                     every size
  --docs DIR                 where `measurements` are written (default: this repository's docs)
  --nodes N                  only this size (convergence)
";

/// Runs the command that `arguments` name. Exits with 2 for a usage error and 1 for any other
/// error.
pub(crate) fn run(arguments: Vec<OsString>) -> ExitCode {
    match dispatch(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            let mut source = error.source();
            while let Some(cause) = source {
                eprintln!("  caused by: {cause}");
                source = cause.source();
            }
            match error {
                Error::Usage { .. } => {
                    eprintln!("hint: see `experiment help`");
                    ExitCode::from(2)
                }
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn dispatch(arguments: Vec<OsString>) -> Result {
    let mut arguments = arguments.into_iter();
    let command = arguments.next();
    let command = command.as_ref().and_then(|command| command.to_str());
    let rest: Vec<OsString> = arguments.collect();
    match command {
        Some("demo") => block_on(demo::run(rest)),
        Some("all") => block_on(all::run(rest)),
        Some("convergence") => block_on(convergence::run(rest)),
        Some("requests") => block_on(requests::run(rest)),
        Some("rollout") => block_on(rollout::run(rest)),
        Some("slopes") => block_on(slopes::run(rest)),
        Some("node") => node::run(rest),
        Some("help" | "--help" | "-h") => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(Error::Usage {
            text: format!("`{other}` is not a command"),
        }),
        None => Err(Error::Usage {
            text: "a command is required".to_owned(),
        }),
    }
}

fn block_on(run: impl Future<Output = Result>) -> Result {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the Tokio runtime can be created");
    runtime.block_on(run)
}
