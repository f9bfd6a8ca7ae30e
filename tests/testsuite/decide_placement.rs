//! Placement: distance, own observation, ejection within bounds, stable subsets.

use std::net::SocketAddr;

use dragonflywall::core::configuration::Spill;
use dragonflywall::core::member::{BackendState, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{DataCentreName, RegionName, ServiceName};
use dragonflywall::core::version::Version;
use dragonflywall::decide::placement::{Balancer, Need, Observed, Ranked};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: u64 = 1_000_000;

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

fn ranked(me: u16, members: &[Member]) -> Ranked {
    let mut ranked = Ranked::default();
    for member in members {
        ranked.add(node(me), &place("cantabrico", "gijon"), member);
    }
    ranked
}

fn need(spill: Spill) -> Need<'static> {
    Need {
        spill,
        slots: 20,
        queue_len: 20,
        tried: &[],
    }
}

fn three_places() -> Vec<Member> {
    vec![
        member(1, &place("cantabrico", "gijon")),
        member(2, &place("cantabrico", "bilbao")),
        member(3, &place("meseta", "leon")),
    ]
}

/// The link between regions is billed. A request crosses it only when everything nearer is full,
/// and not at all if its treatment forbids it.
#[test]
fn the_billed_link_is_crossed_last() {
    let members = three_places();
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    for (full, expected) in [(0, 1), (1, 2), (2, 3)] {
        for number in 1..=full {
            balancer.reported(0, node(number), 100);
        }
        let chosen = balancer.choose(0, &ranked, &need(Spill::Mesh), &mut rng);
        let chosen = chosen.expect("there are endpoints");
        assert_eq!(chosen.node, node(expected));
        balancer.begun(0, &chosen);
    }
    let chosen = balancer.choose(0, &ranked, &need(Spill::Region), &mut rng);
    assert_ne!(chosen.expect("there are endpoints").node, node(3));
    // Reports grow stale: a second later the nearest may be free again.
    let chosen = balancer.choose(2 * SECOND, &ranked, &need(Spill::Mesh), &mut rng);
    assert_eq!(chosen.expect("there are endpoints").node, node(1));
}

/// All slots are taken and the near queue is full, but further away there is room in a queue. The
/// request waits there instead of being refused here.
#[test]
fn a_full_queue_is_passed_by() {
    let members = three_places();
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    // Each has to be known before its word counts.
    for endpoint in ranked.iter() {
        balancer.begun(0, endpoint);
    }
    for (number, load_percent) in [(1, 200), (2, 150), (3, 100)] {
        balancer.reported(0, node(number), load_percent);
    }
    let chosen = balancer.choose(0, &ranked, &need(Spill::Mesh), &mut rng);
    assert_eq!(chosen.expect("there are endpoints").node, node(2));
    let chosen = balancer.choose(0, &ranked, &need(Spill::DataCentre), &mut rng);
    assert_eq!(chosen.expect("there are endpoints").node, node(1));
}

/// A request failed at an endpoint. Its retry goes to another one, and back to the same only if
/// there is no other.
#[test]
fn a_retry_goes_elsewhere() {
    let members = three_places();
    let both = ranked(9, &members[..2]);
    let one = ranked(9, &members[..1]);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    let need = Need {
        tried: &[node(1)],
        ..need(Spill::Region)
    };
    let chosen = balancer.choose(0, &both, &need, &mut rng);
    assert_eq!(chosen.expect("there is another").node, node(2));
    let chosen = balancer.choose(0, &one, &need, &mut rng);
    assert_eq!(chosen.expect("it is the only one").node, node(1));
}

/// Gossip says that all are well, but calls show otherwise: endpoints that lose requests get no
/// more. When most of them do, the fault is a common one, and all are used again.
#[test]
fn own_observation_outweighs_gossip_up_to_half() {
    let here = place("cantabrico", "gijon");
    let members: Vec<Member> = (1..=8).map(|number| member(number, &here)).collect();
    let ranked = ranked(9, &members);
    let mut balancer = Balancer::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut used = |balancer: &mut Balancer| {
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..500 {
            let chosen = balancer.choose(1, &ranked, &need(Spill::DataCentre), &mut rng);
            used.insert(chosen.expect("there are endpoints").node);
        }
        used
    };
    assert_eq!(used(&mut balancer).len(), 8);
    for number in 1..=4 {
        for _ in 0..3 {
            balancer.observed(1, node(number), Observed::Lost);
        }
    }
    let left = used(&mut balancer);
    assert_eq!(left, (5..=8).map(node).collect());
    for _ in 0..3 {
        balancer.observed(1, node(5), Observed::Lost);
    }
    assert_eq!(used(&mut balancer).len(), 8);
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
