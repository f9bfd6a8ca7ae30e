//! Membership without sockets: convergence, partitions, message loss, and many restarts at once.

use dragonflywall::core::member::{BackendRecord, BackendState, Liveness, Member};
use dragonflywall::core::version::Version;
use dragonflywall::membership::{Gossip, Membership, NeighbourKind};

use crate::spread_network::{TICK_MS, TestNetwork, alive_nodes, stamp};

fn converged_network(per_data_centre: u8) -> TestNetwork {
    let mut network = TestNetwork::new(per_data_centre);
    network.run_until("all views converge", 60_000, TestNetwork::has_converged);
    network
}

/// A pseudo-random percentage that is the same in each run.
fn pseudo_random_percent(seed: u64) -> u64 {
    seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29) % 100
}

/// The nodes of six data centres, which start with three seeds each, find each other and agree on
/// the members. While nothing changes, no further records are sent.
#[test]
fn nodes_converge_and_stop_sending_updates() {
    let mut network = converged_network(10);
    network.run_for(15_000);
    let before = network.records_sent;
    network.run_for(20_000);
    assert_eq!(network.records_sent, before);
}

/// Guards against heartbeat traffic per node that grows with the mesh. With more nodes, each still
/// starts about one exchange a second.
#[test]
fn heartbeats_per_node_do_not_grow_with_the_mesh() {
    let per_node = |per_data_centre: u8| {
        let mut network = converged_network(per_data_centre);
        network.run_for(20_000);
        let before = network.exchanges;
        network.run_for(60_000);
        let nodes = network.nodes.len() as u64;
        (network.exchanges - before) / nodes
    };
    let (few, many) = (per_node(6), per_node(30));
    assert!(many <= few, "{few} grew to {many} exchanges a minute");
}

/// Lets one node announce a version, which every other node fetches instantly once it receives the
/// announcement. Returns the time until all running nodes hold it, if that takes less than a
/// second.
fn held_everywhere_ms(network: &mut TestNetwork, from: usize) -> Option<u64> {
    const STEP_MS: u64 = 5;
    network.node(from).set_head(stamp(1));
    network.node(from).set_held(stamp(1));
    (0..1_000).step_by(5).find(|_| {
        network.run_for(STEP_MS);
        for node in network.nodes.iter_mut().flatten() {
            if node.head() == stamp(1) {
                node.set_held(stamp(1));
            }
        }
        network.running().all(|node| node.held() == stamp(1))
    })
}

/// An announcement reaches every node long before the next heartbeat is due.
#[test]
fn announcement_reaches_every_node_at_once() {
    let mut network = converged_network(20);
    network.run_for(10_000);
    assert!(held_everywhere_ms(&mut network, 3).is_some());
}

/// Guards against a region that receives no announcements until its failed gateway is declared
/// dead.
#[test]
fn a_version_crosses_between_regions_right_after_a_gateway_has_died() {
    let mut network = converged_network(6);
    network.run_for(10_000);
    let is_gateway = |position: &usize| {
        let node = network.nodes[*position].as_ref();
        node.is_some_and(|node| {
            node.neighbours()
                .any(|(_, kind)| kind == NeighbourKind::Gateway)
        })
    };
    let gateways: Vec<usize> = (0..network.nodes.len()).filter(is_gateway).collect();
    assert_eq!(gateways.len(), 2, "one gateway per region: {gateways:?}");
    let from = usize::from(gateways[0] == 0);
    network.stop(gateways[0]);
    assert!(held_everywhere_ms(&mut network, from).is_some());
}

/// Every node enforces a version. The individual reports stay in their data centre, while the count
/// of each data centre reaches all nodes, so that an operator can ask any of them.
#[test]
fn summaries_of_each_data_centre_reach_every_node() {
    let mut network = converged_network(8);
    let crossed_before = network.cross_region_records;
    for position in 0..network.nodes.len() {
        network.node(position).set_held(stamp(4));
        network.node(position).set_enforced(Version(4));
    }
    network.run_until("every node has all counts", 30_000, |network| {
        let complete = |row: &dragonflywall::core::status::DataCentreSummary| {
            row.nodes == 8 && row.versions == [(Version(4), 8)].into()
        };
        let has_all_counts = |node: &Membership| {
            let rows = node.summaries();
            rows.len() == 6 && rows.iter().all(complete)
        };
        network.running().all(has_all_counts)
    });
    assert_eq!(network.cross_region_records, crossed_before);
}

/// A node is paused until it is declared dead, and resumes. It returns to every view, and does not
/// mark others as suspect because its own exchanges timed out during the pause.
#[test]
fn paused_node_rejoins_without_suspecting_others() {
    let mut network = converged_network(6);
    let paused = network.records[5].node;
    // The node has just started exchanges with all its neighbours and gets no answers.
    network.set_filter(move |from, _, _| from.node != paused);
    network.node(5).set_held(stamp(1));
    network.run_for(300);
    network.set_filter(|_, _, _| true);
    network.freeze(5);
    network.run_until("the paused node is declared dead", 60_000, |network| {
        let others = network
            .running()
            .filter(|n| n.local_member().node != paused);
        others
            .into_iter()
            .all(|node| !alive_nodes(node).contains(&paused))
    });
    let highest_sequence_of_others = |network: &TestNetwork| {
        let members = network.running().flat_map(|n| n.members());
        let others = members.filter(|m| m.node != paused);
        others.map(|m| m.sequence).max()
    };
    let before = highest_sequence_of_others(&network);
    network.resume(5);
    network.run_until("the node rejoins", 60_000, TestNetwork::has_converged);
    // No other node had to refute a claim.
    assert_eq!(highest_sequence_of_others(&network), before);
}

fn backend_in_state(state: BackendState) -> BackendRecord {
    BackendRecord {
        service: None,
        start: None,
        software_version: None,
        state,
    }
}

fn gossip_from(sender: &Member, updates: Vec<Member>) -> Gossip {
    Gossip {
        from: sender.node,
        view_hash: 0,
        version: Version::NONE,
        announce: None,
        updates,
        reports: Vec::new(),
        summaries: Vec::new(),
        rollouts_digest: 0,
        rollouts: None,
        want_all: false,
    }
}

/// Guards against a member that is declared dead because the time for its refutation passed while this process was
/// frozen.
#[test]
fn suspicion_does_not_expire_in_a_freeze() {
    let mut network = converged_network(6);
    let [sender, suspected] = [3, 4].map(|position| network.records[position].clone());
    let start_ms = network.now_ms;
    let suspicion = Member {
        liveness: Liveness::Suspect,
        sequence: suspected.sequence + 100,
        ..suspected.clone()
    };
    let node = network.node(5);
    node.receive(start_ms, &gossip_from(&sender, vec![suspicion]));
    let liveness = |node: &Membership| {
        let found = node.members().find(|m| m.node == suspected.node);
        found.map(|m| m.liveness)
    };
    let woken_ms = start_ms + 20_000;
    node.tick(woken_ms);
    assert_eq!(liveness(node), Some(Liveness::Suspect));
    for tick in 1..=4 {
        node.tick(woken_ms + tick * 1_000);
        assert_eq!(liveness(node), Some(Liveness::Suspect));
    }
    node.tick(woken_ms + 5_000);
    assert_eq!(liveness(node), Some(Liveness::Dead));
}

/// Guards against an acknowledgement of a peer that restarted without state while this process was frozen: the answer
/// is from the earlier process, and the later one has no record of the version.
#[test]
fn acknowledgement_from_before_a_freeze_does_not_count() {
    let mut network = converged_network(2);
    let start_ms = network.now_ms;
    let peer = network.records[1].clone();
    let node = network.node(0);
    node.set_held(stamp(1));
    let exchanges = (0..20).flat_map(|step| node.tick(start_ms + step * TICK_MS));
    let sent = exchanges
        .into_iter()
        .find(|sent| sent.to == Some(peer.node));
    let sent = sent.expect("the version is announced to the only peer of the data centre");
    let answer = network.node(1).receive(sent.started_ms, &sent.gossip);
    let woken_ms = sent.started_ms + 20_000;
    let restarted = Member {
        incarnation_us: peer.incarnation_us + 1,
        ..peer
    };
    let node = network.node(0);
    node.receive(woken_ms, &gossip_from(&restarted, vec![restarted.clone()]));
    node.exchange_done(woken_ms, &sent, &answer);
    assert_eq!(node.acknowledged_version(), Version::NONE);
}

/// A VM is replaced by one with the same address whose clock is an hour behind, so its records look
/// older than the ones that the mesh has of the replaced VM.
#[test]
fn restarted_node_with_an_earlier_clock_supersedes_its_old_record() {
    let mut network = converged_network(6);
    network.stop(7);
    network.run_for(20_000);
    network.records[7].incarnation_us = 10;
    network.start(7);
    network.run_until("the node rejoins", 60_000, TestNetwork::has_converged);
}

/// The link between the regions is cut until each side has declared the other dead, and heals. No
/// node restarts and the store is not read: the sides must find each other by probing.
#[test]
fn regions_that_declared_each_other_dead_merge_again() {
    let mut network = converged_network(8);
    network.set_filter(|from, to, _| from.place.region == to.place.region);
    network.run_until(
        "each region considers only its own nodes alive",
        120_000,
        |network| network.running().all(|node| alive_nodes(node).len() == 24),
    );
    network.run_for(600_000);
    network.set_filter(|_, _, _| true);
    let before = network.cross_region_records;
    network.run_until("the regions merge", 120_000, TestNetwork::has_converged);
    network.run_for(20_000);
    // Each of the 48 nodes refutes once that it is dead. Whole views cross the link a few times,
    // not once per node.
    let crossed = network.cross_region_records - before;
    assert!(crossed < 48 * 12, "{crossed} records crossed");
}

/// One data centre is partitioned from all others and returns. The others must not lose any other
/// member.
#[test]
fn partitioned_data_centre_rejoins() {
    let mut network = converged_network(8);
    let is_isolated = |member: &Member| member.place.data_centre.as_str() == "dc-1";
    network.set_filter(move |from, to, _| is_isolated(from) == is_isolated(to));
    network.run_until(
        "both sides consider only their own nodes alive",
        120_000,
        |network| {
            let expected = |node: &Membership| match is_isolated(node.local_member()) {
                true => 8,
                false => 40,
            };
            network
                .running()
                .all(|node| alive_nodes(node).len() == expected(node))
        },
    );
    // Long enough for suspects to be declared dead.
    network.run_for(30_000);
    network.set_filter(|_, _, _| true);
    network.run_until("the sides merge", 120_000, TestNetwork::has_converged);
}

/// A fifth of all messages is lost for a minute, so that live nodes are suspected and declared
/// dead. Afterwards every node is alive in every view.
#[test]
fn membership_recovers_from_message_loss() {
    let mut network = converged_network(8);
    network.set_filter(|_, _, number| pseudo_random_percent(number) >= 20);
    network.run_for(60_000);
    network.set_filter(|_, _, _| true);
    network.run_until("all views converge", 60_000, TestNetwork::has_converged);
}

/// Guards against a large number of exchanges after all processes die and restart at the same time
/// with three seeds each. They must find each other with few exchanges per node.
#[test]
fn nodes_that_all_restart_at_once_converge() {
    let mut network = converged_network(20);
    let before = network.exchanges;
    for position in 0..network.nodes.len() {
        network.records[position].incarnation_us += 1_000_000;
        network.start(position);
    }
    network.run_until("all views converge", 60_000, TestNetwork::has_converged);
    let per_node = (network.exchanges - before) / network.nodes.len() as u64;
    assert!(per_node < 150, "{per_node} exchanges per node");
}

/// Half of all nodes die at once. The others agree on the remaining members, and accept the dead
/// ones again after their restart.
#[test]
fn half_of_the_nodes_die_and_come_back() {
    let mut network = converged_network(10);
    let dead: Vec<usize> = (0..network.nodes.len()).filter(|n| n % 2 == 0).collect();
    for position in &dead {
        network.stop(*position);
    }
    network.run_until("the dead are detected", 120_000, TestNetwork::has_converged);
    let is_dead = |m: &Member| m.liveness == Liveness::Dead;
    assert!(network.running().all(|n| n.members().any(is_dead)));
    for position in dead {
        network.records[position].incarnation_us += 1_000_000;
        network.start(position);
    }
    network.run_until("the dead nodes rejoin", 120_000, TestNetwork::has_converged);
}

/// Guards against acknowledgements that a restarted node would not find. A node that is about to
/// enforce a version can reach no peer of its data centre, where it would ask for its floor after a
/// restart. Acknowledgements from other data centres must not count.
#[test]
fn only_the_own_data_centre_acknowledges_a_version() {
    let mut network = converged_network(4);
    let isolated = network.records[0].clone();
    network.set_filter(move |from, to, _| {
        from.place != to.place || (from.node != isolated.node && to.node != isolated.node)
    });
    network.node(0).set_held(stamp(5));
    network.run_for(3_000);
    assert_eq!(network.node(0).acknowledged_version(), Version::NONE);
    network.set_filter(|_, _, _| true);
    network.run_until("version 5 is acknowledged", 60_000, |network| {
        let node = network.running().next().expect("the node runs");
        node.acknowledged_version() == Version(5)
    });
    let isolated = network.records[0].clone();
    let mut near = network
        .running()
        .filter(|n| n.local_member().place == isolated.place);
    assert!(near.any(|n| n.local_member().node != isolated.node
        && n.highest_reported(isolated.node) == Version(5)));
}

/// Guards against a leave message that is delayed by batching. A node that has just sent an update
/// leaves and ends; there is no later message, so callers would continue to send requests to it.
#[test]
fn leave_message_is_not_batched() {
    let mut network = converged_network(8);
    network.run_for(20_000);
    let leaving = network.node(20);
    leaving.set_backend(backend_in_state(BackendState::Draining));
    let node = leaving.local_member().node;
    // All neighbours have just received an update, so the next one would be batched.
    network.run_until("every view shows it as draining", 1_000, |network| {
        let draining = |n: &Membership| {
            let mut members = n.members();
            members.any(|m| m.node == node && m.backend == BackendState::Draining)
        };
        network.running().all(draining)
    });
    let serving = backend_in_state(BackendState::Serving);
    network.node(20).set_backend(serving);
    network.tick(20);
    network.run_for(3);
    network.leave(20);
    network.run_until("no view shows it as alive", 1_000, |network| {
        network.running().all(|n| !alive_nodes(n).contains(&node))
    });
}

/// Guards against a version that is enforced after a single acknowledgement: if the node and the
/// acknowledging peer died, no peer would have a record of the version. One of the two neighbours
/// in the data centre is slow; the node must wait for it, or until it is suspected.
#[test]
fn version_needs_two_acknowledgements() {
    let mut network = converged_network(4);
    network.run_for(20_000);
    let node = network.node(0);
    let me = node.local_member().node;
    let ring: Vec<_> = node
        .neighbours()
        .filter(|(_, k)| *k == NeighbourKind::Ring)
        .collect();
    let (slow, _) = ring[0];
    assert_eq!(ring.len(), 2);
    network.set_filter(move |from, to, _| from.node != me || to.node != slow);
    network.node(0).set_held(stamp(5));
    network.run_for(TICK_MS + 50);
    let has_version_on_record = |n: &Membership| n.highest_reported(me) == Version(5);
    assert!(network.running().any(has_version_on_record));
    assert_eq!(network.node(0).acknowledged_version(), Version::NONE);
    network.set_filter(|_, _, _| true);
    network.run_until("version 5 is acknowledged", 10_000, |network| {
        let node = network.running().next().expect("the node runs");
        node.acknowledged_version() == Version(5)
    });
    assert!(
        network
            .running()
            .filter(|n| has_version_on_record(n))
            .count()
            >= 2
    );
}
