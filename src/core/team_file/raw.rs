//! The structure of a team file in TOML, and findings for text that does not have it.

use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

use super::{Finding, line_at};
use crate::core::configuration::{Class, Spill};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTeam {
    pub(super) team: Spanned<String>,
    #[serde(default)]
    pub(super) treatment: BTreeMap<String, Spanned<RawTreatment>>,
    #[serde(default)]
    pub(super) service: BTreeMap<String, Spanned<RawService>>,
    #[serde(default)]
    pub(super) calls: BTreeMap<String, Spanned<Vec<String>>>,
    pub(super) caller_limits: Option<RawCallerLimits>,
    pub(super) organisation: Option<BTreeMap<String, Spanned<RawOrganisation>>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawOrganisation {
    #[serde(default)]
    pub(super) key_digests: Vec<Spanned<String>>,
    pub(super) priority: Option<Spanned<u32>>,
    pub(super) rate_per_s: Option<Spanned<f64>>,
    pub(super) burst: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawCallerLimits {
    pub(super) header_max_bytes: Spanned<u32>,
    pub(super) body_max_bytes: Spanned<u64>,
    pub(super) header_timeout_ms: Spanned<u32>,
    pub(super) idle_timeout_ms: Spanned<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    pub(super) slots_per_endpoint: Spanned<u32>,
    pub(super) connections_per_endpoint: Spanned<u32>,
    pub(super) queue_len: Option<Spanned<u32>>,
    pub(super) health_path: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) resource: BTreeMap<String, Spanned<RawTreatment>>,
    #[serde(default)]
    pub(super) route: Vec<Spanned<RawRoute>>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTreatment {
    pub(super) extends: Option<Spanned<String>>,
    pub(super) class: Option<Class>,
    pub(super) idempotent: Option<bool>,
    pub(super) timeout_ms: Option<Spanned<u32>>,
    pub(super) attempts: Option<Spanned<u32>>,
    pub(super) spill: Option<Spill>,
    pub(super) priority: Option<Spanned<u32>>,
    pub(super) target_latency_ms: Option<Spanned<u32>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRoute {
    pub(super) host: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) methods: Vec<String>,
    pub(super) path: Spanned<String>,
    pub(super) service: Option<String>,
    pub(super) resource: String,
    #[serde(default)]
    pub(super) split: Vec<Spanned<RawWeightedTarget>>,
    #[serde(default)]
    pub(super) public: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawWeightedTarget {
    pub(super) service: Option<String>,
    pub(super) resource: Option<String>,
    pub(super) weight: Spanned<u32>,
}

/// Converts an error of the TOML parser into a finding with its line number.
pub(super) fn syntax_finding(text: &str, error: &toml::de::Error) -> Finding {
    let offset = error.span().map_or(0, |span| span.start);
    Finding {
        line: line_at(text, offset),
        problem: error
            .message()
            .replace('\n', " ")
            .replace("expected u32", "expected a whole number")
            .replace("expected u64", "expected a whole number"),
        remedy: syntax_remedy(error.message()).to_owned(),
    }
}

/// Chooses the remedy by the beginning of the TOML library's message, which is all that
/// distinguishes its errors.
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
