//! How long ago the enforced configuration was known to be the newest.
//!
//! Silence proves nothing, so a proof is the result of an exchange with the store or with a node that has a proof itself. Its
//! instant is never later than the exchange could show, however late the answer arrived. Times are arguments, in
//! milliseconds of a clock that includes the time in which the VM was suspended.

use crate::core::version::Version;

/// Number of proofs that are kept: of the enforced version and of newer ones that are not enforced yet.
const PROOFS_MAX: usize = 8;

/// At `at_ms`, no version newer than `version` had been accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The newest version at that time.
    pub version: Version,
    /// The time, on the clock of the node that has the proof.
    pub at_ms: u64,
}

impl FreshnessProof {
    /// The proof that the store's answer to a read gives that was sent at `asked_ms`. The wait of a long poll does not count:
    /// the store may have missed a change that was made in it.
    pub fn from_store(version: Version, asked_ms: u64) -> Self {
        Self {
            version,
            at_ms: asked_ms,
        }
    }

    /// The proof that a peer's answer gives. The request was sent at `asked_ms` and answered after `took_ms`.
    pub fn from_peer(proof: PeerProof, asked_ms: u64, took_ms: u64) -> Option<Self> {
        let answered_ms = asked_ms + proof.waited_ms.min(took_ms);
        Some(Self {
            version: proof.version,
            at_ms: answered_ms.checked_sub(proof.age_ms)?,
        })
    }
}

/// A proof as a peer states it in an answer, without reference to its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProof {
    /// The newest version at that time.
    pub version: Version,
    /// Age of the proof when the peer answered.
    pub age_ms: u64,
    /// Time from the arrival of the request at the peer until its answer.
    pub waited_ms: u64,
}

/// The proofs of a node.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// In ascending order of versions and of times.
    proofs: Vec<FreshnessProof>,
}

impl Freshness {
    /// Adds a proof. Proofs that it makes useless are dropped.
    pub fn record(&mut self, proof: FreshnessProof) {
        let is_known =
            |known: &FreshnessProof| known.version <= proof.version && known.at_ms >= proof.at_ms;
        if self.proofs.iter().any(is_known) {
            return;
        }
        self.proofs
            .retain(|known| known.version < proof.version || known.at_ms > proof.at_ms);
        let position = self
            .proofs
            .partition_point(|known| known.version < proof.version);
        self.proofs.insert(position, proof);
        if self.proofs.len() > PROOFS_MAX {
            self.proofs.remove(0);
        }
    }

    /// The latest time at which `enforced` is known to have been the newest version.
    pub fn known_newest_at_ms(&self, enforced: Version) -> Option<u64> {
        let mut applicable = self.proofs.iter().rev();
        let proof = applicable.find(|proof| proof.version <= enforced)?;
        Some(proof.at_ms)
    }

    /// The latest proof, whatever version is enforced.
    pub fn latest(&self) -> Option<FreshnessProof> {
        self.proofs.last().copied()
    }
}
