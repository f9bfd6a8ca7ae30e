//! The floor: the lowest version that a node may enforce after it starts.
//!
//! A VM has no disk, so a restarted node has no record of the version that it enforced before. Two
//! rules prevent it from enforcing an older one:
//!
//! 1. Before a node enforces a version, two peers of its data centre (or all, if fewer are alive)
//!    have acknowledged the node's announcement of it
//!    ([`crate::membership::Membership::acknowledged_version`]). Acknowledgements from other data
//!    centres count only if no peer of the own one is known to be alive, and none is needed if no
//!    peer at all is.
//! 2. After a start, a node enforces nothing until its floor is settled. Either it has read the
//!    head from the store, which is at least as new as any version that a node has enforced; or
//!    enough peers of its data centre have reported the highest version that they have on record
//!    for its address, and the version that they enforce themselves. The floor is the highest
//!    version received. Peers of other data centres count only if no other node of the own data
//!    centre is known some time after the start: they may be behind, and did not have to acknowledge
//!    the version before it was enforced.
//!
//! If neither happens, the node waits and reports that it is not ready. There is no time limit
//! after which it continues without a floor.

use std::collections::BTreeSet;

use crate::core::member::{Distance, NodeId};
use crate::core::version::Version;

/// Minimum number of peers whose answers settle the floor; besides, all asked peers have to answer.
/// The minimum is needed because the view of a node that has just started contains only some of its
/// neighbours, and the node asks no others.
pub const ANSWERS_REQUIRED: usize = 3;

/// Time after which fewer answers settle the floor, if there is at least one. A node that is cut
/// off with a few peers starts to serve after this time. It equals five heartbeats, so that every
/// reachable peer has had time to answer.
pub const PARTIAL_ANSWERS_AFTER_MS: u64 = 5_000;

/// Like [`PARTIAL_ANSWERS_AFTER_MS`], if versions are [`Followed`](VersionSource::Followed).
/// Shorter, because late answers then contain nothing newer than early ones.
const FOLLOWED_PARTIAL_ANSWERS_AFTER_MS: u64 = 1_000;

/// How nodes receive versions, which determines which peers have a record of what an address has
/// enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// Versions are published, and each is enforced only after peers of the data centre have
    /// acknowledged it. Only these peers are sure to have a record of it.
    Acknowledged,
    /// Operators write whole configurations into the store. All nodes follow it and receive a
    /// version within a round trip, and no acknowledgement is needed, so any peer can have the
    /// newest version.
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

/// The floor of one process of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Floor {
    source: VersionSource,
    version: Version,
    head_read: bool,
    asked: BTreeSet<NodeId>,
    /// Peers that were bound to have a record of what this address enforced, and have answered.
    answered: BTreeSet<NodeId>,
    /// When another peer answered first.
    answered_elsewhere_ms: Option<u64>,
    started_ms: u64,
    settled: bool,
    only_node_of_data_centre: bool,
}

impl Floor {
    /// Creates the floor of a node that starts at `now_ms`.
    pub fn new(now_ms: u64, source: VersionSource) -> Self {
        Self {
            source,
            version: Version::NONE,
            head_read: false,
            asked: BTreeSet::new(),
            answered: BTreeSet::new(),
            answered_elsewhere_ms: None,
            started_ms: now_ms,
            settled: false,
            only_node_of_data_centre: false,
        }
    }

    /// Records a pause of the process, in which answers may have arrived that are still to be read. The time for them does
    /// not run on in it.
    pub fn record_pause(&mut self, paused_ms: u64) {
        self.started_ms += paused_ms;
        self.answered_elsewhere_ms = self.answered_elsewhere_ms.map(|at_ms| at_ms + paused_ms);
    }

    /// Records the head that was read from the store. This settles the floor.
    pub fn record_head(&mut self, head: Version) {
        if !self.settled {
            self.head_read = true;
            self.version = self.version.max(head);
        }
    }

    /// Sets whether no other node of the data centre is known, alive or dead.
    pub fn set_only_node_of_data_centre(&mut self, only_node: bool) {
        self.only_node_of_data_centre = only_node;
    }

    /// Records that a peer of the data centre was asked. The floor is not settled before it answers
    /// or the time for partial answers is reached.
    pub fn record_asked(&mut self, peer: NodeId) {
        self.asked.insert(peer);
    }

    /// Records a peer's answer: the highest version that it has on record for this address, and the
    /// version that it enforces itself. A peer that enforces nothing has just started and may have
    /// no record of the address, so its answer can raise the floor but does not count towards
    /// settling it.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        peer: NodeId,
        distance: Distance,
        reported: Version,
        enforced: Version,
    ) {
        if self.settled {
            return;
        }
        self.raise(reported.max(enforced));
        if enforced == Version::NONE {
            return;
        }
        let was_asked_to_record = match self.source {
            VersionSource::Acknowledged => distance == Distance::DataCentre,
            VersionSource::Followed => true,
        };
        match was_asked_to_record {
            true => _ = self.answered.insert(peer),
            false => _ = self.answered_elsewhere_ms.get_or_insert(now_ms),
        }
    }

    /// Raises the floor to a version that was enforced elsewhere, without settling it.
    pub fn raise(&mut self, version: Version) {
        if !self.settled {
            self.version = self.version.max(version);
        }
    }

    /// Whether the node may begin to enforce versions. Once settled, the floor stays so: from then
    /// on only greater versions are applied.
    pub fn is_settled(&mut self, now_ms: u64) -> bool {
        let is_over =
            |since_ms| now_ms.saturating_sub(since_ms) >= self.source.partial_answers_after_ms();
        // All asked peers have to answer, because any two of them may be the only ones that
        // acknowledged the version enforced last at this address. If the first answers were enough,
        // the node could start below that version while the peers that have a record of it answer
        // late.
        let all_answered =
            self.answered.len() >= ANSWERS_REQUIRED && self.asked.is_subset(&self.answered);
        let some_answered = is_over(self.started_ms) && !self.answered.is_empty();
        // The view that names the first peers elsewhere may not name those of the data centre yet.
        let elsewhere_counts =
            self.only_node_of_data_centre && self.answered_elsewhere_ms.is_some_and(is_over);
        let enough = all_answered || some_answered || elsewhere_counts;
        self.settled |= self.head_read || enough;
        self.settled
    }

    /// The lowest version that may be enforced.
    pub fn version(&self) -> Version {
        self.version
    }
}
