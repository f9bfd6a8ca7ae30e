//! Entries from outside that cannot be read. They are left out, so that they hide no others; each is counted, and logged once.

use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::fmt::Display;
use std::hash::{Hash, Hasher};
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Most entries that are kept in mind so that their repeats are not logged.
const LOGGED_MAX: usize = 256;

/// What cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Entry {
    /// An announcement of the backend server.
    Announcement,
    /// A configuration in the store.
    Configuration,
    /// A request under which backend servers have ended, as another node reports it.
    Crash,
    /// A member in a message of another node.
    Member,
    /// A node's row in the store.
    NodeRow,
    /// A row in the store that is not text.
    Row,
    /// An order for a roll-out.
    RolloutOrder,
    /// The state of a roll-out, in the store or as another node has it.
    RolloutState,
    /// The newest version, as another node announces it.
    Stamp,
    /// A node's counts during a roll-out.
    Tally,
    /// Requests of organisations, as another lead reports them.
    Usage,
    /// The version that a node enforces, as another one reports it.
    VersionReport,
    /// The versions that the nodes of a data centre enforce.
    VersionSummary,
}

impl Entry {
    /// The name in metrics and log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::Announcement => "announcement",
            Self::Configuration => "configuration",
            Self::Crash => "crash",
            Self::Member => "member",
            Self::NodeRow => "node-row",
            Self::Row => "row",
            Self::RolloutOrder => "rollout-order",
            Self::RolloutState => "rollout-state",
            Self::Stamp => "stamp",
            Self::Tally => "tally",
            Self::Usage => "usage",
            Self::VersionReport => "version-report",
            Self::VersionSummary => "version-summary",
        }
    }
}

/// The entries that were logged last.
#[derive(Debug, Default)]
struct Logged(VecDeque<u64>);

impl Logged {
    /// Whether an entry was not logged before. It then counts as logged.
    fn insert(&mut self, entry: Entry, name: &str, error: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        (entry, name, error).hash(&mut hasher);
        let hash = hasher.finish();
        if self.0.contains(&hash) {
            return false;
        }
        if self.0.len() == LOGGED_MAX {
            self.0.pop_front();
        }
        self.0.push_back(hash);
        true
    }
}

/// Records that the entry `name` cannot be read and is left out.
pub(crate) fn record(entry: Entry, name: &str, error: &impl Display) {
    static LOGGED: Mutex<Logged> = Mutex::new(Logged(VecDeque::new()));
    let what = entry.as_str();
    metrics::counter!("dragonflywall_unreadable_total", "what" => what).increment(1);
    let error = error.to_string();
    let mut logged = LOGGED.lock().unwrap_or_else(PoisonError::into_inner);
    if logged.insert(entry, name, &error) {
        log::warn!(what, name, error; "left out an entry that cannot be read");
    }
}

/// The entry `name`, unless it cannot be read.
pub(crate) fn readable<T, E: Display>(
    entry: Entry,
    name: &str,
    decoded: Result<T, E>,
) -> Option<T> {
    decoded.inspect_err(|error| record(entry, name, error)).ok()
}
