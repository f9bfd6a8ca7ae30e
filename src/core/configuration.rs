//! The accepted configuration, with one record per team, and deltas between versions.
//!
//! A configuration is encoded as canonical JSON (all maps are ordered), so equal content has an
//! equal digest on every node. Snapshots and deltas are compressed with zstd.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use zstd::bulk::{Compressor, Decompressor};

use crate::core::names::{HostName, OrganisationName, ResourceName, ServiceName, TeamName};
use crate::core::organisation::OrganisationRecord;
use crate::core::version::{Digest, Stamp, Version};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum size of a decompressed configuration in bytes. It limits the memory that a damaged or
/// malicious object can make a node allocate. The configuration of 14 services needs about 10 KB.
pub const CONFIGURATION_MAX_BYTES: usize = 8 << 20;

/// Compression level of snapshots and deltas.
const ZSTD_LEVEL: i32 = 9;

/// Why a snapshot or delta was rejected. No part of a rejected one is applied.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not valid zstd, or they decompress to more than the maximum size.
    #[snafu(display(
        "content is not valid zstd, or is longer than {CONFIGURATION_MAX_BYTES} bytes decompressed"
    ))]
    Decompress {
        /// The decompression error.
        source: std::io::Error,
    },
    /// The decompressed bytes are not a configuration or delta in JSON.
    #[snafu(display("content is not a valid configuration or delta"))]
    Decode {
        /// The JSON parse error.
        source: serde_json::Error,
    },
    /// The version or digest of the content differs from the expected one.
    #[snafu(display("content has the stamp {found}, expected {expected}"))]
    StampMismatch {
        /// The stamp under which the content was announced.
        expected: Stamp,
        /// The stamp computed from the content.
        found: Stamp,
    },
    /// The delta applies to another version than the one it was applied to.
    #[snafu(display(
        "delta applies to version {delta_parent}, but the current version is {current}"
    ))]
    ParentMismatch {
        /// The version to which the delta applies.
        delta_parent: Version,
        /// The version to which it was applied.
        current: Version,
    },
}

/// How the mesh handles requests to a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Treatment {
    /// Class of work, which selects the queue in which requests wait.
    pub class: Class,
    /// Whether executing a request twice does no harm.
    pub idempotent: bool,
    /// Maximum time from the arrival of a request at its entry node to the end of the response
    /// header, in milliseconds.
    pub timeout_ms: u32,
    /// Maximum number of attempts, the first one included. A request that is not idempotent is
    /// retried only if it is proved that it was not executed.
    pub attempts: u32,
    /// How far from the caller's data centre requests may be served.
    pub spill: Spill,
    /// Priority among requests that wait for the same backend server; 0 is the highest.
    #[serde(
        default = "priority_default",
        skip_serializing_if = "is_priority_default"
    )]
    pub priority: u8,
    /// Latency up to which a response has its full value for the caller, in milliseconds. The
    /// default is the timeout.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u32>,
}

/// Priority of resources whose team sets none. It is not 0, so that other resources can have a
/// higher or a lower priority.
pub const PRIORITY_DEFAULT: u8 = 1;

fn priority_default() -> u8 {
    PRIORITY_DEFAULT
}

fn is_priority_default(priority: &u8) -> bool {
    *priority == PRIORITY_DEFAULT
}

/// Class of work. Each class has its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person waits for the response.
    Interactive,
    /// Nobody waits for the response, but the work must complete.
    Bulk,
}

/// How far from the caller a request may be served when the endpoints nearby are at capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spill {
    /// Only in the data centre of the entry node, which is the node that accepts the request from
    /// the caller.
    DataCentre,
    /// In any data centre of the entry node's region.
    Region,
    /// In any region. Requests to another region use the billed link.
    Mesh,
}

impl Spill {
    /// The next farther one, or the farthest.
    pub fn next(self) -> Self {
        match self {
            Self::DataCentre => Self::Region,
            Self::Region | Self::Mesh => Self::Mesh,
        }
    }
}

/// Destination of a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// The service that executes the requests.
    pub service: ServiceName,
    /// The resource of that service, whose treatment applies to the requests.
    pub resource: ResourceName,
}

/// A target of a split route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedTarget {
    /// Destination of this share of the requests.
    pub target: Target,
    /// Size of the share, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// One route of a service: the requests that it matches, and their targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Host name that requests must have; by default the name of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// HTTP methods that match; an empty set matches all methods.
    pub methods: BTreeSet<String>,
    /// Path prefix that matches if it ends at a segment boundary of the request's path.
    pub path: String,
    /// Destination of matching requests if `split` is empty.
    pub target: Target,
    /// Destinations among which matching requests are divided by weight; empty if all requests go
    /// to `target`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedTarget>,
    /// Whether requests need no key of an organisation, if the configuration has organisations.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Limits on the requests and connections of callers of the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's header, in bytes.
    pub header_max_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_max_bytes: u64,
    /// Maximum time from the first byte of a request to the end of its header, in milliseconds.
    pub header_timeout_ms: u32,
    /// Maximum time that a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// Settings of one service, as published by its team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Maximum number of concurrent requests at one endpoint, unless its backend server announces a
    /// limit of its own.
    pub slots_per_endpoint: u32,
    /// Maximum number of connections to one endpoint.
    pub connections_per_endpoint: u32,
    /// Maximum number of requests that wait at one endpoint, in the queues of all classes together.
    pub queue_len: u32,
    /// Path of the backend server's health check, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Treatment of each resource.
    pub resources: BTreeMap<ResourceName, Treatment>,
    /// Routes in the order of the team file.
    pub routes: Vec<RouteRecord>,
}

/// The published configuration of one team. A publication inserts, replaces or deletes it as a
/// whole, like a row of a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Name of the team, which is the key of the record.
    pub team: TeamName,
    /// Services that the team offers.
    pub services: BTreeMap<ServiceName, ServiceRecord>,
    /// Resources of other services that the team's services call.
    pub calls: BTreeMap<ServiceName, BTreeSet<ResourceName>>,
    /// Limits for all callers of the mesh. At most one team may set them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Organisations whose callers may send requests. If any team has a list, requests need a key; `None` if
    /// this team has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<BTreeMap<OrganisationName, OrganisationRecord>>,
}

/// The content of one accepted version: the records of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version number. The digest covers it, so a rollback to earlier records has a new digest.
    pub version: Version,
    /// Record of each team.
    pub teams: BTreeMap<TeamName, TeamRecord>,
}

impl Configuration {
    /// Encodes the configuration as canonical JSON, uncompressed.
    pub fn to_canonical(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with string keys always encode")
    }

    /// Computes the stamp: the version and the digest of the canonical JSON.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            version: self.version,
            digest: Digest::compute(&self.to_canonical()),
        }
    }

    /// Encodes the whole configuration in the compressed form that is stored and sent.
    pub fn to_snapshot(&self) -> Vec<u8> {
        compress(&self.to_canonical())
    }

    /// Decodes a snapshot and verifies that its stamp is `expected`.
    pub fn from_snapshot(bytes: &[u8], expected: Stamp) -> Result<Self> {
        let canonical = decompress(bytes)?;
        let configuration: Self = serde_json::from_slice(&canonical).context(DecodeSnafu)?;
        configuration.verify(expected)
    }

    /// Iterates over the services of all teams.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRecord)> {
        self.teams.values().flat_map(|team| team.services.iter())
    }

    /// The record of the service `name`, whichever team offers it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.teams.values().find_map(|team| team.services.get(name))
    }

    /// Limits for callers, if a team sets them.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.teams.values().find_map(|team| team.caller_limits)
    }

    fn verify(self, expected: Stamp) -> Result<Self> {
        let found = self.stamp();
        ensure!(found == expected, StampMismatchSnafu { expected, found });
        Ok(self)
    }
}

/// The records that changed between a version and its parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version to which the delta applies.
    pub parent: Version,
    /// Version that results from applying it.
    pub version: Version,
    /// New record of each changed team; `None` if the team was removed.
    pub teams: BTreeMap<TeamName, Option<TeamRecord>>,
}

impl Delta {
    /// Computes the delta that changes `parent` into `child`.
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

    /// Encodes the delta in the compressed form that is stored and sent. The receiver has `parent`,
    /// so it serves as compression dictionary: a changed timeout among 300 routes takes 200 bytes
    /// instead of 6 KB.
    pub fn to_bytes(&self, parent: &Configuration) -> Vec<u8> {
        let bytes = serde_json::to_vec(self).expect("maps with string keys always encode");
        let compressor = Compressor::with_dictionary(ZSTD_LEVEL, &parent.to_canonical());
        let compressed = compressor.and_then(|mut compressor| compressor.compress(&bytes));
        compressed.expect("compression into memory does not fail")
    }

    /// Decodes the output of [`Self::to_bytes`] for the same `parent`. The content is verified only
    /// by [`Self::apply`].
    pub fn from_bytes(bytes: &[u8], parent: &Configuration) -> Result<Self> {
        let decompressor = Decompressor::with_dictionary(&parent.to_canonical());
        let bytes = decompressor
            .and_then(|mut decompressor| decompressor.decompress(bytes, CONFIGURATION_MAX_BYTES))
            .context(DecompressSnafu)?;
        serde_json::from_slice(&bytes).context(DecodeSnafu)
    }

    /// Applies the delta to `parent` and verifies that the stamp of the result is `expected`.
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
