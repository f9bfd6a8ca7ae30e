//! Taking in what others say, and passing on what is news.

use super::gossip::{Gossip, Report, Summary};
use super::neighbours::Kind;
use super::reports::place_key;
use super::roster::Change;
use super::view::Membership;
use crate::core::member::{Liveness, Member, NodeId};
use crate::core::version::Stamp;

impl Membership {
    /// Takes in a message; whether the own statement had to be raised.
    pub(super) fn merge(&mut self, now_ms: u64, gossip: &Gossip) -> bool {
        let sequence = self.me.sequence;
        let from = Some(gossip.from);
        self.reports.remember(gossip.from, gossip.version);
        self.set_head(gossip.announce.unwrap_or(Stamp::NONE));
        if let Some(link) = self.links.get_mut(&gossip.from) {
            link.heard(gossip.version, gossip.announce.map(|stamp| stamp.version));
        }
        for member in &gossip.updates {
            self.learn(now_ms, member.clone(), from);
        }
        if let Some(sender) = self.roster.get(gossip.from) {
            let key = place_key(&sender.place);
            self.silent.remove(&key);
        }
        for report in &gossip.reports {
            self.learn_report(*report, from);
        }
        for summary in &gossip.summaries {
            self.learn_summary(summary, from);
        }
        self.me.sequence != sequence
    }

    pub(super) fn learn(&mut self, now_ms: u64, member: Member, heard_from: Option<NodeId>) {
        if member.node == self.me.node {
            self.refute(&member);
            return;
        }
        let node = member.node;
        let suspicion = member.liveness != Liveness::Alive;
        match self.roster.learn(now_ms, member) {
            Change::None => return,
            Change::Statement => (),
            Change::Presence => self.neighbours_stale = true,
        }
        if suspicion {
            // A suspected bridge partner is replaced at once.
            self.neighbours_stale = true;
        }
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            // The suspected node itself is told, so that it can refute.
            if Some(*neighbour) != heard_from && (*neighbour != node || suspicion) {
                link.members.insert(node);
            }
        }
    }

    /// Somebody says of this node what it does not say itself: a higher sequence overrules it.
    ///
    /// A replaced VM whose clock is behind starts with an incarnation below the one that the mesh remembers, and learns
    /// that one from such a claim; one above it supersedes the earlier life.
    fn refute(&mut self, claim: &Member) {
        if claim.precedence() <= self.me.precedence() {
            return;
        }
        if claim.incarnation_us > self.me.incarnation_us {
            self.me.incarnation_us = claim.incarnation_us + 1;
            self.learn_report(self.own_report(), None);
        } else {
            self.me.sequence = self.me.sequence.max(claim.sequence);
        }
        self.restate();
    }

    pub(super) fn restate(&mut self) {
        self.me.sequence += 1;
        self.generation += 1;
        for link in self.links.values_mut() {
            link.members.insert(self.me.node);
        }
    }

    pub(super) fn learn_report(&mut self, report: Report, heard_from: Option<NodeId>) {
        if !self.reports.learn(report) {
            return;
        }
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            if link.kind == Kind::Ring && Some(*neighbour) != heard_from {
                link.reports.insert(report.node);
            }
        }
    }

    fn learn_summary(&mut self, summary: &Summary, heard_from: Option<NodeId>) {
        if self.reports.learn_summary(summary.clone()) {
            self.spread_summary(&place_key(&summary.place), heard_from);
        }
    }

    pub(super) fn spread_summary(&mut self, key: &str, heard_from: Option<NodeId>) {
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            if link.kind != Kind::Standby && Some(*neighbour) != heard_from {
                link.summaries.insert(key.to_owned());
            }
        }
    }
}
