//! Refresh of the configuration after a freeze of the process, during which the node refuses
//! requests.

use std::collections::BTreeSet;

use crate::core::member::NodeId;
use crate::decide::freeze::Epoch;

/// Longest time for which a node without answers refuses requests after a freeze. Peers answer within
/// milliseconds; a node that reaches no peer serves the version that it has after this time.
const REFRESH_TIMEOUT_MS: u64 = 2_000;

/// Longest time for which a node refuses requests that has learnt of a newer version since the freeze.
/// Other nodes serve its callers under that version, and a fetch from another region may take this
/// long.
const CATCH_UP_TIMEOUT_MS: u64 = 5_000;

/// Number of peers whose answers complete a refresh if the store itself was not read.
const REFRESH_QUORUM: usize = 2;

/// Whether the answers received since a freeze show which version is enforced now. Only answers to
/// requests of the refresh's own epoch count: earlier ones may have been sent before the freeze.
#[derive(Clone, Debug)]
pub struct Refresh {
    epoch: Epoch,
    begun_ms: u64,
    peers: BTreeSet<NodeId>,
    store_read: bool,
}

impl Refresh {
    /// Starts the refresh after the freeze that began `epoch`.
    pub fn new(now_ms: u64, epoch: Epoch) -> Self {
        Self {
            epoch,
            begun_ms: now_ms,
            peers: BTreeSet::new(),
            store_read: false,
        }
    }

    /// Records a pause of the process, in which answers may have arrived that are still to be read. The time limit does
    /// not run on in it.
    pub fn record_pause(&mut self, paused_ms: u64) {
        self.begun_ms += paused_ms;
    }

    /// The epoch that began with the freeze.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the store was read.
    pub fn store_read(&self) -> bool {
        self.store_read
    }

    /// Number of peers that have answered.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Records that the store answered a read that started in the epoch `asked_in`.
    pub fn record_store_read(&mut self, asked_in: Epoch) {
        self.store_read |= asked_in == self.epoch;
    }

    /// Records the answer of a peer to a query that was sent in the epoch `asked_in`. The answer of a
    /// peer that may itself be behind does not count: it refreshes after a freeze, or has just started.
    pub fn record_peer_answer(&mut self, peer: NodeId, asked_in: Epoch, may_be_behind: bool) {
        if asked_in == self.epoch && !may_be_behind {
            self.peers.insert(peer);
        }
    }

    /// Whether the node may admit requests again. `caught_up` says whether it enforces the newest
    /// version that it knows.
    pub fn has_ended(&self, now_ms: u64, caught_up: bool) -> bool {
        let has_quorum = self.store_read || self.peers.len() >= REFRESH_QUORUM;
        let is_cut_off = !self.store_read && self.peers.is_empty();
        let timeout_ms = match caught_up || is_cut_off {
            true => REFRESH_TIMEOUT_MS,
            false => CATCH_UP_TIMEOUT_MS,
        };
        (has_quorum && caught_up) || now_ms >= self.begun_ms + timeout_ms
    }
}
