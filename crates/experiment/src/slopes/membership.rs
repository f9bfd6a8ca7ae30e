//! Measures the cost of one node's view of all members, up to the design size.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use dragonflywall::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{DataCentreName, RegionName, ServiceName};
use dragonflywall::core::version::Version;
use dragonflywall::membership::{Gossip, Membership, Timing};

use super::own_anonymous_kb;
use crate::observed_mesh::SERVICES;
use crate::options::Scale;
use crate::report::{Table, format_number};
use crate::requirements;

/// Views that are in memory at the same time. Together they need far more than a page, which is the
/// unit in which the kernel counts memory.
const COPIES: usize = 16;
/// Repetitions over which times are averaged.
const REPEATS: u32 = 500;
/// Simulated time between two ticks of the view.
const TICK_MS: u64 = 250;

/// Cost of a view, for a given number of members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MembershipCost {
    members: usize,
    memory_kb: f64,
    /// Time to process a message with one changed member and to create the answer.
    receive_update_us: f64,
    /// Time to process a message without changes and to create the answer.
    receive_heartbeat_us: f64,
    /// Time of a periodic tick, which expires suspicions and creates the messages that are due.
    tick_us: f64,
    /// Members that the node gossips with.
    neighbours: usize,
}

pub(super) fn measure(scale: Scale) -> Vec<MembershipCost> {
    let sizes: &[usize] = match scale {
        Scale::Quick => &[65, 520],
        Scale::Full => &[65, 130, 260, 390, 520],
    };
    let measured: Vec<_> = sizes.iter().map(|members| measure_view(*members)).collect();
    println!("Measured the membership view at {} sizes", sizes.len());
    measured
}

/// Returns a member whose address, data centre and service depend on `number`. There are 6 data
/// centres in 2 regions.
fn numbered_member(number: usize) -> Member {
    let data_centres = requirements::DATA_CENTRES as usize;
    let data_centre = number % data_centres;
    let port = u16::try_from(10_000 + number).unwrap_or(0);
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    Member {
        node: NodeId(address),
        external: address,
        place: Place {
            region: RegionName::new(format!("region-{}", data_centre * 2 / data_centres)),
            data_centre: DataCentreName::new(format!("data-centre-{data_centre}")),
        },
        incarnation_us: 1,
        sequence: 1,
        liveness: Liveness::Alive,
        service: Some(ServiceName::new(SERVICES[number % SERVICES.len()])),
        backend: BackendState::Serving,
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::default(),
        enforced: Version::NONE,
    }
}

fn gossip_message(from: &Member, updates: Vec<Member>) -> Gossip {
    Gossip {
        from: from.node,
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

fn filled_view(others: &[Member]) -> Membership {
    let mut view = Membership::new(numbered_member(0), Vec::new(), Timing::default());
    view.receive(1, &gossip_message(&others[0], others.to_vec()));
    view.tick(2);
    view
}

fn measure_view(members: usize) -> MembershipCost {
    let others: Vec<Member> = (1..members).map(numbered_member).collect();
    let before_kb = own_anonymous_kb();
    let mut views: Vec<Membership> = (0..COPIES).map(|_| filled_view(&others)).collect();
    let memory_kb = (own_anonymous_kb() - before_kb).max(0.0) / COPIES as f64;
    let view = &mut views[0];

    let mut receive_update_s = 0.0;
    let mut receive_heartbeat_s = 0.0;
    let mut tick_s = 0.0;
    let mut now_ms = 10;
    for round in 0..REPEATS {
        let number = round as usize % others.len();
        let mut changed = others[number].clone();
        changed.sequence = u64::from(round) + 2;
        let update = gossip_message(&others[0], vec![changed]);
        let started = Instant::now();
        black_box(view.receive(now_ms, &update));
        receive_update_s += started.elapsed().as_secs_f64();

        let started = Instant::now();
        black_box(view.tick(now_ms));
        tick_s += started.elapsed().as_secs_f64();

        let heartbeat = gossip_message(&others[0], Vec::new());
        let started = Instant::now();
        black_box(view.receive(now_ms, &heartbeat));
        receive_heartbeat_s += started.elapsed().as_secs_f64();
        now_ms += TICK_MS;
    }
    let neighbours = view.neighbours().count();
    // Leaks the views on purpose: if they were freed, the next size would reuse their memory and its
    // growth would not be measured.
    std::mem::forget(views);
    let repeats = f64::from(REPEATS);
    MembershipCost {
        members,
        memory_kb,
        receive_update_us: 1e6 * receive_update_s / repeats,
        receive_heartbeat_us: 1e6 * receive_heartbeat_s / repeats,
        tick_us: 1e6 * tick_s / repeats,
        neighbours,
    }
}

pub(super) fn table(measured: &[MembershipCost], command: &str) -> Table {
    let row = |cost: &MembershipCost| {
        vec![
            cost.members.to_string(),
            format_number(cost.memory_kb),
            format_number(cost.receive_update_us),
            format_number(cost.receive_heartbeat_us),
            format_number(cost.tick_us),
            cost.neighbours.to_string(),
        ]
    };
    Table {
        title: "View of all members held by a node",
        command: command.to_owned(),
        columns: vec![
            "members",
            "held KB",
            "receive one statement µs",
            "receive a heartbeat µs",
            "tick µs",
            "neighbours",
        ],
        rows: measured.iter().map(row).collect(),
    }
}
