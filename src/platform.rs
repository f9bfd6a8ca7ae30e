//! The users' platform: its names, formats and calls, translated into the product's own.
//!
//! Nothing here decides anything, and nothing outside spells a name of the platform. See
//! `docs/design/platform.md`.
//!
//! - [`settings`]: the settings file.
//! - [`node_requests`]: readiness and announcements, as they are asked for and made.
//! - [`configuration`]: what its operators write into the store.
//! - [`store`]: the calls of its store.
//! - [`headers`]: header names of requests and answers.

pub(crate) mod configuration;
pub(crate) mod duration;
pub(crate) mod headers;
pub(crate) mod node_requests;
pub(crate) mod settings;
pub mod store;

#[cfg(test)]
mod tests;
