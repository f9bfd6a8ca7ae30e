//! Sets of software versions, by which a request is restricted to some endpoints of a service.

use crate::core::names::SoftwareVersion;

/// Number of versions of one service that are told apart. The endpoints of all further versions are
/// selected together; a service hardly ever runs more than three at a time.
const VERSIONS_MAX: u8 = 32;

/// Position of a version in [`Versions`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionIndex(u8);

/// A set of the versions of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionSet(u32);

impl VersionSet {
    /// All versions.
    pub const ALL: Self = Self(u32::MAX);

    /// Whether the set contains a version.
    pub fn contains(self, version: VersionIndex) -> bool {
        self.0 & (1 << version.0) != 0
    }
}

/// The software versions of the endpoints of one service. An endpoint may have announced none.
#[derive(Clone, Debug, Default)]
pub struct Versions(Vec<Option<SoftwareVersion>>);

impl Versions {
    /// Index of a version, which is added if it is new.
    pub fn index_of(&mut self, version: Option<&SoftwareVersion>) -> VersionIndex {
        let position = self.0.iter().position(|known| known.as_ref() == version);
        let position = position.unwrap_or_else(|| {
            self.0.push(version.cloned());
            self.0.len() - 1
        });
        let index = u8::try_from(position).unwrap_or(VERSIONS_MAX);
        VersionIndex(index.min(VERSIONS_MAX - 1))
    }

    /// The versions for which `is_selected` is true.
    pub fn select(&self, is_selected: impl Fn(Option<&SoftwareVersion>) -> bool) -> VersionSet {
        let mut selected = 0;
        for (position, version) in self.0.iter().enumerate() {
            if is_selected(version.as_ref()) {
                selected |= 1 << position.min(usize::from(VERSIONS_MAX) - 1);
            }
        }
        VersionSet(selected)
    }
}
