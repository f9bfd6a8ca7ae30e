//! Identities of crashes, and small sets of them.

use std::num::NonZeroU32;

use super::CRASHES_MAX;
use crate::core::member::StartDigest;

/// Identifies the end of one backend server. All requests that it was running then have the same crash.
///
/// The upper half is the digest of the start that ended, or 0 if the backend server announced none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The end of `start`. `number` tells it from other ends that the same start is taken to have had.
    pub fn new(start: Option<StartDigest>, number: u32) -> Self {
        let start = start.map_or(0, |StartDigest(digest)| digest.get());
        Self(u64::from(start) << u32::BITS | u64::from(number))
    }

    /// The start that ended, if the backend server announced one.
    pub fn start(self) -> Option<StartDigest> {
        let upper_half = u32::try_from(self.0 >> u32::BITS).expect("32 bits are left");
        NonZeroU32::new(upper_half).map(StartDigest)
    }
}

/// Different crashes, [`CRASHES_MAX`] at most. More make no difference to a single decision, so they are left out.
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
