//! Withholds requests at their entry node while a service refuses many of them.
//!
//! Each refused request costs several attempts, whose bytes fill the links that the requests which could be served need.
//! So an entry node sends only somewhat more requests to a service than it saw admitted lately, and refuses the others at
//! once (adaptive throttling). Requests are counted when they end, so a sudden load that the service can take is not
//! withheld.

use std::collections::{BTreeMap, HashMap};

use super::admission::Rank;
use crate::core::configuration::Spill;
use crate::core::member::Distance;
use crate::core::names::ServiceName;

/// Ratio of the requests sent to those admitted. What is sent in addition shows when there is more room.
const SENT_TO_ADMITTED_RATIO: f64 = 1.25;
/// The same while few of the sent requests are refused, so that room is used soon after an overload.
const SENT_TO_ADMITTED_RATIO_WITH_ROOM: f64 = 2.0;
/// Share of the sent requests up to which few are refused.
const FEW_REFUSED_SHARE: f64 = 0.05;
/// Requests in [`WINDOW_US`] that are sent in addition, so that a service which admitted none is tried.
const SENT_EXTRA: f64 = 2.0;

/// Attempts farther away within [`WINDOW_US`] from which their refusals count.
const ELSEWHERE_SAMPLES_MIN: f64 = 4.0;
/// Smallest share of the requests that may go farther away, so that room there is noticed.
const ELSEWHERE_SHARE_MIN: f64 = 0.05;
/// Share of the sent requests from which many are refused.
const MANY_REFUSED_SHARE: f64 = 0.1;

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

    /// Requests that were sent and admitted, and those that were sent and refused.
    fn ended(&mut self, now_us: u64) -> (f64, f64) {
        self.slot_mut(now_us);
        let admitted: u32 = self.slots.iter().map(|slot| slot.admitted).sum();
        let refused: u32 = self.slots.iter().map(|slot| slot.refused).sum();
        (f64::from(admitted), f64::from(refused))
    }

    /// Probability with which a request may be sent farther away, if these are the attempts there.
    fn elsewhere_share(&mut self, now_us: u64) -> f64 {
        let (admitted, refused) = self.ended(now_us);
        if admitted + refused < ELSEWHERE_SAMPLES_MIN {
            return 1.0;
        }
        let admitted_share = admitted / (admitted + refused);
        (admitted_share * SENT_TO_ADMITTED_RATIO).max(ELSEWHERE_SHARE_MIN)
    }

    fn is_overloaded(&mut self, now_us: u64) -> bool {
        let (admitted, refused) = self.ended(now_us);
        refused > (admitted + refused) * MANY_REFUSED_SHARE + SENT_EXTRA
    }

    /// Probability with which a request of `rank` is sent.
    fn sent_share(&mut self, now_us: u64, rank: Rank) -> f64 {
        let (admitted, refused) = self.ended(now_us);
        let mut offered: BTreeMap<Rank, u32> = BTreeMap::new();
        for (rank, count) in self.slots.iter().flat_map(|slot| &slot.offered) {
            *offered.entry(*rank).or_default() += count;
        }
        let all = f64::from(offered.values().sum::<u32>());
        let has_room = refused <= (admitted + refused) * FEW_REFUSED_SHARE;
        let ratio = match has_room {
            true => SENT_TO_ADMITTED_RATIO_WITH_ROOM,
            false => SENT_TO_ADMITTED_RATIO,
        };
        let may_send = admitted * ratio + SENT_EXTRA;
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
    /// Attempts at endpoints of other data centres of the region, and of other regions.
    elsewhere: [HashMap<ServiceName, ServiceLoad>; 2],
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

    /// How far a request may be sent. If most are refused farther away, it would only fill the links. `chance` is a random
    /// number from 0 to 1.
    pub fn reach(&mut self, now_us: u64, service: &ServiceName, chance: f64) -> Spill {
        let [region, mesh] = &mut self.elsewhere;
        let may_send = |loads: &mut HashMap<ServiceName, ServiceLoad>| {
            let load = loads.get_mut(service);
            load.is_none_or(|load| chance < load.elsewhere_share(now_us))
        };
        match (may_send(region), may_send(mesh)) {
            (false, _) => Spill::DataCentre,
            (true, false) => Spill::Region,
            (true, true) => Spill::Mesh,
        }
    }

    /// Records how an attempt at an endpoint at this distance has ended.
    pub fn record_attempt(
        &mut self,
        now_us: u64,
        service: &ServiceName,
        distance: Distance,
        end: RequestEnd,
    ) {
        let [region, mesh] = &mut self.elsewhere;
        let loads = match distance {
            Distance::DataCentre => return,
            Distance::Region => region,
            Distance::Mesh => mesh,
        };
        load_mut(loads, service).slot_mut(now_us).count(end);
    }

    /// Whether a service refuses many of the requests that are sent to it.
    pub fn is_overloaded(&mut self, now_us: u64, service: &ServiceName) -> bool {
        let load = self.services.get_mut(service);
        load.is_some_and(|load| load.is_overloaded(now_us))
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
