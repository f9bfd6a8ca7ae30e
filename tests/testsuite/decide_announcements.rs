//! Which announcement of a backend server holds at its own node.

use dragonflywall::core::member::BackendState;
use dragonflywall::core::names::{InstanceName, ServiceName};
use dragonflywall::core::status::Announcement;
use dragonflywall::decide::announcements::{AnnouncementOutcome, Announcements};

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

/// A backend server says "ready", then "draining"; the first message was held up on its way and
/// comes last. Taken for news, it would open the gate again after the backend server was told that
/// no work would come.
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

/// A backend server leaves without a word of draining, and a message from before comes afterwards.
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

/// A backend server crashes and another one starts at its address; the last message of the first
/// was held up by a partition and comes after the second has announced itself.
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

/// A backend server starts again under its old name; its counts start anew.
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

/// The product's own announcements need no name: the last word holds.
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

/// A backend server has left, and the process that acknowledged that has been replaced. A "ready" from
/// before, held up on its way, must not open the next process's gate: only the backend server itself
/// can say whether it still holds.
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
    // From now on this process knows itself what was said before.
    assert_eq!(
        announcements.apply(&serving("i-3", 20, 1)),
        AnnouncementOutcome::Accepted
    );
}

/// The backend server was asked, and before its answer came it said that it leaves.
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

/// A backend server's answers about its health are wrong. It goes on announcing itself, which one that
/// has left does not, so it is believed in the end. The same message again proves nothing.
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
