//! Withholds requests at their entry node while a service refuses many of them.
//!
//! Each refused request costs several attempts, whose bytes fill the links that the requests which could be served need.
//! So an entry node sends only somewhat more requests to a service than it saw admitted lately, and refuses the others at
//! once (adaptive throttling). Requests are counted when they end, so a sudden load that the service can take is not
//! withheld.

use std::collections::{BTreeMap, HashMap};

use super::admission::Rank;
use crate::core::names::ServiceName;

/// Ratio of the requests sent to those admitted. What is sent in addition shows when there is more room.
const SENT_TO_ADMITTED_RATIO: f64 = 1.25;
/// The same while few of the sent requests are refused, so that room is used soon after an overload.
const SENT_TO_ADMITTED_RATIO_WITH_ROOM: f64 = 2.0;
/// Share of the sent requests up to which few are refused.
const FEW_REFUSED_SHARE: f64 = 0.05;
/// Requests in [`WINDOW_US`] that are sent in addition, so that a service which admitted none is tried.
const SENT_EXTRA: f64 = 2.0;

/// Attempts in another region within [`WINDOW_US`] from which their refusals count.
const CROSSING_SAMPLES_MIN: u32 = 4;
/// Smallest share of the requests that may go to another region, so that room there is noticed.
const CROSSING_SHARE_MIN: f64 = 0.05;

/// Part of what may be sent that goes to all ranks alike; the rest goes to the highest ranks first. So that no rank is
/// starved, the lowest gets this part of its fair share.
const EQUAL_PART: f64 = 0.5;

/// Span over which requests are counted, in microseconds: several service times of most requests.
const WINDOW_US: u64 = 1_000_000;
const SLOTS: usize = 8;
const SLOT_US: u64 = WINDOW_US / SLOTS as u64;

/// How a request to a service has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was admitted by an endpoint.
    Admitted,
    /// No endpoint had room for it in time.
    Refused,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    admitted: u32,
    refused: u32,
    /// Requests that were admitted, refused or withheld, by rank.
    offered: BTreeMap<Rank, u32>,
}

impl Slot {
    fn count(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Admitted => self.admitted += 1,
            RequestEnd::Refused => self.refused += 1,
        }
    }
}

/// The requests of one entry node to one service.
#[derive(Clone, Debug, Default)]
struct ServiceLoad {
    slots: [Slot; SLOTS],
    newest: u64,
}

impl ServiceLoad {
    fn slot_mut(&mut self, now_us: u64) -> &mut Slot {
        let newest = now_us / SLOT_US;
        let passed = newest.saturating_sub(self.newest).min(SLOTS as u64);
        for slot in 0..passed {
            self.slots[index(newest - slot)] = Slot::default();
        }
        self.newest = self.newest.max(newest);
        &mut self.slots[index(self.newest)]
    }

    /// Probability with which a request may be sent to another region, if these are the attempts there.
    fn crossing_share(&mut self, now_us: u64) -> f64 {
        self.slot_mut(now_us);
        let admitted: u32 = self.slots.iter().map(|slot| slot.admitted).sum();
        let refused: u32 = self.slots.iter().map(|slot| slot.refused).sum();
        if admitted + refused < CROSSING_SAMPLES_MIN {
            return 1.0;
        }
        let admitted_share = f64::from(admitted) / f64::from(admitted + refused);
        (admitted_share * SENT_TO_ADMITTED_RATIO).max(CROSSING_SHARE_MIN)
    }

    /// Probability with which a request of `rank` is sent.
    fn sent_share(&mut self, now_us: u64, rank: Rank) -> f64 {
        self.slot_mut(now_us);
        let admitted: u32 = self.slots.iter().map(|slot| slot.admitted).sum();
        let mut offered: BTreeMap<Rank, u32> = BTreeMap::new();
        for (rank, count) in self.slots.iter().flat_map(|slot| &slot.offered) {
            *offered.entry(*rank).or_default() += count;
        }
        let all = f64::from(offered.values().sum::<u32>());
        let refused: u32 = self.slots.iter().map(|slot| slot.refused).sum();
        let has_room = f64::from(refused) <= f64::from(admitted + refused) * FEW_REFUSED_SHARE;
        let ratio = match has_room {
            true => SENT_TO_ADMITTED_RATIO_WITH_ROOM,
            false => SENT_TO_ADMITTED_RATIO,
        };
        let may_send = f64::from(admitted) * ratio + SENT_EXTRA;
        if all <= may_send {
            return 1.0;
        }
        let higher: u32 = offered.range(..rank).map(|(_, count)| count).sum();
        let own = f64::from(offered.get(&rank).copied().unwrap_or(0)).max(1.0);
        let left = (may_send - f64::from(higher)).max(0.0);
        EQUAL_PART * may_send / all + (1.0 - EQUAL_PART) * (left / own).min(1.0)
    }
}

fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}

/// The requests of one entry node, by service. Times are microseconds of any monotonic clock.
#[derive(Debug, Default)]
pub struct OverloadThrottle {
    services: HashMap<ServiceName, ServiceLoad>,
    /// Attempts at endpoints of another region.
    crossings: HashMap<ServiceName, ServiceLoad>,
}

impl OverloadThrottle {
    /// Whether a request is sent. `chance` is a random number from 0 to 1. One that is not sent must be refused.
    pub fn admits(&mut self, now_us: u64, service: &ServiceName, rank: Rank, chance: f64) -> bool {
        let Some(load) = self.services.get_mut(service) else {
            return true;
        };
        let is_sent = chance < load.sent_share(now_us, rank);
        if !is_sent {
            *load.slot_mut(now_us).offered.entry(rank).or_default() += 1;
        }
        is_sent
    }

    /// Records how a request that was sent has ended.
    pub fn record(&mut self, now_us: u64, service: &ServiceName, rank: Rank, end: RequestEnd) {
        let slot = load_mut(&mut self.services, service).slot_mut(now_us);
        *slot.offered.entry(rank).or_default() += 1;
        slot.count(end);
    }

    /// Whether a request may be sent to another region. If most are refused there, it would only fill the link. `chance` is
    /// a random number from 0 to 1.
    pub fn may_cross(&mut self, now_us: u64, service: &ServiceName, chance: f64) -> bool {
        let load = self.crossings.get_mut(service);
        load.is_none_or(|load| chance < load.crossing_share(now_us))
    }

    /// Records how an attempt at an endpoint of another region has ended.
    pub fn record_crossing(&mut self, now_us: u64, service: &ServiceName, end: RequestEnd) {
        let slot = load_mut(&mut self.crossings, service).slot_mut(now_us);
        slot.count(end);
    }
}

fn load_mut<'a>(
    loads: &'a mut HashMap<ServiceName, ServiceLoad>,
    service: &ServiceName,
) -> &'a mut ServiceLoad {
    if !loads.contains_key(service) {
        loads.insert(service.clone(), ServiceLoad::default());
    }
    loads.get_mut(service).expect("inserted above")
}
