//! The rows that dragonflywall keeps in the platform's table.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `head` | [`HeadRow`] | each publication, conditionally |
//! | `version/N` | [`VersionRow`] | with the head, once; the audit trail |
//! | `publish/ID` | [`PublishRow`] | with the head or when abandoned, once; settles lost answers |
//! | `node/ADDRESS` | [`NodeRow`] | that node, seldom, and when its backend server changes |

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

/// Key of a version's row; zeros keep the table's order that of versions.
pub fn version_key(version: Version) -> String {
    format!("{VERSION_PREFIX}{:012}", version.0)
}

/// Key of the row that a publication leaves under its id.
pub fn publish_key(publish_id: &str) -> String {
    format!("publish/{publish_id}")
}

/// Key of a node's registration.
pub fn node_key(node: NodeId) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// The accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Number and digest.
    pub stamp: Stamp,
}

/// What one publication did: a line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Number and digest.
    pub stamp: Stamp,
    /// The version it was made from.
    pub parent: Stamp,
    /// Id of the publication.
    pub publish_id: String,
    /// Who published.
    pub operator: String,
    /// When, in milliseconds since the epoch, by the publisher's clock.
    pub time_ms: u64,
    /// Why this version exists.
    pub kind: PublicationKind,
    /// Teams whose record changed.
    pub teams_changed: Vec<TeamName>,
    /// Object with the whole configuration.
    pub snapshot_object: Digest,
    /// Object with the difference from the parent.
    pub delta_object: Digest,
}

/// Why a version exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum PublicationKind {
    /// Team files were published.
    Publish,
    /// An earlier version's content was published again.
    Rollback {
        /// The earlier version.
        to: Version,
    },
}

/// What became of a publication; the row is written once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum PublishRow {
    /// It made a version.
    Committed {
        /// The version.
        version: Version,
        /// Digest of what was asked for.
        request: Digest,
    },
    /// An operator settled that it shall never take effect.
    Abandoned {
        /// Who.
        operator: String,
        /// When, in milliseconds since the epoch, by that operator's clock.
        time_ms: u64,
    },
}

/// Where a node may be reached, and what stands beside it: hints for its start and that of others, nothing
/// more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Peer address inside its data centre.
    pub node: NodeId,
    /// Peer address from elsewhere.
    pub external: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Last renewal in milliseconds since the epoch.
    pub renewed_ms: u64,
    /// The last word of the backend server beside it, if that announces itself and takes work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<Announcement>,
}
