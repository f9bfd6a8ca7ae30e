//! How a node comes by the accepted configuration, as state machines without sockets.
//!
//! [`Holder`] keeps what the node holds and enforces. [`Fetcher`] decides what to fetch, from whom
//! and when; its driver does the fetching and hands the content to the holder. Content is verified,
//! checked for closure and compiled before it is [`CompiledConfiguration`]; anything wrong leaves the node with
//! what it had. Only a greater version is ever applied, and after a restart none below the
//! [`Floor`]. See `docs/design/spread.md`.

pub mod budget;
pub mod fetch;
pub mod first_seen;
pub mod floor;
pub mod holder;
pub mod lead_choice;
pub mod offer;

pub use budget::ApplyBudget;
pub use fetch::{Fetch, Fetcher, Source};
pub use first_seen::FirstSeen;
pub use floor::Floor;
pub use holder::{CompiledConfiguration, Content, DeltaStep, Holder};
pub use offer::Offer;
