//! Below which version a node that has just started must not enforce.
//!
//! A VM has no disk, so a restarted node does not know what it enforced before. The rule that keeps
//! it from going back has two halves:
//!
//! 1. Before a node enforces a version, two peers of its data centre (or all, where fewer are alive)
//!    have confirmed that they heard the node announce it ([`crate::membership::Membership::acknowledged_version`]). Only a node that
//!    believes none there to be alive takes another peer's word, and one that believes nobody to be
//!    alive does without.
//! 2. A started node enforces nothing until its floor is settled: either it has read the head from
//!    the platform, which is at or above anything that anybody has applied; or enough peers of its
//!    data centre have told what they remember of its address and what they enforce. The floor is
//!    the highest of all that was heard. Peers elsewhere count only where nobody knows of any other
//!    node in the data centre: they may be behind, and were not told before it was enforced.
//!
//! While neither comes, it waits and says so; there is no time after which it guesses.

use std::collections::BTreeSet;

use crate::core::member::{Distance, NodeId};
use crate::core::version::Version;

/// Peers that must answer where so many are known, besides all that are asked: a node that has just
/// started knows only some of its neighbours yet.
pub const ANSWERS_REQUIRED: usize = 3;

/// How long fewer answers are not enough although some came. A node that is
/// cut off with a few peers serves with them after this; five heartbeats, so that whoever can
/// answer has.
pub const PARTIAL_ANSWERS_AFTER_MS: u64 = 5_000;

/// The same where versions are [`Followed`](VersionSource::Followed): those who answer later know no more than
/// those who answer at once.
const FOLLOWED_PARTIAL_ANSWERS_AFTER_MS: u64 = 1_000;

/// How versions come to nodes, and with that what peers may know of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// A version is enforced once witnesses in the data centre have noted it: only they may know.
    Acknowledged,
    /// Operators write each version into the store as a whole, from where all nodes follow it within a
    /// round trip, and nobody waits for witnesses: any peer may know.
    Followed,
}

impl VersionSource {
    fn partial_answers_after_ms(self) -> u64 {
        match self {
            Self::Acknowledged => PARTIAL_ANSWERS_AFTER_MS,
            Self::Followed => FOLLOWED_PARTIAL_ANSWERS_AFTER_MS,
        }
    }
}

/// The floor of one life of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Floor {
    source: VersionSource,
    version: Version,
    head_read: bool,
    asked: BTreeSet<NodeId>,
    answered: BTreeSet<NodeId>,
    started_ms: u64,
    settled: bool,
    only_node_of_data_centre: bool,
}

impl Floor {
    /// The floor of a node that starts now.
    pub fn new(now_ms: u64, source: VersionSource) -> Self {
        Self {
            source,
            version: Version::NONE,
            head_read: false,
            asked: BTreeSet::new(),
            answered: BTreeSet::new(),
            started_ms: now_ms,
            settled: false,
            only_node_of_data_centre: false,
        }
    }

    /// The platform's head was read.
    pub fn record_head(&mut self, head: Version) {
        if !self.settled {
            self.head_read = true;
            self.version = self.version.max(head);
        }
    }

    /// Whether nobody knows of another node in the data centre, alive or dead.
    pub fn set_only_node_of_data_centre(&mut self, only_node: bool) {
        self.only_node_of_data_centre = only_node;
    }

    /// A peer of the data centre is asked: its answer is waited for until few peers are enough.
    pub fn record_asked(&mut self, peer: NodeId) {
        self.asked.insert(peer);
    }

    /// A peer told the highest version that it knows this address to have reported, and the
    /// version that it enforces itself. One that enforces nothing has no memory yet, so it raises
    /// the floor but does not count.
    pub fn record_answer(
        &mut self,
        peer: NodeId,
        distance: Distance,
        reported: Version,
        enforced: Version,
    ) {
        if self.settled {
            return;
        }
        self.version = self.version.max(reported).max(enforced);
        let counts = match self.source {
            VersionSource::Acknowledged => {
                distance == Distance::DataCentre || self.only_node_of_data_centre
            }
            VersionSource::Followed => true,
        };
        if counts && enforced > Version::NONE {
            self.answered.insert(peer);
        }
    }

    /// Whether the node may begin to enforce. Once it may, it always may: from then on only
    /// greater versions are applied anyway.
    pub fn is_settled(&mut self, now_ms: u64) -> bool {
        let timed_out =
            now_ms.saturating_sub(self.started_ms) >= self.source.partial_answers_after_ms();
        // Any two of those asked may be the only witnesses of what this address enforced last. Were
        // the first answers enough, the node would start below it when the witness answers late.
        let all_answered =
            self.answered.len() >= ANSWERS_REQUIRED && self.asked.is_subset(&self.answered);
        let enough = all_answered || (timed_out && !self.answered.is_empty());
        self.settled |= self.head_read || enough;
        self.settled
    }

    /// The lowest version that may be enforced.
    pub fn version(&self) -> Version {
        self.version
    }
}
