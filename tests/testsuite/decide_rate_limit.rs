//! Tests of admission under the rate limit of a backend server.

use dragonflywall::core::backend_statement::RequestRate;
use dragonflywall::core::configuration::Class;
use dragonflywall::core::names::ResourceName;
use dragonflywall::decide::admission::{
    Admission, AdmitOutcome, Limits, Priority, Rank, RefusalCause, ReleasedSlot, SlotRequest,
    WaitOutcome,
};
use dragonflywall::decide::rate_limit::{BURST_US, RatePacer};
use proptest::prelude::*;

const SECOND_US: u64 = 1_000_000;
const FAR_DEADLINE_US: u64 = 1_000_000 * SECOND_US;
/// Period over which the users count the requests to a backend server with a limit.
const LIMIT_PERIOD_US: u64 = 4 * SECOND_US;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a valid rate")
}

/// Admission with this many slots and a long queue, whose limit was named at time 0.
fn limited_admission(slots: u32, per_s: f64) -> Admission<u32> {
    let mut admission = Admission::default();
    admission.set_limits(Limits {
        slots,
        queue_len: 100_000,
    });
    admission.set_rate_limit(0, Some(rate(per_s)));
    admission
}

fn interactive(rank: u8) -> SlotRequest {
    SlotRequest {
        priority: Priority::CallerRequest {
            rank: Rank::of_route(rank),
        },
        ..SlotRequest::new(Class::Interactive, FAR_DEADLINE_US)
    }
}

fn granted(admission: &mut Admission<u32>, now_us: u64) -> Vec<u32> {
    let outcomes = std::iter::from_fn(|| admission.end_next_wait(now_us));
    outcomes
        .map(|(id, outcome)| match outcome {
            WaitOutcome::Slot => id,
            WaitOutcome::Refused(refusal) => panic!("{id} was refused: {refusal:?}"),
        })
        .collect()
}

fn refusal_cause(outcome: AdmitOutcome) -> Option<RefusalCause> {
    match outcome {
        AdmitOutcome::Refused(refusal) => Some(refusal.cause),
        AdmitOutcome::Slot | AdmitOutcome::Queued(_) => None,
    }
}

/// A request of the simulated load.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    after_us: u64,
    work_us: u64,
    class: Class,
    rank: u8,
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let class = prop_oneof![Just(Class::Interactive), Just(Class::Bulk)];
    let arrival = (0..40_000_u64, 1_000..300_000_u64, class, 0..3_u8);
    let arrival = arrival.prop_map(|(after_us, work_us, class, rank)| Arrival {
        after_us,
        work_us,
        class,
        rank,
    });
    prop::collection::vec(arrival, 1..300)
}

/// Plays the arrivals in virtual time. The gate stands still from `pause_us` on for `pause_len_us`. Returns the times at
/// which requests were sent.
fn play(
    admission: &mut Admission<u32>,
    arrivals: &[Arrival],
    pause_us: u64,
    pause_len_us: u64,
) -> Vec<u64> {
    let resource = ResourceName::new("stock");
    let mut sent_us = Vec::new();
    let mut running: Vec<(u64, u64, Class)> = Vec::new();
    let mut due_us = 0;
    let mut pending: Vec<(u64, usize)> = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        due_us += arrival.after_us;
        pending.push((due_us, index));
    }
    pending.reverse();
    let mut now_us = 0;
    loop {
        let next_end = running.iter().map(|(end_us, _, _)| *end_us).min();
        let next_arrival = pending.last().map(|(at_us, _)| *at_us);
        let next_permit = admission.next_permit_us(now_us);
        let next = [next_end, next_arrival, next_permit];
        let Some(next_us) = next.into_iter().flatten().min() else {
            return sent_us;
        };
        now_us = now_us.max(next_us);
        if (pause_us..pause_us + pause_len_us).contains(&now_us) {
            now_us = pause_us + pause_len_us;
        }
        let mut start = |index: usize, running: &mut Vec<(u64, u64, Class)>| {
            sent_us.push(now_us);
            let end_us = now_us + arrivals[index].work_us;
            running.push((end_us, now_us, arrivals[index].class));
        };
        let ended: Vec<_> = running
            .extract_if(.., |(end_us, _, _)| *end_us <= now_us)
            .collect();
        for (_, started_us, class) in ended {
            let released = ReleasedSlot {
                class,
                resource: &resource,
                service_time_us: now_us - started_us,
                answered: true,
            };
            admission.release(now_us, &released);
        }
        while pending.last().is_some_and(|(at_us, _)| *at_us <= now_us) {
            let (_, index) = pending.pop().expect("checked above");
            let arrival = arrivals[index];
            let request = SlotRequest {
                priority: Priority::CallerRequest {
                    rank: Rank::of_route(arrival.rank),
                },
                ..SlotRequest::new(arrival.class, FAR_DEADLINE_US)
            };
            let id = u32::try_from(index).expect("few arrivals");
            match admission.admit(now_us, &request, || id) {
                AdmitOutcome::Slot => start(index, &mut running),
                AdmitOutcome::Queued(_) => (),
                AdmitOutcome::Refused(refusal) => panic!("{refusal:?}"),
            }
        }
        for id in granted(admission, now_us) {
            start(id as usize, &mut running);
        }
        let idle_us = admission.next_permit_us(now_us);
        assert!(
            idle_us.is_none_or(|at_us| at_us > now_us),
            "a slot is idle that the limit permits"
        );
    }
}

fn most_in_period(sent_us: &[u64], period_us: u64) -> usize {
    let count_from = |(index, first_us): (usize, &u64)| {
        let later = sent_us[index..].iter();
        later
            .take_while(|at_us| **at_us < first_us + period_us)
            .count()
    };
    sent_us
        .iter()
        .enumerate()
        .map(count_from)
        .max()
        .unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more requests than the limit allows in any period, also after the gate has stood still, and
    /// against slots that are idle although the limit permits a request.
    #[test]
    fn requests_in_any_period_stay_within_the_limit(
        arrivals in arrivals(),
        per_s in 0.5..120.0_f64,
        slots in 1..20_u32,
        pause_us in 0..3_000_000_u64,
        pause_len_us in 0..10_000_000_u64,
    ) {
        let mut admission = limited_admission(slots, per_s);
        let sent_us = play(&mut admission, &arrivals, pause_us, pause_len_us);
        prop_assert_eq!(sent_us.len(), arrivals.len());
        let most = most_in_period(&sent_us, LIMIT_PERIOD_US);
        let allowed = 1.0 + per_s * (LIMIT_PERIOD_US + BURST_US) as f64 / SECOND_US as f64;
        prop_assert!(most as f64 <= allowed, "{} in 4 s, {} allowed", most, allowed);
    }
}

/// Guards against a burst by which requests that waited during a pause of the gate exceed the limit.
#[test]
fn a_pause_saves_up_no_more_than_the_burst() {
    let mut admission = limited_admission(50, 20.0);
    let started = (0..100)
        .filter(|id| admission.admit(10 * SECOND_US, &interactive(0), || *id) == AdmitOutcome::Slot)
        .count();
    assert_eq!(started, 6);
}

#[test]
fn a_changed_limit_applies_to_the_next_request() {
    let mut pacer = RatePacer::new(0, rate(0.5));
    assert!(pacer.permits(0));
    pacer.record_sent(0);
    assert_eq!(pacer.next_permit_us(), 2 * SECOND_US);
    pacer.set_rate(0, rate(10.0));
    assert_eq!(pacer.next_permit_us(), 100_000);
    pacer.set_rate(0, rate(2.0));
    assert!(!pacer.permits(99_999));
    pacer.record_sent(100_000);
    assert_eq!(pacer.next_permit_us(), 600_000);
}

/// Guards against a limit of 0 whose end no response ever shows.
#[test]
fn a_limit_of_zero_lets_single_requests_through() {
    let mut pacer = RatePacer::new(0, rate(0.0));
    pacer.record_sent(0);
    let first_us = pacer.next_permit_us();
    assert!(
        (2 * SECOND_US..=4 * SECOND_US).contains(&first_us),
        "{first_us}"
    );
}

#[test]
fn requests_without_a_slot_count_towards_the_limit() {
    let mut admission = limited_admission(10, 10.0);
    for _ in 0..5 {
        admission.record_unpaced(0);
    }
    admission.admit(0, &interactive(0), || 1);
    assert_eq!(granted(&mut admission, 499_999), Vec::<u32>::new());
    assert_eq!(granted(&mut admission, 500_000), vec![1]);
}

/// Guards against requests that wait for the limit out of their order: calls of running requests first, then by rank.
#[test]
fn requests_that_wait_for_the_limit_go_by_priority() {
    let mut admission = limited_admission(10, 10.0);
    assert_eq!(
        admission.admit(0, &interactive(1), || 0),
        AdmitOutcome::Slot
    );
    let nested = SlotRequest {
        priority: Priority::NestedCall,
        ..interactive(0)
    };
    let waiting = [
        (1, interactive(2)),
        (2, interactive(0)),
        (3, nested),
        (4, interactive(1)),
    ];
    for (id, request) in waiting {
        let outcome = admission.admit(1, &request, || id);
        assert!(matches!(outcome, AdmitOutcome::Queued(_)));
    }
    let mut order = Vec::new();
    while let Some(at_us) = admission.next_permit_us(2) {
        order.extend(granted(&mut admission, at_us));
    }
    assert_eq!(order, vec![3, 2, 4, 1]);
}

/// Guards against a new request that takes the permission of a request of the other class that waits for it.
#[test]
fn a_new_request_does_not_overtake_one_of_the_other_class_that_waits_for_the_limit() {
    let mut admission = limited_admission(10, 10.0);
    admission.admit(0, &interactive(0), || 0);
    let bulk = SlotRequest::new(Class::Bulk, FAR_DEADLINE_US);
    admission.admit(1, &bulk, || 1);
    let outcome = admission.admit(100_000, &interactive(0), || 2);
    assert!(matches!(outcome, AdmitOutcome::Queued(_)));
    assert_eq!(granted(&mut admission, 100_000).len(), 1);
}

/// Guards against requests that wait although the limit leaves them no time.
#[test]
fn a_request_that_the_limit_leaves_no_time_is_refused_at_once() {
    let mut admission = limited_admission(10, 10.0);
    admission.admit(0, &interactive(0), || 0);
    let hurried = |deadline_us| SlotRequest::new(Class::Interactive, deadline_us);
    for id in 1..=3 {
        let outcome = admission.admit(1, &hurried(310_000), || id);
        assert!(matches!(outcome, AdmitOutcome::Queued(_)), "{id}");
    }
    let refused = admission.admit(1, &hurried(310_000), || 4);
    assert_eq!(refusal_cause(refused), Some(RefusalCause::RateLimited));
    let AdmitOutcome::Refused(refusal) = refused else {
        unreachable!("checked above");
    };
    assert_eq!(refusal.retry_after_ms, 399);
    assert_eq!(admission.would_refuse(1, &hurried(310_000)), Some(refusal));
    let probe = SlotRequest {
        max_wait_us: 0,
        ..interactive(0)
    };
    let refused = refusal_cause(admission.admit(1, &probe, || 5));
    assert_eq!(refused, Some(RefusalCause::RateLimited));
}

/// Guards against queued requests that wait until their deadline because a limit is named after they were queued.
#[test]
fn a_named_limit_refuses_the_waiting_requests_that_it_leaves_no_time() {
    let mut admission = Admission::default();
    admission.set_limits(Limits {
        slots: 1,
        queue_len: 100,
    });
    let request = SlotRequest::new(Class::Interactive, SECOND_US);
    for id in 0..30 {
        admission.admit(0, &request, || id);
    }
    admission.set_rate_limit(0, Some(rate(10.0)));
    let mut refused = Vec::new();
    while let Some((id, outcome)) = admission.end_next_wait(0) {
        match outcome {
            WaitOutcome::Refused(refusal) => {
                assert_eq!(refusal.cause, RefusalCause::RateLimited);
                refused.push(id);
            }
            WaitOutcome::Slot => panic!("the slot is in use"),
        }
    }
    assert_eq!(refused, (12..30).collect::<Vec<u32>>());
}

#[test]
fn without_a_limit_nothing_waits_for_one() {
    let mut admission = limited_admission(100, 1.0);
    admission.admit(0, &interactive(0), || 0);
    for id in 1..20 {
        admission.admit(0, &interactive(0), || id);
    }
    admission.set_rate_limit(1, None);
    assert_eq!(granted(&mut admission, 1).len(), 19);
    assert_eq!(admission.next_permit_us(1), None);
}
