//! Requests that an entry node withholds from a service that refuses many.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use dragonflywall::core::configuration::Spill;
use dragonflywall::core::mechanism::MechanismSwitches;
use dragonflywall::core::member::{Distance, NodeId};
use dragonflywall::core::names::ServiceName;
use dragonflywall::decide::admission::Rank;
use dragonflywall::decide::load_balancing::FreeSlotSearch;
use dragonflywall::decide::overload::{OverloadThrottle, RequestEnd};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MS: u64 = 1_000;
const STEP_US: u64 = 5 * MS;

/// What became of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    sent: u32,
    admitted: u32,
}

/// One entry node and a service that admits a number of requests a second and answers after 300 ms.
struct Service {
    now_us: u64,
    throttle: OverloadThrottle,
    name: ServiceName,
    rng: StdRng,
    capacity_per_s: f64,
    credit: f64,
    ends: Vec<(u64, Rank, RequestEnd)>,
}

impl Service {
    fn new(capacity_per_s: f64) -> Self {
        Self {
            now_us: 0,
            throttle: OverloadThrottle::default(),
            name: ServiceName::new("billing"),
            rng: StdRng::seed_from_u64(50),
            capacity_per_s,
            credit: 0.0,
            ends: Vec::new(),
        }
    }

    /// Plays `for_ms` in which callers send these numbers of requests a second, by rank.
    fn play(&mut self, for_ms: u64, per_s: &[(Rank, f64)]) -> BTreeMap<Rank, Outcome> {
        let mut outcomes: BTreeMap<Rank, Outcome> = BTreeMap::new();
        let until_us = self.now_us + for_ms * MS;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            self.credit = (self.credit + self.capacity_per_s * 0.005).min(5.0);
            let now_us = self.now_us;
            for (_, rank, end) in self.ends.extract_if(.., |(at_us, ..)| *at_us <= now_us) {
                self.throttle.record(now_us, &self.name, rank, end);
            }
            for (rank, per_s) in per_s {
                if self.rng.random::<f64>() < per_s * 0.005 {
                    let outcome = outcomes.entry(*rank).or_default();
                    self.ask(*rank, outcome);
                }
            }
        }
        outcomes
    }

    fn ask(&mut self, rank: Rank, outcome: &mut Outcome) {
        outcome.asked += 1;
        let chance = self.rng.random();
        if !self.throttle.admits(self.now_us, &self.name, rank, chance) {
            return;
        }
        outcome.sent += 1;
        let (took_ms, end) = match self.credit >= 1.0 {
            true => (300, RequestEnd::Admitted),
            false => (20, RequestEnd::Refused),
        };
        if end == RequestEnd::Admitted {
            self.credit -= 1.0;
            outcome.admitted += 1;
        }
        self.ends.push((self.now_us + took_ms * MS, rank, end));
    }
}

const HIGH: Rank = Rank::new(0, 0);
const LOW: Rank = Rank::new(2, 1);

fn total(outcomes: &BTreeMap<Rank, Outcome>) -> Outcome {
    let sum = |a: Outcome, b: &Outcome| Outcome {
        asked: a.asked + b.asked,
        sent: a.sent + b.sent,
        admitted: a.admitted + b.admitted,
    };
    outcomes.values().fold(Outcome::default(), sum)
}

/// Load: 90 % of the capacity, then a burst of four times as much that the service has room for. Guards against requests that
/// are withheld although nothing refuses them.
#[test]
fn nothing_is_withheld_from_a_service_with_room() {
    let mut service = Service::new(1_000.0);
    let calm = total(&service.play(5_000, &[(HIGH, 50.0)]));
    let burst = total(&service.play(5_000, &[(HIGH, 180.0)]));
    assert_eq!(calm.sent, calm.asked);
    assert_eq!(burst.sent, burst.asked);
}

/// Load: 1.5 to 5 times the capacity. Guards against bytes of requests that are refused, and against room that stays unused.
#[test]
fn most_requests_that_are_sent_find_room() {
    for factor in [1.5, 2.0, 3.0, 5.0] {
        let mut service = Service::new(36.0);
        service.play(4_000, &[(HIGH, 36.0 * factor)]);
        let settled = total(&service.play(20_000, &[(HIGH, 36.0 * factor)]));
        let admitted = f64::from(settled.admitted);
        assert!(admitted >= 20.0 * 36.0 * 0.9, "{factor}: {settled:?}");
        assert!(
            f64::from(settled.sent) <= admitted * 1.4,
            "{factor}: {settled:?}"
        );
    }
}

/// Load: three times the capacity, half of it of a low rank. Guards against payments that are withheld in favour of reads, and
/// against a rank that is starved.
#[test]
fn higher_ranks_go_first_and_none_is_starved() {
    let mut service = Service::new(40.0);
    let demand = [(HIGH, 60.0), (LOW, 60.0)];
    service.play(4_000, &demand);
    let settled = service.play(20_000, &demand);
    let share = |rank| f64::from(settled[&rank].sent) / f64::from(settled[&rank].asked);
    let all = total(&settled);
    let average = f64::from(all.sent) / f64::from(all.asked);
    assert!(share(HIGH) > 1.3 * average, "{settled:?}");
    assert!(share(LOW) > average / 4.0, "{settled:?}");
}

/// Load: five times the capacity for ten seconds, then half of it. Guards against a service that is held back after the overload.
#[test]
fn everything_is_sent_again_within_two_seconds_of_an_overload() {
    let mut service = Service::new(40.0);
    service.play(10_000, &[(HIGH, 200.0)]);
    service.play(2_000, &[(HIGH, 20.0)]);
    let after = total(&service.play(5_000, &[(HIGH, 20.0)]));
    assert_eq!(after.sent, after.asked);
}

/// Guards against a service that recovers from admitting nothing and is not tried.
#[test]
fn a_service_that_admits_nothing_is_tried() {
    let mut service = Service::new(0.0);
    service.play(10_000, &[(HIGH, 100.0)]);
    service.capacity_per_s = 200.0;
    service.play(6_000, &[(HIGH, 100.0)]);
    let after = total(&service.play(5_000, &[(HIGH, 100.0)]));
    assert!(
        f64::from(after.admitted) >= f64::from(after.asked) * 0.95,
        "{after:?}"
    );
}

/// Load: a region that refuses nine of ten attempts from another one, then none. Guards against a link between regions that is
/// filled by requests which are refused, and against room that is not noticed.
#[test]
fn requests_cross_regions_as_far_as_they_are_admitted_there() {
    let mut throttle = OverloadThrottle::default();
    let mut rng = StdRng::seed_from_u64(51);
    let name = ServiceName::new("billing");
    let mut crossed_of_1000 = |from_ms: u64, admitted_share: f64| {
        let mut crossed = 0;
        for step in 0..1_000 {
            let now_us = (from_ms + step * 5) * MS;
            if throttle.reach(now_us, &name, rng.random()) == Spill::Mesh {
                crossed += 1;
                let end = match rng.random::<f64>() < admitted_share {
                    true => RequestEnd::Admitted,
                    false => RequestEnd::Refused,
                };
                throttle.record_attempt(now_us, &name, Distance::Mesh, end);
            }
        }
        crossed
    };
    assert!(crossed_of_1000(0, 0.1) < 300);
    assert!(crossed_of_1000(5_000, 1.0) > 800);
    assert_eq!(crossed_of_1000(20_000, 1.0), 1_000);
}

/// Load: a service that refuses most requests. Guards against probes of several endpoints for a slot that none has, and against
/// probes that stay away after the overload.
#[test]
fn a_request_probes_one_endpoint_of_an_overloaded_service() {
    let mut service = Service::new(20.0);
    service.play(5_000, &[(HIGH, 200.0)]);
    let now_us = service.now_us;
    assert!(service.throttle.is_overloaded(now_us, &service.name));
    service.play(5_000, &[(HIGH, 5.0)]);
    let now_us = service.now_us;
    assert!(!service.throttle.is_overloaded(now_us, &service.name));
    let probes = |is_overloaded| {
        let mut search = FreeSlotSearch::new(MechanismSwitches::default(), is_overloaded);
        let node = |port| NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
        let mut probes = 0;
        while !search.queues_at(node(probes + 1)) {
            probes += 1;
            search.record_busy(node(probes));
        }
        probes
    };
    assert_eq!((probes(true), probes(false)), (1, 3));
}
