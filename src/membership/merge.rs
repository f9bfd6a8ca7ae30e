//! Merges received messages into the view, and queues what is new for the neighbours.

use super::gossip::{Gossip, Report, Summary};
use super::neighbours::NeighbourKind;
use super::reports::place_key;
use super::roster::Change;
use super::view::Membership;
use crate::core::member::{Liveness, Member, NodeId};
use crate::core::version::Stamp;

impl Membership {
    /// Merges a message. Returns whether it contained a claim that this node had to refute by
    /// raising its sequence number.
    pub(super) fn merge_message(&mut self, now_ms: u64, gossip: &Gossip) -> bool {
        let sequence = self.local_member.sequence;
        let from = Some(gossip.from);
        self.reports.record_version(gossip.from, gossip.version);
        self.set_head(gossip.announce.unwrap_or(Stamp::NONE));
        if let Some(link) = self.links.get_mut(&gossip.from) {
            link.record_peer_versions(gossip.version, gossip.announce.map(|stamp| stamp.version));
            link.peer_rollouts_digest = gossip.rollouts_digest;
        }
        for member in &gossip.updates {
            self.merge_member(now_ms, member.clone(), from);
        }
        if let Some(sender) = self.roster.get(gossip.from) {
            let key = place_key(&sender.place);
            self.unresponsive_peers.remove(&key);
        }
        for report in &gossip.reports {
            self.merge_report(*report, from);
        }
        for summary in &gossip.summaries {
            self.merge_summary(summary, from);
        }
        self.local_member.sequence != sequence
    }

    pub(super) fn merge_member(
        &mut self,
        now_ms: u64,
        member: Member,
        received_from: Option<NodeId>,
    ) {
        if member.node == self.local_member.node {
            self.refute(&member);
            return;
        }
        let node = member.node;
        let is_claim = member.liveness != Liveness::Alive;
        match self.roster.merge(now_ms, member) {
            Change::None => return,
            Change::Record => (),
            Change::Presence => self.neighbours_stale = true,
        }
        if is_claim {
            // Choosing the neighbours again replaces a suspect bridge peer at once.
            self.neighbours_stale = true;
        }
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            // A claim is also sent to the node that it is about, so that the node can refute it.
            if Some(*neighbour) != received_from && (*neighbour != node || is_claim) {
                link.pending_members.insert(node);
            }
        }
    }

    /// Refutes a claim about this node that outranks its own record, by raising the own sequence
    /// number above it.
    ///
    /// A replaced VM whose clock is behind starts with a lower incarnation than the one that other
    /// nodes have stored for its address. The claim contains that incarnation; the node then takes
    /// one above it, which supersedes the records of the earlier process.
    fn refute(&mut self, claim: &Member) {
        if claim.precedence() <= self.local_member.precedence() {
            return;
        }
        if claim.incarnation_us > self.local_member.incarnation_us {
            self.local_member.incarnation_us = claim.incarnation_us + 1;
            self.merge_report(self.own_report(), None);
        } else {
            self.local_member.sequence = self.local_member.sequence.max(claim.sequence);
        }
        self.raise_sequence();
    }

    pub(super) fn raise_sequence(&mut self) {
        self.local_member.sequence += 1;
        self.generation += 1;
        for link in self.links.values_mut() {
            link.pending_members.insert(self.local_member.node);
        }
    }

    pub(super) fn merge_report(&mut self, report: Report, received_from: Option<NodeId>) {
        if !self.reports.merge_report(report) {
            return;
        }
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            if link.kind == NeighbourKind::Ring && Some(*neighbour) != received_from {
                link.pending_reports.insert(report.node);
            }
        }
    }

    fn merge_summary(&mut self, summary: &Summary, received_from: Option<NodeId>) {
        if self.reports.merge_summary(summary.clone()) {
            self.queue_summary(&place_key(&summary.place), received_from);
        }
    }

    pub(super) fn queue_summary(&mut self, key: &str, received_from: Option<NodeId>) {
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            if link.kind != NeighbourKind::Standby && Some(*neighbour) != received_from {
                link.pending_summaries.insert(key.to_owned());
            }
        }
    }
}
