//! What to fetch, from where, and when to retry.
//!
//! Content is passed on between neighbours, so that a publication does not cause every node of a
//! region to read from the store or across the billed link between regions. At first only the
//! gateways of a region read from the store and from other regions, one after the other:
//!
//! | source | used by | from when |
//! |---|---|---|
//! | a peer of the region that holds the version | every node | at once |
//! | a peer of another region | gateway of rank 0 | at once |
//! | the store | gateway of rank 0 | after four times its own latency to the store |
//! | both | gateway of rank R | R times [`RANK_DELAY_MS`] later |
//! | both | all other nodes | after [`NON_GATEWAY_DELAY_MS`], spread over [`NON_GATEWAY_SPREAD_MS`] |
//!
//! The gateway nearest to the store thus fetches first and announces the version. The gateway of
//! the other region, which is still waiting, then fetches it from that peer, so the content crosses
//! the link once.
//!
//! If operators write whole configurations into the store and nodes [follow](Fetcher::for_follower)
//! them, a node gets versions from a lead or its own read of the store. Peers are then only a
//! fallback for when that is late: the times count from then on, and the store is not one of the
//! sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::first_seen::FirstSeen;
use crate::core::member::{Distance, NodeId};
use crate::core::version::{Stamp, Version};
use crate::decide::backoff::{Backoff, jittered_ms};
use crate::membership::neighbours::node_hash;

/// Delay between the gateways of a region: several round trips between regions.
pub const RANK_DELAY_MS: u64 = 300;
/// How long a node that is not a gateway waits before it reads from the store or from another
/// region.
pub const NON_GATEWAY_DELAY_MS: u64 = 2_000;
/// Span over which the nodes that are not gateways spread their reads, after
/// [`NON_GATEWAY_DELAY_MS`]. Even if all gateways fail, the reads of 520 nodes stay far below the
/// platform's limit of two thousand a second.
pub const NON_GATEWAY_SPREAD_MS: u64 = 8_000;
/// Assumed latency of the store until it has been measured.
const DEFAULT_STORE_LATENCY_MS: u64 = 25;
/// Upper limit of the delay before a gateway reads from a slow store, so that the region nearest to
/// it does not wait for long.
const STORE_DELAY_MAX_MS: u64 = 1_000;
/// Pauses after failed fetches.
const RETRY_BACKOFF: Backoff = Backoff::new(50, 10_000);
/// Maximum number of peers that are stored as holders of a version. More are not needed: a fetch
/// asks one at a time, and a holder that fails is removed.
const HOLDERS_MAX: usize = 32;

/// Where to fetch content from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A peer that holds the version.
    Peer {
        /// Identity of the peer.
        node: NodeId,
        /// Address to connect to.
        address: SocketAddr,
        /// Distance from this node.
        distance: Distance,
    },
    /// The platform's object store.
    Store,
}

/// A fetch that the driver has to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Stamp of the version to fetch.
    pub wanted: Stamp,
    /// Where to fetch it from.
    pub source: Source,
}

/// A peer that content can be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identity of the peer.
    pub node: NodeId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Distance from this node.
    pub distance: Distance,
}

/// Decides which fetches to make. Times are arguments, in milliseconds of any monotonic clock.
#[derive(Debug)]
pub struct Fetcher {
    local_node: NodeId,
    gateway_rank: Option<usize>,
    head: Stamp,
    /// Versions above the held one. Waits count from the first of them, so that newer versions do
    /// not postpone a fetch.
    first_seen: FirstSeen,
    holders: BTreeMap<NodeId, (Stamp, Peer)>,
    in_flight: Option<Fetch>,
    failures: u32,
    last_failure_was_remote: bool,
    not_before_ms: u64,
    store_latency_ms: u64,
    follower: Option<FollowerState>,
}

/// State of a node that receives versions from a lead or from its own read of the store, and uses
/// peers as a fallback.
#[derive(Clone, Copy, Debug)]
struct FollowerState {
    peer_fetch_delay_ms: u64,
    /// Whether the lead or the store was late with the last version: it reported the version more
    /// than `peer_fetch_delay_ms` after it was first seen, or not before a peer delivered it.
    source_is_late: bool,
    /// Version that was last fetched from a peer, and when it was first seen, in milliseconds.
    last_fetched: (Version, u64),
}

impl Fetcher {
    /// Creates a fetcher without any known version.
    pub fn new(local_node: NodeId) -> Self {
        Self {
            local_node,
            gateway_rank: None,
            head: Stamp::NONE,
            first_seen: FirstSeen::default(),
            holders: BTreeMap::new(),
            in_flight: None,
            failures: 0,
            last_failure_was_remote: false,
            not_before_ms: 0,
            store_latency_ms: DEFAULT_STORE_LATENCY_MS,
            follower: None,
        }
    }

    /// Creates a fetcher for a node that follows a lead or the store. It asks peers for a version
    /// that has been missing for `peer_fetch_delay_ms`, or at once while the lead or store is
    /// slower than that. It never fetches from the store.
    pub fn for_follower(local_node: NodeId, peer_fetch_delay_ms: u64) -> Self {
        let follower = FollowerState {
            peer_fetch_delay_ms,
            source_is_late: false,
            last_fetched: (Version::NONE, 0),
        };
        Self {
            follower: Some(follower),
            ..Self::new(local_node)
        }
    }

    /// Newest known stamp.
    pub fn head(&self) -> Stamp {
        self.head
    }

    /// Discards the fetch from before a freeze of the process, and allows the next one at once.
    pub fn resume_after_freeze(&mut self, now_ms: u64) {
        self.in_flight = None;
        self.failures = 0;
        self.not_before_ms = now_ms;
    }

    /// Sets the node's position among the gateways of its region, or `None` if it is not a gateway.
    pub fn set_gateway_rank(&mut self, rank: Option<usize>) {
        self.gateway_rank = rank;
    }

    /// Records how long a read from the store took.
    pub fn record_store_latency(&mut self, took_ms: u64) {
        self.store_latency_ms = took_ms.max(1);
    }

    /// How long the last read from the store took.
    pub fn store_latency_ms(&self) -> u64 {
        self.store_latency_ms
    }

    /// Records that `stamp` was accepted.
    pub fn note_head(&mut self, now_ms: u64, stamp: Stamp) {
        if stamp.version > self.head.version {
            self.head = stamp;
            self.first_seen.record(now_ms, stamp.version);
            // The first attempt for a newer version is not delayed by failures with older ones.
            self.failures = 0;
            self.not_before_ms = now_ms;
        }
    }

    /// When `version`, or a newer one, was first seen; `None` if it is held already.
    pub fn first_seen_ms(&self, version: Version) -> Option<u64> {
        self.first_seen.first_seen_ms(version)
    }

    /// Records that the followed lead, or the node's own read of the store, reported `version`.
    pub fn source_reported(&mut self, now_ms: u64, version: Version) {
        let seen_ms = self.first_seen_ms(version);
        let Some(follower) = &mut self.follower else {
            return;
        };
        let seen_ms = match follower.last_fetched {
            (last_fetched, seen_ms) if version == last_fetched => seen_ms,
            (last_fetched, _) if version < last_fetched => return,
            _ => seen_ms.unwrap_or(now_ms),
        };
        follower.source_is_late = now_ms.saturating_sub(seen_ms) >= follower.peer_fetch_delay_ms;
    }

    /// Records that `peer` holds the content of `stamp`.
    pub fn note_holder(&mut self, now_ms: u64, stamp: Stamp, peer: Peer) {
        self.note_head(now_ms, stamp);
        let is_full = self.holders.len() >= HOLDERS_MAX;
        if is_full && !self.holders.contains_key(&peer.node) {
            self.holders.pop_first();
        }
        self.holders.insert(peer.node, (stamp, peer));
        // The pause after failures of a remote source does not apply to a peer inside the region.
        if self.last_failure_was_remote && peer.distance != Distance::Mesh {
            self.last_failure_was_remote = false;
            self.not_before_ms = now_ms;
        }
    }

    /// The fetch to make now, if any. The driver reports its result with [`Self::fetch_ended`].
    pub fn next_fetch(&mut self, now_ms: u64, held: Version) -> Option<Fetch> {
        if self.in_flight.is_some() || self.head.version <= held || now_ms < self.not_before_ms {
            return None;
        }
        self.holders.retain(|_, (stamp, _)| stamp.version > held);
        self.first_seen.discard_through(held);
        let waited_ms = now_ms.saturating_sub(self.behind_since_ms(held)?);
        let waited_ms = waited_ms.checked_sub(self.peer_fetch_delay_ms())?;
        let fetch = self
            .region_fetch()
            .or_else(|| self.remote_fetch(waited_ms))?;
        self.in_flight = Some(fetch);
        Some(fetch)
    }

    /// When to call [`Self::next_fetch`] again if nothing else happens before.
    pub fn next_fetch_at_ms(&self, held: Version) -> Option<u64> {
        if self.in_flight.is_some() || self.head.version <= held {
            return None;
        }
        let since_ms = self.behind_since_ms(held)? + self.peer_fetch_delay_ms();
        let cross_region_ms = since_ms + self.cross_region_delay_ms();
        let store_ms = match self.follower {
            Some(_) => u64::MAX,
            None => since_ms + self.store_delay_ms(),
        };
        let earliest_ms = match self.holders.values().map(|(_, peer)| peer.distance).min() {
            Some(Distance::DataCentre | Distance::Region) => since_ms,
            Some(Distance::Mesh) => cross_region_ms.min(store_ms),
            None => store_ms,
        };
        (earliest_ms < u64::MAX).then(|| earliest_ms.max(self.not_before_ms))
    }

    /// Records the result of a fetch: whether its content is now held. After a failure the peer is
    /// not asked again until it announces the version again, and the next attempt waits. The pause
    /// doubles with each failure in a row, and is randomised so that nodes do not retry at the same
    /// time.
    pub fn fetch_ended(&mut self, now_ms: u64, fetch: &Fetch, succeeded: bool) {
        if self.in_flight.as_ref() != Some(fetch) {
            return;
        }
        self.in_flight = None;
        if succeeded {
            self.failures = 0;
            self.note_fetched(fetch);
            return;
        }
        self.last_failure_was_remote = match fetch.source {
            Source::Store => true,
            Source::Peer { node, distance, .. } => {
                self.holders.remove(&node);
                distance == Distance::Mesh
            }
        };
        let random = node_hash(self.local_node, &now_ms.to_string());
        self.not_before_ms = now_ms + jittered_ms(RETRY_BACKOFF.delay_ms(self.failures), random);
        self.failures += 1;
    }

    fn note_fetched(&mut self, fetch: &Fetch) {
        let version = fetch.wanted.version;
        let seen_ms = self.first_seen_ms(version);
        if let (Some(follower), Some(seen_ms)) = (&mut self.follower, seen_ms) {
            follower.source_is_late = true;
            follower.last_fetched = (version, seen_ms);
        }
    }

    fn peer_fetch_delay_ms(&self) -> u64 {
        match self.follower {
            Some(follower) if !follower.source_is_late => follower.peer_fetch_delay_ms,
            _ => 0,
        }
    }

    /// A fetch from the nearest holder of the newest version inside the region.
    fn region_fetch(&self) -> Option<Fetch> {
        let in_region = self
            .holders
            .values()
            .filter(|(_, peer)| peer.distance != Distance::Mesh);
        // The hash differs by node, so that nodes with the same few holders do not all ask the same
        // one.
        let best = in_region.min_by_key(|(stamp, peer)| {
            let salt = self.local_node.to_string();
            let newest_first = std::cmp::Reverse(stamp.version);
            (newest_first, peer.distance, node_hash(peer.node, &salt))
        });
        best.map(|(stamp, peer)| from_peer(*stamp, peer))
    }

    /// When the first version above the held one was seen.
    fn behind_since_ms(&self, held: Version) -> Option<u64> {
        self.first_seen.first_above_ms(held)
    }

    fn remote_fetch(&self, waited_ms: u64) -> Option<Fetch> {
        let remote_holder = self.holders.values().next();
        if let Some((stamp, peer)) = remote_holder
            && waited_ms >= self.cross_region_delay_ms()
        {
            return Some(from_peer(*stamp, peer));
        }
        let reads_store = self.follower.is_none();
        (reads_store && waited_ms >= self.store_delay_ms()).then_some(Fetch {
            wanted: self.head,
            source: Source::Store,
        })
    }

    fn cross_region_delay_ms(&self) -> u64 {
        match self.gateway_rank {
            Some(rank) => rank as u64 * RANK_DELAY_MS,
            None => {
                NON_GATEWAY_DELAY_MS + node_hash(self.local_node, "others") % NON_GATEWAY_SPREAD_MS
            }
        }
    }

    fn store_delay_ms(&self) -> u64 {
        let store_extra_delay_ms = (4 * self.store_latency_ms).min(STORE_DELAY_MAX_MS);
        self.cross_region_delay_ms() + store_extra_delay_ms
    }
}

fn from_peer(wanted: Stamp, peer: &Peer) -> Fetch {
    Fetch {
        wanted,
        source: Source::Peer {
            node: peer.node,
            address: peer.address,
            distance: peer.distance,
        },
    }
}
