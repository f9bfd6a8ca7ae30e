//! The long-running process: listeners, actors, and the state that they share.
//!
//! [`run()`] binds the listeners, starts the control actors (membership, configuration,
//! registration) and serves until its token is cancelled, then drains. Requests do not pass
//! through the actors: they read [`state::NodeState`], which the actors write.

pub(crate) mod changes;
pub(crate) mod configuration;
pub(crate) mod content;
pub(crate) mod freeze;
pub mod logging;
pub(crate) mod membership;
pub(crate) mod operator;
pub(crate) mod registration;
pub mod run;
pub mod settings;
pub(crate) mod state;
pub(crate) mod store;

pub use run::{Error, NodeHandle, run, runtime, start};
pub use settings::{Settings, SettingsError};
