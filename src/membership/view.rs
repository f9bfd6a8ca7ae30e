//! The membership state machine: one node's view of all members.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::gossip::{Exchange, Report, Summary};
use super::link::Link;
use super::neighbours::{self, NeighbourKind, node_hash};
use super::reports::{Reports, place_key};
use super::roster::Roster;
use crate::core::member::{BackendRecord, BackendState, Distance, Liveness, Member, NodeId, Place};
use crate::core::rollout::RolloutBook;
use crate::core::status::DataCentreSummary;
use crate::core::version::{Stamp, Version};
use crate::decide::backoff::jittered_ms;

/// Intervals and timeouts of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of this node to its ring neighbours, which it contacts in
    /// turn. With eight ring neighbours, each is contacted every eight seconds; since eight nodes
    /// contact it, every node receives about one heartbeat a second. A failure is thus noticed in
    /// about a second, at a cost per node that does not grow with the mesh.
    pub heartbeat_ms: u64,
    /// Interval between two heartbeats to a neighbour in another data centre of the region.
    pub bridge_heartbeat_ms: u64,
    /// Interval between two heartbeats to a neighbour in another region. Long, because this traffic
    /// is billed; updates do not wait for it.
    pub gateway_heartbeat_ms: u64,
    /// Time from suspicion until a member is declared dead. Long enough for a paused node to refute
    /// it over several heartbeats.
    pub suspicion_timeout_ms: u64,
    /// Interval between two probes of dead members and unknown seeds.
    pub probe_interval_ms: u64,
    /// How long the tombstone of a departed member is kept, so that outdated records cannot revive
    /// it.
    pub left_retention_ms: u64,
    /// How long the tombstone of a dead member is kept and the member probed. Longer than an outage
    /// of one hour between regions, so that both sides find each other again without the platform.
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

/// Gap between two calls from which the process is considered frozen. The driver normally ticks
/// four times a second.
const FREEZE_GAP_MS: u64 = 3_000;

/// Interval between two checks for expired suspicions and tombstones.
const EXPIRY_INTERVAL_MS: u64 = 250;

/// One node's view of the mesh. Times are arguments, in milliseconds of any monotonic clock.
#[derive(Debug)]
pub struct Membership {
    pub(super) local_member: Member,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) roster: Roster,
    pub(super) reports: Reports,
    pub(super) links: BTreeMap<NodeId, Link>,
    pub(super) timing: Timing,
    /// Stamp of the newest version whose content this node holds and may enforce.
    pub(super) held: Stamp,
    /// Newest stamp that is known.
    pub(super) head: Stamp,
    pub(super) acknowledged_version: Version,
    pub(super) rollouts: Arc<RolloutBook>,
    /// [`RolloutBook::digest`] of `rollouts`.
    pub(super) rollouts_digest: u64,
    pub(super) generation: u64,
    pub(super) neighbours_stale: bool,
    gateway_rank: Option<usize>,
    watcher_rank: Option<usize>,
    pub(super) enforced: Version,
    next_expiry_ms: u64,
    /// Members whose answer contained a claim about this node that it refuted; they are sent the
    /// new record.
    pub(super) refutations_due: BTreeSet<NodeId>,
    /// Bridge peers that did not answer, by data centre, since the last message from that data
    /// centre.
    pub(super) unresponsive_peers: BTreeMap<String, BTreeSet<NodeId>>,
    pub(super) join_attempts: u32,
    pub(super) next_join_ms: u64,
    pub(super) next_probe_ms: u64,
    /// Exchanges started before this time neither fail nor acknowledge anything, because the process
    /// was frozen since.
    pub(super) exchanges_valid_from_ms: u64,
    last_call_ms: u64,
}

impl Membership {
    /// Creates a view that contains only the own node, and the seeds to contact.
    pub fn new(local_member: Member, seeds: Vec<SocketAddr>, timing: Timing) -> Self {
        let mut membership = Self {
            local_member,
            seeds: Vec::new(),
            roster: Roster::default(),
            reports: Reports::default(),
            links: BTreeMap::new(),
            timing,
            held: Stamp::NONE,
            head: Stamp::NONE,
            acknowledged_version: Version::NONE,
            rollouts: Arc::default(),
            rollouts_digest: 0,
            generation: 1,
            neighbours_stale: true,
            gateway_rank: None,
            watcher_rank: None,
            enforced: Version::NONE,
            next_expiry_ms: 0,
            refutations_due: BTreeSet::new(),
            unresponsive_peers: BTreeMap::new(),
            join_attempts: 0,
            next_join_ms: 0,
            next_probe_ms: 0,
            exchanges_valid_from_ms: 0,
            last_call_ms: 0,
        };
        // All nodes are configured with the same few seeds, so each node tries them in a different
        // order.
        let mut seeds = seeds;
        let salt = membership.local_member.node.to_string();
        seeds.sort_by_cached_key(|seed| node_hash(NodeId(*seed), &salt));
        membership.add_seeds(seeds);
        membership
    }

    /// The node's own record.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// All members in the view, including the own node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local_member).chain(self.roster.members())
    }

    /// Copies of all known members, with the version that each is known to enforce.
    pub fn members_with_versions(&self) -> Vec<Member> {
        let with_version = |member: &Member| Member {
            enforced: self.reports.enforced_by(member),
            ..member.clone()
        };
        self.members().map(with_version).collect()
    }

    /// Increases with every change that requests or operators can see.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Peers with which this node starts exchanges, and their roles.
    pub fn neighbours(&self) -> impl Iterator<Item = (NodeId, NeighbourKind)> {
        self.links.iter().map(|(node, link)| (*node, link.kind))
    }

    /// Address at which this node connects to a member.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let member = self.roster.get(node)?;
        Some(member.dial_address(&self.local_member.place))
    }

    /// Distance from this node to a member.
    pub fn distance_to(&self, node: NodeId) -> Option<Distance> {
        let member = self.roster.get(node)?;
        Some(self.local_member.place.distance_to(&member.place))
    }

    /// Position of this node among the [`neighbours::gateways`] of its region.
    pub fn gateway_rank(&self) -> Option<usize> {
        self.gateway_rank
    }

    /// Position of this node among the [`neighbours::watchers`] of its data centre.
    pub fn watcher_rank(&self) -> Option<usize> {
        self.watcher_rank
    }

    /// The nodes of the data centre that read the store for the others; see [`neighbours::leads`].
    pub fn leads(&self) -> Vec<NodeId> {
        neighbours::leads(&self.local_member, self.members())
    }

    /// Whether no node of another data centre is known to be alive.
    pub fn is_only_data_centre(&self) -> bool {
        let place = &self.local_member.place;
        let mut others = self.roster.members();
        !others.any(|m| m.place != *place && m.liveness == Liveness::Alive)
    }

    /// Highest version that any process at the node's address has reported.
    pub fn highest_reported(&self, node: NodeId) -> Version {
        self.reports.highest_reported(node)
    }

    /// Newest stamp that is known.
    pub fn head(&self) -> Stamp {
        self.head
    }

    /// Stamp of the newest version whose content this node holds and is about to enforce.
    pub fn held(&self) -> Stamp {
        self.held
    }

    /// Whether every other known node is dead or has left.
    pub fn is_alone(&self) -> bool {
        !self.roster.members().any(|m| m.liveness < Liveness::Dead)
    }

    /// Whether no other node of the data centre is known that could return: all others have left.
    pub fn is_only_node_of_data_centre(&self) -> bool {
        let place = &self.local_member.place;
        let mut others = self.roster.members();
        !others.any(|m| m.place == *place && m.liveness != Liveness::Left)
    }

    /// Highest version held by this node that two peers have acknowledged, or all if there are
    /// fewer. Peers of the data centre count, or others if there are none. If the node fails now,
    /// these peers still have on record that it was about to enforce this version.
    pub fn acknowledged_version(&self) -> Version {
        self.acknowledged_version
    }

    /// Number of live nodes and the versions they enforce, for each data centre.
    pub fn summaries(&self) -> Vec<DataCentreSummary> {
        let mut node_counts: BTreeMap<String, (&Place, usize)> = BTreeMap::new();
        for member in self.members().filter(|m| m.liveness < Liveness::Dead) {
            let place = node_counts.entry(place_key(&member.place));
            place.or_insert((&member.place, 0)).1 += 1;
        }
        let own_key = place_key(&self.local_member.place);
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

    /// Appends further seeds, the nearest first. Seeds are tried in the order of the list.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.local_member.node.0
                && seed != self.local_member.external
                && !self.seeds.contains(&seed)
            {
                self.seeds.push(seed);
            }
        }
    }

    /// Changes the backend server in the own record.
    pub fn set_backend(&mut self, backend: BackendRecord) {
        let BackendRecord {
            service,
            start,
            software_version,
            state,
        } = backend;
        let member = &mut self.local_member;
        if member.service == service
            && member.backend_start == start
            && member.software_version == software_version
            && member.backend == state
        {
            return;
        }
        member.service = service;
        member.backend_start = start;
        member.software_version = software_version;
        member.backend = state;
        self.raise_sequence();
    }

    /// Sets the known orders and states of roll-outs, which are sent to neighbours that do not have
    /// them.
    pub fn set_rollouts(&mut self, rollouts: Arc<RolloutBook>) {
        if Arc::ptr_eq(&rollouts, &self.rollouts) {
            return;
        }
        self.rollouts_digest = rollouts.digest();
        self.rollouts = rollouts;
    }

    /// Stores the newest known stamp, whatever its source.
    pub fn set_head(&mut self, head: Stamp) {
        if head.version > self.head.version {
            self.head = head;
        }
    }

    /// Sets the version whose content this node holds and is about to enforce. It is announced to
    /// the neighbours, which can fetch it from this node.
    pub fn set_held(&mut self, held: Stamp) {
        if held.version > self.held.version {
            self.held = held;
            self.set_head(held);
        }
    }

    /// Sets the version that this node enforces, and reports it inside the data centre.
    pub fn set_enforced(&mut self, version: Version) {
        self.enforced = version;
        self.merge_report(self.own_report(), None);
    }

    pub(super) fn own_report(&self) -> Report {
        Report {
            node: self.local_member.node,
            incarnation_us: self.local_member.incarnation_us,
            version: self.enforced,
        }
    }

    /// Marks the own record as left. This is the last record of the process.
    pub fn leave(&mut self) {
        self.local_member.liveness = Liveness::Left;
        self.local_member.backend = BackendState::Gone;
        self.raise_sequence();
        // Updates are not batched any more, because no later message will carry them.
        self.links.values_mut().for_each(Link::skip_batching);
    }

    /// Detects a freeze of this process by the gap since the last call. The exchanges that were in
    /// flight all time out when the process resumes, which does not mean that the peers failed.
    pub(super) fn detect_freeze(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_call_ms);
        self.last_call_ms = now_ms;
        if gap_ms < FREEZE_GAP_MS {
            return;
        }
        self.exchanges_valid_from_ms = now_ms;
        // Refutations may have arrived meanwhile and are still to be processed.
        self.roster.restart_suspicions(now_ms);
        for link in self.links.values_mut() {
            link.in_flight = false;
        }
    }

    /// Expires suspicions and tombstones, and returns the exchanges that are due.
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
        let place = self.local_member.place.clone();
        let live_members = std::iter::once(&self.local_member)
            .chain(self.roster.members())
            .filter(|m| m.place == place && m.liveness < Liveness::Dead);
        if let Some(key) = self.reports.recount(now_ms, &place, live_members) {
            self.queue_summary(&key, None);
        }
    }

    fn current_summary(&self) -> Summary {
        let place = &self.local_member.place;
        let live_members = self.members();
        let live_members =
            live_members.filter(|m| m.place == *place && m.liveness < Liveness::Dead);
        self.reports.current_summary(place, live_members)
    }

    fn refresh_links(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.neighbours_stale) {
            return;
        }
        let chosen = neighbours::choose(&self.local_member, self.members());
        let own_rank = |nodes: Vec<NodeId>| {
            nodes
                .iter()
                .position(|node| *node == self.local_member.node)
        };
        self.gateway_rank = own_rank(neighbours::gateways(&self.local_member, self.members()));
        self.watcher_rank = own_rank(neighbours::watchers(&self.local_member, self.members()));
        self.links
            .retain(|node, link| chosen.get(node) == Some(&link.kind));
        let ring_neighbours = chosen
            .values()
            .filter(|kind| **kind == NeighbourKind::Ring)
            .count();
        for (node, kind) in chosen {
            let interval_ms = match kind {
                NeighbourKind::Ring => self.timing.heartbeat_ms * ring_neighbours as u64,
                NeighbourKind::Bridge => self.timing.bridge_heartbeat_ms,
                NeighbourKind::Gateway => self.timing.gateway_heartbeat_ms,
                NeighbourKind::Standby => 2 * self.timing.gateway_heartbeat_ms,
            };
            // Keeps nodes that start together from sending heartbeats at the same moments.
            let first_delay_ms =
                self.jittered(self.timing.heartbeat_ms, now_ms ^ node_hash(node, "first"));
            let new_link = || Link::new(kind, now_ms, first_delay_ms, interval_ms);
            let link = self.links.entry(node).or_insert_with(new_link);
            link.set_interval(interval_ms);
        }
    }

    /// A pause between half and all of `pause_ms` that differs by node and by `moment`.
    pub(super) fn jittered(&self, pause_ms: u64, moment: u64) -> u64 {
        jittered_ms(
            pause_ms,
            node_hash(self.local_member.node, &moment.to_string()),
        )
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
        let expired = self.roster.expire_tombstones(
            now_ms,
            self.timing.left_retention_ms,
            self.timing.dead_retention_ms,
        );
        self.generation += u64::from(expired);
    }

    pub(super) fn view_hash(&self) -> u64 {
        self.roster.hash(&self.local_member)
    }
}
