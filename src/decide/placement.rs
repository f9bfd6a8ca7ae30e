//! Which endpoint a request goes to.
//!
//! [`Ranked`] holds the endpoints of one service as one entry node ranks them. [`Balancer`] holds
//! what the entry has seen of endpoints with its own calls, which outweighs what gossip says.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::core::configuration::Spill;
use crate::core::member::{Member, NodeId, Place};

/// Endpoints of one service and distance that an entry uses at a time.
///
/// Load made for: 520 nodes that call 14 services. Harm prevented: a full mesh of connections,
/// each of which costs memory at both ends. Reason for the limit: two choices among eight spread
/// load nearly as well as among all, and each endpoint is still in the subset of many entries.
const SUBSET: usize = 8;

/// Load from which an endpoint counts as full, in percent of its slots.
const FULL_PERCENT: u32 = 100;

/// How long a reported load counts: some ten service times of short work. An older report keeps
/// an endpoint out of work that has long become free.
const LOAD_FRESH_US: u64 = 200_000;

/// An endpoint gets its full share so long after it was first seen.
const SLOW_START_US: u64 = 10_000_000;
/// Share of a new endpoint in percent: enough to warm its caches.
const SLOW_START_PERCENT: u64 = 10;

/// Strikes that eject an endpoint. A lost connection is two, an answer of 5xx one; an answer
/// that is none clears them.
const STRIKES_MAX: u32 = 5;
const STRIKES_LOST: u32 = 2;
const EJECTED_FIRST_US: u64 = 1_000_000;
const EJECTED_MOST_US: u64 = 30_000_000;

/// Answers of an endpoint after which its latency is judged: enough that one long request among
/// short ones is not taken for a slow endpoint.
const JUDGED_SAMPLES: u32 = 16;
/// An endpoint is slow if its mean latency is so many times the median of the others.
const SLOW_FACTOR: u64 = 3;
/// Differences below this are noise of a busy VM.
const SLOW_LEAST_US: u64 = 5_000;

/// A draining endpoint is left alone for so long; by then gossip says the same.
const DRAINING_US: u64 = 5_000_000;

/// Endpoints remembered before the ones not used lately are forgotten.
const REMEMBERED_MAX: usize = 2_048;

/// Distance classes, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same data centre.
    DataCentre,
    /// Same region.
    Region,
    /// Across the billed link.
    Mesh,
}

impl Distance {
    /// From one place to another.
    pub fn between(from: &Place, to: &Place) -> Self {
        if from == to {
            Self::DataCentre
        } else if from.region == to.region {
            Self::Region
        } else {
            Self::Mesh
        }
    }
}

/// One endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its node.
    pub node: NodeId,
    /// Where to dial.
    pub address: SocketAddr,
    /// Start of its process, so that a restart is seen.
    pub incarnation_us: u64,
}

/// The endpoints of one service, by distance and then in the entry's own order.
#[derive(Clone, Debug, Default)]
pub struct Ranked {
    rings: [Vec<Endpoint>; 3],
}

impl Ranked {
    /// Adds a member as seen by the entry `me` at `from`.
    pub fn add(&mut self, me: NodeId, from: &Place, member: &Member) {
        let ring = Distance::between(from, &member.place) as usize;
        self.rings[ring].push(Endpoint {
            node: member.node,
            address: member.dial_address(from),
            incarnation_us: member.incarnation_us,
        });
        // Rendezvous hashing: an endpoint that comes or goes changes one place of a few entries'
        // subsets and leaves all other connections as they are; the next in order is the spare.
        self.rings[ring].sort_by_cached_key(|endpoint| Reverse(affinity(me, endpoint.node)));
    }

    /// Every endpoint, nearest first.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rings.iter().flatten()
    }
}

fn affinity(me: NodeId, endpoint: NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (me, endpoint).hash(&mut hasher);
    hasher.finish()
}

/// How an attempt ended, as far as it tells of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// An answer; latency to its header, if the request was an interactive one.
    Answered {
        /// From sending to the answer's header.
        latency_us: Option<u64>,
        /// Whether the backend server answered 5xx.
        server_error: bool,
    },
    /// Refused for load.
    Refused,
    /// Refused because it is draining.
    Draining,
    /// Not reached.
    Unreachable,
    /// Connection lost, or no answer in time.
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation_us: u64,
    first_seen_us: u64,
    used_us: u64,
    outstanding: u32,
    load_percent: u32,
    load_at_us: Option<u64>,
    latency_us: u64,
    samples: u32,
    strikes: u32,
    ejections: u32,
    ejected_until_us: u64,
    draining_until_us: u64,
}

impl Seen {
    fn new(now_us: u64, endpoint: &Endpoint) -> Self {
        Self {
            incarnation_us: endpoint.incarnation_us,
            first_seen_us: now_us,
            used_us: now_us,
            outstanding: 0,
            load_percent: 0,
            load_at_us: None,
            latency_us: 0,
            samples: 0,
            strikes: 0,
            ejections: 0,
            ejected_until_us: 0,
            draining_until_us: 0,
        }
    }

    /// Load in percent of the slots: the endpoint's own word while it is fresh, and never less
    /// than what this entry alone has outstanding there.
    fn load(&self, now_us: u64, slots: u32) -> u32 {
        let fresh = |at_us| now_us.saturating_sub(at_us) < LOAD_FRESH_US;
        let reported = match self.load_at_us.is_some_and(fresh) {
            true => self.load_percent,
            false => 0,
        };
        let own = self.outstanding.saturating_mul(100) / slots.max(1);
        reported.max(own)
    }

    /// What two endpoints are compared by; lower is better.
    ///
    /// Load made for: a cold endpoint among warm ones. Harm prevented: it looks idle, so every
    /// entry sends it everything. Reason for the limit: the share rises over the time that a
    /// cold start lasts.
    fn score(&self, now_us: u64, slots: u32) -> u64 {
        let own = u64::from(self.outstanding) * 100 / u64::from(slots.max(1));
        let load = u64::from(self.load(now_us, slots)) + own + 1;
        let age_us = now_us.saturating_sub(self.first_seen_us).min(SLOW_START_US);
        let risen = (100 - SLOW_START_PERCENT) * age_us / SLOW_START_US;
        load * 100 / (SLOW_START_PERCENT + risen)
    }

    fn eject(&mut self, now_us: u64) {
        let time_us = EJECTED_FIRST_US << self.ejections.min(5);
        self.ejections += 1;
        self.ejected_until_us = now_us + time_us.min(EJECTED_MOST_US);
        self.first_seen_us = self.ejected_until_us;
        // When it comes back one more failure is enough, until it has given an answer.
        self.strikes = STRIKES_MAX - 1;
        self.samples = 0;
    }

    fn strike(&mut self, now_us: u64, strikes: u32) {
        self.strikes += strikes;
        if self.strikes >= STRIKES_MAX {
            self.eject(now_us);
        }
    }
}

/// Up to [`SUBSET`] positions in a ring.
#[derive(Clone, Copy, Default)]
struct Subset {
    positions: [usize; SUBSET],
    len: usize,
}

impl Subset {
    fn push(&mut self, position: usize) {
        self.positions[self.len] = position;
        self.len += 1;
    }

    fn as_slice(&self) -> &[usize] {
        &self.positions[..self.len]
    }

    fn is_full(&self) -> bool {
        self.len == SUBSET
    }
}

/// What a request needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// How far away it may run.
    pub spill: Spill,
    /// Slots of one endpoint of the service.
    pub slots: u32,
    /// Endpoints that have failed it before.
    pub tried: &'a [NodeId],
}

/// Which endpoints are looked at.
#[derive(Clone, Copy)]
struct Others<'a> {
    /// Not these.
    tried: &'a [NodeId],
    /// Also those that are thought to be draining.
    draining: bool,
}

/// What one entry has seen of endpoints. Times are microseconds of any steady clock.
#[derive(Debug, Default)]
pub struct Balancer {
    seen: HashMap<NodeId, Seen>,
}

impl Balancer {
    /// Picks an endpoint, nearest first, and further away only when the near ones are full.
    ///
    /// Load made for: skewed demand. Harm prevented: the single least loaded endpoint is
    /// stampeded by every entry at once; two random choices spread what one report would
    /// concentrate. Reason for the limits: the link between regions is billed, so crossing it
    /// needs every nearer endpoint of the subset full; and an endpoint that failed this request
    /// is asked again only if there is no other.
    pub fn choose(
        &mut self,
        now_us: u64,
        ranked: &Ranked,
        need: &Need<'_>,
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let others = Others {
            tried: need.tried,
            draining: false,
        };
        let mut among = |others| self.choose_among(now_us, ranked, need, others, rng);
        among(others)
            .or_else(|| {
                among(Others {
                    tried: &[],
                    ..others
                })
            })
            // It may have been told to serve again since it refused.
            .or_else(|| {
                among(Others {
                    tried: &[],
                    draining: true,
                })
            })
    }

    fn choose_among(
        &mut self,
        now_us: u64,
        ranked: &Ranked,
        need: &Need<'_>,
        others: Others<'_>,
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let reach = match need.spill {
            Spill::DataCentre => 1,
            Spill::Region => 2,
            Spill::Mesh => 3,
        };
        let mut fallback = None;
        for ring in &ranked.rings[..reach] {
            let subset = self.usable(now_us, ring, others);
            let Some(chosen) = self.least_of(now_us, ring, &subset, need.slots, rng) else {
                continue;
            };
            if self.load(now_us, &chosen, need.slots) < FULL_PERCENT {
                return Some(chosen);
            }
            fallback.get_or_insert(chosen);
        }
        fallback
    }

    /// The request goes to `endpoint`.
    pub fn begun(&mut self, now_us: u64, endpoint: &Endpoint) {
        if self.seen.len() >= REMEMBERED_MAX {
            let kept_us = now_us.saturating_sub(EJECTED_MOST_US);
            let kept = |seen: &Seen| seen.outstanding > 0 || seen.used_us > kept_us;
            self.seen.retain(|_, seen| kept(seen));
        }
        let seen = self.seen_mut(now_us, endpoint);
        seen.outstanding += 1;
        seen.used_us = now_us;
    }

    /// The request no longer occupies the endpoint.
    pub fn ended(&mut self, node: NodeId) {
        if let Some(seen) = self.seen.get_mut(&node) {
            seen.outstanding = seen.outstanding.saturating_sub(1);
        }
    }

    /// The endpoint reported its load.
    pub fn reported(&mut self, now_us: u64, node: NodeId, load_percent: u32) {
        if let Some(seen) = self.seen.get_mut(&node) {
            seen.load_percent = load_percent;
            seen.load_at_us = Some(now_us);
        }
    }

    /// An attempt ended.
    pub fn observed(&mut self, now_us: u64, node: NodeId, observed: Observed) {
        let Some(seen) = self.seen.get_mut(&node) else {
            return;
        };
        match observed {
            Observed::Answered {
                server_error: true, ..
            } => seen.strike(now_us, 1),
            Observed::Answered { latency_us, .. } => {
                seen.strikes = 0;
                if let Some(latency_us) = latency_us {
                    learn_latency(seen, latency_us);
                }
            }
            Observed::Refused => (),
            Observed::Draining => seen.draining_until_us = now_us + DRAINING_US,
            Observed::Unreachable => seen.eject(now_us),
            Observed::Lost => seen.strike(now_us, STRIKES_LOST),
        }
    }

    /// Whether an endpoint is left out for now.
    pub fn is_ejected(&self, now_us: u64, node: NodeId) -> bool {
        let seen = self.seen.get(&node);
        seen.is_some_and(|seen| seen.ejected_until_us > now_us)
    }

    /// The part of a ring that may be used, in the entry's order.
    ///
    /// Load made for: endpoints that fail or are slow. Harm prevented: requests wait on an
    /// endpoint that will not answer; but also that a fault common to all (a bad release, a full
    /// service) ejects one after the other until the last ones break down. Reason for the
    /// limit: with more than half ejected the fault is hardly the endpoints' own, so all are used.
    fn usable(&self, now_us: u64, ring: &[Endpoint], others: Others<'_>) -> Subset {
        let mut usable = Subset::default();
        let mut all = Subset::default();
        for (position, endpoint) in ring.iter().enumerate() {
            let seen = self.seen.get(&endpoint.node);
            let seen = seen.filter(|seen| seen.incarnation_us == endpoint.incarnation_us);
            let draining = seen.is_some_and(|seen| seen.draining_until_us > now_us);
            let left_out = draining && !others.draining;
            if left_out || others.tried.contains(&endpoint.node) {
                continue;
            }
            if !all.is_full() {
                all.push(position);
            }
            if seen.is_none_or(|seen| seen.ejected_until_us <= now_us) {
                usable.push(position);
            }
            if usable.is_full() {
                return usable;
            }
        }
        if usable.len * 2 < all.len {
            all
        } else {
            usable
        }
    }

    fn least_of(
        &mut self,
        now_us: u64,
        ring: &[Endpoint],
        subset: &Subset,
        slots: u32,
        rng: &mut impl Rng,
    ) -> Option<Endpoint> {
        let positions = subset.as_slice();
        let chosen = match positions {
            [] => return None,
            [only] => ring[*only],
            _ => {
                let first = rng.random_range(0..positions.len());
                let step = rng.random_range(1..positions.len());
                let second = (first + step) % positions.len();
                let (first, second) = (ring[positions[first]], ring[positions[second]]);
                let first_score = self.seen_mut(now_us, &first).score(now_us, slots);
                let second_score = self.seen_mut(now_us, &second).score(now_us, slots);
                if second_score < first_score {
                    second
                } else {
                    first
                }
            }
        };
        self.judge(now_us, ring, positions, &chosen);
        if self.load(now_us, &chosen, slots) < FULL_PERCENT {
            return Some(chosen);
        }
        // Both are full; only now is it worth to look at all.
        let score = |position: &&usize| {
            let endpoint = &ring[**position];
            let seen = self.seen.get(&endpoint.node);
            seen.map_or(0, |seen| seen.score(now_us, slots))
        };
        positions
            .iter()
            .min_by_key(score)
            .map(|position| ring[*position])
    }

    /// Ejects `endpoint` if it has become much slower than the others of its ring.
    fn judge(&mut self, now_us: u64, ring: &[Endpoint], positions: &[usize], endpoint: &Endpoint) {
        let seen = *self.seen_mut(now_us, endpoint);
        if seen.samples < JUDGED_SAMPLES {
            return;
        }
        let mut others = [0; SUBSET];
        let mut len = 0;
        for other in positions.iter().map(|position| &ring[*position]) {
            let other_seen = self.seen.get(&other.node);
            let judged = other_seen.filter(|seen| seen.samples > 0 && other != endpoint);
            if let Some(judged) = judged {
                others[len] = judged.latency_us;
                len += 1;
            }
        }
        let seen = self.seen_mut(now_us, endpoint);
        seen.samples = 1;
        if len == 0 {
            return;
        }
        let others = &mut others[..len];
        others.sort_unstable();
        let median_us = others[len / 2];
        if seen.latency_us > median_us * SLOW_FACTOR + SLOW_LEAST_US {
            seen.eject(now_us);
        } else {
            seen.ejections = 0;
        }
    }

    fn load(&mut self, now_us: u64, endpoint: &Endpoint, slots: u32) -> u32 {
        self.seen_mut(now_us, endpoint).load(now_us, slots)
    }

    fn seen_mut(&mut self, now_us: u64, endpoint: &Endpoint) -> &mut Seen {
        let seen = self.seen.entry(endpoint.node);
        let seen = seen.or_insert_with(|| Seen::new(now_us, endpoint));
        if seen.incarnation_us != endpoint.incarnation_us {
            // Another process has the address now: nothing of the old one holds for it.
            let outstanding = seen.outstanding;
            *seen = Seen::new(now_us, endpoint);
            seen.outstanding = outstanding;
        }
        seen
    }
}

/// Gain of the running mean: one in so many.
const LATENCY_DIVISOR: u64 = 8;

fn learn_latency(seen: &mut Seen, latency_us: u64) {
    seen.latency_us = match seen.samples {
        0 => latency_us,
        _ => (seen.latency_us * (LATENCY_DIVISOR - 1) + latency_us) / LATENCY_DIVISOR,
    };
    seen.samples += 1;
}
