//! How a node obtains and switches to the newest accepted configuration, as state machines without
//! sockets.
//!
//! [`Holder`] stores the version that the node holds and the one that it enforces. [`Fetcher`] decides
//! what to fetch, from where and when; its driver makes the fetches and passes the content to the
//! holder. Content is verified, its references are checked, and it is compiled into a
//! [`CompiledConfiguration`]. If any of this fails, the node keeps what it had. A version is only
//! ever replaced by a greater one, and after a restart no version below the [`Floor`] is enforced.
//! See `docs/design/spread.md`.

pub mod budget;
pub mod fetch;
pub mod first_seen;
pub mod floor;
pub mod holder;
pub mod lead_choice;
pub mod offer;
pub mod refresh;
pub mod relay;

pub use budget::ApplyBudget;
pub use fetch::{Fetch, Fetcher, Source};
pub use first_seen::FirstSeen;
pub use floor::Floor;
pub use holder::{CompiledConfiguration, Content, DeltaStep, Holder};
pub use offer::Offer;
pub use refresh::Refresh;
