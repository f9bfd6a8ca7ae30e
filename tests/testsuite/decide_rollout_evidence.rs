//! Evidence of a lead on a roll-out: reports of gates, and what is left of them after a freeze.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dragonflywall::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{
    DataCentreName, RegionName, ResourceName, ServiceName, SoftwareVersion,
};
use dragonflywall::core::rollout::{
    OrderEntry, RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, StateEntry,
};
use dragonflywall::core::version::Version;
use dragonflywall::decide::freeze::{FREEZE_GAP_MS, FreezeDetector};
use dragonflywall::decide::rollout::plan::{Situation, next_state};
use dragonflywall::decide::rollout::{
    Evidence, NodeTally, ReportTime, ResourceTally, VersionPolicy,
};

const DURATION_MS: u64 = 20_000;
const ORDER_REVISION: u64 = 1;
/// Interval of the reports.
const TICK_MS: u64 = 250;
const ESTABLISHED: [u8; 3] = [1, 2, 3];
const CANDIDATES: [u8; 3] = [4, 5, 6];
const SLOTS: u32 = 10;

fn node(number: u8) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, number], 7103)))
}

fn service() -> ServiceName {
    ServiceName::new("stock")
}

fn version_of(number: u8) -> SoftwareVersion {
    SoftwareVersion::new(match CANDIDATES.contains(&number) {
        true => "v2",
        false => "v1",
    })
}

fn member(number: u8, incarnation_us: u64) -> Member {
    let NodeId(external) = node(number);
    Member {
        node: node(number),
        external,
        place: Place {
            region: RegionName::new("cantabrico"),
            data_centre: DataCentreName::new("gijon"),
        },
        incarnation_us,
        sequence: 1,
        liveness: Liveness::Alive,
        service: Some(service()),
        backend: BackendState::Serving,
        backend_start: None,
        software_version: Some(version_of(number)),
        capacity: CapacityClass::default(),
        enforced: Version(1),
    }
}

fn members() -> Vec<Member> {
    let numbers = ESTABLISHED.into_iter().chain(CANDIDATES);
    numbers.map(|number| member(number, 1)).collect()
}

/// The record of a roll-out to v2 in `phase`.
fn record(phase: RolloutPhase, share_percent: u32) -> RolloutRecord {
    let to = SoftwareVersion::new("v2");
    let state = RolloutState {
        order_revision: ORDER_REVISION,
        to: to.clone(),
        phase,
        share_percent,
        ordered_store_ms: 0,
        decided_store_ms: 0,
        established: None,
        barred: Vec::new(),
        reason: String::new(),
        decided_by: node(1),
    };
    let order = RolloutOrder {
        to,
        duration_ms: DURATION_MS,
    };
    RolloutRecord {
        order: OrderEntry {
            revision: ORDER_REVISION,
            order: Some(order),
        },
        state: Some(StateEntry {
            revision: ORDER_REVISION + 1,
            state,
        }),
    }
}

/// A report with totals; the service times do not differ between versions.
fn report(number: u8, sequence: u64, answers: u64, failures: u64) -> NodeTally {
    let mut resource = ResourceTally {
        answers,
        failures,
        ..ResourceTally::default()
    };
    resource.times[8] = u32::try_from(answers - failures).expect("a small number");
    NodeTally {
        node: node(number),
        incarnation_us: 1,
        sequence,
        service: service(),
        version: Some(version_of(number)),
        order_revision: ORDER_REVISION,
        slots: SLOTS,
        in_flight: 0,
        closed: !CANDIDATES.contains(&number),
        cold: false,
        busy_ms: answers * 20,
        resources: BTreeMap::from([(ResourceName::new("default"), resource)]),
    }
}

/// Lets all gates report every 250 ms, 25 responses each. Returns the time after the last report and its number.
fn report_for(
    evidence: &mut Evidence,
    record: &RolloutRecord,
    from: (u64, u64),
    span_ms: u64,
) -> (u64, u64) {
    let (mut now_ms, mut sequence) = from;
    for _ in 0..span_ms / TICK_MS {
        sequence += 1;
        now_ms += TICK_MS;
        for number in ESTABLISHED.into_iter().chain(CANDIDATES) {
            evidence.merge(report(number, sequence, sequence * 25, 0));
        }
        evidence.observe(now_ms, record);
    }
    (now_ms, sequence)
}

fn next_phase(
    evidence: &Evidence,
    record: &RolloutRecord,
    store_ms: u64,
) -> Option<(RolloutPhase, u32)> {
    let policy = VersionPolicy::of(record).expect("a roll-out runs");
    let situation = Situation {
        store_ms,
        view_complete: true,
        ..evidence.situation(&service(), &policy, &members())
    };
    let next = next_state(record, &situation, node(1));
    next.map(|state| (state.phase, state.share_percent))
}

/// Guards against a lead that acts, when it resumes after a freeze, on reports from before it: it would complete a
/// roll-out, which ends the old endpoints, or give the candidate a larger share.
#[test]
fn reports_from_before_a_freeze_decide_nothing_after_it() {
    let settling = record(RolloutPhase::Settle, 100);
    let mut evidence = Evidence::default();
    let (now_ms, sequence) = report_for(&mut evidence, &settling, (0, 0), 3_000);
    let completed = Some((RolloutPhase::Completed, 100));
    assert_eq!(next_phase(&evidence, &settling, 9_000), completed);
    evidence.restart();
    evidence.observe(now_ms + 4_000, &settling);
    assert_eq!(next_phase(&evidence, &settling, 13_000), None);
    report_for(
        &mut evidence,
        &settling,
        (now_ms + 4_000, sequence),
        TICK_MS,
    );
    assert_eq!(next_phase(&evidence, &settling, 13_250), completed);

    let shifting = record(RolloutPhase::Shift, 25);
    let mut evidence = Evidence::default();
    let (now_ms, sequence) = report_for(&mut evidence, &shifting, (0, 0), 3_000);
    let grown = Some((RolloutPhase::Shift, 50));
    assert_eq!(next_phase(&evidence, &shifting, 9_000), grown);
    evidence.restart();
    let from = (now_ms + 4_000, sequence);
    let from = report_for(&mut evidence, &shifting, from, 2_000);
    assert_eq!(next_phase(&evidence, &shifting, 15_000), None);
    report_for(&mut evidence, &shifting, from, TICK_MS);
    assert_eq!(next_phase(&evidence, &shifting, 15_250), grown);
}

/// Guards against a decision that counts as having been due all through a freeze, so that the lead does not leave
/// the time to act to the leads before it.
#[test]
fn a_decision_is_not_due_since_before_a_freeze() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.set_due(1_000, RolloutPhase::Shift), 1_000);
    assert_eq!(evidence.set_due(1_250, RolloutPhase::Shift), 1_000);
    evidence.restart();
    assert_eq!(evidence.set_due(5_000, RolloutPhase::Shift), 5_000);
}

/// Guards against the use of reports that waited in the socket of a frozen lead, and against decisions by its view
/// of the members, which is from before the freeze.
#[test]
fn reports_count_from_a_second_after_a_freeze_and_the_view_from_five() {
    let freezes = FreezeDetector::default();
    let mut time = ReportTime::default();
    assert!(!time.set_epoch(250, freezes.epoch()));
    assert!(time.has_current_reports(250));
    assert!(time.has_complete_view(5_000));
    assert!(freezes.tick(FREEZE_GAP_MS + 6_000).is_some());
    let resumed_ms = FREEZE_GAP_MS + 6_000;
    assert!(time.set_epoch(resumed_ms, freezes.epoch()));
    assert!(!time.set_epoch(resumed_ms + 250, freezes.epoch()));
    assert!(!time.has_current_reports(resumed_ms + 999));
    assert!(time.has_current_reports(resumed_ms + 1_000));
    assert!(!time.has_complete_view(resumed_ms + 4_999));
    assert!(time.has_complete_view(resumed_ms + 5_000));
}

/// Guards against a good version that is condemned because, after a freeze of the lead, the reports of its endpoints
/// on a disturbance that all versions had arrive before those of the established endpoints.
#[test]
fn reports_on_different_times_after_a_freeze_do_not_condemn_a_version() {
    let shifting = record(RolloutPhase::Shift, 25);
    let mut evidence = Evidence::default();
    let (now_ms, sequence) = report_for(&mut evidence, &shifting, (0, 0), 4_000);
    let answers = sequence * 25;
    // While the lead is frozen, one response in four fails at every endpoint.
    let disturbed = |number, sequence| report(number, sequence, answers + 400, 100);
    let resumed_ms = now_ms + 4_000;
    evidence.restart();
    for number in CANDIDATES {
        evidence.merge(disturbed(number, sequence + 16));
    }
    evidence.observe(resumed_ms, &shifting);
    for number in ESTABLISHED {
        evidence.merge(disturbed(number, sequence + 16));
    }
    evidence.observe(resumed_ms + TICK_MS, &shifting);
    assert!(evidence.suspicion() < 0.25, "{}", evidence.suspicion());
    let next = next_phase(&evidence, &shifting, 12_000);
    assert_ne!(next, Some((RolloutPhase::RolledBack, 0)));
}

/// Guards against a condemnation that is forgotten in a freeze of the lead that found it.
#[test]
fn a_condemned_version_stays_condemned_after_a_freeze() {
    let shifting = record(RolloutPhase::Shift, 25);
    let mut evidence = Evidence::default();
    let (now_ms, sequence) = report_for(&mut evidence, &shifting, (0, 0), 4_000);
    let answers = sequence * 25 + 100;
    for number in ESTABLISHED {
        evidence.merge(report(number, sequence + 1, answers, 0));
    }
    for number in CANDIDATES {
        evidence.merge(report(number, sequence + 1, answers, 50));
    }
    evidence.observe(now_ms + TICK_MS, &shifting);
    let rolled_back = Some((RolloutPhase::RolledBack, 0));
    assert_eq!(next_phase(&evidence, &shifting, 5_000), rolled_back);
    evidence.restart();
    evidence.observe(now_ms + 4_000, &shifting);
    assert_eq!(next_phase(&evidence, &shifting, 9_000), rolled_back);
}

/// Guards against a roll-out that is completed by the report of a gate's earlier process, while the later one may
/// hold requests.
#[test]
fn the_report_of_an_earlier_process_does_not_show_an_idle_gate() {
    let settling = record(RolloutPhase::Settle, 100);
    let mut evidence = Evidence::default();
    report_for(&mut evidence, &settling, (0, 0), 3_000);
    let policy = VersionPolicy::of(&settling).expect("a roll-out runs");
    let mut members = members();
    let busy = |members: &[Member]| {
        let situation = evidence.situation(&service(), &policy, members);
        situation.established_busy
    };
    assert_eq!(busy(&members), 0);
    members[0] = member(ESTABLISHED[0], 2);
    assert_eq!(busy(&members), 1);
}
