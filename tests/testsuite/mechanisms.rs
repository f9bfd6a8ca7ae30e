//! Mechanisms that an operator switches off: their names, and that each decision goes without.

use dragonflywall::core::configuration::Class;
use dragonflywall::core::mechanism::{Mechanism, MechanismSwitches};
use dragonflywall::core::names::ServiceName;
use dragonflywall::decide::admission::{Admission, Admitted, Ask, Limits, Urgency};
use dragonflywall::decide::placement::Search;
use dragonflywall::decide::retry::{Attempts, Failed, RetryPolicy, ServiceTokens};
use dragonflywall::node;

use crate::decide_placement::node;
use crate::decide_retry::treatment;
use crate::documentation::page;

const LATE_US: u64 = u64::MAX / 4;

/// The order in which four requests that wait for one slot get it: (rank, due) of each, in order of arrival.
fn order(without: MechanismSwitches, waiting: [(Urgency, u64); 4]) -> Vec<usize> {
    let mut admission: Admission<usize> = Admission::new(without);
    admission.set_limits(Limits {
        slots: 1,
        queue_len: 10,
    });
    let ask = |urgency, due_us| Ask {
        urgency,
        due_us,
        ..Ask::new(Class::Interactive, LATE_US)
    };
    let first = ask(Urgency::Caller { rank: 0 }, 0);
    assert_eq!(admission.admit(0, &first, || 9), Admitted::Slot);
    for (number, (urgency, due_us)) in waiting.into_iter().enumerate() {
        admission.admit(1, &ask(urgency, due_us), || number);
    }
    let mut order = Vec::new();
    for _ in waiting {
        crate::decide_admission::release(&mut admission, Class::Interactive, 10);
        order.extend(admission.next(10).map(|(number, _)| number));
    }
    order
}

#[test]
fn a_gate_orders_without_calls_first_ranks_or_due_times() {
    let rank = |rank| Urgency::Caller { rank };
    let waiting = [
        (rank(2), 30),
        (rank(1), 20),
        (rank(1), 10),
        (Urgency::Call, 40),
    ];
    assert_eq!(order(MechanismSwitches::default(), waiting), [3, 2, 1, 0]);
    let without = |names: &str| names.parse().expect("they are known");
    assert_eq!(order(without("due-order"), waiting), [3, 1, 2, 0]);
    assert_eq!(order(without("calls-first"), waiting), [2, 1, 3, 0]);
    assert_eq!(order(without("ranks,calls-first"), waiting), [2, 1, 0, 3]);
    assert_eq!(
        order(without("ranks,calls-first,due-order"), waiting),
        [0, 1, 2, 3]
    );
}

#[test]
fn bulk_work_takes_every_slot_without_the_reserve() {
    let bulk_slots = |without| {
        let mut admission: Admission<()> = Admission::new(without);
        admission.set_limits(Limits {
            slots: 8,
            queue_len: 8,
        });
        let interactive = Ask::new(Class::Interactive, LATE_US);
        admission.admit(0, &interactive, || ());
        crate::decide_admission::release(&mut admission, Class::Interactive, 1);
        let bulk = Ask::new(Class::Bulk, LATE_US);
        (0..8)
            .filter(|_| admission.admit(2, &bulk, || ()) == Admitted::Slot)
            .count()
    };
    assert_eq!(bulk_slots(MechanismSwitches::default()), 6);
    assert_eq!(
        bulk_slots(MechanismSwitches::disabling(Mechanism::BulkReserve)),
        8
    );
}

#[test]
fn a_request_waits_at_its_first_endpoint_without_looks() {
    let waits = |without| Search::new(without).waits_at(node(1));
    assert!(!waits(MechanismSwitches::default()));
    assert!(waits(MechanismSwitches::disabling(
        Mechanism::FreeSlotProbes
    )));
}

#[test]
fn retries_are_limited_by_tokens_and_their_reserve() {
    let retries = |without| {
        let mut tokens = ServiceTokens::default();
        tokens.set_policy(RetryPolicy::default().without(without));
        let of_service = tokens.entry_for(&ServiceName::new("tablon"));
        let again = |_: &i32| Attempts::new(&treatment(true), 8).again(Failed::NotRun, of_service);
        (0..100).filter(again).count()
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
fn an_unknown_mechanism_is_refused_with_the_known_ones() {
    let arguments = ["--without", "ranks,haste"].map(Into::into);
    let error = node::settings::parse(arguments, |_| None).expect_err("it is unknown");
    let problem = error
        .problems
        .iter()
        .find(|problem| problem.contains("haste"));
    let problem = problem.expect("it is named");
    assert!(
        Mechanism::names().iter().all(|name| problem.contains(name)),
        "{problem}"
    );
}

#[test]
fn the_page_of_mechanisms_has_every_name() {
    let page = page("docs/reference/mechanisms.md");
    for name in Mechanism::names() {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "{name} is not in the page"
        );
    }
}
