//! `history`: lists the accepted versions, one per line.

use std::ffi::OsString;

use dragonflywall::ops::query::audit::history;
use dragonflywall::store::rows::{PublicationKind, VersionRow};

use super::{Command, audit};
use crate::cli::{Failure, Result, block_on};
use crate::options::print_json;

pub(crate) const COMMAND: Command = Command {
    name: "history",
    summary: "list the accepted versions, newest first",
    help,
    run,
};

fn help() -> String {
    format!(
        "Lists the accepted versions, newest first, a line each.\n\n\
         Usage: dragonflywall history [OPTIONS]\n\nOptions:\n{}",
        audit::options_help()
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let (common, filter) = audit::parse_options(arguments)?;
    let platform = common.platform()?;
    let rows = block_on(history(&platform, &filter))
        .map_err(|error| Failure::refused(&error, audit::READ_HINT))?;
    if common.json {
        print_json(&rows);
        return Ok(());
    }
    for row in &rows {
        println!("{}", version_line(row));
    }
    if rows.is_empty() {
        println!("{}", audit::NO_VERSIONS_TEXT);
    }
    Ok(())
}

/// Formats one version, such as `4  2026-12-02 23:41:07 UTC  ana  publish  boletines, bascula`.
pub(crate) fn version_line(row: &VersionRow) -> String {
    let teams: Vec<_> = row.teams_changed.iter().map(|team| team.as_str()).collect();
    let kind = match row.kind {
        PublicationKind::Publish => "publish".to_owned(),
        PublicationKind::Rollback { to } => format!("rollback to {to}"),
    };
    format!(
        "{}  {}  {}  {kind}  {}",
        row.stamp.version,
        format_utc(row.time_ms),
        row.operator,
        teams.join(", ")
    )
}

const MS_PER_DAY: u64 = 86_400_000;

/// Formats a time that is given in milliseconds since the epoch.
fn format_utc(time_ms: u64) -> String {
    let (year, month, day) = civil_date(time_ms / MS_PER_DAY);
    let second_of_day = time_ms % MS_PER_DAY / 1_000;
    let (hour, minute) = (second_of_day / 3_600, second_of_day / 60 % 60);
    let second = second_of_day % 60;
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Converts a number of days since the epoch to year, month and day of the Gregorian calendar.
fn civil_date(days_since_epoch: u64) -> (u64, u64, u64) {
    let mut days = days_since_epoch;
    let mut year = 1970;
    while days >= days_in_year(year) {
        days -= days_in_year(year);
        year += 1;
    }
    // The other eleven months have 337 days.
    let february = days_in_year(year) - 337;
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 1;
    for length in lengths {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    (year, month, days + 1)
}

fn days_in_year(year: u64) -> u64 {
    let is_leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    if is_leap { 366 } else { 365 }
}
