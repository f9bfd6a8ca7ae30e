use super::*;

/// Guards against a log that one entry fills, and against an entry that is never logged.
#[test]
fn an_entry_is_logged_once_until_many_others_were() {
    let mut logged = Logged::default();
    assert!(logged.insert(Entry::Member, "a", "port"));
    assert!(!logged.insert(Entry::Member, "a", "port"));
    assert!(logged.insert(Entry::Member, "b", "port"));
    assert!(logged.insert(Entry::NodeRow, "a", "port"));
    assert!(logged.insert(Entry::Member, "a", "place"));
    for number in 0..LOGGED_MAX {
        assert!(logged.insert(Entry::Row, &number.to_string(), "text"));
    }
    assert!(logged.insert(Entry::Member, "a", "port"));
    assert_eq!(logged.0.len(), LOGGED_MAX);
}
