//! The rows that dragonflywall stores in the platform's table.
//!
//! | key | value | written | purpose |
//! |---|---|---|---|
//! | `head` | [`HeadRow`] | by each publication, on condition that it is unchanged | the accepted version |
//! | `version/N` | [`VersionRow`] | once, in the transaction that writes `head` | the audit trail |
//! | `publish/ID` | [`PublishRow`] | once, in that transaction or when an operator abandons the publication | the outcome of a publication whose response was lost |
//! | `node/ADDRESS` | [`NodeRow`] | by the node, at long intervals and when its backend server changes | a hint by which nodes find each other |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::member::{NodeId, Place};
use crate::core::names::TeamName;
use crate::core::status::Announcement;
use crate::core::version::{Digest, Stamp, Version};

/// Key of the head row.
pub const HEAD_KEY: &str = "head";
/// Prefix of version rows.
pub const VERSION_PREFIX: &str = "version/";
/// Prefix of node rows.
pub const NODE_PREFIX: &str = "node/";

/// Key of a version's row. The number is zero-padded, so that the table's key order is the order of
/// versions.
pub fn version_key(version: Version) -> String {
    format!("{VERSION_PREFIX}{:012}", version.0)
}

/// Key of the row that records the outcome of a publication.
pub fn publish_key(publish_id: &str) -> String {
    format!("publish/{publish_id}")
}

/// Key of the row in which a node registers itself.
pub fn node_key(node: NodeId) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// The row that names the accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Number and digest of the accepted version.
    pub stamp: Stamp,
}

/// One version and how it was published: an entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Number and digest of this version.
    pub stamp: Stamp,
    /// The version that the publication changed.
    pub parent: Stamp,
    /// ID of the publication.
    pub publish_id: String,
    /// Name of the operator who published the version.
    pub operator: String,
    /// Time of the publication by the operator's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Whether the version is a publication of team files or a rollback.
    pub kind: PublicationKind,
    /// Teams whose record differs from the parent version.
    pub teams_changed: Vec<TeamName>,
    /// Digest of the object that contains the whole configuration.
    pub snapshot_object: Digest,
    /// Digest of the object that contains the difference from the parent version.
    pub delta_object: Digest,
}

/// How the content of a version came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum PublicationKind {
    /// Team files were published.
    Publish,
    /// An earlier version's content was published again.
    Rollback {
        /// Number of the earlier version.
        to: Version,
    },
}

/// The final outcome of a publication. The row is written once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum PublishRow {
    /// The publication created a version.
    Committed {
        /// Number of the version.
        version: Version,
        /// Digest of the publication request, to detect a different request under the same ID.
        request: Digest,
    },
    /// An operator abandoned the publication, so it can no longer take effect.
    Abandoned {
        /// Name of that operator.
        operator: String,
        /// Time of the decision by that operator's clock, in milliseconds since the Unix epoch.
        time_ms: u64,
    },
}

/// A node's registration: its addresses and its backend server. It is only a hint and may be outdated:
/// other nodes use it to find peers, and the node itself to restore the state of its backend server
/// after a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Address for peers of the same data centre.
    pub node: NodeId,
    /// Address for peers of other data centres.
    pub external: SocketAddr,
    /// Region and data centre of the node.
    pub place: Place,
    /// Time of the last renewal by the node's clock, in milliseconds since the Unix epoch.
    pub renewed_ms: u64,
    /// Last announcement of the node's backend server, if it announces itself and accepts requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<Announcement>,
}
