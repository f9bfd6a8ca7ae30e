//! `audit`: shows who published which changes, when, and based on which version.

use std::ffi::OsString;

use dragonflywall::core::difference;
use dragonflywall::ops::query::audit::{AuditEntry, AuditFilter, audit};

use super::{Command, history};
use crate::cli::{Failure, Result, block_on};
use crate::options::{self, CommonOptions, JSON_HELP, PLATFORM_HELP, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "audit",
    summary: "show who changed what, when, from which version",
    help,
    run,
};

/// Number of versions shown by default. It is limited because an audit reads two configurations for
/// each version.
const DEFAULT_LAST: u64 = 20;

pub(crate) const NO_VERSIONS_TEXT: &str = "No version matches; use --all to search all versions";
pub(crate) const READ_HINT: &str = "try again when the platform is available";

/// Help texts of the options of `audit` and `history`.
pub(crate) fn options_help() -> String {
    format!(
        "{PLATFORM_HELP}\
         \x20 --last N             only the newest N versions (default {DEFAULT_LAST})\n\
         \x20 --all                all versions\n\
         \x20 --team TEAM          only publications that changed this team's record\n\
         \x20 --by NAME            only publications by this operator\n\
         {JSON_HELP}"
    )
}

fn help() -> String {
    format!(
        "Shows the audit trail, newest first: who published, when, on top of which version, and\n\
         what changed record by record. Each line was committed together with its version.\n\n\
         Usage: dragonflywall audit [OPTIONS]\n\nOptions:\n{}",
        options_help()
    )
}

/// Parses the options of `audit` and `history`.
pub(crate) fn parse_options(arguments: Vec<OsString>) -> Result<(CommonOptions, AuditFilter)> {
    let mut common = CommonOptions::from_environment();
    let mut filter = AuditFilter {
        limit: Some(DEFAULT_LAST),
        ..AuditFilter::default()
    };
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("last") => {
                filter.limit = Some(options::value("last", &mut parser)?);
            }
            lexopt::Arg::Long("all") => filter.limit = None,
            lexopt::Arg::Long("team") => {
                filter.team = Some(options::team("team", &mut parser)?);
            }
            lexopt::Arg::Long("by") => {
                filter.operator = Some(options::value("by", &mut parser)?);
            }
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok((common, filter))
}

fn run(arguments: Vec<OsString>) -> Result {
    let (common, filter) = parse_options(arguments)?;
    let platform = common.platform()?;
    let entries =
        block_on(audit(&platform, &filter)).map_err(|error| Failure::refused(&error, READ_HINT))?;
    if common.json {
        print_json(&entries);
        return Ok(());
    }
    for entry in &entries {
        print(entry);
    }
    if entries.is_empty() {
        println!("{}", NO_VERSIONS_TEXT);
    }
    Ok(())
}

fn print(entry: &AuditEntry) {
    let row = &entry.row;
    println!("{}", history::version_line(row));
    println!(
        "  publication {}, digest {}",
        row.publish_id, row.stamp.digest
    );
    println!("  parent {}", row.parent);
    if !entry.parent_matches {
        println!("  WARNING: the parent is not the preceding version");
    }
    for line in difference::to_text(&entry.changes).lines() {
        println!("  {line}");
    }
}
