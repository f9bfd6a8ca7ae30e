//! What to fetch, from whom, and when to try again.
//!
//! Content travels from neighbour to neighbour, so that a publication does not send every node of a region to
//! the store or across the billed link; only a region's gateways go further, one at a time:
//!
//! | source | who | from when |
//! |---|---|---|
//! | a peer of the region that holds it | everybody | at once |
//! | a peer across the regional link | gateway of rank 0 | at once |
//! | the store | gateway of rank 0 | after four times its own distance from the store |
//! | both | gateway of rank R | R times [`RANK_DELAY_MS`] later |
//! | both | everybody else | after [`NON_GATEWAY_DELAY_MS`], spread over [`NON_GATEWAY_SPREAD_MS`] |
//!
//! The gateway nearest the store thus fetches first and announces it, and the other region's finds it there
//! while it still waits: the content crosses the link once.
//!
//! Where versions are [followed](Fetcher::for_follower), peers are what is left when the other way is late: the
//! times count from when it is, and the store is not among the sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::first_seen::FirstSeen;
use crate::core::member::{Distance, NodeId};
use crate::core::version::{Stamp, Version};
use crate::decide::pacing::{Backoff, jittered_ms};
use crate::membership::neighbours::node_hash;

/// A standby gateway steps in after this: several round trips between regions.
pub const RANK_DELAY_MS: u64 = 300;
/// A node that is no gateway leaves the store and the link alone for so long.
pub const NON_GATEWAY_DELAY_MS: u64 = 2_000;
/// And then comes at a random moment of this span: 520 nodes stay far below the platform's two
/// thousand reads a second even when all gateways have failed.
pub const NON_GATEWAY_SPREAD_MS: u64 = 8_000;
/// Distance of the store before it has been measured.
const DEFAULT_STORE_LATENCY_MS: u64 = 25;
/// A slow store must not keep its nearest region waiting for long.
const STORE_DELAY_MAX_MS: u64 = 1_000;
/// Pauses after failures.
const RETRY_BACKOFF: Backoff = Backoff::new(50, 10_000);
/// Holders remembered; more would not be asked before one of these has answered.
const HOLDERS_MAX: usize = 32;

/// Where content is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A peer that holds it.
    Peer {
        /// Which.
        node: NodeId,
        /// Where to dial it.
        address: SocketAddr,
        /// How far it is.
        distance: Distance,
    },
    /// The platform's object store.
    Store,
}

/// A fetch that the driver is to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// What is wanted.
    pub wanted: Stamp,
    /// From where.
    pub source: Source,
}

/// A peer that holds content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Which.
    pub node: NodeId,
    /// Where to dial it.
    pub address: SocketAddr,
    /// How far it is.
    pub distance: Distance,
}

/// Decides about fetches. Time is an argument, in milliseconds of any steady clock.
#[derive(Debug)]
pub struct Fetcher {
    me: NodeId,
    gateway_rank: Option<usize>,
    head: Stamp,
    /// Versions above the one held; waits count from the first, not from the newest.
    first_seen: FirstSeen,
    holders: BTreeMap<NodeId, (Stamp, Peer)>,
    in_flight: Option<Fetch>,
    failures: u32,
    last_failure_was_remote: bool,
    not_before_ms: u64,
    store_latency_ms: u64,
    follower: Option<FollowerState>,
}

/// Where versions come from a lead or the own read of the store, and peers are what is left.
#[derive(Clone, Copy, Debug)]
struct FollowerState {
    peer_fetch_delay_ms: u64,
    /// The last version came sooner from a peer than the other way.
    source_is_late: bool,
    /// Version that was last fetched from a peer, and when it was first heard of.
    last_fetched: (Version, u64),
}

impl Fetcher {
    /// A fetcher that has heard of nothing.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
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

    /// For a node that follows a lead or the store: peers are asked for a version once it has been missing for
    /// `peer_fetch_delay_ms`, or at once while the other way is slower than that, and the store never.
    pub fn for_follower(me: NodeId, peer_fetch_delay_ms: u64) -> Self {
        let follower = FollowerState {
            peer_fetch_delay_ms,
            source_is_late: false,
            last_fetched: (Version::NONE, 0),
        };
        Self {
            follower: Some(follower),
            ..Self::new(me)
        }
    }

    /// Newest stamp heard of.
    pub fn head(&self) -> Stamp {
        self.head
    }

    /// The process was frozen until now: a fetch from before is given up, and the next may start
    /// at once.
    pub fn resume_after_freeze(&mut self, now_ms: u64) {
        self.in_flight = None;
        self.failures = 0;
        self.not_before_ms = now_ms;
    }

    /// Sets the node's place among the gateways of its region, if it has one.
    pub fn set_gateway_rank(&mut self, rank: Option<usize>) {
        self.gateway_rank = rank;
    }

    /// Notes how long a read from the platform took.
    pub fn record_store_latency(&mut self, took_ms: u64) {
        self.store_latency_ms = took_ms.max(1);
    }

    /// How long a read from the platform takes, as last measured.
    pub fn store_latency_ms(&self) -> u64 {
        self.store_latency_ms
    }

    /// Notes that `stamp` is accepted.
    pub fn note_head(&mut self, now_ms: u64, stamp: Stamp) {
        if stamp.version > self.head.version {
            self.head = stamp;
            self.first_seen.record(now_ms, stamp.version);
            // A newer version is a new matter: its first try is not held back by old failures.
            self.failures = 0;
            self.not_before_ms = now_ms;
        }
    }

    /// When `version`, or a newer one, was first heard of, unless it has been held since.
    pub fn first_seen_ms(&self, version: Version) -> Option<u64> {
        self.first_seen.first_seen_ms(version)
    }

    /// The lead that this node follows, or its own read of the store, has told of `version`.
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

    /// Notes that `peer` holds the content of `stamp`.
    pub fn note_holder(&mut self, now_ms: u64, stamp: Stamp, peer: Peer) {
        self.note_head(now_ms, stamp);
        let full = self.holders.len() >= HOLDERS_MAX;
        if full && !self.holders.contains_key(&peer.node) {
            self.holders.pop_first();
        }
        self.holders.insert(peer.node, (stamp, peer));
        // What failed was far away, and now it is near: no reason to wait on.
        if self.last_failure_was_remote && peer.distance != Distance::Mesh {
            self.last_failure_was_remote = false;
            self.not_before_ms = now_ms;
        }
    }

    /// The fetch to make now, if any; the driver reports its end with [`Self::fetch_ended`].
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

    /// When [`Self::next_fetch`] is worth asking again although nothing else happens.
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

    /// Notes the end of the fetch: whether its content is now held. After a failure the source is left alone until it
    /// announces itself again, and the next try waits: twice as long with each failure in a row, and not in step with
    /// other nodes.
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
        let random = node_hash(self.me, &now_ms.to_string());
        self.not_before_ms = now_ms + jittered_ms(RETRY_BACKOFF.pause_ms(self.failures), random);
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

    /// The nearest holder with the newest version inside the region.
    fn region_fetch(&self) -> Option<Fetch> {
        let near = self
            .holders
            .values()
            .filter(|(_, peer)| peer.distance != Distance::Mesh);
        // Nodes that heard from the same few must not all ask the same one.
        let best = near.min_by_key(|(stamp, peer)| {
            let salt = self.me.to_string();
            let newest_first = std::cmp::Reverse(stamp.version);
            (newest_first, peer.distance, node_hash(peer.node, &salt))
        });
        best.map(|(stamp, peer)| from_peer(*stamp, peer))
    }

    /// When the first version was heard of that is newer than the one held.
    fn behind_since_ms(&self, held: Version) -> Option<u64> {
        self.first_seen.first_above_ms(held)
    }

    fn remote_fetch(&self, waited_ms: u64) -> Option<Fetch> {
        let far = self.holders.values().next();
        if let Some((stamp, peer)) = far
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
            None => NON_GATEWAY_DELAY_MS + node_hash(self.me, "others") % NON_GATEWAY_SPREAD_MS,
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
