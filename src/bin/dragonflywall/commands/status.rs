//! `status`: shows the state of the mesh by data centre, according to one node.

use std::ffi::OsString;

use dragonflywall::core::status::Status;
use dragonflywall::ops::query::status::{by_data_centre, fetch};

use super::Command;
use crate::cli::{Failure, Result, block_on};
use crate::options::{CommonOptions, JSON_HELP, NODE_HELP, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "status",
    summary: "show what the nodes enforce, by data centre",
    help,
    run,
};

fn help() -> String {
    format!(
        "Asks one node what it knows of the mesh.\n\n\
         Usage: dragonflywall status --node ADDR [--json]\n\nOptions:\n{NODE_HELP}{JSON_HELP}"
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let node = common.node()?;
    let status = block_on(fetch(&node))
        .map_err(|error| Failure::refused(&error, "query another node, or check this one's log"))?;
    if common.json {
        print_json(&status);
    } else {
        print(&status);
    }
    Ok(())
}

fn print(status: &Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    println!(
        "node {} enforces {} and is {ready}",
        status.node, status.enforced
    );
    if !status.unreachable_services.is_empty() {
        let mut names: Vec<_> = status
            .unreachable_services
            .iter()
            .map(|name| name.as_str())
            .collect();
        names.sort_unstable();
        println!("no reachable endpoint of: {}", names.join(", "));
    }
    for row in by_data_centre(status) {
        let versions = if row.versions.is_empty() {
            "not counted yet".to_owned()
        } else {
            format!("versions {}", row.versions_text())
        };
        println!(
            "{}/{}: {} nodes, {versions}",
            row.place.region, row.place.data_centre, row.nodes
        );
    }
}
