//! `status`: what one node knows of the mesh, by data centre.

use std::ffi::OsString;
use std::net::SocketAddr;

use dragonflywall::core::status::Status;
use dragonflywall::ops::query::status::{by_data_centre, fetch};
use lexopt::ValueExt;

use super::Command;
use crate::cli::{Failure, Result, block_on, mesh_token};

pub(crate) const COMMAND: Command = Command {
    name: "status",
    summary: "show what the nodes enforce, by data centre",
    help,
    run,
};

fn help() -> String {
    "Asks one node what it knows of the mesh.\n\n\
     Usage: dragonflywall status --node ADDR [--json]\n\nOptions:\n\
     \x20 --node ADDR   operator address of any node [DRAGONFLYWALL_NODE]\n\
     \x20 --json        for scripts"
        .to_owned()
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut node = std::env::var("DRAGONFLYWALL_NODE").ok();
    let mut json = false;
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("node") => node = Some(parser.value()?.string()?),
            lexopt::Arg::Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let node = node.ok_or_else(|| Failure::Usage("--node is required".to_owned()))?;
    let address: SocketAddr = node
        .parse()
        .map_err(|error| Failure::Usage(format!("--node `{node}`: {error}")))?;
    let token = mesh_token()?;
    let status = block_on(fetch(address, &token))
        .map_err(|error| Failure::refused(&error, "ask another node, or look at this one's log"))?;
    if json {
        let text = serde_json::to_string_pretty(&status).expect("statuses always encode");
        println!("{text}");
    } else {
        print(&status);
    }
    Ok(())
}

fn print(status: &Status) {
    println!("node {} enforces {}", status.node, status.enforced);
    for row in by_data_centre(status) {
        println!(
            "{}/{}: {} nodes, versions {}",
            row.place.region,
            row.place.data_centre,
            row.nodes,
            row.versions_text()
        );
    }
}
