//! Below which version a node that has just started must not enforce.
//!
//! A VM has no disk, so a restarted node does not know what it enforced before. The rule that keeps
//! it from going back has two halves:
//!
//! 1. Before a node enforces a version, at least one peer has confirmed that it heard the node
//!    announce it ([`crate::membership::Membership::witnessed`]). Only a node that believes no peer
//!    to be alive does without.
//! 2. A started node enforces nothing until its floor is settled: either it has read the head from
//!    the platform, which is at or above anything that anybody has applied; or enough peers have
//!    told what they remember of its address and what they enforce. The floor is the highest of all
//!    that was heard.
//!
//! While neither comes, it waits and says so; there is no time after which it guesses.

use std::collections::BTreeSet;

use crate::core::member::NodeId;
use crate::core::version::Version;

/// Peers that must answer where so many are known. The witnesses of half 1 are ring neighbours,
/// and the same ones are asked after a restart; three of them cover the loss of any two.
pub const PEERS_ASKED: usize = 3;

/// How long fewer answers than [`PEERS_ASKED`] are not enough although some came. A node that is
/// cut off with a few peers serves with them after this; five heartbeats, so that whoever can
/// answer has.
pub const FEW_PEERS_MS: u64 = 5_000;

/// The floor of one life of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    version: Version,
    head_read: bool,
    answered: BTreeSet<NodeId>,
    started_ms: u64,
    settled: bool,
}

impl Floor {
    /// The floor of a node that starts now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            ..Self::default()
        }
    }

    /// The platform's head was read.
    pub fn head_read(&mut self, head: Version) {
        if !self.settled {
            self.head_read = true;
            self.version = self.version.max(head);
        }
    }

    /// A peer told the highest version that it knows this address to have reported, and the
    /// version that it enforces itself. One that enforces nothing has no memory yet, so it raises
    /// the floor but does not count.
    pub fn answered(&mut self, peer: NodeId, reported: Version, enforced: Version) {
        if self.settled {
            return;
        }
        self.version = self.version.max(reported).max(enforced);
        if enforced > Version::NONE {
            self.answered.insert(peer);
        }
    }

    /// Whether the node may begin to enforce. Once it may, it always may: from then on only
    /// greater versions are applied anyway.
    pub fn is_settled(&mut self, now_ms: u64) -> bool {
        let waited = now_ms.saturating_sub(self.started_ms) >= FEW_PEERS_MS;
        let enough = self.answered.len() >= PEERS_ASKED || (waited && !self.answered.is_empty());
        self.settled |= self.head_read || enough;
        self.settled
    }

    /// The lowest version that may be enforced.
    pub fn version(&self) -> Version {
        self.version
    }
}
