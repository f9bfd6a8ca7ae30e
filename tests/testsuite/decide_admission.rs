//! The gate's decisions: exact slots, two classes, deadlines, and an oracle for all of it.

use std::collections::VecDeque;

use dragonflywall::core::configuration::Class;
use dragonflywall::core::names::ResourceName;
use dragonflywall::decide::admission::{
    Admission, Admitted, Ask, Cause, Limits, Released, Ticket, Turn, Urgency,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const LATE: u64 = u64::MAX / 4;
const SECOND: u64 = 1_000_000;

fn admission(slots: u32, queue_len: u32) -> Admission<u32> {
    let mut admission = Admission::default();
    admission.set_limits(Limits { slots, queue_len });
    admission
}

fn granted(admission: &mut Admission<u32>, now_us: u64) -> Vec<u32> {
    let turns = std::iter::from_fn(|| admission.next(now_us));
    let slots = turns.filter(|(_, turn)| *turn == Turn::Slot);
    slots.map(|(id, _)| id).collect()
}

pub(crate) fn release<W>(admission: &mut Admission<W>, class: Class, held_us: u64) {
    let released = Released {
        class,
        resource: &ResourceName::new("prices"),
        held_us,
        answered: true,
    };
    admission.release(held_us, &released);
}

fn cause(admitted: Admitted) -> Option<Cause> {
    match admitted {
        Admitted::Refused(refusal) => Some(refusal.cause),
        Admitted::Slot | Admitted::Queued(_) => None,
    }
}

/// Two services are busy, and one calls the other. The call goes before callers' requests of any rank
/// that came earlier: a slot of its own service is held for it meanwhile. Among calls the first due goes
/// first.
#[test]
fn calls_of_running_requests_go_first() {
    let mut admission = admission(1, 20);
    let urgent = Ask {
        urgency: Urgency::Caller { rank: 0 },
        ..Ask::new(Class::Interactive, LATE)
    };
    let call = |due_us| Ask {
        urgency: Urgency::Call,
        due_us,
        ..Ask::new(Class::Interactive, LATE)
    };
    assert_eq!(admission.admit(0, &urgent, || 0), Admitted::Slot);
    admission.admit(1, &urgent, || 1);
    admission.admit(2, &Ask::new(Class::Bulk, LATE), || 2);
    admission.admit(3, &call(500), || 3);
    admission.admit(4, &call(400), || 4);
    let mut order = Vec::new();
    for _ in 0..4 {
        release(&mut admission, Class::Interactive, 10);
        order.extend(granted(&mut admission, 10));
    }
    assert_eq!(order, [4, 3, 1, 2]);
}

/// Calls come faster than the slots turn over. Callers' requests to the called service still have every
/// sixteenth turn.
#[test]
fn endless_calls_do_not_starve_callers() {
    let mut admission = admission(1, 100);
    let call = Ask {
        urgency: Urgency::Call,
        ..Ask::new(Class::Interactive, LATE)
    };
    assert_eq!(admission.admit(0, &call, || 0), Admitted::Slot);
    admission.admit(1, &Ask::new(Class::Interactive, LATE), || 1_000);
    for id in 1..=40 {
        admission.admit(1, &call, || id);
    }
    let mut turns = 0;
    loop {
        turns += 1;
        release(&mut admission, Class::Interactive, 10);
        if granted(&mut admission, 10) == [1_000] {
            break;
        }
    }
    assert_eq!(turns, 16);
}

/// Dealers' short reads arrive while uploads hold every slot that bulk work may have. The reserve
/// lets them in at once; without it they would wait for the end of an upload.
#[test]
fn short_reads_pass_long_uploads() {
    let mut admission = admission(20, 40);
    let read = admission.admit(0, &Ask::new(Class::Interactive, LATE), || 0);
    assert_eq!(read, Admitted::Slot);
    release(&mut admission, Class::Interactive, 1_000);
    let uploads = (0..30).map(|id| admission.admit(1, &Ask::new(Class::Bulk, LATE), || id));
    let running = uploads.filter(|upload| *upload == Admitted::Slot).count();
    assert_eq!(running, 15);
    assert_eq!(
        admission.admit(2, &Ask::new(Class::Interactive, LATE), || 99),
        Admitted::Slot
    );
}

/// At night nobody reads prices, and the archive's look-ups are to have every slot.
#[test]
fn bulk_work_gets_all_slots_when_nobody_else_asks() {
    let mut admission = admission(20, 40);
    let uploads =
        (0..30).map(|id| admission.admit(60 * SECOND, &Ask::new(Class::Bulk, LATE), || id));
    let running = uploads.filter(|upload| *upload == Admitted::Slot).count();
    assert_eq!(running, 20);
}

/// Short reads keep every slot busy for hours. The archive still gets every fourth turn.
#[test]
fn endless_short_reads_do_not_starve_bulk_work() {
    let mut admission = admission(1, 20);
    assert_eq!(
        admission.admit(0, &Ask::new(Class::Interactive, LATE), || 0),
        Admitted::Slot
    );
    for id in 1..=8 {
        admission.admit(0, &Ask::new(Class::Interactive, LATE), || id);
        admission.admit(0, &Ask::new(Class::Bulk, LATE), || 100 + id);
    }
    let mut order = Vec::new();
    let mut holder = Class::Interactive;
    for now_us in 1..=9 {
        release(&mut admission, holder, 1);
        let id = granted(&mut admission, now_us)[0];
        holder = if id > 100 {
            Class::Bulk
        } else {
            Class::Interactive
        };
        order.push(id);
    }
    assert_eq!(order, [1, 2, 101, 3, 4, 5, 102, 6, 7]);
}

/// A herd of uploads has filled the queue. A dealer's read is not refused for it: the newest
/// upload gives its place back and is told at once.
#[test]
fn a_full_queue_still_has_room_for_the_other_class() {
    let mut admission = admission(1, 4);
    for id in 0..5 {
        admission.admit(0, &Ask::new(Class::Bulk, LATE), || id);
    }
    assert_eq!(
        cause(admission.admit(0, &Ask::new(Class::Bulk, LATE), || 5)),
        Some(Cause::Full)
    );
    let read = admission.admit(0, &Ask::new(Class::Interactive, LATE), || 6);
    assert!(matches!(read, Admitted::Queued(_)), "{read:?}");
    let (evicted, turn) = admission.next(0).expect("somebody made room");
    assert_eq!(evicted, 4);
    assert!(matches!(turn, Turn::Refused(refusal) if refusal.cause == Cause::Full));
    assert_eq!(admission.waiting(), 4);
}

/// Requests take a second each and ten of them wait. One that has half a second left is refused
/// at once, with the wait that it would have had, instead of timing out in the queue.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut admission = admission(1, 20);
    admission.admit(0, &Ask::new(Class::Interactive, LATE), || 0);
    release(&mut admission, Class::Interactive, SECOND);
    for id in 0..10 {
        admission.admit(0, &Ask::new(Class::Interactive, LATE), || id);
    }
    // Its answer is worth as much as those of the others whenever it comes, so it overtakes none.
    let hasty = Ask {
        deadline_us: SECOND / 2,
        ..Ask::new(Class::Interactive, LATE)
    };
    let hasty = admission.admit(0, &hasty, || 10);
    assert_eq!(cause(hasty), Some(Cause::TooLate));
    let Admitted::Refused(refusal) = hasty else {
        unreachable!("its cause was looked at")
    };
    assert_eq!(refusal.retry_after_ms, 10_000);
}

/// Payments and price reads wait for one slot. Payments go first, but the reads have a turn now and
/// then: with strict ranks they would be kept out for as long as payments come.
#[test]
fn urgent_ranks_go_first_and_leave_a_turn_to_the_others() {
    let mut admission = admission(1, 40);
    let ranked = |rank| Ask {
        urgency: Urgency::Caller { rank },
        ..Ask::new(Class::Interactive, LATE)
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
        order.push(granted(&mut admission, now_us)[0]);
    }
    let urgent = 101..=107;
    let expected: Vec<u32> = urgent.chain([1]).chain(108..=114).chain([2]).collect();
    assert_eq!(order, expected);
}

/// A stock look-up runs and makes a short call to the bookings' service, where bookings of ten times its
/// length wait. Behind them it would be refused, and with it the look-up, which has its slot and most of its
/// work behind it. Its answer is due first, so it goes first and waits for one turn of a slot.
#[test]
fn a_call_that_is_due_soon_passes_long_work() {
    const BOOKING_US: u64 = 250_000;
    let mut admission = admission(1, 40);
    let booking = Ask {
        due_us: 600_000,
        held_us: Some(BOOKING_US),
        ..Ask::new(Class::Interactive, 1_500_000)
    };
    admission.admit(0, &booking, || 0);
    for id in 1..=3 {
        admission.admit(0, &booking, || id);
    }
    let call = Ask {
        due_us: 120_000,
        held_us: Some(25_000),
        deadline_us: 400_000,
        ..booking
    };
    assert!(matches!(
        admission.admit(0, &call, || 100),
        Admitted::Queued(_)
    ));
    // Another one waits for the call before it, and not for the bookings.
    assert_eq!(admission.wait_us(&call), 25_000);
    assert_eq!(admission.wait_us(&booking), 3 * BOOKING_US + 25_000);
    release(&mut admission, Class::Interactive, BOOKING_US);
    assert_eq!(granted(&mut admission, BOOKING_US), [100]);
    release(&mut admission, Class::Interactive, 25_000);
    assert_eq!(granted(&mut admission, BOOKING_US + 25_000), [1]);
}

/// Price reads of 10 ms each come faster than the slot turns over, for seconds. One that is willing
/// to wait 100 ms is refused behind ten others, at once and with the wait that it would have had;
/// without that bound all of them would be served late.
#[test]
fn nobody_waits_longer_than_it_is_willing_to() {
    let mut admission = admission(1, 1_000);
    admission.admit(0, &Ask::new(Class::Interactive, LATE), || 0);
    release(&mut admission, Class::Interactive, 10_000);
    let patient = Ask {
        patience_us: 100_000,
        ..Ask::new(Class::Interactive, LATE)
    };
    let admitted = (0..50).map(|id| admission.admit(0, &patient, || id));
    let refused: Vec<_> = admitted.filter_map(cause).collect();
    assert_eq!(refused.len(), 39);
    assert!(refused.iter().all(|cause| *cause == Cause::TooLong));
    // An urgent request passes them all.
    let urgent = Ask {
        urgency: Urgency::Caller { rank: 0 },
        ..patient
    };
    let urgent = admission.admit(0, &urgent, || 99);
    assert!(matches!(urgent, Admitted::Queued(_)), "{urgent:?}");
}

/// A backend server is about to stop. What waits is refused at once, so that the entries take it
/// elsewhere, and a slot that becomes free stays free.
#[test]
fn closing_refuses_what_waits() {
    let mut admission = admission(1, 4);
    admission.admit(0, &Ask::new(Class::Interactive, LATE), || 0);
    admission.admit(0, &Ask::new(Class::Interactive, LATE), || 1);
    admission.admit(0, &Ask::new(Class::Bulk, LATE), || 2);
    admission.close();
    let turns: Vec<_> = std::iter::from_fn(|| admission.next(0)).collect();
    let closed = |turn: &Turn| matches!(turn, Turn::Refused(r) if r.cause == Cause::Closed);
    assert!(turns.iter().all(|(_, turn)| closed(turn)), "{turns:?}");
    assert_eq!(turns.len(), 2);
    release(&mut admission, Class::Interactive, 1);
    assert!(granted(&mut admission, 1).is_empty());
    assert_eq!(
        cause(admission.admit(1, &Ask::new(Class::Interactive, LATE), || 3)),
        Some(Cause::Closed)
    );
}

/// One step of the fuzzing.
#[derive(Clone, Debug)]
enum Step {
    Admit {
        bulk: bool,
        rank: u8,
        patience_us: u64,
    },
    /// The nth holder gives its slot back.
    Release(usize),
    /// The nth waiting request's caller hangs up.
    Cancel(usize),
    Limits {
        slots: u32,
        queue_len: u32,
    },
    Close,
    Open,
    Pass {
        us: u64,
    },
}

/// The oracle: plain lists of who holds and who waits, and the rules that must hold.
#[derive(Clone, Debug, Default)]
struct Oracle {
    now_us: u64,
    closed: bool,
    slots: u32,
}

struct Sut {
    admission: Admission<u32>,
    holding: Vec<(u32, Class)>,
    waiting: VecDeque<(u32, Class, Ticket)>,
    answered: Vec<u32>,
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
            8 => (any::<bool>(), 0_u8..3, 0_u64..200_000).prop_map(|(bulk, rank, patience_us)| {
                Step::Admit { bulk, rank, patience_us }
            }),
            6 => (0_usize..8).prop_map(Step::Release),
            2 => (0_usize..8).prop_map(Step::Cancel),
            1 => (0_u32..6, 0_u32..8)
                .prop_map(|(slots, queue_len)| Step::Limits { slots, queue_len }),
            1 => Just(Step::Close),
            1 => Just(Step::Open),
            3 => (0_u64..20_000_000).prop_map(|us| Step::Pass { us }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Pass { us } => state.now_us += us,
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
                patience_us,
            } => self.admit(oracle, bulk, rank, patience_us),
            Step::Release(nth) if nth < self.holding.len() => {
                let (id, class) = self.holding.swap_remove(nth);
                release(&mut self.admission, class, 10_000);
                self.answered.push(id);
            }
            Step::Cancel(nth) if nth < self.waiting.len() => {
                let (id, _, ticket) = self.waiting.remove(nth).expect("in range");
                assert!(self.admission.cancel(ticket), "it had not had its turn");
                assert!(!self.admission.cancel(ticket), "cancelled twice");
                self.answered.push(id);
            }
            Step::Release(_) | Step::Cancel(_) | Step::Pass { .. } => (),
            Step::Limits { slots, queue_len } => {
                self.admission.set_limits(Limits { slots, queue_len });
            }
            Step::Close => self.admission.close(),
            Step::Open => self.admission.open(),
        }
        let held_before = self.holding.len();
        while let Some((id, turn)) = self.admission.next(oracle.now_us) {
            let position = self.waiting.iter().position(|waiting| waiting.0 == id);
            let (_, class, _) = position
                .and_then(|position| self.waiting.remove(position))
                .expect("only a waiting request has a turn, and only one");
            match turn {
                Turn::Slot => self.holding.push((id, class)),
                Turn::Refused(_) => self.answered.push(id),
            }
        }
        let granted = self.holding.len() > held_before;
        assert!(!(granted && oracle.closed), "a closed gate let work in");
        assert!(
            !granted || self.holding.len() <= oracle.slots as usize,
            "more work than slots was let in"
        );
    }

    fn admit(&mut self, oracle: &Oracle, bulk: bool, rank: u8, patience_us: u64) {
        let class = if bulk {
            Class::Bulk
        } else {
            Class::Interactive
        };
        let id = self.next_id;
        self.next_id += 1;
        let deadline_us = oracle.now_us + patience_us;
        let ask = Ask {
            urgency: Urgency::Caller { rank },
            ..Ask::new(class, deadline_us)
        };
        match self.admission.admit(oracle.now_us, &ask, || id) {
            Admitted::Slot => self.holding.push((id, class)),
            Admitted::Queued(ticket) => self.waiting.push_back((id, class, ticket)),
            Admitted::Refused(_) => self.answered.push(id),
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
            answered: Vec::new(),
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
        let known = sut.holding.len() + sut.waiting.len() + sut.answered.len();
        assert_eq!(
            known, sut.next_id as usize,
            "a request got no answer, or two"
        );
        if oracle.closed || oracle.slots == 0 {
            assert!(sut.waiting.is_empty(), "somebody waits at a closed gate");
        }
        // Work is kept waiting only by busy slots or by the reserve for the other class.
        let idle = sut.holding.len() < oracle.slots as usize;
        let interactive_waits = sut.waiting.iter().any(|w| w.1 == Class::Interactive);
        assert!(
            !(idle && interactive_waits),
            "a slot is idle beside a queue"
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

    /// Requests come, end, hang up, and the limits change, in any order: slots are counted
    /// exactly, everyone gets one answer, and nobody waits beside a free slot.
    #[test]
    fn admission_agrees_with_the_oracle(sequential 1..80 => Sut);
}
