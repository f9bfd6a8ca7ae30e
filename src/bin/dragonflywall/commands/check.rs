//! `check`: checks team files and reports all their problems.

use std::ffi::OsString;
use std::fmt::Write as _;
use std::path::PathBuf;

use dragonflywall::core::configuration::{Configuration, TeamRecord};
use dragonflywall::ops::query::accepted;
use dragonflywall::ops::query::check::{CheckedFile, FileFindings, check_files, check_set};

use super::{Command, audit};
use crate::cli::{Failure, Result, block_on};
use crate::options::{CommonOptions, JSON_HELP, PLATFORM_HELP, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "check",
    summary: "check team files without publishing them",
    help,
    run,
};

fn help() -> String {
    format!(
        "Checks team files and names file, line and remedy of everything wrong.\n\n\
         Usage: dragonflywall check [OPTIONS] FILE...\n\nOptions:\n\
         \x20 --whole              the files are the whole set: check references between them\n\
         \x20 --accepted           check references against the accepted version's other teams\n\
         {PLATFORM_HELP}{JSON_HELP}"
    )
}

/// Which other teams' records the references of the files are checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    EachFile,
    WholeSet,
    Accepted,
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut scope = Scope::EachFile;
    let mut paths = Vec::new();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("whole") => scope = Scope::WholeSet,
            lexopt::Arg::Long("accepted") => scope = Scope::Accepted,
            lexopt::Arg::Value(path) => paths.push(PathBuf::from(path)),
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let checked = check(&paths, scope, &common);
    if common.json {
        print_findings(&checked);
    }
    let files = checked?;
    if !common.json {
        println!("Checked {} team files: no problems found", files.len());
    }
    Ok(())
}

fn check(paths: &[PathBuf], scope: Scope, common: &CommonOptions) -> Result<Vec<CheckedFile>> {
    let files = check_each_file(paths)?;
    let base = match scope {
        Scope::EachFile => return Ok(files),
        Scope::WholeSet => Configuration::default(),
        Scope::Accepted => accepted_configuration(common)?,
    };
    check_set(&files, &base).map_err(findings_failure)?;
    Ok(files)
}

fn accepted_configuration(common: &CommonOptions) -> Result<Configuration> {
    let platform = common.platform()?;
    let read = block_on(async {
        let head = accepted::head(&platform).await?;
        accepted::configuration(&platform, head.stamp.version).await
    });
    read.map_err(|error| Failure::refused(&error, audit::READ_HINT))
}

/// Reads the records of all files, or returns a failure with all findings.
pub(crate) fn records(paths: &[PathBuf]) -> Result<Vec<TeamRecord>> {
    if paths.is_empty() {
        return Ok(Vec::new());
    }
    let files = check_each_file(paths)?;
    Ok(files.into_iter().map(|file| file.record).collect())
}

fn check_each_file(paths: &[PathBuf]) -> Result<Vec<CheckedFile>> {
    if paths.is_empty() {
        return Err(Failure::Usage("no team file was given".to_owned()));
    }
    check_files(paths).map_err(findings_failure)
}

fn findings_failure(invalid_files: Vec<FileFindings>) -> Failure {
    Failure::Findings(invalid_files)
}

fn print_findings(checked: &Result<Vec<CheckedFile>>) {
    match checked {
        Ok(_) => print_json(&Vec::<FileFindings>::new()),
        Err(Failure::Findings(invalid_files)) => print_json(invalid_files),
        Err(_) => (),
    }
}

/// Formats all findings, each with its file, line and remedy.
pub(crate) fn describe(invalid_files: &[FileFindings]) -> String {
    let mut text = format!("team files refused: {}", invalid_files.len());
    for file in invalid_files {
        for finding in &file.findings {
            let path = file.path.display();
            let _ = match finding.line {
                0 => write!(text, "\n{path}: {}", finding.problem),
                line => write!(text, "\n{path}:{line}: {}", finding.problem),
            };
            let _ = write!(text, "\n  remedy: {}", finding.remedy);
        }
    }
    text
}
