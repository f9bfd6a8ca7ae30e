//! The team file: what a service team writes, in TOML, and its checks.
//!
//! [`parse`] reads the text into a [`TeamRecord`] or into a list of [`Finding`]s, each with its line
//! and a remedy. It looks at one file only; references to other teams are checked when the whole
//! set is known, by [`crate::core::routing::RouteTable::compile`].

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
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

const DEFAULT_TIMEOUT_MS: u32 = 2_000;
const DEFAULT_ATTEMPTS: u32 = 2;

/// One thing wrong with a team file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
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
    let raw: RawTeam = toml::from_str(text).map_err(|error| vec![syntax_finding(text, &error)])?;
    let mut checker = Checker {
        text,
        findings: Vec::new(),
        shared: &raw.treatment,
    };
    let record = checker.team(&raw);
    if checker.findings.is_empty() {
        Ok(record)
    } else {
        checker.findings.sort_by_key(|finding| finding.line);
        Err(checker.findings)
    }
}

fn syntax_finding(text: &str, error: &toml::de::Error) -> Finding {
    let offset = error.span().map_or(0, |span| span.start);
    Finding {
        line: line_of(text, offset),
        problem: error.message().replace('\n', " "),
        remedy: "compare with docs/reference/team-file.md".to_owned(),
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
            resources.insert(ResourceName::new(resource), resolved);
        }
        let routes = raw
            .route
            .iter()
            .map(|route| self.route(name, raw, route))
            .collect();
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
        if !route.path.get_ref().starts_with('/') {
            self.add(
                route.path.span().start,
                format!("path `{}` does not start with `/`", route.path.get_ref()),
                "write the path from the root, such as \"/prices\"",
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
