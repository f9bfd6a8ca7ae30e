//! Exchanges with neighbours: which updates a message carries, and how answers and timeouts change
//! the view.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::gossip::{Exchange, Gossip};
use super::link::{Announcement, Link};
use super::neighbours::NeighbourKind;
use super::reports::place_key;
use super::view::Membership;
use crate::core::member::{Liveness, Member, NodeId};
use crate::core::version::{Stamp, Version};

/// Members of one data centre that must fail to answer a bridge one after the other before all its
/// members are marked as suspect. One may be dead and the next one busy; three without any answer
/// mean that the link or the data centre is down. Marking one member at a time would keep 87 dead
/// endpoints in use for minutes.
const UNRESPONSIVE_PEERS_THRESHOLD: usize = 3;

/// Peers that must acknowledge a version before the node enforces it. With two, a record of the
/// enforced version remains if the node and one of these peers fail together; see
/// docs/design/floor.md.
const ACKS_REQUIRED: usize = 2;

impl Membership {
    /// Merges a received message and returns the answer to it.
    pub fn receive(&mut self, now_ms: u64, gossip: &Gossip) -> Gossip {
        self.detect_freeze(now_ms);
        let generation = self.generation();
        let refuted = self.merge_message(now_ms, gossip);
        let view_changed = self.generation() != generation;
        let views_equal = gossip.view_hash == self.view_hash();
        let from = gossip.from;
        let mut answer = self.message_to(from);
        // If this node restarted without state while the platform is down, it has no seeds to
        // contact. It then requests the whole view of each node that sends it a heartbeat.
        answer.want_all = self.is_alone();
        if gossip.rollouts_digest != self.rollouts_digest && self.rollouts_digest != 0 {
            answer.rollouts = Some(Arc::clone(&self.rollouts));
        }
        let sent_updates = !answer.updates.is_empty();
        if gossip.want_all {
            answer.updates = self.members().cloned().collect();
            answer.summaries = self.reports.summaries().cloned().collect();
            let sender = self.roster.get(from);
            if sender.is_some_and(|sender| sender.place == self.local_member.place) {
                answer.reports = self.reports.reports().copied().collect();
            }
        } else if !self.links.contains_key(&from) || refuted {
            answer.updates.push(self.local_member.clone());
        }
        answer.updates.extend(self.record_to_refute(from));
        // Views are compared repeatedly only with neighbours. A difference to the view of another
        // sender has no consequence.
        if let Some(link) = self.links.get_mut(&from) {
            link.record_comparison(now_ms, views_equal, view_changed || sent_updates);
        }
        answer
    }

    /// Merges the answer to an exchange that this node started. If this process was frozen since, the
    /// peer may have restarted without state meanwhile, so the answer acknowledges nothing.
    pub fn exchange_done(&mut self, now_ms: u64, sent: &Exchange, answer: &Gossip) {
        self.detect_freeze(now_ms);
        let generation = self.generation();
        let refuted = self.merge_message(now_ms, answer);
        let view_changed = self.generation() != generation;
        let views_equal = answer.view_hash == self.view_hash();
        if refuted {
            self.refutations_due.insert(answer.from);
        }
        let all_nodes: Vec<NodeId> = match answer.want_all {
            true => self.members().map(|member| member.node).collect(),
            false => Vec::new(),
        };
        let is_current = sent.started_ms >= self.exchanges_valid_from_ms;
        if let Some(link) = self.links.get_mut(&answer.from)
            && is_current
        {
            link.exchange_answered();
            link.acked_version = link.acked_version.max(sent.gossip.version);
            let announced = sent.gossip.announce.unwrap_or(Stamp::NONE);
            link.peer_head = link.peer_head.max(announced.version);
            link.pending_members.extend(all_nodes);
            let sent_updates = !sent.gossip.updates.is_empty();
            link.record_comparison(now_ms, views_equal, view_changed || sent_updates);
        }
        self.update_acknowledged_version();
    }

    /// Handles an exchange without an answer: queues its contents again and marks the peer as
    /// suspect.
    pub fn exchange_failed(&mut self, now_ms: u64, sent: &Exchange) {
        self.detect_freeze(now_ms);
        let Some(to) = sent.to else { return };
        if sent.started_ms < self.exchanges_valid_from_ms {
            return;
        }
        if let Some(link) = self.links.get_mut(&to) {
            link.exchange_failed(now_ms);
            let updates = &sent.gossip.updates;
            link.pending_members.extend(updates.iter().map(|m| m.node));
            link.pending_reports
                .extend(sent.gossip.reports.iter().map(|r| r.node));
            let summaries = &sent.gossip.summaries;
            link.pending_summaries
                .extend(summaries.iter().map(|s| place_key(&s.place)));
        }
        let Some(member) = self.roster.get(to).cloned() else {
            return;
        };
        if member.liveness == Liveness::Alive {
            self.suspect(now_ms, member.clone());
        }
        if member.liveness < Liveness::Dead && member.place != self.local_member.place {
            self.record_unresponsive_peer(now_ms, &member);
        }
    }

    fn suspect(&mut self, now_ms: u64, member: Member) {
        let suspect = Member {
            liveness: Liveness::Suspect,
            ..member
        };
        self.merge_member(now_ms, suspect, None);
    }

    /// Counts members of another data centre that did not answer. When
    /// [`UNRESPONSIVE_PEERS_THRESHOLD`] of them failed to answer, one after the other, marks all
    /// members of that data centre as suspect. Each of them refutes this if any path to it is left.
    fn record_unresponsive_peer(&mut self, now_ms: u64, member: &Member) {
        let key = place_key(&member.place);
        let unresponsive_peers = self.unresponsive_peers.entry(key.clone()).or_default();
        unresponsive_peers.insert(member.node);
        let present: Vec<Member> = self
            .roster
            .members()
            .filter(|other| other.place == member.place && other.liveness < Liveness::Dead)
            .cloned()
            .collect();
        if unresponsive_peers.len() < UNRESPONSIVE_PEERS_THRESHOLD.min(present.len()) {
            return;
        }
        self.unresponsive_peers.remove(&key);
        for other in present {
            if other.liveness == Liveness::Alive {
                self.suspect(now_ms, other);
            }
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            held: self.held.version,
            head: self.head.version,
            rollouts_digest: self.rollouts_digest,
        }
    }

    pub(super) fn due_exchanges(&mut self, now_ms: u64) -> Vec<Exchange> {
        let announcement = self.announcement();
        let mut due: BTreeSet<NodeId> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_due(now_ms, announcement))
            .map(|(node, _)| *node)
            .collect();
        self.add_acknowledging_peers(now_ms, &mut due);
        due.into_iter()
            .filter_map(|node| self.exchange_with(node, now_ms))
            .collect()
    }

    /// Whether `node` is one of the peers whose acknowledgement counts: ring neighbours, or all
    /// neighbours if there is no ring neighbour. A node that restarts at this address asks the same
    /// peers for its floor.
    fn is_acknowledging_peer(&self, node: NodeId) -> bool {
        match self.links.get(&node) {
            Some(link) if link.kind == NeighbourKind::Ring => true,
            _ => !self
                .links
                .values()
                .any(|link| link.kind == NeighbourKind::Ring),
        }
    }

    /// Recomputes the highest version that [`ACKS_REQUIRED`] peers have acknowledged, or all of
    /// them if fewer are alive. Suspect peers do not count: otherwise a frozen neighbour in a small
    /// data centre would delay a version until that neighbour is declared dead.
    pub(super) fn update_acknowledged_version(&mut self) {
        let is_alive = |node: NodeId| {
            let member = self.roster.get(node);
            member.is_some_and(|member| member.liveness == Liveness::Alive)
        };
        let mut acked: Vec<Version> = self
            .links
            .iter()
            .filter(|(node, _)| self.is_acknowledging_peer(**node) && is_alive(**node))
            .map(|(_, link)| link.acked_version)
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let needed = ACKS_REQUIRED.min(acked.len());
        let newly_acked = needed.checked_sub(1).map(|position| acked[position]);
        self.acknowledged_version = self
            .acknowledged_version
            .max(newly_acked.unwrap_or(Version::NONE));
    }

    /// Adds exchanges for acknowledgements that are still missing for the held version. All
    /// neighbours may already hold it, in which case no other exchange would be due. Ring
    /// neighbours come first, because a restarted node asks these for its floor.
    fn add_acknowledging_peers(&self, now_ms: u64, due: &mut BTreeSet<NodeId>) {
        let held = self.held.version;
        if self.acknowledged_version >= held {
            return;
        }
        let is_covered = |(node, link): &(&NodeId, &Link)| {
            let is_sending = link.in_flight && link.sending_version == held;
            self.is_acknowledging_peer(**node)
                && (link.acked_version >= held || is_sending || due.contains(node))
        };
        let covered = self.links.iter().filter(is_covered).count();
        let mut idle: Vec<(NeighbourKind, NodeId)> = self
            .links
            .iter()
            .filter(|(node, link)| link.can_start(now_ms) && !due.contains(node))
            .filter(|(node, link)| self.is_acknowledging_peer(**node) && link.acked_version < held)
            .map(|(node, link)| (link.kind, *node))
            .collect();
        idle.sort_unstable();
        let missing = ACKS_REQUIRED.saturating_sub(covered);
        due.extend(idle.into_iter().take(missing).map(|(_, node)| node));
    }

    /// Whether updates wait for [`super::link::MIN_UPDATE_INTERVAL_MS`] to pass, so that
    /// [`Membership::tick`] has to be called again after that time.
    pub fn has_deferred_updates(&self, now_ms: u64) -> bool {
        let announcement = self.announcement();
        let mut links = self.links.values();
        links.any(|link| link.is_deferred(now_ms, announcement))
    }

    fn exchange_with(&mut self, node: NodeId, now_ms: u64) -> Option<Exchange> {
        let address = self.address_of(node)?;
        let mut gossip = self.message_to(node);
        let own_report = self.own_report();
        let link = self.links.get_mut(&node)?;
        if link.kind == NeighbourKind::Ring && own_report.version > Version::NONE {
            // The own report goes with every heartbeat, which makes up for lost reports.
            gossip
                .reports
                .retain(|report| report.node != own_report.node);
            gossip.reports.push(own_report);
        }
        gossip.want_all = link.want_all;
        link.exchange_started(now_ms, gossip.version);
        gossip.updates.extend(self.record_to_refute(node));
        Some(Exchange {
            to: Some(node),
            address,
            gossip,
            started_ms: now_ms,
        })
    }

    /// Creates a message that carries all pending updates for `to` if it is a neighbour.
    fn message_to(&mut self, to: NodeId) -> Gossip {
        let mut gossip = Gossip {
            from: self.local_member.node,
            view_hash: self.view_hash(),
            version: self.held.version,
            announce: Some(self.head).filter(|head| head.version > Version::NONE),
            updates: Vec::new(),
            reports: Vec::new(),
            summaries: Vec::new(),
            rollouts_digest: self.rollouts_digest,
            rollouts: None,
            want_all: false,
        };
        let Some(link) = self.links.get_mut(&to) else {
            return gossip;
        };
        if link.lacks_rollouts(self.rollouts_digest) {
            gossip.rollouts = Some(Arc::clone(&self.rollouts));
        }
        let known = link.peer_head;
        gossip.announce = gossip.announce.filter(|head| head.version > known);
        let crosses_regions = matches!(link.kind, NeighbourKind::Gateway | NeighbourKind::Standby);
        let members = match link.carries_members() {
            true => std::mem::take(&mut link.pending_members),
            false => BTreeSet::new(),
        };
        let reports = std::mem::take(&mut link.pending_reports);
        let summaries = std::mem::take(&mut link.pending_summaries);
        for node in members {
            let member = match node == self.local_member.node {
                true => Some(&self.local_member),
                false => self.roster.get(node),
            };
            // A suspicion stays inside the region; only its outcome, dead or refuted, is sent to
            // other regions.
            let crosses = |m: &&Member| !crosses_regions || m.liveness != Liveness::Suspect;
            gossip.updates.extend(member.filter(crosses).cloned());
        }
        let reports = reports.iter().filter_map(|node| self.reports.get(*node));
        gossip.reports.extend(reports);
        let summaries = summaries.iter().filter_map(|key| self.reports.summary(key));
        gossip.summaries.extend(summaries.cloned());
        gossip
    }

    /// The record of `node` if this node considers it suspect, dead or gone. It is sent to `node`,
    /// so that `node` can refute it.
    pub(super) fn record_to_refute(&self, node: NodeId) -> Option<Member> {
        let member = self.roster.get(node)?;
        (member.liveness != Liveness::Alive).then(|| member.clone())
    }
}
