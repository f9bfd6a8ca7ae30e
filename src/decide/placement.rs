//! Which endpoint a request goes to.
//!
//! [`Ranked`] holds the endpoints of one service as one entry node ranks them. [`Balancer`] holds
//! what the entry has seen of endpoints with its own calls, which outweighs what gossip says.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use self::cost::Choice;
use self::observation::{EJECTED_MOST_US, Seen};
use super::intake::SMALL_BYTES;
use crate::core::configuration::Spill;
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::{Distance, Member, NodeId, Place};
use crate::core::names::ResourceName;

mod cost;
mod observation;
mod search;

pub use self::cost::Limits;
pub use self::observation::{LoadReport, Observed};
pub use self::search::Search;

/// Endpoints of one service and distance that an entry uses at a time: each connection costs memory at both
/// ends, and a choice among few spreads load nearly as well as one among all.
const SUBSET: usize = 8;

/// Spread of the noise that parts entries which see endpoints as equal; below the least
/// difference that matters, the crossing to another data centre.
const NOISE: f64 = 0.004;

/// Length that an answer is taken to have before there was one: a short list.
const ANSWER_UNKNOWN_BYTES: f64 = 2_000.0;
/// Gain of the running mean of lengths: one in so many.
const ANSWERS_DIVISOR: f64 = 16.0;
/// Resources whose answers are measured: above those that a node calls under load.
const ANSWERS_MAX: usize = 256;

/// Time that a request is taken to hold a slot before any endpoint has said it: short work.
const HELD_UNKNOWN_US: u64 = 20_000;

/// Endpoints remembered before the ones not used lately are forgotten.
const REMEMBERED_MAX: usize = 2_048;

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
        let ring = from.distance_to(&member.place) as usize;
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

/// What a request needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// How far away it may run.
    pub spill: Spill,
    /// Slots of an endpoint that has not said how many it has.
    pub slots: u32,
    /// What it asks for.
    pub resource: &'a ResourceName,
    /// Until when its answer is of use.
    pub limits: Limits,
    /// Length of its body.
    pub body_bytes: u64,
    /// Endpoints that have failed it before.
    pub tried: &'a [NodeId],
}

/// What an entry believes of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Believed {
    /// Requests that are running or waiting there.
    pub in_hand: f64,
    /// Requests that run there at a time.
    pub slots: f64,
    /// How long a request to the same resource holds a slot there, in microseconds, if it has said so
    /// lately.
    pub held_us: Option<u64>,
    /// Part of its requests that failed lately.
    pub failing: f64,
    /// How long ago it last said its load, in microseconds; none if never.
    pub report_age_us: Option<u64>,
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
    without: MechanismSwitches,
    seen: HashMap<NodeId, Seen>,
    /// Mean length of answers, by resource.
    answers_bytes: HashMap<ResourceName, f64>,
}

impl Balancer {
    /// Nothing seen yet.
    pub fn new(without: MechanismSwitches) -> Self {
        Self {
            without,
            ..Self::default()
        }
    }

    /// Picks the endpoint that is likely to serve the request best; see [`cost`].
    ///
    /// Reports are some answers old, and many entries go by the same ones. So each counts what it has sent there
    /// since, and a little noise parts those that see endpoints as equal. An endpoint that failed this request
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
        &self,
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
        let held_us = self.unknown_held_us(now_us, ranked, need);
        let size_kb = self.size_kb(need);
        let distances = [Distance::DataCentre, Distance::Region, Distance::Mesh];
        let rings = ranked.rings.iter().zip(distances).take(reach);
        let mut best = None;
        let mut least = f64::INFINITY;
        for (ring, distance) in rings {
            for endpoint in self.usable(now_us, ring, others) {
                let choice = self.choice(now_us, endpoint, distance, need, held_us);
                let choice = Choice { size_kb, ..choice };
                let cost =
                    cost::of(&choice, need.limits, self.without) + rng.random_range(0.0..NOISE);
                if cost < least {
                    least = cost;
                    best = Some(*endpoint);
                }
            }
        }
        best
    }

    /// How long a request like this one is taken to hold a slot where that is not known: between the shortest
    /// known time and the mean of those known.
    ///
    /// An entry that has found a fast endpoint goes on using it. Were unknown endpoints taken for quicker, an
    /// entry with few requests would spend most of them on finding out, and half of those on slow endpoints.
    fn unknown_held_us(&self, now_us: u64, ranked: &Ranked, need: &Need<'_>) -> u64 {
        let seen = ranked.iter().filter_map(|e| self.seen.get(&e.node));
        let held = seen.filter_map(|seen| seen.held_us(now_us, need.resource));
        let (mut sum_us, mut count, mut least_us) = (0, 0, u64::MAX);
        for held_us in held {
            sum_us += held_us;
            count += 1;
            least_us = least_us.min(held_us);
        }
        match count {
            0 => HELD_UNKNOWN_US,
            _ => least_us.midpoint(sum_us / count),
        }
    }

    fn choice(
        &self,
        now_us: u64,
        endpoint: &Endpoint,
        distance: Distance,
        need: &Need<'_>,
        unknown_held_us: u64,
    ) -> Choice {
        let seen = self.seen.get(&endpoint.node);
        let seen = seen.filter(|seen| seen.incarnation_us == endpoint.incarnation_us);
        let held_us = seen.and_then(|seen| seen.held_us(now_us, need.resource));
        let outstanding = seen.map_or(0, |seen| seen.outstanding);
        let asked = held_us.is_none().then_some(outstanding);
        let held_us = held_us.unwrap_or(unknown_held_us);
        let mean_held_us = seen.and_then(Seen::mean_held_us).unwrap_or(held_us);
        let slots = seen.and_then(Seen::slots).unwrap_or(need.slots);
        Choice {
            distance,
            in_hand: seen.map_or(0.0, |seen| seen.in_hand(now_us, need.resource)),
            slots: f64::from(slots),
            held_us: held_us as f64,
            mean_held_us: mean_held_us as f64,
            failing: seen.map_or(0.0, |seen| seen.failing(now_us)),
            asked: f64::from(asked.unwrap_or(0)),
            intake_us: self.intake_us(seen, need),
            size_kb: 0.0,
        }
    }

    /// How long the body of the request takes to come in.
    fn intake_us(&self, seen: Option<&Seen>, need: &Need<'_>) -> f64 {
        match need.body_bytes > SMALL_BYTES {
            true => seen.map_or(0.0, |seen| seen.intake_us() as f64),
            false => 0.0,
        }
    }

    fn size_kb(&self, need: &Need<'_>) -> f64 {
        let answer_bytes = self.answers_bytes.get(need.resource);
        let answer_bytes = answer_bytes.copied().unwrap_or(ANSWER_UNKNOWN_BYTES);
        (need.body_bytes as f64 + answer_bytes) / 1_000.0
    }

    /// What this entry goes by when it weighs `endpoint`; for whoever explains the choice.
    pub fn believed(&self, now_us: u64, endpoint: &Endpoint, need: &Need<'_>) -> Believed {
        let choice = self.choice(
            now_us,
            endpoint,
            Distance::DataCentre,
            need,
            HELD_UNKNOWN_US,
        );
        let seen = self.seen.get(&endpoint.node);
        Believed {
            in_hand: choice.in_hand,
            slots: choice.slots,
            held_us: seen.and_then(|seen| seen.held_us(now_us, need.resource)),
            failing: choice.failing,
            report_age_us: seen.and_then(|seen| seen.report_age_us(now_us)),
        }
    }

    /// An answer for `resource` is so long.
    pub fn answered(&mut self, resource: &ResourceName, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.answers_bytes.get_mut(resource) {
            *mean += (bytes - *mean) / ANSWERS_DIVISOR;
        } else if self.answers_bytes.len() < ANSWERS_MAX {
            self.answers_bytes.insert(resource.clone(), bytes);
        }
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

    /// The endpoint reported its load with an answer to a request for `resource`.
    pub fn reported(
        &mut self,
        now_us: u64,
        node: NodeId,
        resource: &ResourceName,
        load: LoadReport,
    ) {
        if let Some(seen) = self.seen.get_mut(&node) {
            seen.report(now_us, resource, load);
        }
    }

    /// The endpoint reported, with an answer to another request, how long requests for `resource` hold a slot.
    pub fn learnt_held(
        &mut self,
        now_us: u64,
        node: NodeId,
        resource: &ResourceName,
        held_us: u64,
    ) {
        if let Some(seen) = self.seen.get_mut(&node) {
            seen.learn_held(now_us, resource, held_us);
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

    /// The part of a ring that may be used, in the entry's order: endpoints that fail or are slow are left out. With
    /// more than half left out the fault is hardly the endpoints' own, so all are used.
    fn usable<'a>(
        &self,
        now_us: u64,
        ring: &'a [Endpoint],
        others: Others<'_>,
    ) -> Vec<&'a Endpoint> {
        let most = match self.without.is_enabled(Mechanism::Subset) {
            true => SUBSET,
            false => ring.len(),
        };
        let ejects = self.without.is_enabled(Mechanism::Ejection);
        let mut usable = Vec::with_capacity(most.min(ring.len()));
        let mut all = Vec::with_capacity(most.min(ring.len()));
        for endpoint in ring {
            let seen = self.seen.get(&endpoint.node);
            let seen = seen.filter(|seen| seen.incarnation_us == endpoint.incarnation_us);
            let draining = seen.is_some_and(|seen| seen.is_draining(now_us));
            let left_out = draining && !others.draining;
            if left_out || others.tried.contains(&endpoint.node) {
                continue;
            }
            if all.len() < most {
                all.push(endpoint);
            }
            if !ejects || seen.is_none_or(|seen| !seen.is_ejected(now_us)) {
                usable.push(endpoint);
            }
            if usable.len() == most {
                return usable;
            }
        }
        if usable.len() * 2 < all.len() {
            all
        } else {
            usable
        }
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
