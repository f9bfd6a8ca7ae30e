//! Placement: distance, own observation, ejection within bounds, stable subsets.

use std::net::SocketAddr;
use std::sync::LazyLock;

use dragonflywall::core::configuration::Spill;
use dragonflywall::core::member::{BackendState, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{DataCentreName, RegionName, ResourceName, ServiceName};
use dragonflywall::core::version::Version;
use dragonflywall::decide::load_balancing::{
    AttemptOutcome, Balancer, LoadReport, RankedEndpoints, Requirements, TimeLimits,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND_US: u64 = 1_000_000;

pub(crate) fn place(region: &str, data_centre: &str) -> Place {
    Place {
        region: RegionName::new(region),
        data_centre: DataCentreName::new(data_centre),
    }
}

pub(crate) fn node(number: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], number)))
}

pub(crate) fn member(number: u16, place: &Place) -> Member {
    Member {
        node: node(number),
        external: node(number).0,
        place: place.clone(),
        incarnation_us: 1,
        sequence: 1,
        liveness: Liveness::Alive,
        service: Some(ServiceName::new("tablon")),
        backend: BackendState::Serving,
        enforced: Version::NONE,
    }
}

fn ranked(entry: u16, members: &[Member]) -> RankedEndpoints {
    let mut ranked = RankedEndpoints::default();
    for member in members {
        ranked.add(node(entry), &place("cantabrico", "gijon"), member);
    }
    ranked
}

static PRICES: LazyLock<ResourceName> = LazyLock::new(|| ResourceName::new("prices"));

fn requirements(spill: Spill) -> Requirements<'static> {
    Requirements {
        spill,
        default_slots: 20,
        resource: &PRICES,
        limits: TimeLimits {
            target_us: 300_000,
            deadline_us: 800_000,
        },
        body_bytes: 3_000,
        tried: &[],
    }
}

/// Load of an endpoint with 20 slots and work of 20 ms.
fn load(in_flight: u32) -> LoadReport {
    LoadReport {
        in_use: in_flight.min(20),
        ahead: in_flight.saturating_sub(20),
        slots: 20,
        mean_service_time_us: 20_000,
        resource_service_time_us: 20_000,
        upload_time_us: 0,
    }
}

fn members_at_each_distance() -> Vec<Member> {
    vec![
        member(1, &place("cantabrico", "gijon")),
        member(2, &place("cantabrico", "bilbao")),
        member(3, &place("meseta", "leon")),
    ]
}

/// Tells the balancer of endpoints 1 to 3, in the order of distance, how many requests each has.
fn report_load(balancer: &mut Balancer, ranked: &RankedEndpoints, in_flight: [u32; 3]) {
    for (number, in_flight) in (1..).zip(in_flight) {
        let endpoint = ranked.iter().find(|endpoint| endpoint.node == node(number));
        let endpoint = endpoint.expect("it is ranked");
        // Each has to be known before its word counts.
        balancer.record_start(0, endpoint);
        balancer.record_end(endpoint.node);
        balancer.record_load(0, endpoint.node, &PRICES, load(in_flight));
    }
}

fn choose_with_load(in_flight: [u32; 3], requirements: &Requirements<'_>, now_us: u64) -> NodeId {
    let ranked = ranked(9, &members_at_each_distance());
    let mut balancer = Balancer::default();
    report_load(&mut balancer, &ranked, in_flight);
    let mut rng = StdRng::seed_from_u64(1);
    let chosen = balancer.choose(now_us, &ranked, requirements, &mut rng);
    chosen.expect("there are endpoints").node
}

/// Traffic between data centres is billed, and between regions several times as much. A price list
/// leaves its data centre when it would have to queue there, and its region only when it would queue
/// in all of it for long, and not at all if its treatment forbids it.
#[test]
fn billed_links_are_used_only_when_nearer_endpoints_queue() {
    let prices = requirements(Spill::Mesh);
    assert_eq!(choose_with_load([0, 0, 0], &prices, 0), node(1));
    assert_eq!(choose_with_load([19, 0, 0], &prices, 0), node(1));
    assert_eq!(choose_with_load([30, 0, 0], &prices, 0), node(2));
    assert_eq!(choose_with_load([30, 30, 0], &prices, 0), node(1));
    assert_eq!(choose_with_load([60, 60, 0], &prices, 0), node(3));
    assert_ne!(
        choose_with_load([60, 60, 0], &requirements(Spill::Region), 0),
        node(3)
    );
    assert_eq!(
        choose_with_load([60, 60, 0], &requirements(Spill::DataCentre), 0),
        node(1)
    );
    // Reports grow stale: two seconds later the nearest may be free again.
    assert_eq!(
        choose_with_load([60, 60, 0], &prices, 2 * SECOND_US),
        node(1)
    );
}

/// A photo bundle of 60 KB costs a dozen times what a price list does on a billed link, so it waits
/// longer for an endpoint near by; but it is not lost for that.
#[test]
fn large_request_accepts_a_longer_queue_nearby() {
    let bundle = Requirements {
        body_bytes: 60_000,
        ..requirements(Spill::Mesh)
    };
    assert_eq!(choose_with_load([30, 0, 0], &bundle, 0), node(1));
    assert_eq!(choose_with_load([200, 0, 0], &bundle, 0), node(2));
    assert_eq!(choose_with_load([1_000, 1_000, 0], &bundle, 0), node(3));
}

/// The endpoint of a data centre is four times as slow as the one a millisecond away. With the
/// nearest first, a fifth of this data centre's answers would be late and no other's.
#[test]
fn fast_endpoint_further_away_is_preferred_to_a_slow_near_one() {
    let ranked = ranked(9, &members_at_each_distance());
    let mut balancer = Balancer::default();
    report_load(&mut balancer, &ranked, [0, 0, 0]);
    let slow = LoadReport {
        mean_service_time_us: 180_000,
        resource_service_time_us: 180_000,
        upload_time_us: 0,
        ..load(0)
    };
    balancer.record_load(0, node(1), &PRICES, slow);
    let mut rng = StdRng::seed_from_u64(1);
    let choose = |balancer: &mut Balancer, spill, rng: &mut StdRng| {
        let chosen = balancer.choose(0, &ranked, &requirements(spill), rng);
        chosen.expect("there are endpoints").node
    };
    assert_eq!(choose(&mut balancer, Spill::Mesh, &mut rng), node(2));
    // A team that keeps its requests in their data centre has them served there.
    assert_eq!(choose(&mut balancer, Spill::DataCentre, &mut rng), node(1));
    // Its times are old news a while later, and it is tried again.
    let mut chosen_at = |now_us| {
        let chosen = balancer.choose(now_us, &ranked, &requirements(Spill::Mesh), &mut rng);
        chosen.expect("there are endpoints").node
    };
    assert_eq!(chosen_at(6 * SECOND_US), node(2));
    assert_eq!(chosen_at(30 * SECOND_US), node(1));
}

/// Guards against entries that spend most of their few requests on finding out how slow endpoints are.
#[test]
fn an_entry_with_few_requests_keeps_to_fast_endpoints() {
    const REQUESTS: u64 = 120;
    let here = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=8).map(|number| member(number, &here)).collect();
    let ranked = ranked(9, &members);
    let archive = Requirements {
        limits: TimeLimits {
            target_us: 4 * SECOND_US,
            deadline_us: 10 * SECOND_US,
        },
        ..requirements(Spill::Mesh)
    };
    // Every third endpoint is the slow one.
    let service_time_us = |endpoint: NodeId| match endpoint.0.port() % 3 {
        0 => 2_080_000,
        _ => 900_000,
    };
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut slow = 0;
    for request in 0..REQUESTS {
        let now_us = request * SECOND_US / 2;
        let chosen = balancer.choose(now_us, &ranked, &archive, &mut rng);
        let chosen = chosen.expect("there are endpoints");
        balancer.record_start(now_us, &chosen);
        let service_time_us = service_time_us(chosen.node);
        let load = LoadReport {
            mean_service_time_us: service_time_us,
            resource_service_time_us: service_time_us,
            ..load(3)
        };
        balancer.record_load(now_us + service_time_us, chosen.node, &PRICES, load);
        balancer.record_end(chosen.node);
        slow += u64::from(service_time_us > SECOND_US);
    }
    assert!(
        slow * 10 <= REQUESTS,
        "{slow} of {REQUESTS} went to slow endpoints"
    );
}

/// Guards against long work at slow endpoints that an entry knows by short work alone.
#[test]
fn service_times_reported_with_other_responses_count() {
    let here = place("cantabrico", "gijon");
    let members = [member(1, &here), member(2, &here)];
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    for endpoint in ranked.iter() {
        balancer.record_start(0, endpoint);
        balancer.record_end(endpoint.node);
        balancer.record_load(0, endpoint.node, &ResourceName::new("look-ups"), load(0));
    }
    balancer.record_service_time(0, node(1), &PRICES, 400_000);
    balancer.record_service_time(0, node(2), &PRICES, 20_000);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20 {
        let chosen = balancer.choose(1, &ranked, &requirements(Spill::Mesh), &mut rng);
        assert_eq!(chosen.expect("there are endpoints").node, node(2));
    }
}

/// An endpoint has just started and nobody knows its times. One request finds out; the others of that
/// moment are not sent after it.
#[test]
fn unmeasured_endpoint_gets_one_of_several_simultaneous_requests() {
    let here = place("cantabrico", "gijon");
    let members = [member(1, &here), member(2, &here)];
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    let known = ranked.iter().find(|endpoint| endpoint.node == node(1));
    balancer.record_start(0, known.expect("it is ranked"));
    balancer.record_load(0, node(1), &PRICES, load(5));
    let mut rng = StdRng::seed_from_u64(1);
    let mut unmeasured = 0;
    for _ in 0..10 {
        let chosen = balancer.choose(1, &ranked, &requirements(Spill::Mesh), &mut rng);
        let chosen = chosen.expect("there are endpoints");
        balancer.record_start(1, &chosen);
        unmeasured += usize::from(chosen.node == node(2));
    }
    assert_eq!(unmeasured, 1);
}

/// An endpoint fails half of what it gets, and its answers come at once. Least load alone would
/// send it most requests; what the entry has seen keeps them away, and a while later it is tried again.
#[test]
fn an_endpoint_that_fails_some_requests_is_avoided() {
    let here = place("cantabrico", "gijon");
    let members = [member(1, &here), member(2, &here)];
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    for endpoint in ranked.iter() {
        balancer.record_start(0, endpoint);
        balancer.record_load(0, endpoint.node, &PRICES, load(5));
    }
    for turn in 0..8 {
        let server_error = turn % 2 == 0;
        balancer.record_outcome(0, node(1), AttemptOutcome::Answered { server_error });
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut used = |now_us| {
        let used: Vec<NodeId> = (0..50)
            .filter_map(|_| balancer.choose(now_us, &ranked, &requirements(Spill::Mesh), &mut rng))
            .map(|endpoint| endpoint.node)
            .collect();
        used.contains(&node(1))
    };
    assert!(!used(1));
    assert!(used(30 * SECOND_US));
}

/// A request failed at an endpoint. Its retry goes to another one, and back to the same only if
/// there is no other.
#[test]
fn retry_prefers_another_endpoint() {
    let members = members_at_each_distance();
    let both = ranked(9, &members[..2]);
    let one = ranked(9, &members[..1]);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    let requirements = Requirements {
        tried: &[node(1)],
        ..requirements(Spill::Region)
    };
    let chosen = balancer.choose(0, &both, &requirements, &mut rng);
    assert_eq!(chosen.expect("there is another").node, node(2));
    let chosen = balancer.choose(0, &one, &requirements, &mut rng);
    assert_eq!(chosen.expect("it is the only one").node, node(1));
}

/// Gossip says that all are well, but calls show otherwise: endpoints that lose requests get no
/// more. When most of them do, the fault is a common one, and they are used again before the others
/// are overrun.
#[test]
fn failing_endpoints_are_ejected_up_to_half() {
    let here = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=8).map(|number| member(number, &here)).collect();
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut used = |balancer: &mut Balancer| {
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..500 {
            let chosen = balancer.choose(1, &ranked, &requirements(Spill::DataCentre), &mut rng);
            used.insert(chosen.expect("there are endpoints").node);
        }
        used
    };
    for endpoint in ranked.iter() {
        balancer.record_start(1, endpoint);
        balancer.record_load(1, endpoint.node, &PRICES, load(0));
    }
    assert_eq!(used(&mut balancer).len(), 8);
    for number in 1..=4 {
        for _ in 0..3 {
            balancer.record_outcome(1, node(number), AttemptOutcome::Lost);
        }
    }
    let left = used(&mut balancer);
    assert_eq!(left, (5..=8).map(node).collect());
    for _ in 0..3 {
        balancer.record_outcome(1, node(5), AttemptOutcome::Lost);
    }
    // The three that are left idle, so they get all; once they would make requests wait, those that
    // lost some are used as well.
    assert_eq!(used(&mut balancer), (6..=8).map(node).collect());
    for number in 6..=8 {
        balancer.record_load(1, node(number), &PRICES, load(60));
    }
    assert_eq!(used(&mut balancer), (1..=5).map(node).collect());
}

/// 520 nodes call a service of 37 endpoints. Each uses eight of a distance, every endpoint is used
/// by somebody, and when one goes, an entry that did not use it notices nothing.
#[test]
fn subsets_are_small_and_stable() {
    let here = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=37).map(|number| member(number, &here)).collect();
    let subset = |me: u16, members: &[Member]| -> Vec<NodeId> {
        let ranked = ranked(me, members);
        ranked
            .iter()
            .take(8)
            .map(|endpoint| endpoint.node)
            .collect()
    };
    let mut changed = 0;
    let mut used = std::collections::BTreeMap::new();
    for me in 1_000..1_520 {
        let before = subset(me, &members);
        let after = subset(me, &members[1..]);
        let kept = after.iter().filter(|node| before.contains(node)).count();
        assert!(kept >= 7, "one endpoint went and {} connections", 8 - kept);
        changed += usize::from(before != after);
        for node in before {
            *used.entry(node).or_insert(0) += 1;
        }
    }
    assert_eq!(used.len(), 37);
    assert_eq!(changed, used[&node(1)]);
}
