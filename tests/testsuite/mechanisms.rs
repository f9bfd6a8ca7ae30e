//! Mechanisms that an operator can disable: their names, and their effect on decisions.

use dragonflywall::core::configuration::Class;
use dragonflywall::core::mechanism::{Mechanism, MechanismSwitches};
use dragonflywall::core::names::ServiceName;
use dragonflywall::decide::admission::{
    Admission, AdmitOutcome, Limits, Priority, Rank, SlotRequest,
};
use dragonflywall::decide::load_balancing::FreeSlotSearch;
use dragonflywall::decide::retry::{AttemptFailure, Attempts, RetryPolicy, ServiceTokens};
use dragonflywall::node;

use crate::decide_load_balancing::node;
use crate::decide_retry::treatment;
use crate::documentation::page;

const FAR_DEADLINE_US: u64 = u64::MAX / 4;

/// Returns the order in which four waiting requests get a slot. `waiting` has the priority and the due
/// time of each, in the order of arrival.
fn grant_order(switches: MechanismSwitches, waiting: [(Priority, u64); 4]) -> Vec<usize> {
    let mut admission: Admission<usize> = Admission::new(switches);
    admission.set_limits(Limits {
        slots: 1,
        queue_len: 10,
    });
    let request = |priority, due_us| SlotRequest {
        priority,
        due_us,
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    let first = request(
        Priority::CallerRequest {
            rank: Rank::HIGHEST,
        },
        0,
    );
    assert_eq!(admission.admit(0, &first, || 9), AdmitOutcome::Slot);
    for (number, (priority, due_us)) in waiting.into_iter().enumerate() {
        admission.admit(1, &request(priority, due_us), || number);
    }
    let mut order = Vec::new();
    for _ in waiting {
        crate::decide_admission::release(&mut admission, Class::Interactive, 10);
        order.extend(admission.end_next_wait(10).map(|(number, _)| number));
    }
    order
}

#[test]
fn queue_order_follows_the_enabled_mechanisms() {
    let rank = |rank| Priority::CallerRequest {
        rank: Rank::of_route(rank),
    };
    let waiting = [
        (rank(2), 30),
        (rank(1), 20),
        (rank(1), 10),
        (Priority::NestedCall, 40),
    ];
    assert_eq!(
        grant_order(MechanismSwitches::default(), waiting),
        [3, 2, 1, 0]
    );
    let switches_without = |names: &str| names.parse().expect("the names are known");
    assert_eq!(
        grant_order(switches_without("due-order"), waiting),
        [3, 1, 2, 0]
    );
    assert_eq!(
        grant_order(switches_without("calls-first"), waiting),
        [2, 1, 3, 0]
    );
    assert_eq!(
        grant_order(switches_without("ranks,calls-first"), waiting),
        [2, 1, 0, 3]
    );
    assert_eq!(
        grant_order(switches_without("ranks,calls-first,due-order"), waiting),
        [0, 1, 2, 3]
    );
}

#[test]
fn bulk_work_takes_every_slot_without_the_reserve() {
    let bulk_slots = |switches| {
        let mut admission: Admission<()> = Admission::new(switches);
        admission.set_limits(Limits {
            slots: 8,
            queue_len: 8,
        });
        let interactive = SlotRequest::new(Class::Interactive, FAR_DEADLINE_US);
        admission.admit(0, &interactive, || ());
        crate::decide_admission::release(&mut admission, Class::Interactive, 1);
        let bulk = SlotRequest::new(Class::Bulk, FAR_DEADLINE_US);
        (0..8)
            .filter(|_| admission.admit(2, &bulk, || ()) == AdmitOutcome::Slot)
            .count()
    };
    assert_eq!(bulk_slots(MechanismSwitches::default()), 6);
    assert_eq!(
        bulk_slots(MechanismSwitches::disabling(Mechanism::BulkReserve)),
        8
    );
}

#[test]
fn request_queues_at_its_first_endpoint_without_probes() {
    let queues = |switches| FreeSlotSearch::new(switches, false).queues_at(node(1));
    assert!(!queues(MechanismSwitches::default()));
    assert!(queues(MechanismSwitches::disabling(
        Mechanism::FreeSlotProbes
    )));
}

#[test]
fn retries_are_limited_by_tokens_and_their_reserve() {
    let retries = |switches| {
        let mut tokens = ServiceTokens::default();
        tokens.set_policy(RetryPolicy::default().with_switches(switches));
        let service_tokens = tokens.for_service(&ServiceName::new("tablon"));
        let is_retried = |_: &i32| {
            Attempts::new(&treatment(true), 8).take_retry(AttemptFailure::NotRun, service_tokens)
        };
        (0..100).filter(is_retried).count()
    };
    assert_eq!(retries(MechanismSwitches::default()), 10);
    assert_eq!(
        retries(MechanismSwitches::disabling(Mechanism::RetryBurst)),
        1
    );
    assert_eq!(
        retries(MechanismSwitches::disabling(Mechanism::RetryBudget)),
        100
    );
}

#[test]
fn unknown_mechanism_error_lists_the_known_ones() {
    let arguments = ["--without", "ranks,haste"].map(Into::into);
    let error = node::settings::parse(arguments, |_| None).expect_err("the name is unknown");
    let problem = error
        .problems
        .iter()
        .find(|problem| problem.contains("haste"));
    let problem = problem.expect("the error names the unknown mechanism");
    assert!(
        Mechanism::names().iter().all(|name| problem.contains(name)),
        "{problem}"
    );
}

#[test]
fn mechanisms_page_lists_every_name() {
    let page = page("docs/reference/mechanisms.md");
    for name in Mechanism::names() {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "{name} is not on the page"
        );
    }
}
