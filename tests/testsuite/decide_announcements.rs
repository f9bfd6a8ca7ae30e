//! Which announcement of a backend server holds at its own node.

use dragonflywall::core::member::BackendState;
use dragonflywall::core::names::{InstanceName, ServiceName};
use dragonflywall::core::status::Announcement;
use dragonflywall::decide::announcements::{Announcements, Heard};

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
    let mut heard = Announcements::default();
    assert_eq!(heard.hear(&serving("i-1", 10, 1)), Heard::Taken);
    let draining = announcement("i-1", 10, 3, BackendState::Draining);
    assert_eq!(heard.hear(&draining), Heard::Taken);
    assert_eq!(heard.hear(&serving("i-1", 10, 2)), Heard::Outdated);
    assert_eq!(heard.hear(&draining), Heard::Repeated);
}

/// A backend server leaves without a word of draining, and a message from before comes afterwards.
#[test]
fn one_that_left_stays_away() {
    let mut heard = Announcements::default();
    heard.hear(&serving("i-1", 10, 4));
    assert_eq!(heard.hear(&leaving("i-1")), Heard::Taken);
    assert_eq!(heard.hear(&leaving("i-1")), Heard::Repeated);
    assert_eq!(heard.hear(&serving("i-1", 10, 5)), Heard::Outdated);
}

/// A backend server crashes and another one starts at its address; the last message of the first
/// was held up by a partition and comes after the second has announced itself.
#[test]
fn an_earlier_start_does_not_replace_a_later_one() {
    let mut heard = Announcements::default();
    assert_eq!(heard.hear(&serving("i-1", 10, 7)), Heard::Taken);
    assert_eq!(heard.hear(&serving("i-2", 20, 1)), Heard::Taken);
    assert_eq!(heard.hear(&serving("i-1", 10, 8)), Heard::Outdated);
    assert_eq!(heard.hear(&leaving("i-1")), Heard::Outdated);
    assert_eq!(heard.hear(&serving("i-2", 20, 2)), Heard::Repeated);
}

/// A backend server starts again under its old name; its counts start anew.
#[test]
fn a_restart_under_one_name_is_news() {
    let mut heard = Announcements::default();
    heard.hear(&serving("i-1", 10, 50));
    assert_eq!(heard.hear(&serving("i-1", 30, 1)), Heard::Taken);
    heard.hear(&leaving("i-1"));
    assert_eq!(heard.hear(&serving("i-1", 40, 1)), Heard::Taken);
}

/// The product's own announcements need no name: the last word holds.
#[test]
fn without_a_name_the_last_word_holds() {
    let mut heard = Announcements::default();
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
        assert_eq!(heard.hear(&unnamed(state)), Heard::Taken);
    }
}

/// A backend server has left, and the process that acknowledged that has been replaced. A "ready" from
/// before, held up on its way, must not open the next process's gate: only the backend server itself
/// can say whether it still holds.
#[test]
fn the_first_ready_of_a_process_waits_for_the_backend_server_itself() {
    let mut heard = Announcements::doubtful();
    assert_eq!(heard.hear(&serving("i-1", 10, 4)), Heard::Unconfirmed);
    assert_eq!(heard.serving(), None);
    assert_eq!(heard.confirm(&InstanceName::new("i-2")), None);
    let confirmed = heard.confirm(&InstanceName::new("i-1"));
    assert_eq!(confirmed, Some(&serving("i-1", 10, 4)));
    assert_eq!(heard.hear(&serving("i-1", 10, 5)), Heard::Repeated);
    // From now on this process knows itself what was said before.
    assert_eq!(heard.hear(&serving("i-3", 20, 1)), Heard::Taken);
}

/// The backend server was asked, and before its answer came it said that it leaves.
#[test]
fn a_confirmation_does_not_undo_what_was_said_since() {
    let mut heard = Announcements::doubtful();
    assert_eq!(heard.hear(&serving("i-1", 10, 4)), Heard::Unconfirmed);
    let draining = announcement("i-1", 10, 5, BackendState::Draining);
    assert_eq!(heard.hear(&draining), Heard::Taken);
    assert_eq!(heard.confirm(&InstanceName::new("i-1")), None);
}

/// A backend server's answers about its health are wrong. It goes on announcing itself, which one that
/// has left does not, so it is believed in the end. The same message again proves nothing.
#[test]
fn a_backend_server_that_goes_on_announcing_itself_is_believed() {
    let mut heard = Announcements::doubtful();
    assert_eq!(heard.hear(&serving("i-1", 10, 4)), Heard::Unconfirmed);
    assert_eq!(heard.hear(&serving("i-1", 10, 4)), Heard::Unconfirmed);
    assert_eq!(heard.hear(&serving("i-1", 10, 5)), Heard::Unconfirmed);
    assert_eq!(heard.hear(&serving("i-1", 10, 6)), Heard::Taken);
}
