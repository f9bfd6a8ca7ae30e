//! The team file: what a service team writes, in TOML, and its checks.
//!
//! [`parse`] reads the text into a [`TeamRecord`] or into a list of [`Finding`]s, each with its line
//! and a remedy. It looks at one file only; references to other teams are checked when the whole
//! set is known, by [`crate::core::routing::RouteTable::compile`].

mod checker;
mod raw;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::configuration::TeamRecord;
use crate::core::names::ServiceName;
use checker::Checker;
use raw::{RawTeam, syntax_finding};

/// Result of this module: a record, or everything that is wrong with the file.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// Longest timeout. Archive look-ups may take minutes; more than an hour outlives a drain.
pub const TIMEOUT_MAX_MS: u32 = 3_600_000;
/// Most attempts. Each one more costs a loaded mesh another call for the same answer.
pub const ATTEMPTS_MAX: u32 = 5;
/// Most slots of one endpoint.
pub const SLOTS_MAX: u32 = 10_000;

/// Lowest rank among requests that compete. Ten ranks are more than a service has kinds of work.
pub const PRIORITY_MAX: u32 = 9;
/// Largest weight of one part of a split: a tenth of a percent can be named.
pub const WEIGHT_MAX: u32 = 1_000;
/// Shortest head that callers may be limited to, in bytes: the HTTP library's smallest buffer.
pub const HEADER_MIN_BYTES: u32 = 8_192;
/// Longest head that callers may be allowed, in bytes. Each connection may hold as much.
pub const HEADER_MAX_BYTES: u32 = 1 << 20;

/// Longest timeout of interactive work. Nobody waits at the yard gate for more than a minute; a
/// longer one is bulk work that would take the places of people who do wait.
pub const INTERACTIVE_TIMEOUT_MAX_MS: u32 = 60_000;
/// Shortest timeout of bulk work. It may be made to wait in favour of interactive work, so one
/// that allows no wait would fail whenever anything else runs.
pub const BULK_TIMEOUT_MIN_MS: u32 = 1_000;
/// Shortest timeout of what may be served across the link between regions: at 20 ms each way an
/// answer from there takes 40 ms and more, so with less every spilled request fails.
pub const MESH_TIMEOUT_MIN_MS: u32 = 50;

/// One thing wrong with a team file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line, from 1; 0 if the file could not be read.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// Where a file says what, for findings about several files together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceLines {
    /// Line of the team's name.
    pub team: usize,
    /// Line of each offered service.
    pub services: BTreeMap<ServiceName, usize>,
    /// Line of each `[calls]` entry.
    pub calls: BTreeMap<ServiceName, usize>,
    /// Lines of the routes of each service, in the order of the file.
    pub routes: BTreeMap<ServiceName, Vec<usize>>,
}

/// Parses and checks one team file.
pub fn parse(text: &str) -> Result<TeamRecord> {
    parse_with_lines(text).map(|(record, _)| record)
}

/// Parses and checks one team file, and says where it says what.
pub fn parse_with_lines(text: &str) -> Result<(TeamRecord, SourceLines)> {
    let raw: RawTeam = toml::from_str(text).map_err(|error| vec![syntax_finding(text, &error)])?;
    let mut checker = Checker {
        text,
        findings: Vec::new(),
        shared_treatments: &raw.treatment,
    };
    let record = checker.team(&raw);
    let mut findings = checker.findings;
    if findings.is_empty() {
        return Ok((record, source_lines(text, &raw)));
    }
    // A shared treatment is looked at once for itself and once for each resource that extends it.
    findings.sort_by(|a, b| (a.line, &a.problem).cmp(&(b.line, &b.problem)));
    findings.dedup();
    Err(findings)
}

fn source_lines(text: &str, raw: &RawTeam) -> SourceLines {
    let mut source_lines = SourceLines {
        team: line_at(text, raw.team.span().start),
        ..SourceLines::default()
    };
    for (name, service) in &raw.service {
        let name = ServiceName::new(name);
        let routes = &service.get_ref().route;
        let route_lines = routes.iter().map(|r| line_at(text, r.span().start));
        source_lines
            .routes
            .insert(name.clone(), route_lines.collect());
        source_lines
            .services
            .insert(name, line_at(text, service.span().start));
    }
    for (name, resources) in &raw.calls {
        let line = line_at(text, resources.span().start);
        source_lines.calls.insert(ServiceName::new(name), line);
    }
    source_lines
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}
