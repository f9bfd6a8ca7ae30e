//! Which endpoint a request goes to.
//!
//! [`Ranked`] holds the endpoints of one service as one entry node ranks them. [`Balancer`] holds
//! what the entry has seen of endpoints with its own calls, which outweighs what gossip says.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use self::observation::{EJECTED_MOST_US, JUDGED_EARLY_SAMPLES, JUDGED_SAMPLES, Seen};
use crate::core::configuration::Spill;
use crate::core::member::{Member, NodeId, Place};

mod observation;

pub use self::observation::Observed;

/// Endpoints of one service and distance that an entry uses at a time.
///
/// Load made for: 520 nodes that call 14 services. Harm prevented: a full mesh of connections,
/// each of which costs memory at both ends. Reason for the limit: two choices among eight spread
/// load nearly as well as among all, and each endpoint is still in the subset of many entries.
const SUBSET: usize = 8;

/// Load from which an endpoint counts as full, in percent of its slots.
const FULL_PERCENT: u32 = 100;

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
    /// Requests that may wait at one endpoint.
    pub queue_len: u32,
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
        // Where no slot is free the nearest queue with room is next, and a refusal the last.
        let queue_full_percent = (need.slots + need.queue_len) * 100 / need.slots.max(1);
        let mut queue = None;
        let mut fallback = None;
        for ring in &ranked.rings[..reach] {
            let subset = self.usable(now_us, ring, others);
            let Some(chosen) = self.least_of(now_us, ring, &subset, need.slots, rng) else {
                continue;
            };
            let load = self.load(now_us, &chosen, need.slots);
            if load < FULL_PERCENT {
                return Some(chosen);
            }
            if load < queue_full_percent {
                queue.get_or_insert(chosen);
            }
            fallback.get_or_insert(chosen);
        }
        queue.or(fallback)
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
            seen.report(now_us, load_percent);
        }
    }

    /// An attempt ended.
    pub fn observed(&mut self, now_us: u64, node: NodeId, observed: Observed) {
        if let Some(seen) = self.seen.get_mut(&node) {
            seen.observe(now_us, observed);
        }
    }

    /// Whether an endpoint is left out for now.
    pub fn is_ejected(&self, now_us: u64, node: NodeId) -> bool {
        let seen = self.seen.get(&node);
        seen.is_some_and(|seen| seen.is_ejected(now_us))
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
            let draining = seen.is_some_and(|seen| seen.is_draining(now_us));
            let left_out = draining && !others.draining;
            if left_out || others.tried.contains(&endpoint.node) {
                continue;
            }
            if !all.is_full() {
                all.push(position);
            }
            if seen.is_none_or(|seen| !seen.is_ejected(now_us)) {
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
        let early = seen.samples.is_power_of_two() && seen.samples >= JUDGED_EARLY_SAMPLES;
        if !early && seen.samples < JUDGED_SAMPLES {
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
        if len == 0 {
            seen.judged();
            return;
        }
        let others = &mut others[..len];
        others.sort_unstable();
        let median_us = others[len / 2];
        seen.judge(now_us, median_us);
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
