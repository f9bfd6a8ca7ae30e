//! Logs and metrics of how versions reach this node and how old they are then.

use crate::core::member::{Distance, NodeId};
use crate::core::version::{Stamp, Version};
use crate::distribution::Source;

/// Where a node received the content of a version from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionSource {
    /// Read from the store by this node.
    Store,
    /// Sent by the lead of the data centre, which reads the store for the other nodes.
    Lead,
    /// Fetched from a peer at this distance, after the version was announced by gossip.
    Peer(Distance),
}

impl VersionSource {
    /// Name in logs and metrics.
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

/// Logs that a version was announced to this node for the first time. `holder` has its content.
pub(crate) fn log_announced(version: Version, holder: Option<NodeId>, held: Version) {
    let holder = holder.map(|node| node.to_string());
    log::info!(version = version.0, holder:? = holder, held = held.0; "a new version was announced");
}

/// A version whose content was just received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearntVersion {
    pub(crate) version: Version,
    pub(crate) source: VersionSource,
    /// Time since the version was first announced to this node.
    pub(crate) heard_ms: u64,
    /// Upper estimate of the time since the version was accepted.
    pub(crate) age_ms: u64,
}

/// Logs and counts the receipt of a version's content.
pub(crate) fn record_learnt(learnt: &LearntVersion) {
    let way = learnt.source.as_str();
    log::info!(
        version = learnt.version.0, way, heard_ms = learnt.heard_ms, age_ms = learnt.age_ms;
        "learnt a version"
    );
    metrics::counter!("dragonflywall_versions_learnt_total", "way" => way).increment(1);
}

/// Logs that a version is enforced, and sets the metric of the enforced version. `age_ms` is an upper estimate of the
/// time since the version was accepted.
pub(crate) fn record_enforced(stamp: Stamp, age_ms: u64) {
    log::info!(
        version = stamp.version.0, digest:% = stamp.digest.short(), age_ms;
        "enforced a configuration"
    );
    metrics::gauge!("dragonflywall_enforced_version").set(stamp.version.0 as f64);
}

/// Records the age of a version at its enforcement. `max_age_ms` is the maximum since the process started.
pub(crate) fn record_enforcement_age(age_ms: u64, max_age_ms: u64) {
    metrics::histogram!("dragonflywall_version_age_seconds").record(age_ms as f64 / 1_000.0);
    metrics::gauge!("dragonflywall_version_age_max_seconds").set(max_age_ms as f64 / 1_000.0);
}
