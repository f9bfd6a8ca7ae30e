use std::collections::BTreeMap;

use super::*;
use crate::decide::rollout::NodeTally;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn member(port: u16) -> Member {
    Member {
        node: NodeId(address(port)),
        external: address(port),
        place: Place {
            region: RegionName::new("meseta"),
            data_centre: DataCentreName::new("burgos"),
        },
        incarnation_us: 7,
        sequence: 3,
        liveness: Liveness::Alive,
        service: Some(ServiceName::new("cobros")),
        backend: BackendState::Serving,
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::default(),
        enforced: Version::NONE,
    }
}

fn gossip() -> wire::Gossip {
    let summary = |place: &str| Summary {
        place: Place {
            region: RegionName::new("meseta"),
            data_centre: DataCentreName::new(place),
        },
        nodes: 2,
        versions: BTreeMap::from([(Version(4), 2)]),
        sequence: 9,
    };
    let report = |port| Report {
        node: NodeId(address(port)),
        incarnation_us: 7,
        version: Version(4),
    };
    gossip_to_wire(&Gossip {
        from: NodeId(address(1)),
        view_hash: 5,
        version: Version(4),
        announce: Some(Stamp::NONE),
        updates: vec![member(2), member(3)],
        reports: vec![report(2), report(3)],
        summaries: vec![summary("burgos"), summary("leon")],
        rollouts_digest: 0,
        rollouts: None,
        want_all: false,
    })
}

/// Changes that make an entry of a list unreadable.
type Change<T> = fn(&mut T);

/// Guards against a message whose members, reports and summaries are all lost because of one of them.
#[test]
fn an_unreadable_entry_hides_no_other_of_its_message() {
    let members: [Change<wire::Member>; 11] = [
        |member| member.node.clear(),
        |member| member.node = vec![0xff; 1 << 16],
        |member| member.node = vec![10, 0, 0, 1, 0, 0],
        |member| member.node = vec![0, 0, 0, 0, 0, 80],
        |member| member.external = vec![1],
        |member| member.place = u32::MAX,
        |member| member.service = u32::MAX,
        |member| member.liveness = i32::MAX,
        |member| member.backend = -1,
        |member| member.incarnation = u64::MAX,
        |member| member.sequence = u64::MAX,
    ];
    for (number, change) in members.into_iter().enumerate() {
        let mut message = gossip();
        change(&mut message.updates[0]);
        let read = gossip_from_wire(&message).expect("the message is read");
        assert_eq!(read.updates, [member(3)], "member {number}");
        assert_eq!((read.reports.len(), read.summaries.len()), (2, 2));
    }
    let reports: [Change<wire::Report>; 2] = [
        |report| report.node = vec![1, 2, 3],
        |report| report.incarnation = u64::MAX,
    ];
    for change in reports {
        let mut message = gossip();
        change(&mut message.reports[0]);
        let read = gossip_from_wire(&message).expect("the message is read");
        assert_eq!((read.updates.len(), read.reports.len()), (2, 1));
    }
    let summaries: [Change<wire::Summary>; 4] = [
        |summary| summary.place = u32::MAX,
        |summary| summary.nodes = u32::MAX,
        |summary| summary.versions[0].nodes = u32::MAX,
        |summary| summary.sequence = u64::MAX,
    ];
    for change in summaries {
        let mut message = gossip();
        change(&mut message.summaries[0]);
        let read = gossip_from_wire(&message).expect("the message is read");
        assert_eq!((read.updates.len(), read.summaries.len()), (2, 1));
    }
}

/// Guards against an invalid name of a service, or a damaged stamp, that hides all members.
#[test]
fn what_members_do_not_refer_to_hides_none() {
    let mut message = gossip();
    message.services.push("no name\n".to_owned());
    message.announce = Some(wire::Enforced {
        version: 9,
        digest: vec![1, 2],
    });
    let read = gossip_from_wire(&message).expect("the message is read");
    assert_eq!((read.updates.len(), read.announce), (2, None));
    message.updates[1].service = 2;
    let read = gossip_from_wire(&message).expect("the message is read");
    assert_eq!(read.updates, [member(2)]);
}

fn rollout_record(service: &str) -> wire::RolloutRecord {
    wire::RolloutRecord {
        service: service.to_owned(),
        order_revision: 2,
        order: Some(wire::RolloutOrder {
            to: "v2".to_owned(),
            duration_ms: 30_000,
        }),
        state_revision: 3,
        state: Some(wire::RolloutState {
            order_revision: 2,
            to: "v2".to_owned(),
            phase: wire::RolloutPhase::Shift.into(),
            share_percent: 40,
            decided_by: address_to_wire(address(2)),
            ..wire::RolloutState::default()
        }),
    }
}

/// Guards against the roll-out of one service that hides those of the others.
#[test]
fn an_unreadable_roll_out_hides_no_other() {
    let changes: [Change<wire::RolloutRecord>; 6] = [
        |record| record.service = "no name\n".to_owned(),
        |record| {
            record
                .order
                .iter_mut()
                .for_each(|order| order.duration_ms = u64::MAX)
        },
        |record| {
            record
                .state
                .iter_mut()
                .for_each(|state| state.share_percent = 101)
        },
        |record| record.state.iter_mut().for_each(|state| state.phase = 77),
        |record| {
            record
                .state
                .iter_mut()
                .for_each(|state| state.decided_by.clear())
        },
        |record| {
            let states = record.state.iter_mut();
            states.for_each(|state| state.ordered_store_ms = u64::MAX);
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut book = wire::RolloutBook {
            records: vec![rollout_record("cobros"), rollout_record("tablon")],
        };
        change(&mut book.records[0]);
        let read = rollouts::book_from_wire(&book);
        let services: Vec<&ServiceName> = read.iter().map(|(service, _)| service).collect();
        assert_eq!(services, [&ServiceName::new("tablon")], "change {number}");
    }
}

/// Guards against counts, crashes and sums that are lost because of one among them.
#[test]
fn an_unreadable_report_hides_no_other() {
    let tally = |node: Vec<u8>, times: usize| wire::NodeTally {
        node,
        service: "cobros".to_owned(),
        resources: vec![wire::ResourceTally {
            resource: "charge".to_owned(),
            times: vec![1; times],
            ..wire::ResourceTally::default()
        }],
        ..wire::NodeTally::default()
    };
    let good = address_to_wire(address(2));
    let tallies = [
        tally(good.clone(), 1),
        tally(vec![], 1),
        tally(good.clone(), 1 << 16),
    ];
    let read: Vec<NodeTally> = rollouts::tallies_from_wire(&tallies);
    assert_eq!(read.len(), 1);

    let crashed = |head: usize, reporters: usize| wire::CrashedRequest {
        head: vec![1; head],
        body: vec![2; 16],
        crashes: vec![1],
        reporters: vec![good.clone(); reporters],
        ..wire::CrashedRequest::default()
    };
    let report = wire::CrashReport {
        requests: vec![crashed(16, 1), crashed(3, 1), crashed(16, 2)],
        further: vec![good.clone(), vec![0xff; 3]],
    };
    assert_eq!(crashes::report_from_wire(&report).len(), 1);
    assert_eq!(
        crashes::nodes_from_wire(&report.further),
        [NodeId(address(2))]
    );

    let ended = |nodes: u32, asked: usize| wire::EndedSums {
        from: good.clone(),
        nodes,
        usage: Some(wire::Usage {
            organisations: vec![1],
            admitted: vec![1],
            asked: vec![1; asked],
        }),
        ..wire::EndedSums::default()
    };
    let sums = wire::UsageSums {
        from: good.clone(),
        nodes: 3,
        unknown_per_mille: u32::MAX,
        ended: vec![ended(1, 1), ended(u32::MAX, 1), ended(1, 2)],
        ..wire::UsageSums::default()
    };
    let (_, read) = usage::sums_from_wire(&sums).expect("the sums are read");
    assert_eq!((read.ended.len(), read.unknown_per_mille), (1, 3_000));
}
