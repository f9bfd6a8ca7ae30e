//! `diff`: shows what publishing files would change, or what changed between versions.

use std::ffi::OsString;
use std::path::PathBuf;

use dragonflywall::core::difference;
use dragonflywall::core::names::TeamName;
use dragonflywall::core::version::Version;
use dragonflywall::ops::query::diff::{Diff, Error, against_accepted, between_versions};

use super::{Command, check};
use crate::cli::{Failure, Result, block_on};
use crate::options::{self, CommonOptions, JSON_HELP, PLATFORM_HELP, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "diff",
    summary: "show what files would change, or what changed between versions",
    help,
    run,
};

fn help() -> String {
    format!(
        "Compares configurations record by record: + new, - gone, ~ changed.\n\n\
         Usage: dragonflywall diff [OPTIONS] FILE...   files against the accepted version\n\
         \x20      dragonflywall diff [OPTIONS] --from N [--to M]\n\nOptions:\n\
         {PLATFORM_HELP}\
         \x20 --from N             an earlier version\n\
         \x20 --to M               a later version (default: the accepted one)\n\
         \x20 --remove TEAM        as if this team's record were removed\n\
         {JSON_HELP}\n\
         Exit code 0 whether or not there are differences."
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut from: Option<Version> = None;
    let mut to: Option<Version> = None;
    let mut removals: Vec<TeamName> = Vec::new();
    let mut paths: Vec<PathBuf> = Vec::new();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("from") => from = Some(options::version("from", &mut parser)?),
            lexopt::Arg::Long("to") => to = Some(options::version("to", &mut parser)?),
            lexopt::Arg::Long("remove") => removals.push(options::team("remove", &mut parser)?),
            lexopt::Arg::Value(path) => paths.push(path.into()),
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let platform = common.platform()?;
    let has_changes = !paths.is_empty() || !removals.is_empty();
    let diff = match (from, has_changes) {
        (Some(from), false) => block_on(between_versions(&platform, from, to)),
        (None, true) if to.is_none() => {
            let records = check::records(&paths)?;
            block_on(against_accepted(&platform, &records, &removals))
        }
        _ => {
            let text = "give either team files and --remove, or --from and --to".to_owned();
            return Err(Failure::Usage(text));
        }
    };
    print(&diff.map_err(failure)?, common.json);
    Ok(())
}

fn print(diff: &Diff, json: bool) {
    if json {
        print_json(diff);
        return;
    }
    let to = match diff.to {
        Some(version) => format!("version {version}"),
        None => "the files".to_owned(),
    };
    if diff.teams.is_empty() {
        println!("Compared version {} with {to}: no difference", diff.from);
        return;
    }
    println!("Compared version {} with {to}:", diff.from);
    print!("{}", difference::to_text(&diff.teams));
    if diff.to.is_none() {
        println!(
            "To publish based on the version compared here, use --expect {}",
            diff.from
        );
    }
}

fn failure(error: Error) -> Failure {
    let hint = match &error {
        Error::Read { .. } => "try again when the platform is available",
        Error::NoSuchVersion { .. } => "`dragonflywall history` lists the versions",
    };
    Failure::refused(&error, hint)
}
