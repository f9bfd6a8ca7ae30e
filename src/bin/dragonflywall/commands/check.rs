//! `check`: reads team files and says everything that is wrong with them.

use std::ffi::OsString;
use std::fmt::Write as _;
use std::path::PathBuf;

use dragonflywall::core::configuration::TeamRecord;
use dragonflywall::ops::query::check::{FileFindings, check_files};

use super::Command;
use crate::cli::{Failure, Result};

pub(crate) const COMMAND: Command = Command {
    name: "check",
    summary: "check team files without publishing them",
    help,
    run,
};

fn help() -> String {
    "Checks team files and names file, line and remedy of everything wrong.\n\n\
     Usage: dragonflywall check FILE..."
        .to_owned()
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut paths = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Value(path) => paths.push(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    let records = checked(&paths)?;
    println!("Checked {} team files: nothing wrong", records.len());
    Ok(())
}

/// The records of all files, or a refusal with all findings.
pub(crate) fn checked(paths: &[PathBuf]) -> Result<Vec<TeamRecord>> {
    if paths.is_empty() {
        return Err(Failure::Usage("no team file was given".to_owned()));
    }
    check_files(paths).map_err(|bad| Failure::Refused {
        text: describe(&bad),
        hint: "nothing was changed; correct the files and check again",
    })
}

fn describe(bad: &[FileFindings]) -> String {
    let mut text = format!("{} team files are refused", bad.len());
    for file in bad {
        for finding in &file.findings {
            let path = file.path.display();
            let _ = write!(text, "\n{path}:{}: {}", finding.line, finding.problem);
            let _ = write!(text, "\n  remedy: {}", finding.remedy);
        }
    }
    text
}
