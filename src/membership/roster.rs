//! The member records that a node has received, one per other node, and a hash over them.

use std::collections::BTreeMap;

use super::neighbours::node_hash;
use crate::core::member::{Liveness, Member, NodeId};

/// A member record with its timestamps.
#[derive(Debug)]
pub struct Entry {
    /// Newest record of the member.
    pub member: Member,
    /// When the record last changed.
    pub changed_ms: u64,
    /// When the member was last probed after it died or left; initially when the record changed.
    pub probed_ms: u64,
}

/// Effect of merging a member record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The record was not newer than the known one.
    None,
    /// The record changed, but not whether the member is present.
    Record,
    /// The member became present, or no longer is.
    Presence,
}

/// Records of all members except the own one.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<NodeId, Entry>,
    hash: u64,
}

impl Roster {
    /// All records.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// All entries, for updating probe times.
    pub fn entries_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    /// Record of one member.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.entries.get(&node).map(|entry| &entry.member)
    }

    /// Stores a record if it outranks the known one.
    pub fn merge(&mut self, now_ms: u64, member: Member) -> Change {
        let node = member.node;
        let known = self.entries.get(&node).map(|entry| &entry.member);
        if known.is_some_and(|known| member.precedence() <= known.precedence()) {
            return Change::None;
        }
        let was_present = known.is_some_and(is_present);
        self.hash ^= known.map_or(0, member_hash) ^ member_hash(&member);
        let change = if was_present == is_present(&member) {
            Change::Record
        } else {
            Change::Presence
        };
        let entry = Entry {
            member,
            changed_ms: now_ms,
            probed_ms: now_ms,
        };
        self.entries.insert(node, entry);
        change
    }

    /// Lets the time for the refutation of all suspicions begin again.
    pub fn restart_suspicions(&mut self, now_ms: u64) {
        let suspects = self.entries.values_mut();
        let suspects = suspects.filter(|entry| entry.member.liveness == Liveness::Suspect);
        for suspect in suspects {
            suspect.changed_ms = now_ms;
        }
    }

    /// Members that have been suspect for at least `suspicion_timeout_ms`.
    pub fn expired_suspects(&self, now_ms: u64, suspicion_timeout_ms: u64) -> Vec<Member> {
        self.entries
            .values()
            .filter(|entry| entry.member.liveness == Liveness::Suspect)
            .filter(|entry| now_ms.saturating_sub(entry.changed_ms) >= suspicion_timeout_ms)
            .map(|entry| entry.member.clone())
            .collect()
    }

    /// Drops tombstones: those of departed members after `left_retention_ms`, those of dead ones
    /// after `dead_retention_ms`. Returns whether there were any.
    pub fn expire_tombstones(
        &mut self,
        now_ms: u64,
        left_retention_ms: u64,
        dead_retention_ms: u64,
    ) -> bool {
        let count = self.entries.len();
        self.entries.retain(|_, entry| {
            let age_ms = now_ms.saturating_sub(entry.changed_ms);
            match entry.member.liveness {
                Liveness::Alive | Liveness::Suspect => true,
                Liveness::Dead => age_ms < dead_retention_ms,
                Liveness::Left => age_ms < left_retention_ms,
            }
        });
        self.entries.len() < count
    }

    /// Hash over the present members including `local_member`, independent of their order. Tombstones
    /// are left out, because nodes drop them at different times. Suspicions are left out, because
    /// they are not sent to other regions.
    pub fn hash(&self, local_member: &Member) -> u64 {
        self.hash ^ member_hash(local_member)
    }
}

fn is_present(member: &Member) -> bool {
    member.liveness < Liveness::Dead
}

fn member_hash(member: &Member) -> u64 {
    if !is_present(member) {
        return 0;
    }
    let salt = format!("{} {}", member.incarnation_us, member.sequence);
    node_hash(member.node, &salt)
}
