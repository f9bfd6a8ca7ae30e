//! Logs and measures by which way versions reach this node, and how late.

use crate::core::member::{Distance, NodeId};
use crate::core::version::{Stamp, Version};
use crate::distribution::Source;

/// Way by which the content of a version comes to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionSource {
    /// Read from the store.
    Store,
    /// From the node of the data centre that reads the store for the others.
    Lead,
    /// Fetched from a peer after gossip told of it.
    Peer(Distance),
}

impl VersionSource {
    /// Word for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Lead => "lead",
            Self::Peer(Distance::DataCentre) => "data-centre",
            Self::Peer(Distance::Region) => "region",
            Self::Peer(Distance::Mesh) => "mesh",
        }
    }
}

impl From<&Source> for VersionSource {
    fn from(source: &Source) -> Self {
        match source {
            Source::Store => Self::Store,
            Source::Peer { distance, .. } => Self::Peer(*distance),
        }
    }
}

/// A version was heard of for the first time; `holder` has its content.
pub(crate) fn log_heard(version: Version, holder: Option<NodeId>, held: Version) {
    let holder = holder.map(|node| node.to_string());
    log::info!(version = version.0, holder:? = holder, held = held.0; "heard of a version");
}

/// What is known of a version whose content has just come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearntVersion {
    pub(crate) version: Version,
    pub(crate) source: VersionSource,
    /// Since it was first heard of here.
    pub(crate) heard_ms: u64,
    /// At most since it was accepted, as far as clocks and answers tell.
    pub(crate) age_ms: u64,
}

/// The content of a version has come.
pub(crate) fn record_learnt(learnt: &LearntVersion) {
    let way = learnt.source.as_str();
    log::info!(
        version = learnt.version.0, way, heard_ms = learnt.heard_ms, age_ms = learnt.age_ms;
        "learnt a version"
    );
    metrics::counter!("dragonflywall_versions_learnt_total", "way" => way).increment(1);
}

/// A version is in force, at most `age_ms` after it was accepted as far as clocks and answers tell.
pub(crate) fn record_enforced(stamp: Stamp, age_ms: u64) {
    log::info!(
        version = stamp.version.0, digest:% = stamp.digest.short(), age_ms;
        "enforced a configuration"
    );
    metrics::gauge!("dragonflywall_enforced_version").set(stamp.version.0 as f64);
}

/// Measures the age at which a version came into force; `max_age_ms` is the longest of this process.
pub(crate) fn record_enforcement_age(age_ms: u64, max_age_ms: u64) {
    metrics::histogram!("dragonflywall_version_age_seconds").record(age_ms as f64 / 1_000.0);
    metrics::gauge!("dragonflywall_version_age_max_seconds").set(max_age_ms as f64 / 1_000.0);
}
