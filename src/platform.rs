//! Adapter to the users' platform: the interfaces of the system that dragonflywall's users run it on.
//!
//! The adapter translates the platform's names, formats and calls into dragonflywall's own and contains
//! no further logic. No other module uses the platform's names. See `docs/design/platform.md`.
//!
//! - [`settings`]: the settings file of a node.
//! - [`node_requests`]: readiness probes and announcements of backend servers.
//! - [`configuration`]: the format in which operators write the configuration into the store.
//! - [`duration`]: the format of durations.
//! - [`rollouts`]: orders and statuses of roll-outs.
//! - [`store`]: client of the store.
//! - [`headers`]: names of the HTTP headers exchanged with callers and backend servers.

pub(crate) mod configuration;
pub(crate) mod duration;
pub(crate) mod headers;
pub(crate) mod node_requests;
pub(crate) mod rollouts;
pub(crate) mod settings;
pub mod store;

#[cfg(test)]
mod tests;
