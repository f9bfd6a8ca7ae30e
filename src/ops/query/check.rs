//! Checks team files without publishing them, each by itself or all together.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::core::configuration::{Configuration, TeamRecord};
use crate::core::names::{ResourceName, ServiceName, TeamName};
use crate::core::routing::RouteTable;
use crate::core::team_file::{self, Finding, SourceLines};

/// A result whose error, by default, lists the findings of each invalid file.
pub type Result<T, E = Vec<FileFindings>> = std::result::Result<T, E>;

/// All findings of one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FileFindings {
    /// Path of the file.
    pub path: PathBuf,
    /// The findings; never empty.
    pub findings: Vec<Finding>,
}

/// A file that is valid by itself. Its references to other teams are not checked yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Record of the team, as parsed from the file.
    pub record: TeamRecord,
    lines: SourceLines,
}

/// Reads and checks each file by itself. Returns the checked files, or the findings of all files if
/// there are any.
pub fn check_files(paths: &[PathBuf]) -> Result<Vec<CheckedFile>> {
    let mut files: Vec<CheckedFile> = Vec::with_capacity(paths.len());
    let mut invalid_files = Vec::new();
    for path in paths {
        let checked = check_file(path).and_then(|file| check_unique_team(&files, file));
        match checked {
            Ok(file) => files.push(file),
            Err(findings) => invalid_files.push(FileFindings {
                path: path.clone(),
                findings,
            }),
        }
    }
    if invalid_files.is_empty() {
        Ok(files)
    } else {
        Err(invalid_files)
    }
}

/// Checks the references between teams after `files` have replaced the records of their teams in
/// `base`. `base` is the accepted configuration, or empty if `files` contain all teams.
pub fn check_set(files: &[CheckedFile], base: &Configuration) -> Result<()> {
    let mut set = base.clone();
    for file in files {
        let record = file.record.clone();
        set.teams.insert(record.team.clone(), record);
    }
    let mut invalid_files = Vec::new();
    for file in files {
        let findings = reference_findings(file, &set);
        if !findings.is_empty() {
            invalid_files.push(FileFindings {
                path: file.path.clone(),
                findings,
            });
        }
    }
    if invalid_files.is_empty() {
        invalid_files.extend(finding_in_other_files(files, &set));
    }
    if invalid_files.is_empty() {
        Ok(())
    } else {
        Err(invalid_files)
    }
}

fn check_file(path: &Path) -> Result<CheckedFile, Vec<Finding>> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        vec![Finding {
            line: 0,
            problem: format!("cannot be read: {error}"),
            remedy: "check that the path is correct and that the file is UTF-8 text".to_owned(),
        }]
    })?;
    let (record, lines) = team_file::parse_with_lines(&text)?;
    Ok(CheckedFile {
        path: path.to_owned(),
        record,
        lines,
    })
}

/// Rejects a second file of the same team. A team has only one record, so one file would silently
/// replace the other.
fn check_unique_team(
    earlier_files: &[CheckedFile],
    file: CheckedFile,
) -> Result<CheckedFile, Vec<Finding>> {
    let team = &file.record.team;
    let Some(other) = earlier_files
        .iter()
        .find(|other| other.record.team == *team)
    else {
        return Ok(file);
    };
    Err(vec![Finding {
        line: file.lines.team,
        problem: format!(
            "team `{team}` is already defined in {}",
            other.path.display()
        ),
        remedy: "put all services of the team into one file, or correct the team name".to_owned(),
    }])
}

fn reference_findings(file: &CheckedFile, set: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    let owners = teams_by_service(set);
    let team = &file.record.team;
    for (service, line) in &file.lines.services {
        let other = owners[service].iter().find(|owner| **owner != team);
        if let Some(other) = other {
            findings.push(Finding {
                line: *line,
                problem: format!("service `{service}` is also offered by team `{other}`"),
                remedy: "rename the service, or first remove it from the other team's file"
                    .to_owned(),
            });
        }
    }
    for (service, resources) in &file.record.calls {
        let line = file.lines.calls[service];
        let missing = resources
            .iter()
            .map(|name| missing_reference(set, service, name));
        findings.extend(
            missing
                .flatten()
                .map(|reference| reference.into_finding(line)),
        );
    }
    for (service, record) in &file.record.services {
        for (route, line) in record.routes.iter().zip(&file.lines.routes[service]) {
            let target = &route.target;
            let missing = missing_reference(set, &target.service, &target.resource);
            findings.extend(missing.map(|reference| reference.into_finding(*line)));
        }
    }
    findings.sort_by_key(|finding| finding.line);
    findings
}

fn teams_by_service(set: &Configuration) -> BTreeMap<&ServiceName, Vec<&TeamName>> {
    let mut owners: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (team, record) in &set.teams {
        for service in record.services.keys() {
            owners.entry(service).or_default().push(team);
        }
    }
    owners
}

struct MissingReference {
    problem: String,
    remedy: &'static str,
}

impl MissingReference {
    fn into_finding(self, line: usize) -> Finding {
        Finding {
            line,
            problem: self.problem,
            remedy: self.remedy.to_owned(),
        }
    }
}

fn missing_reference(
    set: &Configuration,
    service: &ServiceName,
    name: &ResourceName,
) -> Option<MissingReference> {
    let Some(record) = set.service(service) else {
        return Some(MissingReference {
            problem: format!("no team offers service `{service}`"),
            remedy: "correct the name, or add the file of the team that offers the service",
        });
    };
    let exists = record.resources.contains_key(name);
    (!exists).then(|| MissingReference {
        problem: format!("service `{service}` has no resource `{name}`"),
        remedy: "correct the name, or add the file of the team that offers the service",
    })
}

/// Finds the first invalid reference in the records of teams whose files were not given, such as a
/// call to a service that `files` remove.
fn finding_in_other_files(files: &[CheckedFile], set: &Configuration) -> Option<FileFindings> {
    let error = RouteTable::compile(set).err()?;
    let first = files.first()?;
    Some(FileFindings {
        path: first.path.clone(),
        findings: vec![Finding {
            line: first.lines.team,
            problem: format!("with these files, {error}"),
            remedy: "keep the service or resource until the other team no longer refers to it"
                .to_owned(),
        }],
    })
}
