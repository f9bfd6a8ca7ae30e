//! The membership state machine: one node's view of all members.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::gossip::{Exchange, Report, Summary};
use super::link::Link;
use super::neighbours::{self, NeighbourKind, node_hash};
use super::reports::{Reports, place_key};
use super::roster::Roster;
use crate::core::member::{BackendState, Distance, Liveness, Member, NodeId, Place};
use crate::core::names::ServiceName;
use crate::core::status::DataCentreSummary;
use crate::core::version::{Stamp, Version};
use crate::decide::pacing::jittered_ms;

/// Intervals of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of this node inside its data centre, whoever is next. With eight
    /// neighbours each is asked every eight seconds and, since eight ask, every node is asked once
    /// a second: a dead one is noticed in about a second at a cost that does not grow with the
    /// mesh.
    pub heartbeat_ms: u64,
    /// Between two heartbeats across data centres of a region.
    pub bridge_heartbeat_ms: u64,
    /// Between two heartbeats across regions: billed, and news does not wait for it.
    pub gateway_heartbeat_ms: u64,
    /// From suspicion to death. Long enough for a paused node to refute it over several
    /// heartbeats.
    pub suspicion_timeout_ms: u64,
    /// Between two probes for dead members and unknown seeds.
    pub probe_interval_ms: u64,
    /// How long a departed member is remembered, so that old news cannot revive it.
    pub left_retention_ms: u64,
    /// How long a dead one is remembered and probed: longer than the hour for which regions lose
    /// each other, so that both halves find each other again without the platform.
    pub dead_retention_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            bridge_heartbeat_ms: 2_000,
            gateway_heartbeat_ms: 10_000,
            suspicion_timeout_ms: 5_000,
            probe_interval_ms: 3_000,
            left_retention_ms: 600_000,
            dead_retention_ms: 3 * 3_600_000,
        }
    }
}

/// The driver ticks four times a second; a gap of this length means that it could not.
const FREEZE_GAP_MS: u64 = 3_000;

/// Between two looks for suspicions and tombstones that have run out.
const EXPIRY_INTERVAL_MS: u64 = 250;

/// One node's view. Time is an argument, in milliseconds of any steady clock.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: Member,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) roster: Roster,
    pub(super) reports: Reports,
    pub(super) links: BTreeMap<NodeId, Link>,
    pub(super) timing: Timing,
    /// Newest stamp whose content this node holds and may enforce.
    pub(super) held: Stamp,
    /// Newest stamp heard of.
    pub(super) head: Stamp,
    pub(super) acknowledged_version: Version,
    pub(super) generation: u64,
    pub(super) neighbours_stale: bool,
    gateway_rank: Option<usize>,
    watcher_rank: Option<usize>,
    pub(super) enforced: Version,
    next_expiry_ms: u64,
    /// Members that were told of a claim about themselves, or are owed an answer to one.
    pub(super) refutations_due: BTreeSet<NodeId>,
    /// Bridge partners that gave no answer since their data centre was last heard.
    pub(super) silent_peers: BTreeMap<String, BTreeSet<NodeId>>,
    pub(super) join_attempts: u32,
    pub(super) next_join_ms: u64,
    pub(super) next_probe_ms: u64,
    /// Exchanges started before this are void: the process was frozen since.
    pub(super) exchanges_valid_from_ms: u64,
    last_call_ms: u64,
}

impl Membership {
    /// A view that knows only its own node and where others may be found.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, timing: Timing) -> Self {
        let mut membership = Self {
            me,
            seeds: Vec::new(),
            roster: Roster::default(),
            reports: Reports::default(),
            links: BTreeMap::new(),
            timing,
            held: Stamp::NONE,
            head: Stamp::NONE,
            acknowledged_version: Version::NONE,
            generation: 1,
            neighbours_stale: true,
            gateway_rank: None,
            watcher_rank: None,
            enforced: Version::NONE,
            next_expiry_ms: 0,
            refutations_due: BTreeSet::new(),
            silent_peers: BTreeMap::new(),
            join_attempts: 0,
            next_join_ms: 0,
            next_probe_ms: 0,
            exchanges_valid_from_ms: 0,
            last_call_ms: 0,
        };
        // Settings name the same few to everybody; each node starts at another one.
        let mut seeds = seeds;
        let salt = membership.me.node.to_string();
        seeds.sort_by_cached_key(|seed| node_hash(NodeId(*seed), &salt));
        membership.add_seeds(seeds);
        membership
    }

    /// The node's own statement.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Every known member, the own one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.roster.members())
    }

    /// A copy of every known member with the version that it is known to enforce.
    pub fn members_with_versions(&self) -> Vec<Member> {
        let with_version = |member: &Member| Member {
            enforced: self.reports.enforced_by(member),
            ..member.clone()
        };
        self.members().map(with_version).collect()
    }

    /// Rises whenever something changes that requests or operators see.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Peers that exchanges are started with.
    pub fn neighbours(&self) -> impl Iterator<Item = (NodeId, NeighbourKind)> {
        self.links.iter().map(|(node, link)| (*node, link.kind))
    }

    /// Where to dial a member.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let member = self.roster.get(node)?;
        Some(member.dial_address(&self.me.place))
    }

    /// How far away a member stands.
    pub fn distance_to(&self, node: NodeId) -> Option<Distance> {
        let member = self.roster.get(node)?;
        Some(self.me.place.distance_to(&member.place))
    }

    /// Place of this node among the [`neighbours::gateways`] of its region.
    pub fn gateway_rank(&self) -> Option<usize> {
        self.gateway_rank
    }

    /// Place of this node among the [`neighbours::watchers`] of its data centre.
    pub fn watcher_rank(&self) -> Option<usize> {
        self.watcher_rank
    }

    /// The nodes of the data centre that read the store for the others, see [`neighbours::leads`].
    pub fn leads(&self) -> Vec<NodeId> {
        neighbours::leads(&self.me, self.members())
    }

    /// Whether no node of another data centre is known to be alive.
    pub fn is_only_data_centre(&self) -> bool {
        let place = &self.me.place;
        let mut others = self.roster.members();
        !others.any(|m| m.place != *place && m.liveness == Liveness::Alive)
    }

    /// Highest version that a node's address has reported, in any of its lives.
    pub fn highest_reported(&self, node: NodeId) -> Version {
        self.reports.highest_reported(node)
    }

    /// Newest stamp heard of.
    pub fn head(&self) -> Stamp {
        self.head
    }

    /// Newest stamp whose content is here and about to be enforced.
    pub fn held(&self) -> Stamp {
        self.held
    }

    /// Whether no other node is believed to be there.
    pub fn is_alone(&self) -> bool {
        !self.roster.members().any(|m| m.liveness < Liveness::Dead)
    }

    /// Whether no other node of the data centre is known that might come back.
    pub fn is_only_node_of_data_centre(&self) -> bool {
        let place = &self.me.place;
        let mut others = self.roster.members();
        !others.any(|m| m.place == *place && m.liveness != Liveness::Left)
    }

    /// Highest version of this node that two peers have confirmed to have heard, peers of the
    /// data centre while there are any, or all of them where there are fewer: what it enforces up to
    /// here is remembered if it dies now.
    pub fn acknowledged_version(&self) -> Version {
        self.acknowledged_version
    }

    /// What the nodes of each data centre enforce, by data centre.
    pub fn summaries(&self) -> Vec<DataCentreSummary> {
        let mut node_counts: BTreeMap<String, (&Place, usize)> = BTreeMap::new();
        for member in self.members().filter(|m| m.liveness < Liveness::Dead) {
            let place = node_counts.entry(place_key(&member.place));
            place.or_insert((&member.place, 0)).1 += 1;
        }
        let own_key = place_key(&self.me.place);
        let summary_of = |(key, (place, nodes)): (String, (&Place, usize))| {
            let own = (key == own_key).then(|| self.current_summary());
            let summary = own.or_else(|| self.reports.summary(&key).cloned());
            let versions = summary.map(|summary| summary.versions).unwrap_or_default();
            DataCentreSummary {
                place: place.clone(),
                nodes,
                versions: versions
                    .into_iter()
                    .map(|(version, nodes)| (version, nodes as usize))
                    .collect(),
            }
        };
        node_counts.into_iter().map(summary_of).collect()
    }

    /// Learns of further places to find peers at, the best first.
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
        self.raise_sequence();
    }

    /// Notes a newer stamp, from wherever it was heard.
    pub fn set_head(&mut self, head: Stamp) {
        if head.version > self.head.version {
            self.head = head;
        }
    }

    /// The content of `held` is here and the node means to enforce it: the neighbours are told,
    /// and fetch it here if they lack it.
    pub fn set_held(&mut self, held: Stamp) {
        if held.version > self.held.version {
            self.held = held;
            self.set_head(held);
        }
    }

    /// The node enforces `version`: reported inside the data centre.
    pub fn set_enforced(&mut self, version: Version) {
        self.enforced = version;
        self.merge_report(self.own_report(), None);
    }

    pub(super) fn own_report(&self) -> Report {
        Report {
            node: self.me.node,
            incarnation_us: self.me.incarnation_us,
            version: self.enforced,
        }
    }

    /// Says goodbye: the last statement of this process.
    pub fn leave(&mut self) {
        self.me.liveness = Liveness::Left;
        self.me.backend = BackendState::Gone;
        self.raise_sequence();
        // Nothing is gathered any more: there is no later message.
        self.links.values_mut().for_each(Link::skip_batching);
    }

    /// Notices a freeze of this process by the gap since the last call. Calls that were under way all time out when it
    /// goes on, which proves nothing about others.
    pub(super) fn detect_freeze(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_call_ms);
        self.last_call_ms = now_ms;
        if gap_ms < FREEZE_GAP_MS {
            return;
        }
        self.exchanges_valid_from_ms = now_ms;
        for link in self.links.values_mut() {
            link.in_flight = false;
        }
    }

    /// Starts the exchanges that are due, and ages suspicions and tombstones.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Exchange> {
        self.detect_freeze(now_ms);
        self.expire(now_ms);
        self.refresh_links(now_ms);
        self.update_acknowledged_version();
        self.recount(now_ms);
        let mut exchanges = self.due_exchanges(now_ms);
        exchanges.extend(self.refutation_exchanges(now_ms));
        exchanges.extend(self.join_exchanges(now_ms));
        exchanges.extend(self.probe(now_ms));
        exchanges
    }

    fn recount(&mut self, now_ms: u64) {
        if self.watcher_rank != Some(0) {
            return;
        }
        let place = self.me.place.clone();
        let live_members = std::iter::once(&self.me)
            .chain(self.roster.members())
            .filter(|m| m.place == place && m.liveness < Liveness::Dead);
        if let Some(key) = self.reports.recount(now_ms, &place, live_members) {
            self.queue_summary(&key, None);
        }
    }

    fn current_summary(&self) -> Summary {
        let place = &self.me.place;
        let live_members = self.members();
        let live_members =
            live_members.filter(|m| m.place == *place && m.liveness < Liveness::Dead);
        self.reports.current_summary(place, live_members)
    }

    fn refresh_links(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.neighbours_stale) {
            return;
        }
        let chosen = neighbours::choose(&self.me, self.members());
        let own_rank = |nodes: Vec<NodeId>| nodes.iter().position(|node| *node == self.me.node);
        self.gateway_rank = own_rank(neighbours::gateways(&self.me, self.members()));
        self.watcher_rank = own_rank(neighbours::watchers(&self.me, self.members()));
        self.links
            .retain(|node, link| chosen.get(node) == Some(&link.kind));
        let ring_size = chosen
            .values()
            .filter(|kind| **kind == NeighbourKind::Ring)
            .count();
        for (node, kind) in chosen {
            let interval_ms = match kind {
                NeighbourKind::Ring => self.timing.heartbeat_ms * ring_size as u64,
                NeighbourKind::Bridge => self.timing.bridge_heartbeat_ms,
                NeighbourKind::Gateway => self.timing.gateway_heartbeat_ms,
                NeighbourKind::Standby => 2 * self.timing.gateway_heartbeat_ms,
            };
            // Nodes that start together must not stay in step.
            let first_delay_ms =
                self.jittered(self.timing.heartbeat_ms, now_ms ^ node_hash(node, "first"));
            let new_link = || Link::new(kind, now_ms, first_delay_ms, interval_ms);
            let link = self.links.entry(node).or_insert_with(new_link);
            link.set_interval(interval_ms);
        }
    }

    /// Half to whole of a pause, different for each node and moment.
    pub(super) fn jittered(&self, pause_ms: u64, moment: u64) -> u64 {
        jittered_ms(pause_ms, node_hash(self.me.node, &moment.to_string()))
    }

    fn expire(&mut self, now_ms: u64) {
        if now_ms < self.next_expiry_ms {
            return;
        }
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
        for member in self
            .roster
            .expired_suspects(now_ms, self.timing.suspicion_timeout_ms)
        {
            let dead = Member {
                liveness: Liveness::Dead,
                ..member
            };
            self.merge_member(now_ms, dead, None);
        }
        self.roster.expire_tombstones(
            now_ms,
            self.timing.left_retention_ms,
            self.timing.dead_retention_ms,
        );
    }

    pub(super) fn view_hash(&self) -> u64 {
        self.roster.hash(&self.me)
    }
}
