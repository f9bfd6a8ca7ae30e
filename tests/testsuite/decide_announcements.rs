//! Order of the announcements that a node receives from its backend server.

use dragonflywall::core::member::BackendState;
use dragonflywall::core::names::{InstanceName, ServiceName};
use dragonflywall::core::status::{Announcement, BackendStart};
use dragonflywall::decide::announcements::{AnnouncementOutcome, Announcements};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

fn announcement(
    instance: &str,
    started_ms: u64,
    sequence: u64,
    state: BackendState,
) -> Announcement {
    Announcement {
        service: ServiceName::new("tablon"),
        address: ([10, 0, 0, 1], 80).into(),
        state,
        instance: Some(InstanceName::new(instance)),
        started_ms: Some(started_ms),
        sequence: Some(sequence),
        slots: Some(18),
        software_version: None,
        cold_ms: 0,
    }
}

fn serving(instance: &str, started_ms: u64, sequence: u64) -> Announcement {
    announcement(instance, started_ms, sequence, BackendState::Serving)
}

fn leaving(instance: &str) -> Announcement {
    Announcement {
        started_ms: None,
        sequence: None,
        ..announcement(instance, 0, 0, BackendState::Gone)
    }
}

/// Guards against a delayed ready announcement that arrives after a draining one. If it were applied,
/// requests would be sent again after the node had acknowledged the draining.
#[test]
fn a_late_ready_does_not_undo_draining() {
    let mut announcements = Announcements::default();
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 1)),
        AnnouncementOutcome::Accepted
    );
    let draining = announcement("i-1", 10, 3, BackendState::Draining);
    assert_eq!(
        announcements.apply(&draining),
        AnnouncementOutcome::Accepted
    );
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 2)),
        AnnouncementOutcome::Outdated
    );
    assert_eq!(
        announcements.apply(&draining),
        AnnouncementOutcome::Duplicate
    );
}

/// Guards against a delayed ready announcement of a backend server that has left without draining.
#[test]
fn late_ready_after_departure_is_outdated() {
    let mut announcements = Announcements::default();
    announcements.apply(&serving("i-1", 10, 4));
    assert_eq!(
        announcements.apply(&leaving("i-1")),
        AnnouncementOutcome::Accepted
    );
    assert_eq!(
        announcements.apply(&leaving("i-1")),
        AnnouncementOutcome::Duplicate
    );
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 5)),
        AnnouncementOutcome::Outdated
    );
}

/// Guards against a delayed announcement of a crashed backend server that replaces the one of its
/// successor at the same address.
#[test]
fn an_earlier_start_does_not_replace_a_later_one() {
    let mut announcements = Announcements::default();
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 7)),
        AnnouncementOutcome::Accepted
    );
    assert_eq!(
        announcements.apply(&serving("i-2", 20, 1)),
        AnnouncementOutcome::Accepted
    );
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 8)),
        AnnouncementOutcome::Outdated
    );
    assert_eq!(
        announcements.apply(&leaving("i-1")),
        AnnouncementOutcome::Outdated
    );
    assert_eq!(
        announcements.apply(&serving("i-2", 20, 2)),
        AnnouncementOutcome::Duplicate
    );
}

/// A backend server that restarts under its name starts its sequence numbers again; a later start time
/// makes its announcements newer.
#[test]
fn restart_under_the_same_name_is_accepted() {
    let mut announcements = Announcements::default();
    announcements.apply(&serving("i-1", 10, 50));
    assert_eq!(
        announcements.apply(&serving("i-1", 30, 1)),
        AnnouncementOutcome::Accepted
    );
    announcements.apply(&leaving("i-1"));
    assert_eq!(
        announcements.apply(&serving("i-1", 40, 1)),
        AnnouncementOutcome::Accepted
    );
}

/// Announcements without an instance name cannot be ordered, so the last one is in effect.
#[test]
fn last_announcement_without_a_name_is_accepted() {
    let mut announcements = Announcements::default();
    let unnamed = |state| Announcement {
        instance: None,
        started_ms: None,
        sequence: None,
        ..announcement("", 0, 0, state)
    };
    for state in [
        BackendState::Serving,
        BackendState::Draining,
        BackendState::Serving,
    ] {
        assert_eq!(
            announcements.apply(&unnamed(state)),
            AnnouncementOutcome::Accepted
        );
    }
}

/// Guards against a delayed ready announcement that reaches a restarted node, whose previous process had
/// acknowledged that the backend server left. The backend server has to confirm it.
#[test]
fn first_ready_after_a_restart_needs_confirmation() {
    let mut announcements = Announcements::requiring_confirmation();
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 4)),
        AnnouncementOutcome::Unconfirmed
    );
    assert_eq!(announcements.serving(), None);
    assert_eq!(announcements.confirm(&InstanceName::new("i-2")), None);
    let confirmed = announcements.confirm(&InstanceName::new("i-1"));
    assert_eq!(confirmed, Some(&serving("i-1", 10, 4)));
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 5)),
        AnnouncementOutcome::Duplicate
    );
    // The next start needs one, too: its announcement may be of another sender.
    assert_eq!(
        announcements.apply(&serving("i-3", 20, 1)),
        AnnouncementOutcome::Unconfirmed
    );
    assert_eq!(announcements.serving(), Some(&serving("i-1", 10, 5)));
    let confirmed = announcements.confirm(&InstanceName::new("i-3"));
    assert_eq!(confirmed, Some(&serving("i-3", 20, 1)));
}

/// Guards against a confirmation that arrives after a draining announcement and undoes it.
#[test]
fn confirmation_does_not_undo_a_later_draining() {
    let mut announcements = Announcements::requiring_confirmation();
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 4)),
        AnnouncementOutcome::Unconfirmed
    );
    let draining = announcement("i-1", 10, 5, BackendState::Draining);
    assert_eq!(
        announcements.apply(&draining),
        AnnouncementOutcome::Accepted
    );
    assert_eq!(announcements.confirm(&InstanceName::new("i-1")), None);
}

/// Guards against a backend server that gets no requests because its health endpoint is wrong. A
/// backend server that has left stops announcing, so later ready announcements replace the
/// confirmation. A repetition of the same announcement does not count.
#[test]
fn later_announcements_replace_the_confirmation() {
    let mut announcements = Announcements::requiring_confirmation();
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 4)),
        AnnouncementOutcome::Unconfirmed
    );
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 4)),
        AnnouncementOutcome::Unconfirmed
    );
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 5)),
        AnnouncementOutcome::Unconfirmed
    );
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 6)),
        AnnouncementOutcome::Accepted
    );
}

/// Guards against delayed announcements of a backend server that has left, which open admission although its health check
/// says that it accepts no requests.
#[test]
fn refuted_announcements_need_a_confirmation() {
    for earlier in 1..=5 {
        let mut announcements = Announcements::requiring_confirmation();
        let mut opened = false;
        for sequence in 1..=earlier {
            let outcome = announcements.apply(&serving("i-1", 10, sequence));
            opened = outcome == AnnouncementOutcome::Accepted || opened;
        }
        let refuted = announcements.refute(&start("i-1", 10), None);
        let state = refuted.map(|announcement| announcement.state);
        assert_eq!(state, opened.then_some(BackendState::Draining));
        for sequence in earlier + 1..earlier + 6 {
            let outcome = announcements.apply(&serving("i-1", 10, sequence));
            assert_eq!(outcome, AnnouncementOutcome::Unconfirmed);
            assert_eq!(announcements.serving(), None);
        }
        let confirmed = announcements.confirm(&InstanceName::new("i-1"));
        assert!(confirmed.is_some(), "a later health check confirms it");
        assert_eq!(announcements.refute(&start("i-1", 10), None), None);
    }
    let mut announcements = Announcements::requiring_confirmation();
    announcements.apply(&serving("i-1", 10, 1));
    announcements.refute(&start("i-1", 10), None);
    for sequence in 1..=2 {
        announcements.apply(&serving("i-2", 20, sequence));
    }
    let outcome = announcements.apply(&serving("i-2", 20, 3));
    assert_eq!(
        outcome,
        AnnouncementOutcome::Accepted,
        "the next start is another one"
    );
}

fn start(instance: &str, started_ms: u64) -> BackendStart {
    BackendStart {
        instance: InstanceName::new(instance),
        started_ms,
    }
}

/// Guards against ready announcements that bring back a backend server which has said in a response that it leaves.
#[test]
fn a_backend_server_that_said_it_leaves_stays_out() {
    let mut announcements = Announcements::default();
    announcements.apply(&serving("i-1", 10, 1));
    let draining = announcements.record_leaving(&start("i-1", 10));
    assert_eq!(
        draining.map(|announcement| announcement.state),
        Some(BackendState::Draining)
    );
    assert_eq!(announcements.record_leaving(&start("i-1", 10)), None);
    for sequence in 2..9 {
        assert_eq!(
            announcements.apply(&serving("i-1", 10, sequence)),
            AnnouncementOutcome::Outdated
        );
    }
    assert_eq!(announcements.serving(), None);
    let confirmed = announcement("i-1", 10, 9, BackendState::Draining);
    assert_ne!(
        announcements.apply(&confirmed),
        AnnouncementOutcome::Outdated
    );
}

/// Guards against a restarted backend server that is taken for the one before it, which said that it leaves.
#[test]
fn a_new_start_under_the_same_name_serves_at_once() {
    let mut announcements = Announcements::default();
    announcements.apply(&serving("i-1", 10, 7));
    announcements.record_leaving(&start("i-1", 10));
    assert_eq!(
        announcements.apply(&serving("i-1", 20, 1)),
        AnnouncementOutcome::Accepted
    );
    assert!(announcements.serving().is_some());
    assert_eq!(announcements.record_leaving(&start("i-1", 10)), None);
    assert!(announcements.serving().is_some());
}

/// Guards against a process that starts while its backend server leaves, and is told so by the health check.
#[test]
fn leaving_prevents_the_confirmation_of_a_ready_announcement() {
    let mut announcements = Announcements::requiring_confirmation();
    assert_eq!(
        announcements.apply(&serving("i-1", 10, 1)),
        AnnouncementOutcome::Unconfirmed
    );
    announcements.record_leaving(&start("i-1", 10));
    for sequence in 2..9 {
        announcements.apply(&serving("i-1", 10, sequence));
    }
    assert_eq!(announcements.confirm(&InstanceName::new("i-1")), None);
    assert_eq!(announcements.serving(), None);
}

/// Announcements of a backend server `i-1` that runs and has confirmed its first one.
fn confirmed() -> Announcements {
    let mut announcements = Announcements::requiring_confirmation();
    announcements.apply(&serving("i-1", 10, 1));
    announcements.confirm(&InstanceName::new("i-1"));
    announcements
}

/// Guards against one announcement of another sender, with a later start time, that outdates all of the backend server.
#[test]
fn another_start_takes_effect_only_if_it_answers() {
    for state in [BackendState::Serving, BackendState::Draining] {
        let mut announcements = confirmed();
        let foreign = announcement("i-9", 500, 400, state);
        let outcome = announcements.apply(&foreign);
        assert_eq!(outcome, AnnouncementOutcome::Unconfirmed);
        assert_eq!(announcements.serving(), Some(&serving("i-1", 10, 1)));
        assert!(announcements.confirm(&InstanceName::new("i-1")).is_some());
        let own = announcements.apply(&serving("i-1", 10, 2));
        assert_eq!(own, AnnouncementOutcome::Duplicate);
        assert_eq!(announcements.serving(), Some(&serving("i-1", 10, 2)));
    }
}

#[test]
fn another_start_that_answers_takes_effect() {
    for (state, is_serving) in [
        (BackendState::Serving, true),
        (BackendState::Draining, false),
    ] {
        let mut announcements = confirmed();
        let next = announcement("i-2", 20, 1, state);
        announcements.apply(&next);
        let name = InstanceName::new("i-2");
        let applied = announcements.refute(&start("i-2", 20), Some(&name));
        assert_eq!(applied, Some(next), "the response names it");
        assert_eq!(announcements.serving().is_some(), is_serving);
    }
    // A healthy backend server does not leave.
    let mut announcements = confirmed();
    announcements.apply(&announcement("i-1", 20, 1, BackendState::Draining));
    assert!(announcements.confirm(&InstanceName::new("i-1")).is_some());
    assert!(announcements.serving().is_some());
}

/// Guards against a backend server that has no capacity for health checks and gets no requests after a restart.
#[test]
fn another_start_that_goes_on_takes_effect_without_an_answer() {
    let mut announcements = confirmed();
    for sequence in 1..3 {
        let outcome = announcements.apply(&serving("i-2", 20, sequence));
        assert_eq!(outcome, AnnouncementOutcome::Unconfirmed);
    }
    let outcome = announcements.apply(&serving("i-2", 20, 3));
    assert_eq!(outcome, AnnouncementOutcome::Accepted);
    assert_eq!(announcements.serving(), Some(&serving("i-2", 20, 3)));

    // It does not while the one before goes on, too.
    let mut announcements = confirmed();
    for sequence in 2..9 {
        announcements.apply(&serving("i-1", 10, sequence));
        let outcome = announcements.apply(&serving("i-9", 500, sequence));
        assert_eq!(outcome, AnnouncementOutcome::Unconfirmed);
    }
    assert_eq!(announcements.serving(), Some(&serving("i-1", 10, 8)));
}

/// Guards against delayed ready announcements of a backend server that is draining.
#[test]
fn delayed_announcements_do_not_undo_draining() {
    let mut announcements = confirmed();
    announcements.apply(&announcement("i-1", 10, 9, BackendState::Draining));
    for sequence in 2..5 {
        announcements.apply(&serving("i-1", 10, sequence));
    }
    let name = InstanceName::new("i-1");
    assert_eq!(announcements.refute(&start("i-1", 10), Some(&name)), None);
    assert_eq!(announcements.serving(), None);
    assert_eq!(announcements.confirm(&name), None);
}

/// One announcement that a sender other than the backend server may send.
fn foreign_announcements() -> impl Strategy<Value = Announcement> {
    let instance = prop_oneof![Just("i-1"), Just("i-9")];
    let started_ms = prop_oneof![Just(10_u64), 0..2_000_000_u64];
    let sequence = prop_oneof![0..20_u64, Just((1 << 53) - 1)];
    let state = prop_oneof![Just(BackendState::Serving), Just(BackendState::Draining)];
    (instance, started_ms, sequence, state).prop_map(|(instance, started_ms, sequence, state)| {
        announcement(instance, started_ms, sequence, state)
    })
}

/// Applies an announcement while the backend server answers each health check as `i-1`, which accepts requests.
fn apply_beside_i1(announcements: &mut Announcements, applied: &Announcement) {
    if announcements.apply(applied) == AnnouncementOutcome::Unconfirmed {
        announcements.confirm(&InstanceName::new("i-1"));
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..Config::default()
    })]

    /// Guards against announcements of other senders that hold for good: a backend server that goes on to announce itself is
    /// in effect again, as is its draining.
    #[test]
    fn a_running_backend_server_prevails(
        foreign in prop::collection::vec((0..6_u64, foreign_announcements()), 0..4),
    ) {
        let mut announcements = confirmed();
        for sequence in 2..8 {
            apply_beside_i1(&mut announcements, &serving("i-1", 10, sequence));
            for (_, foreign) in foreign.iter().filter(|(after, _)| after + 2 == sequence) {
                apply_beside_i1(&mut announcements, foreign);
            }
        }
        for sequence in 8..12 {
            apply_beside_i1(&mut announcements, &serving("i-1", 10, sequence));
        }
        prop_assert_eq!(announcements.serving(), Some(&serving("i-1", 10, 11)));
        let draining = announcement("i-1", 10, 12, BackendState::Draining);
        announcements.apply(&draining);
        prop_assert_eq!(announcements.serving(), None);
    }
}

fn leaving_at(instance: &str, started_ms: u64) -> Announcement {
    Announcement {
        started_ms: Some(started_ms),
        ..leaving(instance)
    }
}

/// Guards against a delayed departure of an earlier start that takes out the next one under the same name.
#[test]
fn a_late_departure_does_not_end_the_next_start() {
    let mut announcements = Announcements::default();
    announcements.apply(&serving("i-1", 10, 7));
    announcements.apply(&serving("i-1", 20, 1));
    assert_eq!(
        announcements.apply(&leaving_at("i-1", 10)),
        AnnouncementOutcome::Outdated
    );
    assert!(announcements.serving().is_some());
    assert_eq!(
        announcements.apply(&serving("i-1", 20, 2)),
        AnnouncementOutcome::Duplicate
    );
    // That of a later start shows that the one in effect has ended, too.
    assert_eq!(
        announcements.apply(&leaving_at("i-1", 30)),
        AnnouncementOutcome::Accepted
    );
    assert_eq!(announcements.serving(), None);
}

/// Guards against a delayed announcement of an earlier start under the name of a backend server that has left.
#[test]
fn a_start_before_one_that_left_has_left() {
    let mut announcements = confirmed();
    announcements.apply(&serving("i-1", 20, 1));
    announcements.confirm(&InstanceName::new("i-1"));
    announcements.apply(&leaving_at("i-1", 20));
    for sequence in 2..5 {
        announcements.apply(&serving("i-1", 10, sequence));
        assert_eq!(announcements.serving(), None);
    }
    let name = InstanceName::new("i-1");
    assert_eq!(announcements.refute(&start("i-1", 10), Some(&name)), None);
    let next = announcements.apply(&serving("i-1", 30, 1));
    assert_eq!(next, AnnouncementOutcome::Unconfirmed);
    assert!(
        announcements.confirm(&name).is_some(),
        "a later start serves"
    );
}
