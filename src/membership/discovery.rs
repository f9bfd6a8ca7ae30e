//! Exchanges outside the links: greetings of seeds, probes for the dead, answers to claims.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::gossip::{Exchange, Gossip};
use super::neighbours::{self, node_hash};
use super::roster::Entry;
use super::view::Membership;
use crate::core::member::{Liveness, NodeId};
use crate::core::version::Version;
use crate::decide::pacing::Backoff;

/// Longest pause between two probes of one dead member. Their number is bounded by who is asked
/// to probe, so this bounds only the time to find each other again after a long cut.
const PROBE_PAUSE_MAX_MS: u64 = 30_000;

/// How long one that has gone is looked for often: most that go are back within seconds, some without a
/// word of who else is there.
const RECENTLY_GONE_MS: u64 = 30_000;
/// Between two probes for such members, and before the first of one.
const RECENTLY_GONE_PROBE_MS: u64 = 500;

/// Pauses between greetings of seeds while the node knows nobody.
const JOIN_BACKOFF: Backoff = Backoff::new(200, 10_000);

impl Membership {
    /// Exchanges outside the links: answers to claims about this node.
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
            from: self.me.node,
            view_hash: self.view_hash(),
            version: self.held.version,
            announce: Some(self.head).filter(|head| head.version > Version::NONE),
            updates: vec![self.me.clone()],
            reports: Vec::new(),
            summaries: Vec::new(),
            want_all: self.is_alone(),
        };
        gossip
            .updates
            .extend(to.and_then(|node| self.claim_about(node)));
        Some(Exchange {
            // A failed probe is no news of anybody, so nobody is named to be suspected.
            to: None,
            address,
            gossip,
            started_ms: now_ms,
        })
    }

    /// Greets two seeds at a time, ever more slowly, so that a herd that starts does not flood itself with whole
    /// views: the nearest, which is asked for its view, and any other, which is only told of this node, so that
    /// groups that start apart know of each other.
    pub(super) fn join_exchanges(&mut self, now_ms: u64) -> Vec<Exchange> {
        if now_ms < self.next_join_ms || self.seeds.is_empty() || !self.is_alone() {
            return Vec::new();
        }
        let pause_ms = JOIN_BACKOFF.pause_ms(self.join_attempts);
        self.next_join_ms = now_ms + self.jittered(pause_ms, now_ms);
        let nearest = self.join_attempts as usize % self.seeds.len();
        self.join_attempts += 1;
        let random_seed = node_hash(self.me.node, &self.join_attempts.to_string());
        let random_seed = random_seed as usize % self.seeds.len();
        let mut exchanges = Vec::new();
        exchanges.extend(self.one_off_exchange(None, self.seeds[nearest], now_ms));
        if random_seed != nearest {
            let mut exchange = self.one_off_exchange(None, self.seeds[random_seed], now_ms);
            if let Some(exchange) = &mut exchange {
                exchange.gossip.want_all = false;
            }
            exchanges.extend(exchange);
        }
        exchanges
    }

    /// Looks for members that were declared dead or have left, and for seeds that nobody has mentioned.
    ///
    /// After a partition both halves hold each other for dead, and a node that restarts while the platform is away
    /// knows nobody: neither would ever speak to the other again. Only those who would hold the link probe it, so
    /// a healed link sees a few greetings.
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

    /// Dead nodes of the own data centre are probed by two of it; those elsewhere by the own end
    /// of the link, while nobody over there is left to do it.
    fn is_prober_of(&self, node: NodeId) -> bool {
        let Some(dead) = self.roster.get(node) else {
            return false;
        };
        if dead.place == self.me.place {
            let watchers = neighbours::watchers(&self.me, self.members());
            return watchers.contains(&self.me.node);
        }
        let has_live_member = self
            .roster
            .members()
            .any(|other| other.place == dead.place && other.liveness < Liveness::Dead);
        !has_live_member && neighbours::is_bridge_to(&self.me, dead, self.members())
    }

    fn next_unknown_seed(&mut self) -> Option<SocketAddr> {
        let known: BTreeSet<SocketAddr> = self
            .roster
            .members()
            .flat_map(|member| [member.node.0, member.external])
            .collect();
        let position = self.seeds.iter().position(|seed| !known.contains(seed))?;
        // Those behind it are tried before it is tried again.
        let seed = self.seeds.remove(position);
        self.seeds.push(seed);
        Some(seed)
    }
}

/// Members that are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeTarget {
    /// Died or left within [`RECENTLY_GONE_MS`].
    RecentlyGone,
    /// Died before. One that left then is not expected back.
    LongDead,
}

impl ProbeTarget {
    /// Whether a member is one of these and may be probed again; the pauses grow with the time since it
    /// went.
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
