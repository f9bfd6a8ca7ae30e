//! The team file: the TOML file in which a team configures its services, and its checks.
//!
//! [`parse`] returns a [`TeamRecord`], or a list of [`Finding`]s, each with its line and a remedy.
//! It checks one file by itself. [`crate::core::routing::RouteTable::compile`] checks the references
//! to other teams once all records are known.

mod checker;
mod raw;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::configuration::TeamRecord;
use crate::core::names::ServiceName;
use checker::Checker;
use raw::{RawTeam, syntax_finding};

/// Result of this module: a record, or all findings of the file.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// Maximum of all timeouts and target latencies, in milliseconds. Archive queries may take minutes,
/// but a request of more than an hour would outlast the drain of its node.
pub const TIMEOUT_MAX_MS: u32 = 3_600_000;
/// Maximum number of attempts for one request. Each additional attempt loads a busy mesh with
/// another call for the same response.
pub const ATTEMPTS_MAX: u32 = 5;
/// Maximum for each of the slots, the connections and the queue length of one endpoint.
pub const SLOTS_MAX: u32 = 10_000;

/// Largest priority number, which is the lowest priority. Ten priorities are more than a service
/// has kinds of work.
pub const PRIORITY_MAX: u32 = 9;
/// Maximum of an organisation's rate, in requests per second.
pub const RATE_PER_S_MAX: f64 = 1_000_000.0;
/// Maximum of an organisation's burst, in requests.
pub const BURST_MAX: u64 = 1_000_000;
/// Maximum weight of one target of a split route. It allows shares of a tenth of a percent.
pub const WEIGHT_MAX: u32 = 1_000;
/// Lower bound of the limit on request headers, in bytes: the smallest read buffer of the HTTP
/// library.
pub const HEADER_MIN_BYTES: u32 = 8_192;
/// Upper bound of the limit on request headers, in bytes. Each connection may buffer that much.
pub const HEADER_MAX_BYTES: u32 = 1 << 20;

/// Maximum timeout of interactive requests, in milliseconds. Users do not wait longer than a
/// minute. A longer request is bulk work, and as interactive work it would occupy slots that users
/// are waiting for.
pub const INTERACTIVE_TIMEOUT_MAX_MS: u32 = 60_000;
/// Minimum timeout of bulk requests, in milliseconds. They wait while interactive requests take
/// precedence, so with a shorter timeout they would fail whenever other requests run.
pub const BULK_TIMEOUT_MIN_MS: u32 = 1_000;
/// Minimum timeout of requests that may be served in another region, in milliseconds. The link
/// takes 20 ms in each direction, so a response takes at least 40 ms, and with a shorter timeout
/// every request to the other region would fail.
pub const MESH_TIMEOUT_MIN_MS: u32 = 50;

/// One problem in a team file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line number, starting at 1; 0 if the file could not be read.
    pub line: usize,
    /// Description of the problem.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

/// Line numbers of the elements of a file, for findings that concern several files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceLines {
    /// Line of the `team` key.
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

/// Parses and checks one team file, and returns the line numbers of its elements as well.
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
    // A shared treatment is checked by itself and again for each resource that extends it, which
    // repeats its findings.
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
