//! Checks of one team file by itself.

mod organisations;
mod routes;
mod treatments;

use std::collections::{BTreeMap, BTreeSet};

use toml::Spanned;

use super::raw::{RawCallerLimits, RawService, RawTeam, RawTreatment};
use super::{Finding, HEADER_MAX_BYTES, HEADER_MIN_BYTES, SLOTS_MAX, TIMEOUT_MAX_MS, line_at};
use crate::core::configuration::{CallerLimits, ServiceRecord, TeamRecord};
use crate::core::names::{ResourceName, ServiceName, TeamName, is_name};

/// Converts a parsed team file into a record and collects the findings.
pub(super) struct Checker<'a> {
    pub(super) text: &'a str,
    pub(super) findings: Vec<Finding>,
    pub(super) shared_treatments: &'a BTreeMap<String, Spanned<RawTreatment>>,
}

impl Checker<'_> {
    fn add_finding(
        &mut self,
        offset: usize,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.findings.push(Finding {
            line: line_at(self.text, offset),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    fn check_name(&mut self, what: &str, name: &str, offset: usize) {
        if !is_name(name) {
            self.add_finding(
                offset,
                format!("{what} `{name}` is not a valid name"),
                "use at most 63 lower-case letters, digits and dashes, starting with a letter",
            );
        }
    }

    fn check_range(&mut self, key: &str, value: &Spanned<u32>, min: u32, max: u32) -> u32 {
        let number = *value.get_ref();
        if !(min..=max).contains(&number) {
            self.add_finding(
                value.span().start,
                format!("{key} = {number} is out of range"),
                format!("use a whole number from {min} to {max}"),
            );
        }
        number
    }

    /// Builds the record of the team. It is valid only if there are no findings afterwards.
    pub(super) fn team(&mut self, raw: &RawTeam) -> TeamRecord {
        self.check_name("team", raw.team.get_ref(), raw.team.span().start);
        if raw.service.is_empty() && raw.calls.is_empty() && raw.organisation.is_none() {
            self.add_finding(
                raw.team.span().start,
                "the team neither offers nor calls a service, and defines no organisation",
                "add a [service.NAME] table, a [calls] entry or an [organisation.NAME] table",
            );
        }
        for (name, treatment) in &raw.treatment {
            self.check_name("treatment", name, treatment.span().start);
            self.inherit(treatment.get_ref().clone());
        }
        let mut services = BTreeMap::new();
        for (name, service) in &raw.service {
            let record = self.service(name, service);
            services.insert(ServiceName::new(name), record);
        }
        let mut calls = BTreeMap::new();
        for (name, resources) in &raw.calls {
            self.check_name("called service", name, resources.span().start);
            let set: BTreeSet<_> = resources.get_ref().iter().map(ResourceName::new).collect();
            calls.insert(ServiceName::new(name), set);
        }
        TeamRecord {
            team: TeamName::new(raw.team.get_ref()),
            services,
            calls,
            caller_limits: raw
                .caller_limits
                .as_ref()
                .map(|raw| self.caller_limits(raw)),
            organisations: raw
                .organisation
                .as_ref()
                .map(|organisations| self.organisations(organisations)),
        }
    }

    fn caller_limits(&mut self, raw: &RawCallerLimits) -> CallerLimits {
        let body_max_bytes = *raw.body_max_bytes.get_ref();
        if body_max_bytes == 0 {
            self.add_finding(
                raw.body_max_bytes.span().start,
                "body_max_bytes = 0 allows no request with a body",
                "use a whole number of bytes, 1 or more",
            );
        }
        let header = &raw.header_max_bytes;
        CallerLimits {
            header_max_bytes: self.check_range(
                "header_max_bytes",
                header,
                HEADER_MIN_BYTES,
                HEADER_MAX_BYTES,
            ),
            body_max_bytes,
            header_timeout_ms: self.check_range(
                "header_timeout_ms",
                &raw.header_timeout_ms,
                1,
                TIMEOUT_MAX_MS,
            ),
            idle_timeout_ms: self.check_range(
                "idle_timeout_ms",
                &raw.idle_timeout_ms,
                1,
                TIMEOUT_MAX_MS,
            ),
        }
    }

    fn service(&mut self, name: &str, raw: &Spanned<RawService>) -> ServiceRecord {
        let offset = raw.span().start;
        let raw = raw.get_ref();
        self.check_name("service", name, offset);
        let slots = self.check_range("slots_per_endpoint", &raw.slots_per_endpoint, 1, SLOTS_MAX);
        let connections = self.check_range(
            "connections_per_endpoint",
            &raw.connections_per_endpoint,
            1,
            SLOTS_MAX,
        );
        if connections < slots {
            self.add_finding(
                raw.connections_per_endpoint.span().start,
                format!("{connections} connections are too few for {slots} slots"),
                "set connections_per_endpoint to at least slots_per_endpoint",
            );
        }
        let queue_len = match &raw.queue_len {
            Some(value) => self.check_range("queue_len", value, 0, SLOTS_MAX),
            None => slots,
        };
        let mut resources = BTreeMap::new();
        for (resource, treatment) in &raw.resource {
            self.check_name("resource", resource, treatment.span().start);
            let resolved = self.treatment(resource, treatment);
            self.check_contradictions(resource, treatment.span().start, &resolved, queue_len);
            resources.insert(ResourceName::new(resource), resolved);
        }
        let routes = raw
            .route
            .iter()
            .map(|route| self.route(name, raw, route))
            .collect();
        self.check_duplicate_routes(&raw.route);
        let health_path = raw.health_path.as_ref().map(|path| {
            self.check_path(path);
            path.get_ref().clone()
        });
        ServiceRecord {
            slots_per_endpoint: slots,
            connections_per_endpoint: connections,
            queue_len,
            health_path,
            resources,
            routes,
        }
    }
}
