//! Admission control: slots, classes, priorities and deadlines, and a state machine test of all.

use std::collections::VecDeque;

use dragonflywall::core::configuration::Class;
use dragonflywall::core::names::ResourceName;
use dragonflywall::decide::admission::{
    Admission, AdmitOutcome, Limits, Priority, Rank, RefusalCause, ReleasedSlot, SlotRequest,
    Ticket, WaitOutcome,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const FAR_DEADLINE_US: u64 = u64::MAX / 4;
const SECOND_US: u64 = 1_000_000;

fn admission(slots: u32, queue_len: u32) -> Admission<u32> {
    let mut admission = Admission::default();
    admission.set_limits(Limits { slots, queue_len });
    admission
}

fn grant_slots(admission: &mut Admission<u32>, now_us: u64) -> Vec<u32> {
    let outcomes = std::iter::from_fn(|| admission.end_next_wait(now_us));
    let slots = outcomes.filter(|(_, outcome)| *outcome == WaitOutcome::Slot);
    slots.map(|(id, _)| id).collect()
}

pub(crate) fn release<W>(admission: &mut Admission<W>, class: Class, service_time_us: u64) {
    let released = ReleasedSlot {
        class,
        resource: &ResourceName::new("prices"),
        service_time_us,
        answered: true,
    };
    admission.release(service_time_us, &released);
}

fn refusal_cause(admitted: AdmitOutcome) -> Option<RefusalCause> {
    match admitted {
        AdmitOutcome::Refused(refusal) => Some(refusal.cause),
        AdmitOutcome::Slot | AdmitOutcome::Queued(_) => None,
    }
}

/// A nested call goes before earlier requests of callers of any rank, because the request that made
/// it occupies a slot of another service. Among nested calls the one that is due first goes first.
#[test]
fn nested_calls_go_before_caller_requests() {
    let mut admission = admission(1, 20);
    let urgent = SlotRequest {
        priority: Priority::CallerRequest {
            rank: Rank::HIGHEST,
        },
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    let call = |due_us| SlotRequest {
        priority: Priority::NestedCall,
        due_us,
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    assert_eq!(admission.admit(0, &urgent, || 0), AdmitOutcome::Slot);
    admission.admit(1, &urgent, || 1);
    admission.admit(2, &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US), || 2);
    admission.admit(3, &call(500), || 3);
    admission.admit(4, &call(400), || 4);
    let mut order = Vec::new();
    for _ in 0..4 {
        release(&mut admission, Class::Interactive, 10);
        order.extend(grant_slots(&mut admission, 10));
    }
    assert_eq!(order, [4, 3, 1, 2]);
}

/// Guards against a probe for a free slot that is queued where no service time is known yet, and so waits at this gate
/// while another one has a free slot.
#[test]
fn request_that_may_not_wait_is_refused_before_any_service_time_is_known() {
    let mut admission = admission(1, 20);
    let probe = SlotRequest {
        max_wait_us: 0,
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    assert_eq!(admission.admit(0, &probe, || 0), AdmitOutcome::Slot);
    let refused = refusal_cause(admission.admit(1, &probe, || 1));
    assert_eq!(refused, Some(RefusalCause::WaitTooLong));
    assert_eq!(admission.waiting(), 0);
}

/// Guards against starvation of callers while nested calls arrive faster than slots become free: every
/// sixteenth slot goes to a caller's request.
#[test]
fn nested_calls_do_not_starve_caller_requests() {
    let mut admission = admission(1, 100);
    let call = SlotRequest {
        priority: Priority::NestedCall,
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    assert_eq!(admission.admit(0, &call, || 0), AdmitOutcome::Slot);
    admission.admit(
        1,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 1_000,
    );
    for id in 1..=40 {
        admission.admit(1, &call, || id);
    }
    let mut grants = 0;
    loop {
        grants += 1;
        release(&mut admission, Class::Interactive, 10);
        if grant_slots(&mut admission, 10) == [1_000] {
            break;
        }
    }
    assert_eq!(grants, 16);
}

/// Guards against short interactive requests that wait for the end of a long upload: bulk work leaves a
/// quarter of the slots free.
#[test]
fn interactive_request_gets_a_reserved_slot_during_uploads() {
    let mut admission = admission(20, 40);
    let interactive = admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 0,
    );
    assert_eq!(interactive, AdmitOutcome::Slot);
    release(&mut admission, Class::Interactive, 1_000);
    let uploads = (0..30)
        .map(|id| admission.admit(1, &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US), || id));
    let running = uploads
        .filter(|upload| *upload == AdmitOutcome::Slot)
        .count();
    assert_eq!(running, 15);
    assert_eq!(
        admission.admit(
            2,
            &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
            || 99
        ),
        AdmitOutcome::Slot
    );
}

/// A service without interactive requests must not keep slots in reserve for them.
#[test]
fn bulk_work_gets_all_slots_without_interactive_requests() {
    let mut admission = admission(20, 40);
    let uploads = (0..30).map(|id| {
        admission.admit(
            60 * SECOND_US,
            &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US),
            || id,
        )
    });
    let running = uploads
        .filter(|upload| *upload == AdmitOutcome::Slot)
        .count();
    assert_eq!(running, 20);
}

/// Guards against starvation of bulk work while interactive requests keep every slot busy: every fourth
/// slot goes to a bulk request.
#[test]
fn interactive_requests_do_not_starve_bulk_work() {
    let mut admission = admission(1, 20);
    assert_eq!(
        admission.admit(
            0,
            &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
            || 0
        ),
        AdmitOutcome::Slot
    );
    for id in 1..=8 {
        admission.admit(
            0,
            &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
            || id,
        );
        admission.admit(0, &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US), || {
            100 + id
        });
    }
    let mut order = Vec::new();
    let mut holder = Class::Interactive;
    for now_us in 1..=9 {
        release(&mut admission, holder, 1);
        let id = grant_slots(&mut admission, now_us)[0];
        holder = if id > 100 {
            Class::Bulk
        } else {
            Class::Interactive
        };
        order.push(id);
    }
    assert_eq!(order, [1, 2, 101, 3, 4, 5, 102, 6, 7]);
}

/// Guards against bulk requests that fill the queue and keep interactive ones out: an interactive
/// request evicts the newest bulk request, which is refused at once.
#[test]
fn full_queue_evicts_a_request_of_the_class_above_its_half() {
    let mut admission = admission(1, 4);
    for id in 0..5 {
        admission.admit(0, &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US), || id);
    }
    assert_eq!(
        refusal_cause(admission.admit(0, &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US), || 5)),
        Some(RefusalCause::QueueFull)
    );
    let interactive = admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 6,
    );
    assert!(
        matches!(interactive, AdmitOutcome::Queued(_)),
        "{interactive:?}"
    );
    let (evicted, outcome) = admission
        .end_next_wait(0)
        .expect("a bulk request was evicted");
    assert_eq!(evicted, 4);
    assert!(
        matches!(outcome, WaitOutcome::Refused(refusal) if refusal.cause == RefusalCause::QueueFull)
    );
    assert_eq!(admission.waiting(), 4);
}

/// Guards against requests that time out in the queue: ten requests of a second each wait, and one with
/// half a second left is refused at once, with the estimated wait as retry advice.
#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut admission = admission(1, 20);
    admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 0,
    );
    release(&mut admission, Class::Interactive, SECOND_US);
    for id in 0..10 {
        admission.admit(
            0,
            &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
            || id,
        );
    }
    // It has the due time of the others, so it overtakes none of them.
    let urgent_deadline = SlotRequest {
        deadline_us: SECOND_US / 2,
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    let urgent_deadline = admission.admit(0, &urgent_deadline, || 10);
    assert_eq!(
        refusal_cause(urgent_deadline),
        Some(RefusalCause::DeadlineTooSoon)
    );
    let AdmitOutcome::Refused(refusal) = urgent_deadline else {
        unreachable!("the refusal was checked above")
    };
    assert_eq!(refusal.retry_after_ms, 10_000);
}

/// Guards against starvation of lower ranks: requests of a higher rank go first, but every eighth slot
/// goes to the lowest rank.
#[test]
fn higher_ranks_go_first_without_starving_lower_ranks() {
    let mut admission = admission(1, 40);
    let ranked = |rank| SlotRequest {
        priority: Priority::CallerRequest {
            rank: Rank::of_route(rank),
        },
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    admission.admit(0, &ranked(2), || 0);
    for id in 1..=3 {
        admission.admit(0, &ranked(2), || id);
    }
    for id in 101..=116 {
        admission.admit(0, &ranked(1), || id);
    }
    let mut order = Vec::new();
    for now_us in 1..=16 {
        release(&mut admission, Class::Interactive, 1);
        order.push(grant_slots(&mut admission, now_us)[0]);
    }
    let urgent = 101..=107;
    let expected: Vec<u32> = urgent.chain([1]).chain(108..=114).chain([2]).collect();
    assert_eq!(order, expected);
}

/// Guards against a short nested call that is refused behind requests ten times as long, which would
/// waste the work of the request that made it. The nested call is due first, so it goes first.
#[test]
fn nested_call_due_soon_goes_before_long_requests() {
    const BOOKING_US: u64 = 250_000;
    let mut admission = admission(1, 40);
    let booking = SlotRequest {
        due_us: 600_000,
        service_time_us: Some(BOOKING_US),
        ..SlotRequest::new(Class::Interactive, 1_500_000)
    };
    admission.admit(0, &booking, || 0);
    for id in 1..=3 {
        admission.admit(0, &booking, || id);
    }
    let call = SlotRequest {
        due_us: 120_000,
        service_time_us: Some(25_000),
        deadline_us: 400_000,
        ..booking
    };
    assert!(matches!(
        admission.admit(0, &call, || 100),
        AdmitOutcome::Queued(_)
    ));
    // A second call would wait for the first one, but not for the bookings.
    assert_eq!(admission.estimated_wait_us(&call), 25_000);
    assert_eq!(
        admission.estimated_wait_us(&booking),
        3 * BOOKING_US + 25_000
    );
    release(&mut admission, Class::Interactive, BOOKING_US);
    assert_eq!(grant_slots(&mut admission, BOOKING_US), [100]);
    release(&mut admission, Class::Interactive, 25_000);
    assert_eq!(grant_slots(&mut admission, BOOKING_US + 25_000), [1]);
}

/// Guards against an overload in which every request is served late: requests of 10 ms with a maximum
/// wait of 100 ms are refused at once behind ten others.
#[test]
fn request_that_would_exceed_its_maximum_wait_is_refused() {
    let mut admission = admission(1, 1_000);
    admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 0,
    );
    release(&mut admission, Class::Interactive, 10_000);
    let bounded_wait = SlotRequest {
        max_wait_us: 100_000,
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    let admitted = (0..50).map(|id| admission.admit(0, &bounded_wait, || id));
    let refused: Vec<_> = admitted.filter_map(refusal_cause).collect();
    assert_eq!(refused.len(), 39);
    assert!(
        refused
            .iter()
            .all(|cause| *cause == RefusalCause::WaitTooLong)
    );
    // A request of a higher rank goes before all of them.
    let urgent = SlotRequest {
        priority: Priority::CallerRequest {
            rank: Rank::HIGHEST,
        },
        ..bounded_wait
    };
    let urgent = admission.admit(0, &urgent, || 99);
    assert!(matches!(urgent, AdmitOutcome::Queued(_)), "{urgent:?}");
}

/// Before a backend server stops, waiting requests are refused at once so that entry nodes can retry
/// them at other endpoints, and slots that become free are not granted again.
#[test]
fn closing_refuses_waiting_requests() {
    let mut admission = admission(1, 4);
    admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 0,
    );
    admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
        || 1,
    );
    admission.admit(0, &SlotRequest::new(Class::Bulk, FAR_DEADLINE_US), || 2);
    admission.close();
    let outcomes: Vec<_> = std::iter::from_fn(|| admission.end_next_wait(0)).collect();
    let closed = |outcome: &WaitOutcome| matches!(outcome, WaitOutcome::Refused(r) if r.cause == RefusalCause::Closed);
    assert!(
        outcomes.iter().all(|(_, outcome)| closed(outcome)),
        "{outcomes:?}"
    );
    assert_eq!(outcomes.len(), 2);
    release(&mut admission, Class::Interactive, 1);
    assert!(grant_slots(&mut admission, 1).is_empty());
    assert_eq!(
        refusal_cause(admission.admit(
            1,
            &SlotRequest::new(Class::Interactive, FAR_DEADLINE_US),
            || 3
        )),
        Some(RefusalCause::Closed)
    );
}

/// One step of the state machine test.
#[derive(Clone, Debug)]
enum Step {
    Admit {
        bulk: bool,
        rank: u8,
        timeout_us: u64,
    },
    /// The nth running request releases its slot.
    Release(usize),
    /// The caller of the nth waiting request disconnects.
    Cancel(usize),
    Limits {
        slots: u32,
        queue_len: u32,
    },
    Close,
    Open,
    AdvanceClock {
        us: u64,
    },
}

/// Reference model: the time and the settings that the invariants depend on.
#[derive(Clone, Debug, Default)]
struct Oracle {
    now_us: u64,
    closed: bool,
    slots: u32,
}

/// System under test, with the requests in each state that its outcomes imply.
struct Sut {
    admission: Admission<u32>,
    holding: Vec<(u32, Class)>,
    waiting: VecDeque<(u32, Class, Ticket)>,
    finished: Vec<u32>,
    next_id: u32,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            slots: 3,
            ..Self::default()
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (any::<bool>(), 0_u8..3, 0_u64..200_000).prop_map(|(bulk, rank, timeout_us)| {
                Step::Admit { bulk, rank, timeout_us }
            }),
            6 => (0_usize..8).prop_map(Step::Release),
            2 => (0_usize..8).prop_map(Step::Cancel),
            1 => (0_u32..6, 0_u32..8)
                .prop_map(|(slots, queue_len)| Step::Limits { slots, queue_len }),
            1 => Just(Step::Close),
            1 => Just(Step::Open),
            3 => (0_u64..20_000_000).prop_map(|us| Step::AdvanceClock { us }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::AdvanceClock { us } => state.now_us += us,
            Step::Close => state.closed = true,
            Step::Open => state.closed = false,
            Step::Limits { slots, .. } => state.slots = *slots,
            Step::Admit { .. } | Step::Release(_) | Step::Cancel(_) => (),
        }
        state
    }
}

impl Sut {
    fn step(&mut self, oracle: &Oracle, step: Step) {
        match step {
            Step::Admit {
                bulk,
                rank,
                timeout_us,
            } => self.admit(oracle, bulk, rank, timeout_us),
            Step::Release(nth) if nth < self.holding.len() => {
                let (id, class) = self.holding.swap_remove(nth);
                release(&mut self.admission, class, 10_000);
                self.finished.push(id);
            }
            Step::Cancel(nth) if nth < self.waiting.len() => {
                let (id, _, ticket) = self.waiting.remove(nth).expect("in range");
                assert!(self.admission.cancel(ticket), "the request was not waiting");
                assert!(
                    !self.admission.cancel(ticket),
                    "the request was cancelled twice"
                );
                self.finished.push(id);
            }
            Step::Release(_) | Step::Cancel(_) | Step::AdvanceClock { .. } => (),
            Step::Limits { slots, queue_len } => {
                self.admission.set_limits(Limits { slots, queue_len });
            }
            Step::Close => self.admission.close(),
            Step::Open => self.admission.open(),
        }
        let slots_before = self.holding.len();
        while let Some((id, outcome)) = self.admission.end_next_wait(oracle.now_us) {
            let position = self.waiting.iter().position(|waiting| waiting.0 == id);
            let (_, class, _) = position
                .and_then(|position| self.waiting.remove(position))
                .expect("the wait of a request ends once");
            match outcome {
                WaitOutcome::Slot => self.holding.push((id, class)),
                WaitOutcome::Refused(_) => self.finished.push(id),
            }
        }
        let slot_granted = self.holding.len() > slots_before;
        assert!(
            !(slot_granted && oracle.closed),
            "a slot was granted while closed"
        );
        assert!(
            !slot_granted || self.holding.len() <= oracle.slots as usize,
            "more slots were granted than there are"
        );
    }

    fn admit(&mut self, oracle: &Oracle, bulk: bool, rank: u8, timeout_us: u64) {
        let class = if bulk {
            Class::Bulk
        } else {
            Class::Interactive
        };
        let id = self.next_id;
        self.next_id += 1;
        let deadline_us = oracle.now_us + timeout_us;
        let request = SlotRequest {
            priority: Priority::CallerRequest {
                rank: Rank::of_route(rank),
            },
            ..SlotRequest::new(class, deadline_us)
        };
        match self.admission.admit(oracle.now_us, &request, || id) {
            AdmitOutcome::Slot => self.holding.push((id, class)),
            AdmitOutcome::Queued(ticket) => self.waiting.push_back((id, class, ticket)),
            AdmitOutcome::Refused(_) => self.finished.push(id),
        }
    }
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> Self {
        Self {
            admission: admission(oracle.slots, 4),
            holding: Vec::new(),
            waiting: VecDeque::new(),
            finished: Vec::new(),
            next_id: 0,
        }
    }

    fn apply(mut sut: Self, oracle: &Oracle, step: Step) -> Self {
        sut.step(oracle, step);
        sut
    }

    fn check_invariants(sut: &Self, oracle: &Oracle) {
        assert_eq!(sut.admission.in_use() as usize, sut.holding.len());
        assert_eq!(sut.admission.waiting() as usize, sut.waiting.len());
        let known = sut.holding.len() + sut.waiting.len() + sut.finished.len();
        assert_eq!(
            known, sut.next_id as usize,
            "a request has no outcome, or two"
        );
        if oracle.closed || oracle.slots == 0 {
            assert!(sut.waiting.is_empty(), "a request waits while closed");
        }
        // Requests wait only if all slots are in use, and bulk requests also for the reserve.
        let slot_free = sut.holding.len() < oracle.slots as usize;
        let interactive_waits = sut.waiting.iter().any(|w| w.1 == Class::Interactive);
        assert!(
            !(slot_free && interactive_waits),
            "an interactive request waits although a slot is free"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..Config::default()
    })]

    /// Requests arrive, end and are cancelled, and limits change, in any order: slots are counted
    /// exactly, each request has one outcome, and no interactive request waits while a slot is free.
    #[test]
    fn admission_agrees_with_the_oracle(sequential 1..80 => Sut);
}

/// Load: renewals of the highest rank, and nested calls of requests of the lowest. Guards against urgent requests that wait for the
/// calls of less urgent ones, where both belong to organisations.
#[test]
fn ranked_nested_calls_wait_behind_requests_of_higher_rank() {
    let request = |rank| SlotRequest {
        priority: Priority::CallerRequest { rank },
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    };
    let (urgent, late) = (Rank::new(1, 0), Rank::new(1, 2));
    let mut admission = admission(1, 20);
    assert_eq!(
        admission.admit(0, &request(urgent), || 0),
        AdmitOutcome::Slot
    );
    admission.admit(1, &request(late), || 1);
    admission.admit(2, &request(late.of_nested_calls()), || 2);
    admission.admit(3, &request(urgent), || 3);
    admission.admit(4, &request(urgent.of_nested_calls()), || 4);
    let mut order = Vec::new();
    for _ in 0..4 {
        release(&mut admission, Class::Interactive, 10);
        order.extend(grant_slots(&mut admission, 10));
    }
    assert_eq!(order, [4, 3, 2, 1]);
}

/// Guards against a rank that another node reads as a different one.
#[test]
fn ranks_keep_their_order_as_numbers() {
    let mut ranks = Vec::new();
    for organisation in [0, 1, 255] {
        for route in [0, 1, 9, 255] {
            let rank = Rank::new(organisation, route);
            ranks.extend([rank.of_nested_calls(), rank]);
        }
    }
    for rank in &ranks {
        assert_eq!(Rank::from_number(rank.number()), *rank);
    }
    assert!(ranks.is_sorted());
    assert_eq!(Rank::of_route(3).number(), 3);
    assert_eq!(Rank::from_number(1_000), Rank::of_route(255));
}
