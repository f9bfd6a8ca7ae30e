//! The node process: its listeners, its control actors and tasks, and the state that they share.
//!
//! [`start`] binds the listeners and starts the membership and configuration actors and the background
//! tasks, such as registration; [`NodeHandle::drain`] stops them in order. Requests do not pass through
//! the actors: they read the shared state in [`state::NodeState`], which the actors update.

pub(crate) mod backend_announcements;
pub(crate) mod configuration;
pub(crate) mod content;
pub(crate) mod crashes;
pub(crate) mod follower;
pub(crate) mod freeze;
pub(crate) mod listeners;
pub(crate) mod liveness_log;
pub mod logging;
pub(crate) mod membership;
pub(crate) mod operator;
pub(crate) mod quota;
pub(crate) mod recorder;
pub(crate) mod registration;
pub(crate) mod reload;
pub(crate) mod rollout;
pub mod run;
pub mod settings;
pub(crate) mod state;
pub(crate) mod store;

pub use run::{Error, NodeHandle, runtime, start};
pub use settings::{Settings, SettingsError};
