//! `organisations`: shows how far organisations have used their quotas, according to one node.

use std::ffi::OsString;

use dragonflywall::core::status::{OrganisationStatus, OrganisationsStatus};
use dragonflywall::ops::query::organisations::fetch;

use super::Command;
use crate::cli::{Failure, Result, block_on};
use crate::options::{CommonOptions, JSON_HELP, NODE_HELP, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "organisations",
    summary: "show the use of quotas, and how current a node's configuration is",
    help,
    run,
};

fn help() -> String {
    format!(
        "Asks one node for the organisations whose callers sent requests to it within the quota window,\n\
         and for how long it has not known that its configuration is the newest.\n\n\
         Usage: dragonflywall organisations --node ADDR [OPTIONS] [ORGANISATION]\n\nOptions:\n{NODE_HELP}{JSON_HELP}"
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut words = Vec::new();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            lexopt::Arg::Value(word) => words.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    let name = match words.as_slice() {
        [] => None,
        [name] => Some(name.as_str()),
        _ => {
            let text = "expected at most one organisation";
            return Err(Failure::Usage(text.to_owned()));
        }
    };
    let node = common.node()?;
    let mut status = block_on(fetch(&node))
        .map_err(|error| Failure::refused(&error, "query another node, or check this one's log"))?;
    status
        .organisations
        .retain(|organisation| name.is_none_or(|name| name == organisation.name.as_str()));
    if common.json {
        print_json(&status);
    } else {
        print(&status);
    }
    Ok(())
}

fn print(status: &OrganisationsStatus) {
    match status.known_newest_ms_ago {
        Some(age_ms) => println!("the configuration was known to be the newest {age_ms} ms ago"),
        None => println!("the configuration is not known to be the newest"),
    }
    match status.grants_age_ms {
        Some(age_ms) => println!("last grants: {age_ms} ms ago"),
        None => println!("no grants: the node admits its part of each rate"),
    }
    status.organisations.iter().for_each(print_organisation);
}

fn print_organisation(organisation: &OrganisationStatus) {
    let OrganisationStatus {
        name,
        rate_per_s,
        burst_requests,
        asked,
        admitted,
        refused_total,
        mesh_admitted,
        granted_left,
    } = organisation;
    let mesh = mesh_admitted.map_or("little".to_owned(), |count| count.to_string());
    println!(
        "{name}: quota {rate_per_s} a second and {burst_requests}; in the window {mesh} of the mesh, \
         {admitted} of {asked} here; {granted_left} left here; {refused_total} refused here in all"
    );
}
