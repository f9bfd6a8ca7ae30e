//! Exchanges with nodes that are not neighbours: contacting seeds, probing dead members, and
//! sending refutations.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::gossip::{Exchange, Gossip};
use super::neighbours::{self, node_hash};
use super::roster::Entry;
use super::view::Membership;
use crate::core::member::{Liveness, NodeId};
use crate::core::version::Version;
use crate::decide::backoff::Backoff;

/// Longest pause between two probes of one dead member. It limits how long the two sides of a healed
/// partition take to find each other. Probes cause little traffic, because only a few nodes probe
/// each member.
const PROBE_PAUSE_MAX_MS: u64 = 30_000;

/// How long a dead or departed member is probed frequently. Most of them are back within seconds,
/// some with no other member in their view.
const RECENTLY_GONE_MS: u64 = 30_000;
/// Pause between two probes of recently gone members, and before the first probe of each.
const RECENTLY_GONE_PROBE_MS: u64 = 500;

/// Pauses between attempts to contact seeds while no other member is known to be alive.
const JOIN_BACKOFF: Backoff = Backoff::new(200, 10_000);

impl Membership {
    /// Sends the own record to members whose answer contained a claim that this node has refuted.
    pub(super) fn refutation_exchanges(&mut self, now_ms: u64) -> Vec<Exchange> {
        let refutations_due = std::mem::take(&mut self.refutations_due);
        refutations_due
            .into_iter()
            .filter_map(|node| self.one_off_exchange(Some(node), self.address_of(node)?, now_ms))
            .collect()
    }

    fn one_off_exchange(
        &mut self,
        to: Option<NodeId>,
        address: SocketAddr,
        now_ms: u64,
    ) -> Option<Exchange> {
        let mut gossip = Gossip {
            from: self.local_member.node,
            view_hash: self.view_hash(),
            version: self.held.version,
            announce: Some(self.head).filter(|head| head.version > Version::NONE),
            updates: vec![self.local_member.clone()],
            reports: Vec::new(),
            summaries: Vec::new(),
            rollouts_digest: self.rollouts_digest,
            rollouts: None,
            want_all: self.is_alone(),
        };
        gossip
            .updates
            .extend(to.and_then(|node| self.record_to_refute(node)));
        Some(Exchange {
            // `None`, so that a failed exchange does not mark any member as suspect.
            to: None,
            address,
            gossip,
            started_ms: now_ms,
        })
    }

    /// Contacts two seeds at a time while no other member is known to be alive. The first one, taken
    /// in the order of the list, is asked for its whole view. The second one, taken by a hash, only
    /// receives the own record; contacting it connects groups that started independently.
    ///
    /// The attempts back off, so that many nodes that start at once do not overload each other with
    /// whole views.
    pub(super) fn join_exchanges(&mut self, now_ms: u64) -> Vec<Exchange> {
        if now_ms < self.next_join_ms || self.seeds.is_empty() || !self.is_alone() {
            return Vec::new();
        }
        let pause_ms = JOIN_BACKOFF.delay_ms(self.join_attempts);
        self.next_join_ms = now_ms + self.jittered(pause_ms, now_ms);
        let next_seed = self.join_attempts as usize % self.seeds.len();
        self.join_attempts += 1;
        let random_seed = node_hash(self.local_member.node, &self.join_attempts.to_string());
        let random_seed = random_seed as usize % self.seeds.len();
        let mut exchanges = Vec::new();
        exchanges.extend(self.one_off_exchange(None, self.seeds[next_seed], now_ms));
        if random_seed != next_seed {
            let mut exchange = self.one_off_exchange(None, self.seeds[random_seed], now_ms);
            if let Some(exchange) = &mut exchange {
                exchange.gossip.want_all = false;
            }
            exchanges.extend(exchange);
        }
        exchanges
    }

    /// Probes members that were declared dead or have left, and seeds whose address belongs to no
    /// known member.
    ///
    /// After a partition each side considers the other one dead, and a node that restarts during a
    /// platform outage starts with an empty view. Without probes they would never exchange messages
    /// again. Only the nodes that would be neighbours of the member probe it, so it receives a few
    /// messages after the partition heals instead of one from every node.
    pub(super) fn probe(&mut self, now_ms: u64) -> Option<Exchange> {
        if now_ms < self.next_probe_ms {
            return None;
        }
        if self.is_alone() {
            self.next_probe_ms = now_ms + self.jittered(self.timing.probe_interval_ms, now_ms);
            return None;
        }
        let recent = self.take_probe_target(now_ms, ProbeTarget::RecentlyGone);
        let pause_ms = match recent {
            Some(_) => RECENTLY_GONE_PROBE_MS,
            None => self.jittered(self.timing.probe_interval_ms, now_ms),
        };
        self.next_probe_ms = now_ms + pause_ms.min(self.timing.probe_interval_ms);
        let gone_member = recent.or_else(|| self.take_probe_target(now_ms, ProbeTarget::LongDead));
        if let Some((node, address)) = gone_member {
            return self.one_off_exchange(Some(node), address, now_ms);
        }
        let seed = self.next_unknown_seed()?;
        self.one_off_exchange(None, seed, now_ms)
    }

    fn take_probe_target(
        &mut self,
        now_ms: u64,
        target: ProbeTarget,
    ) -> Option<(NodeId, SocketAddr)> {
        let mut candidates: Vec<(u64, NodeId)> = Vec::new();
        for entry in self.roster.entries_mut() {
            if target.is_due(now_ms, entry, self.timing.probe_interval_ms) {
                candidates.push((entry.probed_ms, entry.member.node));
            }
        }
        candidates.sort_unstable();
        let node = candidates
            .into_iter()
            .map(|(_, node)| node)
            .find(|node| self.is_prober_of(*node))?;
        for entry in self.roster.entries_mut() {
            if entry.member.node == node {
                entry.probed_ms = now_ms;
            }
        }
        Some((node, self.address_of(node)?))
    }

    /// Dead members of the own data centre are probed by its two watchers. Those of another data
    /// centre are probed by the nodes at this end of the link to it, and only if no live member is
    /// left there.
    fn is_prober_of(&self, node: NodeId) -> bool {
        let Some(dead) = self.roster.get(node) else {
            return false;
        };
        if dead.place == self.local_member.place {
            let watchers = neighbours::watchers(&self.local_member, self.members());
            return watchers.contains(&self.local_member.node);
        }
        let has_live_member = self
            .roster
            .members()
            .any(|other| other.place == dead.place && other.liveness < Liveness::Dead);
        !has_live_member && neighbours::is_bridge_to(&self.local_member, dead, self.members())
    }

    fn next_unknown_seed(&mut self) -> Option<SocketAddr> {
        let known: BTreeSet<SocketAddr> = self
            .roster
            .members()
            .flat_map(|member| [member.node.0, member.external])
            .collect();
        let position = self.seeds.iter().position(|seed| !known.contains(seed))?;
        // Moves the seed to the end of the list, so that all others are tried first.
        let seed = self.seeds.remove(position);
        self.seeds.push(seed);
        Some(seed)
    }
}

/// Which of the dead and departed members to probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeTarget {
    /// Died or left less than [`RECENTLY_GONE_MS`] ago.
    RecentlyGone,
    /// Died at least [`RECENTLY_GONE_MS`] ago. A member that left that long ago is not probed: it
    /// is not expected to return.
    LongDead,
}

impl ProbeTarget {
    /// Whether the member belongs to this group and its pause since the last probe is over. Within
    /// limits, the pause equals the time from the member's failure or departure to that probe, so it
    /// doubles with each probe.
    fn is_due(self, now_ms: u64, entry: &Entry, probe_interval_ms: u64) -> bool {
        let gone_for_ms = now_ms.saturating_sub(entry.changed_ms);
        let is_probed = match (self, entry.member.liveness) {
            (_, Liveness::Alive | Liveness::Suspect) => false,
            (Self::RecentlyGone, Liveness::Dead | Liveness::Left) => gone_for_ms < RECENTLY_GONE_MS,
            (Self::LongDead, Liveness::Dead) => gone_for_ms >= RECENTLY_GONE_MS,
            (Self::LongDead, Liveness::Left) => false,
        };
        let min_pause_ms = match self {
            Self::RecentlyGone => RECENTLY_GONE_PROBE_MS.min(probe_interval_ms),
            Self::LongDead => probe_interval_ms,
        };
        let gone_at_probe_ms = entry.probed_ms.saturating_sub(entry.changed_ms);
        let pause_ms = gone_at_probe_ms.clamp(min_pause_ms, PROBE_PAUSE_MAX_MS.max(min_pause_ms));
        is_probed && now_ms.saturating_sub(entry.probed_ms) >= pause_ms
    }
}
