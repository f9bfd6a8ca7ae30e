//! The difference between two configurations for display: for each changed team the changed fields
//! with their values before and after.
//!
//! Each record is flattened into fields with the names of the team file, such as
//! `service.tablon.resource.prices.timeout_ms`, and the flattened records are compared field by
//! field.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};

use serde::Serialize;

use crate::core::configuration::{
    Class, Configuration, PRIORITY_DEFAULT, RouteRecord, ServiceRecord, Spill, Target, TeamRecord,
    Treatment,
};
use crate::core::names::TeamName;
use crate::core::organisation::{KeyDigest, OrganisationRecord};

/// A field whose value differs between two records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldDifference {
    /// Name of the field, as in the team file.
    pub field: String,
    /// Value before; `None` if the field was added.
    pub before: Option<String>,
    /// Value after; `None` if the field was removed.
    pub after: Option<String>,
}

impl fmt::Display for FieldDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = &self.field;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {field}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "+ {field}: {after}"),
            (Some(before), None) => write!(f, "- {field}: {before}"),
            (None, None) => write!(f, "  {field}"),
        }
    }
}

/// Kind of change to a team's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordChange {
    /// The team had no record before.
    Inserted,
    /// The team had a record before, and fields of it differ.
    Updated,
    /// The team has no record any more.
    Deleted,
}

/// The difference in one team's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TeamDifference {
    /// The team whose record changed.
    pub team: TeamName,
    /// Whether the record was inserted, updated or deleted.
    pub change: RecordChange,
    /// The changed fields, sorted by name.
    pub fields: Vec<FieldDifference>,
}

/// Compares the records of all teams. Teams with equal records are left out.
pub fn between(before: &Configuration, after: &Configuration) -> Vec<TeamDifference> {
    let names: BTreeSet<_> = before.teams.keys().chain(after.teams.keys()).collect();
    let differences = names.into_iter().filter_map(|team| {
        let (before, after) = (before.teams.get(team), after.teams.get(team));
        between_records(team, before, after)
    });
    differences.collect()
}

/// Compares two records of one team; `None` if they are equal.
pub fn between_records(
    team: &TeamName,
    before: Option<&TeamRecord>,
    after: Option<&TeamRecord>,
) -> Option<TeamDifference> {
    let change = match (before, after) {
        (None, None) => return None,
        (None, Some(_)) => RecordChange::Inserted,
        (Some(_), None) => RecordChange::Deleted,
        (Some(before), Some(after)) if before == after => return None,
        (Some(_), Some(_)) => RecordChange::Updated,
    };
    let fields = compare(
        &before.map(flatten).unwrap_or_default(),
        &after.map(flatten).unwrap_or_default(),
    );
    Some(TeamDifference {
        team: team.clone(),
        change,
        fields,
    })
}

/// Formats the differences for operators, with one line for each team and each field.
pub fn to_text(differences: &[TeamDifference]) -> String {
    let mut text = String::new();
    for difference in differences {
        let change = match difference.change {
            RecordChange::Inserted => "inserted",
            RecordChange::Updated => "updated",
            RecordChange::Deleted => "deleted",
        };
        let _ = writeln!(text, "team {}: record {change}", difference.team);
        for field in &difference.fields {
            let _ = writeln!(text, "  {field}");
        }
    }
    text
}

/// A flattened record: the value of each field by its name.
type Fields = BTreeMap<String, String>;

fn compare(before: &Fields, after: &Fields) -> Vec<FieldDifference> {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| FieldDifference {
            field: name.clone(),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
        })
        .collect()
}

fn flatten(record: &TeamRecord) -> Fields {
    let mut fields = Fields::new();
    for (name, service) in &record.services {
        flatten_service(&mut fields, &format!("service.{name}"), service);
    }
    if let Some(limits) = &record.caller_limits {
        let mut set =
            |key: &str, value: String| fields.insert(format!("caller_limits.{key}"), value);
        set("header_max_bytes", limits.header_max_bytes.to_string());
        set("body_max_bytes", limits.body_max_bytes.to_string());
        set("header_timeout_ms", limits.header_timeout_ms.to_string());
        set("idle_timeout_ms", limits.idle_timeout_ms.to_string());
    }
    for (name, organisation) in record.organisations.iter().flatten() {
        flatten_organisation(&mut fields, &format!("organisation.{name}"), organisation);
    }
    for (service, resources) in &record.calls {
        let names: Vec<_> = resources.iter().map(|name| name.as_str()).collect();
        fields.insert(format!("calls.{service}"), names.join(", "));
    }
    fields
}

fn flatten_service(fields: &mut Fields, prefix: &str, service: &ServiceRecord) {
    let mut set =
        |key: &str, value: u32| fields.insert(format!("{prefix}.{key}"), value.to_string());
    set("slots_per_endpoint", service.slots_per_endpoint);
    set("connections_per_endpoint", service.connections_per_endpoint);
    set("queue_len", service.queue_len);
    if let Some(path) = &service.health_path {
        fields.insert(format!("{prefix}.health_path"), path.clone());
    }
    for (name, treatment) in &service.resources {
        flatten_treatment(fields, &format!("{prefix}.resource.{name}"), treatment);
    }
    for route in &service.routes {
        let key = format!("{prefix}.route {}", route_key(route));
        let public = if route.public { ", public" } else { "" };
        fields.insert(key, format!("{}{public}", targets_text(route)));
    }
}

/// Keys are shown by the first digits of their digests.
fn flatten_organisation(fields: &mut Fields, prefix: &str, organisation: &OrganisationRecord) {
    let mut set = |key: &str, value: String| fields.insert(format!("{prefix}.{key}"), value);
    let keys: Vec<_> = organisation.keys.iter().map(KeyDigest::short).collect();
    set("key_digests", keys.join(", "));
    set("priority", organisation.priority.to_string());
    if let Some(quota) = organisation.quota {
        set("rate_per_s", quota.rate_per_s().to_string());
        set("burst", quota.burst_requests.to_string());
    }
}

fn flatten_treatment(fields: &mut Fields, prefix: &str, treatment: &Treatment) {
    let class = match treatment.class {
        Class::Interactive => "interactive",
        Class::Bulk => "bulk",
    };
    let spill = match treatment.spill {
        Spill::DataCentre => "data-centre",
        Spill::Region => "region",
        Spill::Mesh => "mesh",
    };
    let mut set = |key: &str, value: String| fields.insert(format!("{prefix}.{key}"), value);
    set("class", class.to_owned());
    set("idempotent", treatment.idempotent.to_string());
    set("timeout_ms", treatment.timeout_ms.to_string());
    set("attempts", treatment.attempts.to_string());
    set("spill", spill.to_owned());
    if treatment.priority != PRIORITY_DEFAULT {
        set("priority", treatment.priority.to_string());
    }
    if let Some(target_ms) = treatment.target_latency_ms {
        set("target_latency_ms", target_ms.to_string());
    }
}

fn targets_text(route: &RouteRecord) -> String {
    let text = |target: &Target| format!("{}/{}", target.service, target.resource);
    if route.split.is_empty() {
        return text(&route.target);
    }
    let targets = route.split.iter();
    let targets: Vec<_> = targets
        .map(|weighted| format!("{} of {}", weighted.weight, text(&weighted.target)))
        .collect();
    targets.join(", ")
}

fn route_key(route: &RouteRecord) -> String {
    let host = route.host.as_ref().map_or("", |host| host.as_str());
    if route.methods.is_empty() {
        return format!("any {host}{}", route.path);
    }
    let methods: Vec<_> = route.methods.iter().map(String::as_str).collect();
    format!("{} {host}{}", methods.join(","), route.path)
}
