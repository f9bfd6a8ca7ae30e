//! `watch`: follows the distribution of a version until every node enforces it.

use std::ffi::OsString;
use std::time::Duration;

use dragonflywall::core::version::Version;
use dragonflywall::ops::operator_client::OperatorEndpoint;
use dragonflywall::ops::query::progress::Progress;
use dragonflywall::ops::query::{accepted, watch::watch};

use super::{Command, audit};
use crate::cli::{Failure, Result, block_on};
use crate::options::{
    self, CommonOptions, JSON_HELP, LIMIT_HELP, NODES_HELP, PLATFORM_HELP, print_json_line,
};

pub(crate) const COMMAND: Command = Command {
    name: "watch",
    summary: "follow a version until every node enforces it",
    help,
    run,
};

fn help() -> String {
    format!(
        "Prints how many nodes of each data centre enforce a version, at each change, until all\n\
         do. What a node knows of other data centres may be some seconds old.\n\n\
         Usage: dragonflywall watch --node ADDR [OPTIONS]\n\nOptions:\n\
         {NODES_HELP}\
         \x20 --version N          the version (default: the accepted one, which needs --platform)\n\
         {PLATFORM_HELP}{LIMIT_HELP}{JSON_HELP}\n\
         Exit code 0 when all enforce it, 3 when that was not seen within the limit."
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut version: Option<Version> = None;
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("version") => {
                version = Some(options::version("version", &mut parser)?);
            }
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let nodes = common.nodes()?;
    let timeout = common.wait_limit()?;
    let version = match version {
        Some(version) => version,
        None => accepted_version(&common)?,
    };
    block_on(follow(&nodes, version, timeout, common.json))
}

fn accepted_version(common: &CommonOptions) -> Result<Version> {
    let platform = common.platform()?;
    let head = block_on(accepted::head(&platform));
    let head = head.map_err(|error| Failure::refused(&error, audit::READ_HINT))?;
    Ok(head.stamp.version)
}

/// Follows `version` until every node enforces it. `publish --wait` calls this as well.
pub(crate) async fn follow(
    nodes: &[OperatorEndpoint],
    version: Version,
    timeout: Duration,
    json: bool,
) -> Result {
    let report = |progress: &Progress| {
        if json {
            print_json_line(progress);
        } else {
            println!("Enforced: {progress}");
        }
    };
    let hint = || {
        format!(
            "version {version} stands; find the nodes that lag behind with \
             `dragonflywall status`, and run `dragonflywall watch --version {version}` again"
        )
    };
    match watch(nodes, version, timeout, report).await {
        Ok(progress) if progress.is_complete() => Ok(()),
        Ok(progress) => Err(Failure::Unknown {
            text: format!(
                "not every node enforces the version after {} ms: {progress}",
                timeout.as_millis()
            ),
            hint: hint(),
        }),
        Err(error) => Err(Failure::Unknown {
            text: crate::cli::error_with_causes(&error),
            hint: hint(),
        }),
    }
}
