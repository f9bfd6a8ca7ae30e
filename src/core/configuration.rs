//! The accepted configuration: one record per team, and the difference between two versions.
//!
//! A configuration is encoded as canonical JSON (all maps are ordered), so equal content has an
//! equal digest on every node. Content travels compressed by zstd.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use zstd::bulk::{Compressor, Decompressor};

use crate::core::names::{HostName, ResourceName, ServiceName, TeamName};
use crate::core::version::{Digest, Stamp, Version};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Largest configuration in bytes before compression. It bounds what a broken or hostile object
/// can make a node allocate; 14 services need about 10 KB.
pub const CONFIGURATION_MAX_BYTES: usize = 8 << 20;

const ZSTD_LEVEL: i32 = 9;

/// Why content was not accepted. Nothing of it has been applied.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a compressed configuration.
    #[snafu(display("content is not zstd, or longer than {CONFIGURATION_MAX_BYTES} bytes"))]
    Decompress {
        /// From the decompressor.
        source: std::io::Error,
    },
    /// The decompressed bytes are not a configuration.
    #[snafu(display("content is not a configuration"))]
    Decode {
        /// From the JSON reader.
        source: serde_json::Error,
    },
    /// The content is not what its stamp says.
    #[snafu(display("content has the stamp {found}, expected {expected}"))]
    StampMismatch {
        /// Announced.
        expected: Stamp,
        /// Computed.
        found: Stamp,
    },
    /// A delta for another parent.
    #[snafu(display("delta is for parent version {delta_parent}, this node holds {current}"))]
    ParentMismatch {
        /// The delta's parent.
        delta_parent: Version,
        /// The version at hand.
        current: Version,
    },
}

/// How a request to a resource is treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Treatment {
    /// Which queue it waits in.
    pub class: Class,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time from the mesh's entry to the end of the answer's header, in milliseconds.
    pub timeout_ms: u32,
    /// Attempts in all; a non-idempotent request uses them only after a proved "not run".
    pub attempts: u32,
    /// How far from the caller's data centre it may be served.
    pub spill: Spill,
    /// Rank among requests that compete for a backend server, 0 first.
    #[serde(
        default = "priority_default",
        skip_serializing_if = "is_priority_default"
    )]
    pub priority: u8,
    /// Time within which an answer is of full use to its caller, in milliseconds; if left out, the
    /// timeout.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u32>,
}

/// Rank of a resource whose team names none: others may go before it, or after it.
pub const PRIORITY_DEFAULT: u8 = 1;

fn priority_default() -> u8 {
    PRIORITY_DEFAULT
}

fn is_priority_default(priority: &u8) -> bool {
    *priority == PRIORITY_DEFAULT
}

/// Class of work; each has its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// Nobody waits; it must finish.
    Bulk,
}

/// How far from the caller a request may be served when the near endpoints are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spill {
    /// Only in the entry's own data centre.
    DataCentre,
    /// Anywhere in the entry's region.
    Region,
    /// Also across the billed link between regions.
    Mesh,
}

/// What a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// The service that runs it.
    pub service: ServiceName,
    /// The resource of that service, whose treatment applies.
    pub resource: ResourceName,
}

/// One part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedTarget {
    /// Where this part goes.
    pub target: Target,
    /// Its size, relative to the weights of the other parts.
    pub weight: u32,
}

/// One route of a service: which requests go to which target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Host name by which callers reach it; if left out, the service's own name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// Methods that match; empty matches all.
    pub methods: BTreeSet<String>,
    /// Path prefix that matches, on a segment boundary.
    pub path: String,
    /// Where matching requests go, unless they are split.
    pub target: Target,
    /// Where parts of the matching requests go instead; empty if all go to `target`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedTarget>,
}

/// What callers of the mesh may send, and how long they may take for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_max_bytes: u32,
    /// Longest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// Longest time from the first byte of a request to the end of its head, in milliseconds.
    pub header_timeout_ms: u32,
    /// Longest time that a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// One service as offered by its team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Requests that one endpoint runs at a time, unless its backend server announces a number of
    /// its own.
    pub slots_per_endpoint: u32,
    /// Connections that one endpoint accepts.
    pub connections_per_endpoint: u32,
    /// Requests that may wait at one endpoint, all classes together.
    pub queue_len: u32,
    /// Path at which a backend server says whether it takes work, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Resources by name.
    pub resources: BTreeMap<ResourceName, Treatment>,
    /// Routes in the order of the file.
    pub routes: Vec<RouteRecord>,
}

/// What one team has published: one record, as a row of a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// The team, and the key of the record.
    pub team: TeamName,
    /// Services that it offers.
    pub services: BTreeMap<ServiceName, ServiceRecord>,
    /// Resources of other services that it calls.
    pub calls: BTreeMap<ServiceName, BTreeSet<ResourceName>>,
    /// Limits on all callers of the mesh; at most one team sets them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

/// One accepted version: every team's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number; part of the digest, so a rollback to old content has a digest of its own.
    pub version: Version,
    /// The records.
    pub teams: BTreeMap<TeamName, TeamRecord>,
}

impl Configuration {
    /// Canonical bytes, uncompressed.
    pub fn to_canonical(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with string keys always encode")
    }

    /// Version and digest of the content.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            version: self.version,
            digest: Digest::of(&self.to_canonical()),
        }
    }

    /// The whole configuration, compressed, as stored and sent.
    pub fn to_snapshot(&self) -> Vec<u8> {
        compress(&self.to_canonical())
    }

    /// Reads a snapshot and verifies that it is `expected`.
    pub fn from_snapshot(bytes: &[u8], expected: Stamp) -> Result<Self> {
        let canonical = decompress(bytes)?;
        let configuration: Self = serde_json::from_slice(&canonical).context(DecodeSnafu)?;
        configuration.verify(expected)
    }

    /// All services of all teams.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRecord)> {
        self.teams.values().flat_map(|team| team.services.iter())
    }

    /// The record of one service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.teams.values().find_map(|team| team.services.get(name))
    }

    /// Limits on callers, if a team sets them.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.teams.values().find_map(|team| team.caller_limits)
    }

    fn verify(self, expected: Stamp) -> Result<Self> {
        let found = self.stamp();
        ensure!(found == expected, StampMismatchSnafu { expected, found });
        Ok(self)
    }
}

/// What changed from one version to the next, by team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that it applies to.
    pub parent: Version,
    /// Version that results.
    pub version: Version,
    /// New record of each changed team; `None` removes the team.
    pub teams: BTreeMap<TeamName, Option<TeamRecord>>,
}

impl Delta {
    /// The difference between two configurations.
    pub fn between(parent: &Configuration, child: &Configuration) -> Self {
        let names: BTreeSet<_> = parent.teams.keys().chain(child.teams.keys()).collect();
        let teams = names
            .into_iter()
            .filter(|name| parent.teams.get(*name) != child.teams.get(*name))
            .map(|name| (name.clone(), child.teams.get(name).cloned()))
            .collect();
        Self {
            parent: parent.version,
            version: child.version,
            teams,
        }
    }

    /// Compressed, as stored and sent. What a changed record has in common with `parent`, which the
    /// receiver holds, need not travel: a changed timeout among 300 routes is 200 bytes and not 6 KB.
    pub fn to_bytes(&self, parent: &Configuration) -> Vec<u8> {
        let bytes = serde_json::to_vec(self).expect("maps with string keys always encode");
        let compressor = Compressor::with_dictionary(ZSTD_LEVEL, &parent.to_canonical());
        let compressed = compressor.and_then(|mut compressor| compressor.compress(&bytes));
        compressed.expect("compression into memory does not fail")
    }

    /// Reads what [`Self::to_bytes`] wrote for `parent`. Whether it is right shows only when it is
    /// applied.
    pub fn from_bytes(bytes: &[u8], parent: &Configuration) -> Result<Self> {
        let decompressor = Decompressor::with_dictionary(&parent.to_canonical());
        let bytes = decompressor
            .and_then(|mut decompressor| decompressor.decompress(bytes, CONFIGURATION_MAX_BYTES))
            .context(DecompressSnafu)?;
        serde_json::from_slice(&bytes).context(DecodeSnafu)
    }

    /// The child configuration, verified to be `expected`.
    pub fn apply(self, parent: &Configuration, expected: Stamp) -> Result<Configuration> {
        ensure!(
            self.parent == parent.version,
            ParentMismatchSnafu {
                delta_parent: self.parent,
                current: parent.version
            }
        );
        let mut child = parent.clone();
        child.version = self.version;
        for (name, record) in self.teams {
            match record {
                Some(record) => child.teams.insert(name, record),
                None => child.teams.remove(&name),
            };
        }
        child.verify(expected)
    }
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    zstd::bulk::compress(bytes, ZSTD_LEVEL).expect("compression into memory does not fail")
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>> {
    zstd::bulk::decompress(bytes, CONFIGURATION_MAX_BYTES).context(DecompressSnafu)
}
