//! The checks of one team file.

use std::collections::{BTreeMap, BTreeSet};

use toml::Spanned;

use super::raw::{RawRoute, RawService, RawTeam, RawTreatment};
use super::{
    ATTEMPTS_MAX, BULK_TIMEOUT_MIN_MS, Finding, INTERACTIVE_TIMEOUT_MAX_MS, MESH_TIMEOUT_MIN_MS,
    SLOTS_MAX, TIMEOUT_MAX_MS, line_of,
};
use crate::core::configuration::{
    Class, RouteRecord, ServiceRecord, Spill, Target, TeamRecord, Treatment,
};
use crate::core::names::{ResourceName, ServiceName, TeamName, is_name};

const DEFAULT_TIMEOUT_MS: u32 = 2_000;
const DEFAULT_ATTEMPTS: u32 = 2;

/// An empty list matches all methods.
fn methods_overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}

/// Turns what was read into a record, and notes everything wrong with it.
pub(super) struct Checker<'a> {
    pub(super) text: &'a str,
    pub(super) findings: Vec<Finding>,
    pub(super) shared: &'a BTreeMap<String, Spanned<RawTreatment>>,
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

    /// The record; worth nothing if there are findings.
    pub(super) fn team(&mut self, raw: &RawTeam) -> TeamRecord {
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
