//! Whose words a node speaks with callers, backend servers, readiness probes and the store.

/// The words in which a node speaks with everything that is no node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// The product's own interface.
    #[default]
    Native,
    /// The users' platform, as [`crate::platform`] translates it.
    Platform,
}
