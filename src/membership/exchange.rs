//! Exchanges with neighbours: what they are told, and what their answer or silence means.

use std::collections::BTreeSet;

use super::gossip::{Exchange, Gossip};
use super::link::{Announcement, Link};
use super::neighbours::Kind;
use super::reports::place_key;
use super::view::Membership;
use crate::core::member::{Liveness, Member, NodeId};
use crate::core::version::{Stamp, Version};

/// Members of one data centre that must fail to answer a bridge in a row before all of it is
/// suspected. One may be dead and the next busy; three in a row without any answer is the link or
/// the data centre. Suspecting one at a time would keep 87 dead endpoints for minutes.
const SILENT_MAX: usize = 3;

/// Peers that must confirm a version before it is enforced. Two, so that the loss of the node
/// together with one of them does not lose what the node had enforced; see docs/design/floor.md.
const WITNESSES: usize = 2;

impl Membership {
    /// Takes in a message and answers it.
    pub fn receive(&mut self, now_ms: u64, gossip: &Gossip) -> Gossip {
        self.note_time(now_ms);
        let generation = self.generation();
        let restated = self.merge(now_ms, gossip);
        let learned = self.generation() != generation;
        let equal = gossip.view_hash == self.view_hash();
        let from = gossip.from;
        let mut answer = self.message(from);
        // One that came back without memory and without the platform has nobody to greet: who
        // heartbeats it tells it the rest.
        answer.want_all = self.is_alone();
        let told = !answer.updates.is_empty();
        if gossip.want_all {
            answer.updates = self.members().cloned().collect();
            answer.summaries = self.reports.summaries().cloned().collect();
            let asker = self.roster.get(from);
            if asker.is_some_and(|asker| asker.place == self.me.place) {
                answer.reports = self.reports.reports().copied().collect();
            }
        } else if !self.links.contains_key(&from) || restated {
            answer.updates.push(self.me.clone());
        }
        answer.updates.extend(self.claim_about(from));
        // Only a neighbour compares again; to a stranger a difference says nothing.
        if let Some(link) = self.links.get_mut(&from) {
            link.compared(now_ms, equal, learned || told);
        }
        answer
    }

    /// Takes in the answer to an exchange.
    pub fn exchange_done(&mut self, now_ms: u64, sent: &Exchange, answer: &Gossip) {
        self.note_time(now_ms);
        let generation = self.generation();
        let restated = self.merge(now_ms, answer);
        let learned = self.generation() != generation;
        let equal = answer.view_hash == self.view_hash();
        if restated {
            self.direct.insert(answer.from);
        }
        let everyone: Vec<NodeId> = match answer.want_all {
            true => self.members().map(|member| member.node).collect(),
            false => Vec::new(),
        };
        if let Some(link) = self.links.get_mut(&answer.from) {
            link.answered();
            link.told = link.told.max(sent.gossip.version);
            let announced = sent.gossip.announce.unwrap_or(Stamp::NONE);
            link.peer_knows = link.peer_knows.max(announced.version);
            link.members.extend(everyone);
            let told = !sent.gossip.updates.is_empty();
            link.compared(now_ms, equal, learned || told);
        }
        self.update_witnessed();
    }

    /// A peer gave no answer: suspect it.
    pub fn exchange_failed(&mut self, now_ms: u64, sent: &Exchange) {
        self.note_time(now_ms);
        let Some(to) = sent.to else { return };
        if sent.started_ms < self.valid_from_ms {
            return;
        }
        if let Some(link) = self.links.get_mut(&to) {
            link.failed(now_ms);
            let updates = &sent.gossip.updates;
            link.members.extend(updates.iter().map(|m| m.node));
            link.reports
                .extend(sent.gossip.reports.iter().map(|r| r.node));
            let summaries = &sent.gossip.summaries;
            link.summaries
                .extend(summaries.iter().map(|s| place_key(&s.place)));
        }
        let Some(member) = self.roster.get(to).cloned() else {
            return;
        };
        if member.liveness == Liveness::Alive {
            self.suspect(now_ms, member.clone());
        }
        if member.liveness < Liveness::Dead && member.place != self.me.place {
            self.note_silence(now_ms, &member);
        }
    }

    fn suspect(&mut self, now_ms: u64, member: Member) {
        let suspect = Member {
            liveness: Liveness::Suspect,
            ..member
        };
        self.learn(now_ms, suspect, None);
    }

    /// Bridge partners of a data centre that one after the other give no answer put all of its members under suspicion
    /// together; each of them refutes it if any way to it is left.
    fn note_silence(&mut self, now_ms: u64, member: &Member) {
        let key = place_key(&member.place);
        let silent = self.silent.entry(key.clone()).or_default();
        silent.insert(member.node);
        let present: Vec<Member> = self
            .roster
            .members()
            .filter(|other| other.place == member.place && other.liveness < Liveness::Dead)
            .cloned()
            .collect();
        if silent.len() < SILENT_MAX.min(present.len()) {
            return;
        }
        self.silent.remove(&key);
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
        }
    }

    pub(super) fn due(&mut self, now_ms: u64) -> Vec<Exchange> {
        let announcement = self.announcement();
        let mut due: BTreeSet<NodeId> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_due(now_ms, announcement))
            .map(|(node, _)| *node)
            .collect();
        self.add_witnesses(now_ms, &mut due);
        due.into_iter()
            .filter_map(|node| self.exchange_with(node, now_ms))
            .collect()
    }

    /// Whether a node that restarts here asks `node` about its floor.
    fn is_witness(&self, node: NodeId) -> bool {
        match self.links.get(&node) {
            Some(link) if link.kind == Kind::Ring => true,
            _ => !self.links.values().any(|link| link.kind == Kind::Ring),
        }
    }

    /// The highest version that enough witnesses have confirmed: [`WITNESSES`], or all where fewer
    /// are alive. A suspected one is not waited for, or a frozen neighbour would hold up a version
    /// in a small data centre until it counts as dead.
    pub(super) fn update_witnessed(&mut self) {
        let is_alive = |node: NodeId| {
            let member = self.roster.get(node);
            member.is_some_and(|member| member.liveness == Liveness::Alive)
        };
        let mut confirmed: Vec<Version> = self
            .links
            .iter()
            .filter(|(node, _)| self.is_witness(**node) && is_alive(**node))
            .map(|(_, link)| link.told)
            .collect();
        confirmed.sort_unstable_by(|a, b| b.cmp(a));
        let needed = WITNESSES.min(confirmed.len());
        let lowest = needed.checked_sub(1).map(|position| confirmed[position]);
        self.witnessed = self.witnessed.max(lowest.unwrap_or(Version::NONE));
    }

    /// A version waits for witnesses before it is enforced. The neighbours may all hold it already,
    /// so that there is nothing else to tell them; as many as are missing are told all the same,
    /// those of the ring first, since a restarted node asks these.
    fn add_witnesses(&self, now_ms: u64, due: &mut BTreeSet<NodeId>) {
        let held = self.held.version;
        if self.witnessed >= held {
            return;
        }
        let is_told = |(node, link): &(&NodeId, &Link)| {
            let telling = link.in_flight && link.telling == held;
            self.is_witness(**node) && (link.told >= held || telling || due.contains(node))
        };
        let told = self.links.iter().filter(is_told).count();
        let mut free: Vec<(Kind, NodeId)> = self
            .links
            .iter()
            .filter(|(node, link)| link.is_free(now_ms) && !due.contains(node))
            .filter(|(node, link)| self.is_witness(**node) && link.told < held)
            .map(|(node, link)| (link.kind, *node))
            .collect();
        free.sort_unstable();
        let missing = WITNESSES.saturating_sub(told);
        due.extend(free.into_iter().take(missing).map(|(_, node)| node));
    }

    /// Whether [`Membership::tick`] is worth calling again after
    /// [`super::link::NEWS_PAUSE_MS`].
    pub fn has_deferred(&self, now_ms: u64) -> bool {
        let announcement = self.announcement();
        let mut links = self.links.values();
        links.any(|link| link.is_deferred(now_ms, announcement))
    }

    fn exchange_with(&mut self, node: NodeId, now_ms: u64) -> Option<Exchange> {
        let address = self.address_of(node)?;
        let mut gossip = self.message(node);
        let own_report = self.own_report();
        let link = self.links.get_mut(&node)?;
        if link.kind == Kind::Ring && own_report.version > Version::NONE {
            // With every heartbeat, so that a report that got lost is made up for.
            gossip
                .reports
                .retain(|report| report.node != own_report.node);
            gossip.reports.push(own_report);
        }
        gossip.want_all = link.want_all;
        link.start(now_ms, gossip.version);
        gossip.updates.extend(self.claim_about(node));
        Some(Exchange {
            to: Some(node),
            address,
            gossip,
            started_ms: now_ms,
        })
    }

    /// A message with what `to` still has to be told, if it is a neighbour.
    fn message(&mut self, to: NodeId) -> Gossip {
        let mut gossip = Gossip {
            from: self.me.node,
            view_hash: self.view_hash(),
            version: self.held.version,
            announce: Some(self.head).filter(|head| head.version > Version::NONE),
            updates: Vec::new(),
            reports: Vec::new(),
            summaries: Vec::new(),
            want_all: false,
        };
        let Some(link) = self.links.get_mut(&to) else {
            return gossip;
        };
        let known = link.peer_knows;
        gossip.announce = gossip.announce.filter(|head| head.version > known);
        let crosses_regions = matches!(link.kind, Kind::Gateway | Kind::Standby);
        let members = match link.carries_members() {
            true => std::mem::take(&mut link.members),
            false => BTreeSet::new(),
        };
        let reports = std::mem::take(&mut link.reports);
        let summaries = std::mem::take(&mut link.summaries);
        for node in members {
            let member = match node == self.me.node {
                true => Some(&self.me),
                false => self.roster.get(node),
            };
            // Suspicion is settled inside the region; what comes of it crosses.
            let crosses = |m: &&Member| !crosses_regions || m.liveness != Liveness::Suspect;
            gossip.updates.extend(member.filter(crosses).cloned());
        }
        let reports = reports.iter().filter_map(|node| self.reports.get(*node));
        gossip.reports.extend(reports);
        let summaries = summaries.iter().filter_map(|key| self.reports.summary(key));
        gossip.summaries.extend(summaries.cloned());
        gossip
    }

    /// What this node believes of `node` that `node` would deny.
    pub(super) fn claim_about(&self, node: NodeId) -> Option<Member> {
        let member = self.roster.get(node)?;
        (member.liveness != Liveness::Alive).then(|| member.clone())
    }
}
