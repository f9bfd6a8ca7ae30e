//! The membership state machine: one node's view of all members.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use super::neighbours;
use crate::core::member::{BackendState, Liveness, Member, NodeId};
use crate::core::names::ServiceName;
use crate::core::version::Stamp;

/// Intervals of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats to one neighbour when nothing happens.
    pub heartbeat_ms: u64,
    /// From suspicion to death. Long enough for a paused node to refute it over several
    /// heartbeats.
    pub suspicion_ms: u64,
    /// How long a dead or departed member is remembered, so that old news cannot revive it.
    pub tombstone_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            suspicion_ms: 5_000,
            tombstone_ms: 600_000,
        }
    }
}

/// One message of an exchange, either way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The sender.
    pub from: NodeId,
    /// Hash of the sender's view.
    pub view_hash: u64,
    /// What the sender enforces.
    pub enforced: Stamp,
    /// Statements that may be news to the receiver.
    pub updates: Vec<Member>,
    /// The sender asks for the whole view.
    pub want_all: bool,
}

/// An exchange that the driver is to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// With whom.
    pub to: NodeId,
    /// Where to dial.
    pub address: SocketAddr,
    /// What to send.
    pub gossip: Gossip,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    changed_ms: u64,
}

#[derive(Debug, Default)]
struct Link {
    /// Statements not yet sent to this neighbour.
    pending: BTreeSet<NodeId>,
    last_sent_ms: Option<u64>,
    in_flight: bool,
    want_all: bool,
}

/// One node's view. Time is an argument, in milliseconds of any steady clock.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    seeds: Vec<SocketAddr>,
    entries: BTreeMap<NodeId, Entry>,
    links: BTreeMap<NodeId, Link>,
    timing: Timing,
    generation: u64,
}

impl Membership {
    /// A view that knows only its own node and where others may be found.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, timing: Timing) -> Self {
        Self {
            me,
            seeds,
            entries: BTreeMap::new(),
            links: BTreeMap::new(),
            timing,
            generation: 1,
        }
    }

    /// The node's own statement.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Every known member, the own one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.entries.values().map(|entry| &entry.member))
    }

    /// Rises whenever a statement changes; tells a driver when to publish a new copy.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Peers that exchanges are started with.
    pub fn neighbours(&self) -> Vec<NodeId> {
        neighbours::choose(&self.me, self.members())
    }

    /// What the mesh remembers of a node: the highest statement heard.
    pub fn remembered(&self, node: NodeId) -> Option<&Member> {
        self.entries.get(&node).map(|entry| &entry.member)
    }

    /// Learns of further places to find peers at.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.me.node.0 && seed != self.me.external && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Changes the own statement about the backend server.
    pub fn set_backend(&mut self, service: Option<ServiceName>, state: BackendState) {
        if self.me.service == service && self.me.backend == state {
            return;
        }
        self.me.service = service;
        self.me.backend = state;
        self.restate();
    }

    /// Changes the own statement about the configuration enforced.
    pub fn set_enforced(&mut self, enforced: Stamp) {
        if self.me.enforced == enforced {
            return;
        }
        self.me.enforced = enforced;
        self.restate();
    }

    /// Says goodbye: the last statement of this process.
    pub fn leave(&mut self) {
        self.me.liveness = Liveness::Left;
        self.me.backend = BackendState::Gone;
        self.restate();
    }

    /// Starts the exchanges that are due, and ages suspicions and tombstones.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Exchange> {
        self.age(now_ms);
        let neighbours = self.neighbours();
        self.links.retain(|node, _| neighbours.contains(node));
        let mut exchanges = Vec::new();
        for node in neighbours {
            if let Some(exchange) = self.exchange_with(node, now_ms) {
                exchanges.push(exchange);
            }
        }
        exchanges
    }

    /// The greeting for a seed, whose identity is not known yet: asks for the whole view.
    pub fn greeting(&self) -> Gossip {
        Gossip {
            from: self.me.node,
            view_hash: self.view_hash(),
            enforced: self.me.enforced,
            updates: vec![self.me.clone()],
            want_all: true,
        }
    }

    /// Seeds worth greeting: all, while the node is alone.
    pub fn seeds_to_greet(&self) -> &[SocketAddr] {
        let alone = !self
            .entries
            .values()
            .any(|entry| entry.member.liveness == Liveness::Alive);
        if alone { &self.seeds } else { &[] }
    }

    /// Takes in a message and answers it.
    pub fn receive(&mut self, now_ms: u64, gossip: &Gossip) -> Gossip {
        self.merge(now_ms, gossip);
        let hashes_differ = gossip.view_hash != self.view_hash();
        let updates = if gossip.want_all {
            self.members().cloned().collect()
        } else {
            self.take_pending(gossip.from)
        };
        Gossip {
            from: self.me.node,
            view_hash: self.view_hash(),
            enforced: self.me.enforced,
            // With nothing to tell and views apart, only the whole view can settle it.
            want_all: hashes_differ && gossip.updates.is_empty() && updates.is_empty(),
            updates,
        }
    }

    /// Takes in the answer to an exchange.
    pub fn exchange_done(&mut self, now_ms: u64, answer: &Gossip) {
        self.merge(now_ms, answer);
        let differs = answer.view_hash != self.view_hash();
        let everyone = answer.want_all.then(|| self.known_nodes());
        if let Some(link) = self.links.get_mut(&answer.from) {
            link.in_flight = false;
            link.want_all = differs && answer.updates.is_empty() && link.pending.is_empty();
            if let Some(everyone) = everyone {
                link.pending.extend(everyone);
            }
        }
    }

    /// A neighbour gave no answer: suspect it.
    pub fn exchange_failed(&mut self, now_ms: u64, to: NodeId, sent: &[Member]) {
        if let Some(link) = self.links.get_mut(&to) {
            link.in_flight = false;
            link.pending.extend(sent.iter().map(|member| member.node));
        }
        let Some(entry) = self.entries.get(&to) else {
            return;
        };
        if entry.member.liveness == Liveness::Alive {
            let mut suspect = entry.member.clone();
            suspect.liveness = Liveness::Suspect;
            self.learn(now_ms, suspect, None);
        }
    }

    fn exchange_with(&mut self, node: NodeId, now_ms: u64) -> Option<Exchange> {
        let address = self.entries.get(&node)?.member.dial_address(&self.me.place);
        let link = self.links.entry(node).or_insert_with(|| Link {
            want_all: true,
            ..Link::default()
        });
        let heartbeat_due = link
            .last_sent_ms
            .is_none_or(|sent| now_ms.saturating_sub(sent) >= self.timing.heartbeat_ms);
        if link.in_flight || (link.pending.is_empty() && !heartbeat_due) {
            return None;
        }
        link.in_flight = true;
        link.last_sent_ms = Some(now_ms);
        let want_all = std::mem::take(&mut link.want_all);
        Some(Exchange {
            to: node,
            address,
            gossip: Gossip {
                from: self.me.node,
                view_hash: self.view_hash(),
                enforced: self.me.enforced,
                updates: self.take_pending(node),
                want_all,
            },
        })
    }

    fn take_pending(&mut self, to: NodeId) -> Vec<Member> {
        let Some(link) = self.links.get_mut(&to) else {
            return Vec::new();
        };
        let pending = std::mem::take(&mut link.pending);
        let member_of = |node: &NodeId| match *node == self.me.node {
            true => Some(self.me.clone()),
            false => self.entries.get(node).map(|entry| entry.member.clone()),
        };
        pending.iter().filter_map(member_of).collect()
    }

    fn known_nodes(&self) -> Vec<NodeId> {
        self.members().map(|member| member.node).collect()
    }

    fn merge(&mut self, now_ms: u64, gossip: &Gossip) {
        for member in &gossip.updates {
            self.learn(now_ms, member.clone(), Some(gossip.from));
        }
    }

    fn learn(&mut self, now_ms: u64, member: Member, heard_from: Option<NodeId>) {
        if member.node == self.me.node {
            self.refute(&member);
            return;
        }
        let news = match self.entries.get(&member.node) {
            Some(known) => member.rank() > known.member.rank(),
            None => true,
        };
        if !news {
            return;
        }
        let node = member.node;
        let entry = Entry {
            member,
            changed_ms: now_ms,
        };
        self.entries.insert(node, entry);
        self.spread(node, heard_from);
    }

    /// Somebody says of this node what it does not say itself: a higher sequence overrules it.
    fn refute(&mut self, claim: &Member) {
        let claim_is_old = claim.rank() <= self.me.rank();
        if claim_is_old || claim.incarnation_us > self.me.incarnation_us {
            return;
        }
        self.me.sequence = self.me.sequence.max(claim.sequence);
        self.restate();
    }

    fn restate(&mut self) {
        self.me.sequence += 1;
        self.spread(self.me.node, None);
    }

    fn spread(&mut self, node: NodeId, heard_from: Option<NodeId>) {
        self.generation += 1;
        for (neighbour, link) in &mut self.links {
            if Some(*neighbour) != heard_from && *neighbour != node {
                link.pending.insert(node);
            }
        }
    }

    fn age(&mut self, now_ms: u64) {
        let timing = self.timing;
        let since = |entry: &Entry| now_ms.saturating_sub(entry.changed_ms);
        let expired: Vec<Member> = self
            .entries
            .values()
            .filter(|entry| entry.member.liveness == Liveness::Suspect)
            .filter(|entry| since(entry) >= timing.suspicion_ms)
            .map(|entry| entry.member.clone())
            .collect();
        for mut member in expired {
            member.liveness = Liveness::Dead;
            self.learn(now_ms, member, None);
        }
        self.entries.retain(|_, entry| {
            let gone = entry.member.liveness >= Liveness::Dead;
            !(gone && since(entry) >= timing.tombstone_ms)
        });
    }

    /// Order-free hash over all statements but the tombstones, which age at different times.
    fn view_hash(&self) -> u64 {
        self.members()
            .filter(|member| member.liveness < Liveness::Dead)
            .map(|member| {
                let mut hasher = DefaultHasher::new();
                (member.node, member.rank()).hash(&mut hasher);
                hasher.finish()
            })
            .fold(0, |sum, hash| sum ^ hash)
    }
}
