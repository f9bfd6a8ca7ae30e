//! The team file: what a service team writes, in TOML, and its checks.
//!
//! [`parse`] reads the text into a [`TeamRecord`] or into a list of [`Finding`]s, each with its line
//! and a remedy. It looks at one file only; references to other teams are checked when the whole
//! set is known, by [`crate::core::routing::RouteTable::compile`].

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use toml::Spanned;

use crate::core::configuration::{
    Class, RouteRecord, ServiceRecord, Spill, Target, TeamRecord, Treatment,
};
use crate::core::names::{ResourceName, ServiceName, TeamName, is_name};

/// Result of this module: a record, or everything that is wrong with the file.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// Longest timeout. Archive look-ups may take minutes; more than an hour outlives a drain.
pub const TIMEOUT_MAX_MS: u32 = 3_600_000;
/// Most attempts. Each one more costs a loaded mesh another call for the same answer.
pub const ATTEMPTS_MAX: u32 = 5;
/// Most slots of one endpoint.
pub const SLOTS_MAX: u32 = 10_000;

/// Longest timeout of interactive work. Nobody waits at the yard gate for more than a minute; a
/// longer one is bulk work that would take the places of people who do wait.
pub const INTERACTIVE_TIMEOUT_MAX_MS: u32 = 60_000;
/// Shortest timeout of bulk work. It may be made to wait in favour of interactive work, so one
/// that allows no wait would fail whenever anything else runs.
pub const BULK_TIMEOUT_MIN_MS: u32 = 1_000;
/// Shortest timeout of what may be served across the link between regions: at 20 ms each way an
/// answer from there takes 40 ms and more, so with less every spilled request fails.
pub const MESH_TIMEOUT_MIN_MS: u32 = 50;

const DEFAULT_TIMEOUT_MS: u32 = 2_000;
const DEFAULT_ATTEMPTS: u32 = 2;

/// One thing wrong with a team file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// Where a file says what, for findings about several files together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lines {
    /// Line of the team's name.
    pub team: usize,
    /// Line of each offered service.
    pub services: BTreeMap<ServiceName, usize>,
    /// Line of each `[calls]` entry.
    pub calls: BTreeMap<ServiceName, usize>,
    /// Lines of the routes of each service, in the order of the file.
    pub routes: BTreeMap<ServiceName, Vec<usize>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTeam {
    team: Spanned<String>,
    #[serde(default)]
    treatment: BTreeMap<String, Spanned<RawTreatment>>,
    #[serde(default)]
    service: BTreeMap<String, Spanned<RawService>>,
    #[serde(default)]
    calls: BTreeMap<String, Spanned<Vec<String>>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    slots_per_endpoint: Spanned<u32>,
    connections_per_endpoint: Spanned<u32>,
    queue_len: Option<Spanned<u32>>,
    #[serde(default)]
    resource: BTreeMap<String, Spanned<RawTreatment>>,
    #[serde(default)]
    route: Vec<Spanned<RawRoute>>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTreatment {
    extends: Option<Spanned<String>>,
    class: Option<Class>,
    idempotent: Option<bool>,
    timeout_ms: Option<Spanned<u32>>,
    attempts: Option<Spanned<u32>>,
    spill: Option<Spill>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    #[serde(default)]
    methods: Vec<String>,
    path: Spanned<String>,
    service: Option<String>,
    resource: String,
}

/// Parses and checks one team file.
pub fn parse(text: &str) -> Result<TeamRecord> {
    parse_with_lines(text).map(|(record, _)| record)
}

/// Parses and checks one team file, and says where it says what.
pub fn parse_with_lines(text: &str) -> Result<(TeamRecord, Lines)> {
    let raw: RawTeam = toml::from_str(text).map_err(|error| vec![syntax_finding(text, &error)])?;
    let mut checker = Checker {
        text,
        findings: Vec::new(),
        shared: &raw.treatment,
    };
    let record = checker.team(&raw);
    let mut findings = checker.findings;
    if findings.is_empty() {
        return Ok((record, lines(text, &raw)));
    }
    // A shared treatment is looked at once for itself and once for each resource that extends it.
    findings.sort_by(|a, b| (a.line, &a.problem).cmp(&(b.line, &b.problem)));
    findings.dedup();
    Err(findings)
}

fn lines(text: &str, raw: &RawTeam) -> Lines {
    let mut lines = Lines {
        team: line_of(text, raw.team.span().start),
        ..Lines::default()
    };
    for (name, service) in &raw.service {
        let name = ServiceName::new(name);
        let routes = &service.get_ref().route;
        let route_lines = routes.iter().map(|r| line_of(text, r.span().start));
        lines.routes.insert(name.clone(), route_lines.collect());
        lines
            .services
            .insert(name, line_of(text, service.span().start));
    }
    for (name, resources) in &raw.calls {
        let line = line_of(text, resources.span().start);
        lines.calls.insert(ServiceName::new(name), line);
    }
    lines
}

fn syntax_finding(text: &str, error: &toml::de::Error) -> Finding {
    let offset = error.span().map_or(0, |span| span.start);
    Finding {
        line: line_of(text, offset),
        problem: error.message().replace('\n', " "),
        remedy: syntax_remedy(error.message()).to_owned(),
    }
}

/// The reader's messages are its library's; only their beginnings are told apart.
fn syntax_remedy(message: &str) -> &'static str {
    if message.starts_with("unknown field") {
        "correct or remove the key; docs/reference/team-file.md lists all keys"
    } else if message.starts_with("missing field") {
        "add the key; docs/reference/team-file.md says what it means"
    } else if message.starts_with("unknown variant") {
        "use one of the listed words"
    } else if message.starts_with("invalid type") || message.starts_with("invalid value") {
        "write a value of the expected kind; docs/reference/team-file.md names it for each key"
    } else {
        "correct the TOML syntax at this place"
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

/// An empty list matches all methods.
fn methods_overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}

struct Checker<'a> {
    text: &'a str,
    findings: Vec<Finding>,
    shared: &'a BTreeMap<String, Spanned<RawTreatment>>,
}

impl Checker<'_> {
    fn add(&mut self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        self.findings.push(Finding {
            line: line_of(self.text, offset),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    fn name(&mut self, what: &str, name: &str, offset: usize) {
        if !is_name(name) {
            self.add(
                offset,
                format!("{what} `{name}` is not a name"),
                "use lower-case letters, digits and dashes, a letter first, 63 at most",
            );
        }
    }

    fn range(&mut self, key: &str, value: &Spanned<u32>, min: u32, max: u32) -> u32 {
        let number = *value.get_ref();
        if !(min..=max).contains(&number) {
            self.add(
                value.span().start,
                format!("{key} = {number} is out of range"),
                format!("use a whole number from {min} to {max}"),
            );
        }
        number
    }

    fn team(&mut self, raw: &RawTeam) -> TeamRecord {
        self.name("team", raw.team.get_ref(), raw.team.span().start);
        if raw.service.is_empty() && raw.calls.is_empty() {
            self.add(
                raw.team.span().start,
                "the file offers no service and calls none",
                "add a [service.NAME] table or a [calls] entry",
            );
        }
        for (name, treatment) in &raw.treatment {
            self.name("treatment", name, treatment.span().start);
            self.inherit(treatment.get_ref().clone());
        }
        let mut services = BTreeMap::new();
        for (name, service) in &raw.service {
            let record = self.service(name, service);
            services.insert(ServiceName::new(name), record);
        }
        let mut calls = BTreeMap::new();
        for (name, resources) in &raw.calls {
            self.name("called service", name, resources.span().start);
            let set: BTreeSet<_> = resources.get_ref().iter().map(ResourceName::new).collect();
            calls.insert(ServiceName::new(name), set);
        }
        TeamRecord {
            team: TeamName::new(raw.team.get_ref()),
            services,
            calls,
        }
    }

    fn service(&mut self, name: &str, raw: &Spanned<RawService>) -> ServiceRecord {
        let at = raw.span().start;
        let raw = raw.get_ref();
        self.name("service", name, at);
        let slots = self.range("slots_per_endpoint", &raw.slots_per_endpoint, 1, SLOTS_MAX);
        let connections = self.range(
            "connections_per_endpoint",
            &raw.connections_per_endpoint,
            1,
            SLOTS_MAX,
        );
        if connections < slots {
            self.add(
                raw.connections_per_endpoint.span().start,
                format!("{connections} connections cannot fill {slots} slots"),
                "set connections_per_endpoint to at least slots_per_endpoint",
            );
        }
        let queue_len = match &raw.queue_len {
            Some(value) => self.range("queue_len", value, 0, SLOTS_MAX),
            None => slots,
        };
        let mut resources = BTreeMap::new();
        for (resource, treatment) in &raw.resource {
            self.name("resource", resource, treatment.span().start);
            let resolved = self.treatment(resource, treatment);
            self.contradictions(resource, treatment.span().start, &resolved, queue_len);
            resources.insert(ResourceName::new(resource), resolved);
        }
        let routes = raw
            .route
            .iter()
            .map(|route| self.route(name, raw, route))
            .collect();
        self.same_routes(&raw.route);
        ServiceRecord {
            slots_per_endpoint: slots,
            connections_per_endpoint: connections,
            queue_len,
            resources,
            routes,
        }
    }

    fn route(&mut self, service: &str, raw: &RawService, route: &Spanned<RawRoute>) -> RouteRecord {
        let at = route.span().start;
        let route = route.get_ref();
        let path = route.path.get_ref();
        if !path.starts_with('/') {
            self.add(
                route.path.span().start,
                format!("path `{path}` does not start with `/`"),
                "write the path from the root, such as \"/prices\"",
            );
        }
        if path.contains(|c: char| c == '?' || c == '#' || c.is_whitespace() || c.is_control()) {
            self.add(
                route.path.span().start,
                format!("path `{path}` holds a character that no request path has"),
                "leave out query, fragment and blanks; a route matches the path alone",
            );
        }
        for method in &route.methods {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                self.add(
                    at,
                    format!("`{method}` is not a method"),
                    "write methods in capitals, such as \"GET\"",
                );
            }
        }
        let own = route.service.as_deref().unwrap_or(service) == service;
        if own && !raw.resource.contains_key(&route.resource) {
            self.add(
                at,
                format!(
                    "route points at resource `{}`, which service `{service}` does not have",
                    route.resource
                ),
                format!("add [service.{service}.resource.{}]", route.resource),
            );
        }
        RouteRecord {
            methods: route.methods.iter().cloned().collect(),
            path: route.path.get_ref().clone(),
            target: Target {
                service: ServiceName::new(route.service.as_deref().unwrap_or(service)),
                resource: ResourceName::new(&route.resource),
            },
        }
    }

    /// Two routes that match the same request: which one wins would depend on their order, and the
    /// treatment of a payment must not.
    fn same_routes(&mut self, routes: &[Spanned<RawRoute>]) {
        for (position, route) in routes.iter().enumerate() {
            let at = route.span().start;
            let route = route.get_ref();
            let same = |other: &&Spanned<RawRoute>| {
                let other = other.get_ref();
                other.path.get_ref() == route.path.get_ref()
                    && methods_overlap(&other.methods, &route.methods)
            };
            let Some(first) = routes[..position].iter().find(same) else {
                continue;
            };
            let line = line_of(self.text, first.span().start);
            self.add(
                at,
                format!(
                    "route `{}` matches the same requests as the one in line {line}",
                    route.path.get_ref()
                ),
                "remove one of the two, or give them different methods",
            );
        }
    }

    /// Treatment whose parts can't all be had.
    fn contradictions(&mut self, name: &str, at: usize, treatment: &Treatment, queue_len: u32) {
        let timeout_ms = treatment.timeout_ms;
        if treatment.class == Class::Interactive && timeout_ms > INTERACTIVE_TIMEOUT_MAX_MS {
            self.add(
                at,
                format!("resource `{name}` is interactive, yet may take {timeout_ms} ms"),
                format!(
                    "set class = \"bulk\", or timeout_ms to {INTERACTIVE_TIMEOUT_MAX_MS} or less"
                ),
            );
        }
        if treatment.class == Class::Bulk && timeout_ms < BULK_TIMEOUT_MIN_MS {
            self.add(
                at,
                format!("resource `{name}` is bulk, yet may take only {timeout_ms} ms"),
                format!(
                    "set class = \"interactive\", or timeout_ms to {BULK_TIMEOUT_MIN_MS} or more"
                ),
            );
        }
        if treatment.class == Class::Bulk && queue_len == 0 {
            self.add(
                at,
                format!("resource `{name}` is bulk, yet its service has no queue to wait in"),
                "set queue_len of the service to 1 or more",
            );
        }
        if treatment.spill == Spill::Mesh && timeout_ms < MESH_TIMEOUT_MIN_MS {
            self.add(
                at,
                format!(
                    "resource `{name}` may be served in the other region, yet in {timeout_ms} ms"
                ),
                format!("set spill = \"region\", or timeout_ms to {MESH_TIMEOUT_MIN_MS} or more"),
            );
        }
    }

    fn treatment(&mut self, name: &str, raw: &Spanned<RawTreatment>) -> Treatment {
        let at = raw.span().start;
        let merged = self.inherit(raw.get_ref().clone());
        let class = merged.class.unwrap_or(Class::Interactive);
        let timeout_ms = match &merged.timeout_ms {
            Some(value) => self.range("timeout_ms", value, 1, TIMEOUT_MAX_MS),
            None => DEFAULT_TIMEOUT_MS,
        };
        let attempts = match &merged.attempts {
            Some(value) => self.range("attempts", value, 1, ATTEMPTS_MAX),
            None => DEFAULT_ATTEMPTS,
        };
        // No default: guessing it wrong runs a payment twice, or never retries a look-up.
        let Some(idempotent) = merged.idempotent else {
            self.add(
                at,
                format!("resource `{name}` does not say whether it is idempotent"),
                "add idempotent = false if running a request twice does harm, else true",
            );
            return Treatment {
                class,
                idempotent: false,
                timeout_ms,
                attempts,
                spill: Spill::Region,
            };
        };
        Treatment {
            class,
            idempotent,
            timeout_ms,
            attempts,
            spill: merged.spill.unwrap_or(Spill::Region),
        }
    }

    /// Fills what `raw` leaves open from the treatments that it extends.
    fn inherit(&mut self, mut raw: RawTreatment) -> RawTreatment {
        let mut seen = BTreeSet::new();
        let mut next = raw.extends.clone();
        while let Some(base) = next {
            let base_name = base.get_ref();
            if !seen.insert(base_name.clone()) {
                self.add(
                    base.span().start,
                    format!("treatment `{base_name}` extends itself in a cycle"),
                    "remove one extends of the cycle",
                );
                break;
            }
            let Some(treatment) = self.shared.get(base_name) else {
                self.add(
                    base.span().start,
                    format!("there is no treatment `{base_name}` to extend"),
                    format!("add [treatment.{base_name}], or correct the name"),
                );
                break;
            };
            let treatment = treatment.get_ref();
            raw.class = raw.class.or(treatment.class);
            raw.idempotent = raw.idempotent.or(treatment.idempotent);
            raw.timeout_ms = raw.timeout_ms.or(treatment.timeout_ms.clone());
            raw.attempts = raw.attempts.or(treatment.attempts.clone());
            raw.spill = raw.spill.or(treatment.spill);
            next = treatment.extends.clone();
        }
        raw
    }
}
