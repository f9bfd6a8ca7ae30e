//! `drain`: makes a node refuse new requests to its backend server and complete those in flight.

use std::ffi::OsString;

use dragonflywall::ops::command::drain::{DrainStatus, drain, wait_drained};

use super::Command;
use crate::cli::{Failure, Result, block_on};
use crate::options::{CommonOptions, JSON_HELP, LIMIT_HELP, NODE_HELP, print_json_line};

pub(crate) const COMMAND: Command = Command {
    name: "drain",
    summary: "let a node finish its work and take no more",
    help,
    run,
};

fn help() -> String {
    format!(
        "Drains one node before its backend server is stopped: the mesh sends it no new work, and\n\
         what it has is finished. Draining again does no harm.\n\n\
         Usage: dragonflywall drain --node ADDR [OPTIONS]\n\nOptions:\n\
         {NODE_HELP}\
         \x20 --wait               until nothing is in flight\n\
         {LIMIT_HELP}{JSON_HELP}\n\
         Exit code 0 when the node drains (with --wait: is drained), 1 when it was not reached, 3\n\
         when requests were still in flight after the limit."
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut wait = false;
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("wait") => wait = true,
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let node = common.node()?;
    let timeout = common.wait_limit()?;
    let report = |status: DrainStatus| {
        if common.json {
            print_json_line(&status);
        } else {
            println!(
                "Draining {}: {} requests in flight",
                node.address, status.in_flight
            );
        }
    };
    let last = block_on(async {
        if wait {
            return wait_drained(&node, timeout, report).await;
        }
        drain(&node).await.inspect(|status| report(*status))
    });
    let last = last.map_err(|error| {
        Failure::refused(
            &error,
            "check the node's operator address and that the node is running",
        )
    })?;
    if wait && !last.is_done() {
        return Err(Failure::Unknown {
            text: format!(
                "{} requests are still in flight at {}",
                last.in_flight, node.address
            ),
            hint: "leave the backend server running, and run the same command again".to_owned(),
        });
    }
    Ok(())
}
