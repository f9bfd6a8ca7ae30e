//! The long-running process: listeners, actors, and the state that they share.
//!
//! [`start`] binds the listeners and starts the control actors (membership, configuration,
//! registration); [`NodeHandle::drain`] ends them in order. Requests do not pass through the actors:
//! they read [`state::NodeState`], which the actors write.

pub(crate) mod backend_announcements;
pub(crate) mod configuration;
pub(crate) mod content;
pub(crate) mod follower;
pub(crate) mod freeze;
pub(crate) mod listeners;
pub(crate) mod liveness_log;
pub mod logging;
pub(crate) mod membership;
pub(crate) mod operator;
pub(crate) mod recorder;
pub(crate) mod registration;
pub(crate) mod reload;
pub mod run;
pub mod settings;
pub(crate) mod state;
pub(crate) mod store;

pub use run::{Error, NodeHandle, runtime, start};
pub use settings::{Settings, SettingsError};
