//! Identities of crashes, and small sets of them.

use super::CRASHES_MAX;

/// Identifies the end of one backend server. All requests that it was running then have the same crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

/// Different crashes, [`CRASHES_MAX`] at most. More make no difference to any decision, so they are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashSet {
    ids: [CrashId; CRASHES_MAX],
    len: usize,
}

impl CrashSet {
    /// A set of one crash.
    pub fn of(id: CrashId) -> Self {
        Self::from_iter([id])
    }

    /// Number of crashes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether it contains a crash.
    pub fn contains(&self, id: CrashId) -> bool {
        self.iter().any(|known| known == id)
    }

    /// The crashes.
    pub fn iter(&self) -> impl Iterator<Item = CrashId> + use<> {
        self.ids.into_iter().take(self.len)
    }

    /// Adds a crash.
    pub fn insert(&mut self, id: CrashId) {
        if self.len < CRASHES_MAX && !self.contains(id) {
            self.ids[self.len] = id;
            self.len += 1;
        }
    }

    /// The crashes of both sets.
    pub fn union(mut self, other: Self) -> Self {
        self.extend(other.iter());
        self
    }
}

impl Extend<CrashId> for CrashSet {
    fn extend<I: IntoIterator<Item = CrashId>>(&mut self, ids: I) {
        for id in ids {
            self.insert(id);
        }
    }
}

impl FromIterator<CrashId> for CrashSet {
    fn from_iter<I: IntoIterator<Item = CrashId>>(ids: I) -> Self {
        let mut set = Self::default();
        set.extend(ids);
        set
    }
}
