//! Checks team files without publishing them.

use std::path::{Path, PathBuf};

use crate::core::configuration::TeamRecord;
use crate::core::team_file::{self, Finding};

/// Everything wrong with one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFindings {
    /// The file.
    pub path: PathBuf,
    /// At least one finding.
    pub findings: Vec<Finding>,
}

/// Reads and checks every file; all records, or all findings of all files.
pub fn check_files(paths: &[PathBuf]) -> Result<Vec<TeamRecord>, Vec<FileFindings>> {
    let mut records = Vec::with_capacity(paths.len());
    let mut bad = Vec::new();
    for path in paths {
        match check_file(path) {
            Ok(record) => records.push(record),
            Err(findings) => bad.push(FileFindings {
                path: path.clone(),
                findings,
            }),
        }
    }
    if bad.is_empty() {
        Ok(records)
    } else {
        Err(bad)
    }
}

fn check_file(path: &Path) -> Result<TeamRecord, Vec<Finding>> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        vec![Finding {
            line: 0,
            problem: format!("cannot be read: {error}"),
            remedy: "check the path and that the file is UTF-8 text".to_owned(),
        }]
    })?;
    team_file::parse(&text)
}
