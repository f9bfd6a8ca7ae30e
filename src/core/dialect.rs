//! The protocol variant that a node uses with callers, backend servers, readiness probes and the
//! store.

/// The headers, paths and data formats that a node uses with every peer that is not a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// The interface that dragonflywall defines.
    #[default]
    Native,
    /// The interface of the users' platform, which [`crate::platform`] translates.
    Platform,
}
