//! The statements that a node has heard, one per other node, and the hash over them.

use std::collections::BTreeMap;

use super::neighbours::node_hash;
use crate::core::member::{Liveness, Member, NodeId};

/// A statement and when it came.
#[derive(Debug)]
pub struct Entry {
    /// The statement.
    pub member: Member,
    /// When it last changed.
    pub changed_ms: u64,
    /// When the node was last probed, if it is dead.
    pub probed_ms: u64,
}

/// What a new statement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is not news.
    None,
    /// The same nodes are present as before.
    Record,
    /// A node came or went.
    Presence,
}

/// All statements but the own one.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<NodeId, Entry>,
    hash: u64,
}

impl Roster {
    /// Every statement.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Every entry, to note probes in.
    pub fn entries_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    /// The statement about one node.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.entries.get(&node).map(|entry| &entry.member)
    }

    /// Takes in a statement if it outranks the known one.
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

    /// Members that have been suspected for `suspicion_timeout_ms`.
    pub fn expired_suspects(&self, now_ms: u64, suspicion_timeout_ms: u64) -> Vec<Member> {
        self.entries
            .values()
            .filter(|entry| entry.member.liveness == Liveness::Suspect)
            .filter(|entry| now_ms.saturating_sub(entry.changed_ms) >= suspicion_timeout_ms)
            .map(|entry| entry.member.clone())
            .collect()
    }

    /// Forgets tombstones: those who said goodbye after `left_retention_ms`, the others after `dead_retention_ms`.
    pub fn expire_tombstones(
        &mut self,
        now_ms: u64,
        left_retention_ms: u64,
        dead_retention_ms: u64,
    ) {
        self.entries.retain(|_, entry| {
            let age_ms = now_ms.saturating_sub(entry.changed_ms);
            match entry.member.liveness {
                Liveness::Alive | Liveness::Suspect => true,
                Liveness::Dead => age_ms < dead_retention_ms,
                Liveness::Left => age_ms < left_retention_ms,
            }
        });
    }

    /// Order-free hash over the present members, `me` included. Tombstones are left out, since
    /// they are forgotten at different times, and so are suspicions, which do not cross regions.
    pub fn hash(&self, me: &Member) -> u64 {
        self.hash ^ member_hash(me)
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
