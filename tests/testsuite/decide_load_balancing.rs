//! Load balancing: distance, service times, ejection, retries and subsets.

use std::net::SocketAddr;
use std::sync::LazyLock;

use dragonflywall::core::configuration::Spill;
use dragonflywall::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{DataCentreName, RegionName, ResourceName, ServiceName};
use dragonflywall::core::version::Version;
use dragonflywall::decide::admission::{Priority, Rank};
use dragonflywall::decide::load_balancing::{
    AttemptOutcome, Balancer, LoadReport, RankedEndpoints, Requirements, TimeLimits, VersionSet,
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
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::default(),
        enforced: Version::NONE,
    }
}

fn ranked(entry_node: u16, members: &[Member]) -> RankedEndpoints {
    RankedEndpoints::rank(node(entry_node), &place("cantabrico", "gijon"), members)
}

/// Guards against a ranking whose cost grows with the square of the endpoints, which takes most of the processor of a
/// small VM while many nodes restart.
#[test]
fn each_endpoint_is_hashed_once_for_a_ranking() {
    for count in [250, 1_000] {
        let here = place("cantabrico", "gijon");
        let members: Vec<Member> = (0..count).map(|number| member(number, &here)).collect();
        let mut hashed = 0;
        let ranked = RankedEndpoints::rank_by(&here, &members, |node| {
            hashed += 1;
            u64::from(node.0.port())
        });
        assert_eq!(hashed, count);
        let ports: Vec<u16> = ranked.iter().map(|e| e.node.0.port()).collect();
        assert!(ports.is_sorted_by(|before, after| before > after));
    }
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
        priority: PRIORITY,
        body_bytes: 3_000,
        tried: &[],
        versions: VersionSet::ALL,
        only: None,
    }
}

/// Priority of the requests.
const PRIORITY: Priority = Priority::CallerRequest {
    rank: Rank::of_route(1),
};

/// Returns the load report of an endpoint with 20 slots and a service time of 20 ms.
fn load(in_flight: u32) -> LoadReport {
    LoadReport {
        in_use: in_flight.min(20),
        ahead: in_flight.saturating_sub(20),
        slots: 20,
        mean_service_time_us: 20_000,
        resource_service_time_us: 20_000,
        upload_time_us: 0,
        rate: None,
    }
}

fn members_at_each_distance() -> Vec<Member> {
    vec![
        member(1, &place("cantabrico", "gijon")),
        member(2, &place("cantabrico", "bilbao")),
        member(3, &place("meseta", "leon")),
    ]
}

/// Records load reports of endpoints 1 to 3, nearest first, with the given numbers of requests.
fn report_load(balancer: &mut Balancer, ranked: &RankedEndpoints, in_flight: [u32; 3]) {
    for (number, in_flight) in (1..).zip(in_flight) {
        let endpoint = ranked.iter().find(|endpoint| endpoint.node == node(number));
        let endpoint = endpoint.expect("the endpoint is ranked");
        // Reports count only for endpoints to which a request was sent.
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
    chosen.expect("an endpoint is available").node
}

/// Guards against needless use of billed links, of which the one between regions costs several times as
/// much as the one between data centres. A small request leaves its data centre only if it would queue
/// there, and its region only if it would queue for long in all of the region and its treatment allows
/// another region.
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
    // After two seconds the reports no longer count, and the nearest endpoint is chosen again.
    assert_eq!(
        choose_with_load([60, 60, 0], &prices, 2 * SECOND_US),
        node(1)
    );
}

/// A request of 60 KB costs about twelve times as much on a billed link as a small one, so it accepts a
/// longer queue at a near endpoint. It still goes further away if the near queues are very long.
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

/// Guards against late responses to callers near a slow endpoint: another endpoint, in a data centre a
/// millisecond away, is much faster. If the nearest endpoint always went first, a fifth of its responses
/// would be late.
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
        chosen.expect("an endpoint is available").node
    };
    assert_eq!(choose(&mut balancer, Spill::Mesh, &mut rng), node(2));
    // If the treatment allows only the data centre itself, the slow endpoint is used.
    assert_eq!(choose(&mut balancer, Spill::DataCentre, &mut rng), node(1));
    // After some time the reported service time has decayed, and the endpoint is tried again.
    let mut chosen_at = |now_us| {
        let chosen = balancer.choose(now_us, &ranked, &requirements(Spill::Mesh), &mut rng);
        chosen.expect("an endpoint is available").node
    };
    assert_eq!(chosen_at(6 * SECOND_US), node(2));
    assert_eq!(chosen_at(30 * SECOND_US), node(1));
}

/// Guards against entry nodes with few requests that send most of them to unmeasured endpoints, which may
/// be slow.
#[test]
fn entry_node_with_few_requests_keeps_to_fast_endpoints() {
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
    // Every third endpoint is slow.
    let service_time_us = |endpoint: NodeId| match endpoint.0.port() % 3 {
        0 => 2_080_000,
        _ => 900_000,
    };
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut slow_requests = 0;
    for request in 0..REQUESTS {
        let now_us = request * SECOND_US / 2;
        let chosen = balancer.choose(now_us, &ranked, &archive, &mut rng);
        let chosen = chosen.expect("an endpoint is available");
        balancer.record_start(now_us, &chosen);
        let service_time_us = service_time_us(chosen.node);
        let load = LoadReport {
            mean_service_time_us: service_time_us,
            resource_service_time_us: service_time_us,
            ..load(3)
        };
        balancer.record_load(now_us + service_time_us, chosen.node, &PRICES, load);
        balancer.record_end(chosen.node);
        slow_requests += u64::from(service_time_us > SECOND_US);
    }
    assert!(
        slow_requests * 10 <= REQUESTS,
        "{slow_requests} of {REQUESTS} requests went to slow endpoints"
    );
}

/// Guards against long requests at a slow endpoint for which an entry node has measured only short ones:
/// the service times that endpoints report for other resources count.
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
        assert_eq!(chosen.expect("an endpoint is available").node, node(2));
    }
}

/// Guards against a burst of requests to an endpoint that has just started and may be cold: one request
/// measures it, and the others go to a known endpoint.
#[test]
fn unmeasured_endpoint_gets_one_of_several_simultaneous_requests() {
    let here = place("cantabrico", "gijon");
    let members = [member(1, &here), member(2, &here)];
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    let known = ranked.iter().find(|endpoint| endpoint.node == node(1));
    balancer.record_start(0, known.expect("the endpoint is ranked"));
    balancer.record_load(0, node(1), &PRICES, load(5));
    let mut rng = StdRng::seed_from_u64(1);
    let mut unmeasured = 0;
    for _ in 0..10 {
        let chosen = balancer.choose(1, &ranked, &requirements(Spill::Mesh), &mut rng);
        let chosen = chosen.expect("an endpoint is available");
        balancer.record_start(1, &chosen);
        unmeasured += usize::from(chosen.node == node(2));
    }
    assert_eq!(unmeasured, 1);
}

/// Guards against an endpoint that fails half of its requests at once and therefore has the lowest load.
/// The entry node's failure rate keeps requests away from it; later on it is tried again.
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
    for number in 0..8 {
        let server_error = number % 2 == 0;
        balancer.record_outcome(
            0,
            node(1),
            PRIORITY,
            AttemptOutcome::Answered { server_error },
        );
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

/// A retry goes to an endpoint at which the request has not failed, and to the same one only if there is no
/// other.
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
    assert_eq!(chosen.expect("another endpoint is available").node, node(2));
    let chosen = balancer.choose(0, &one, &requirements, &mut rng);
    assert_eq!(
        chosen.expect("the failed endpoint is the only one").node,
        node(1)
    );
}

/// Guards against endpoints that are alive in gossip but lose requests: they are ejected. If most are
/// ejected, the cause is probably common to all, so ejected ones are used again before the remaining ones
/// are overloaded.
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
            used.insert(chosen.expect("an endpoint is available").node);
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
            balancer.record_outcome(1, node(number), PRIORITY, AttemptOutcome::Lost);
        }
    }
    let remaining = used(&mut balancer);
    assert_eq!(remaining, (5..=8).map(node).collect());
    for _ in 0..3 {
        balancer.record_outcome(1, node(5), PRIORITY, AttemptOutcome::Lost);
    }
    // The three remaining endpoints are idle, so they get all requests. When requests would queue
    // there, the ejected ones are used as well.
    assert_eq!(used(&mut balancer), (6..=8).map(node).collect());
    for number in 6..=8 {
        balancer.record_load(1, node(number), &PRICES, load(60));
    }
    assert_eq!(used(&mut balancer), (1..=5).map(node).collect());
}

/// 520 entry nodes use subsets of eight of the 37 endpoints of a service. Every endpoint is in some subset,
/// and the removal of one changes only the subsets that contain it, each by one endpoint.
#[test]
fn subsets_are_small_and_stable() {
    let here = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=37).map(|number| member(number, &here)).collect();
    let subset = |entry_node: u16, members: &[Member]| -> Vec<NodeId> {
        let ranked = ranked(entry_node, members);
        ranked
            .iter()
            .take(8)
            .map(|endpoint| endpoint.node)
            .collect()
    };
    let mut changed = 0;
    let mut used = std::collections::BTreeMap::new();
    for entry_node in 1_000..1_520 {
        let before = subset(entry_node, &members);
        let after = subset(entry_node, &members[1..]);
        let kept = after.iter().filter(|node| before.contains(node)).count();
        assert!(
            kept >= 7,
            "the removal of one endpoint changed {} of a subset",
            8 - kept
        );
        changed += usize::from(before != after);
        for node in before {
            *used.entry(node).or_insert(0) += 1;
        }
    }
    assert_eq!(used.len(), 37);
    assert_eq!(changed, used[&node(1)]);
}

/// Records an attempt at an endpoint that accepted no connection.
fn record_unreachable(balancer: &mut Balancer, ranked: &RankedEndpoints, number: u16) {
    let endpoint = ranked.iter().find(|endpoint| endpoint.node == node(number));
    balancer.record_start(0, endpoint.expect("the endpoint is ranked"));
    balancer.record_end(node(number));
    balancer.record_outcome(0, node(number), PRIORITY, AttemptOutcome::Unreachable);
}

/// Guards against sending request after request to endpoints that accept no connection, because half of them are ejected.
#[test]
fn unreachable_endpoints_are_used_only_if_there_is_no_other() {
    let place = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=4).map(|number| member(number, &place)).collect();
    let ranked = ranked(1, &members);
    let requirements = requirements(Spill::DataCentre);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut choose = |balancer: &mut Balancer| {
        let chosen = balancer.choose(0, &ranked, &requirements, &mut rng);
        chosen.expect("an endpoint is chosen").node
    };
    for number in 2..=4 {
        record_unreachable(&mut balancer, &ranked, number);
    }
    for _ in 0..40 {
        assert_eq!(choose(&mut balancer), node(1));
    }
    record_unreachable(&mut balancer, &ranked, 1);
    choose(&mut balancer);
}

/// Guards against trying the same unreachable endpoint again and again while another one may have come back.
#[test]
fn unreachable_endpoints_are_tried_in_turn_if_all_are() {
    let place = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=4).map(|number| member(number, &place)).collect();
    let ranked = ranked(1, &members);
    let requirements = requirements(Spill::DataCentre);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut tried = Vec::new();
    for now_us in 0..8 {
        let chosen = balancer.choose(now_us, &ranked, &requirements, &mut rng);
        let chosen = chosen.expect("an endpoint is chosen");
        balancer.record_start(now_us, &chosen);
        balancer.record_end(chosen.node);
        let outcome = AttemptOutcome::Unreachable;
        balancer.record_outcome(now_us, chosen.node, PRIORITY, outcome);
        tried.push(chosen.node);
    }
    assert_eq!(tried[..4], tried[4..]);
    tried.truncate(4);
    tried.sort();
    assert_eq!(tried, (1..=4).map(node).collect::<Vec<_>>());
}

/// Guards against waiting for unreachable endpoints nearby while there are others farther away.
#[test]
fn a_farther_endpoint_is_used_if_all_nearer_ones_are_unreachable() {
    let members = members_at_each_distance();
    let ranked = ranked(1, &members);
    let requirements = requirements(Spill::Mesh);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(7);
    for number in [1, 2] {
        record_unreachable(&mut balancer, &ranked, number);
        let chosen = balancer.choose(0, &ranked, &requirements, &mut rng);
        assert_eq!(chosen.map(|chosen| chosen.node), Some(node(number + 1)));
    }
}
