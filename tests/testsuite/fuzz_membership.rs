//! Compares a node's view with the highest ranked record of each member. Messages arrive in any
//! order and may be repeated. The view has to contain the highest ranked records, claims about the
//! node itself have to be refuted, and the highest version that each address has reported has to be
//! kept across its restarts.

use std::collections::BTreeMap;

use dragonflywall::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{DataCentreName, RegionName, ServiceName};
use dragonflywall::core::version::Version;
use dragonflywall::membership::{Gossip, Membership, Timing};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fuzz;

/// Number of the node under test.
const ME: u8 = 0;
const NODES: u8 = 4;
const INCARNATIONS: u64 = 3;

fn node(number: u8) -> NodeId {
    NodeId(([10, 0, 0, number + 1], 7000).into())
}

/// The record of a node for an incarnation and sequence number. Only the node itself writes it, so
/// the same numbers always mean the same record, except for the liveness, which others may claim.
fn member_record(number: u8, incarnation_us: u64, sequence: u64, liveness: Liveness) -> Member {
    let backend = match sequence % 3 {
        0 => BackendState::Serving,
        1 => BackendState::Draining,
        _ => BackendState::Gone,
    };
    let region = if number < 2 { "norte" } else { "sul" };
    Member {
        node: node(number),
        external: node(number).0,
        place: Place {
            region: RegionName::new(region),
            data_centre: DataCentreName::new(format!("{region}-a")),
        },
        incarnation_us,
        sequence,
        liveness,
        service: Some(ServiceName::new("armazem")),
        backend,
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::default(),
        enforced: Version::NONE,
    }
}

#[derive(Clone, Debug)]
struct Message {
    from: u8,
    version: u64,
    records: Vec<Member>,
    want_all: bool,
}

/// The highest ranked record of each other node, the highest ranked claim about the own node, and
/// the highest version that each sender has reported.
#[derive(Clone, Debug, Default)]
struct ExpectedView {
    members: BTreeMap<NodeId, Member>,
    claim: Option<Member>,
    versions: BTreeMap<NodeId, Version>,
    earlier: Vec<Message>,
}

struct ReferenceModel;

fn liveness() -> impl Strategy<Value = Liveness> {
    prop_oneof![
        3 => Just(Liveness::Alive),
        1 => Just(Liveness::Suspect),
        1 => Just(Liveness::Dead),
        1 => Just(Liveness::Left),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let record = (0..NODES, 1..=INCARNATIONS, 1..5_u64, liveness()).prop_map(
        |(number, incarnation_us, sequence, liveness)| {
            member_record(number, incarnation_us, sequence, liveness)
        },
    );
    let records = prop::collection::vec(record, 0..5);
    (1..NODES, 0..6_u64, records, any::<bool>()).prop_map(|(from, version, records, want_all)| {
        Message {
            from,
            version,
            records,
            want_all,
        }
    })
}

impl ReferenceStateMachine for ReferenceModel {
    type State = ExpectedView;
    type Transition = Message;

    fn init_state() -> BoxedStrategy<ExpectedView> {
        Just(ExpectedView::default()).boxed()
    }

    fn transitions(state: &ExpectedView) -> BoxedStrategy<Message> {
        if state.earlier.is_empty() {
            return message().boxed();
        }
        // One message in four repeats an earlier one.
        let repeated = prop::sample::select(state.earlier.clone());
        prop_oneof![3 => message(), 1 => repeated].boxed()
    }

    fn apply(mut state: ExpectedView, message: &Message) -> ExpectedView {
        for record in &message.records {
            if record.node == node(ME) {
                let higher = state
                    .claim
                    .as_ref()
                    .is_none_or(|c| record.precedence() > c.precedence());
                if higher {
                    state.claim = Some(record.clone());
                }
                continue;
            }
            let known = state.members.get(&record.node);
            if known.is_none_or(|known| record.precedence() > known.precedence()) {
                state.members.insert(record.node, record.clone());
            }
        }
        let version = state.versions.entry(node(message.from)).or_default();
        *version = Version(message.version).max(*version);
        state.earlier.push(message.clone());
        state
    }
}

struct View;

impl StateMachineTest for View {
    type SystemUnderTest = Membership;
    type Reference = ReferenceModel;

    fn init_test(_: &ExpectedView) -> Membership {
        let me = member_record(ME, INCARNATIONS, 1, Liveness::Alive);
        Membership::new(me, Vec::new(), Timing::default())
    }

    fn apply(mut view: Membership, _: &ExpectedView, message: Message) -> Membership {
        let gossip = Gossip {
            from: node(message.from),
            view_hash: 0,
            version: Version(message.version),
            announce: None,
            updates: message.records,
            reports: Vec::new(),
            summaries: Vec::new(),
            rollouts_digest: 0,
            rollouts: None,
            want_all: message.want_all,
        };
        let answer = view.receive(0, &gossip);
        if gossip.want_all {
            assert!(view.members().all(|member| answer.updates.contains(member)));
        }
        view
    }

    fn check_invariants(view: &Membership, expected: &ExpectedView) {
        let others = view.members().filter(|member| member.node != node(ME));
        let others: BTreeMap<NodeId, Member> = others.map(|m| (m.node, m.clone())).collect();
        assert_eq!(others, expected.members);
        assert_eq!(view.local_member().liveness, Liveness::Alive);
        if let Some(claim) = &expected.claim {
            assert!(
                view.local_member().precedence() >= claim.precedence(),
                "{claim:?} is not refuted"
            );
        }
        for (sender, version) in &expected.versions {
            assert_eq!(view.highest_reported(*sender), *version);
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(128))]

    #[test]
    fn fuzz_membership_against_the_highest_ranked_records(sequential 1..24 => View);
}
