//! Who is in the mesh and how each one fares, as a state machine without sockets.
//!
//! Every node holds a [`Membership`]: its own statement and the latest one it has heard of each
//! other node. The driver (an actor of [`crate::node`]) calls [`Membership::tick`], sends the
//! exchanges that it returns, and feeds what comes back to [`Membership::receive`],
//! [`Membership::exchange_done`] and [`Membership::exchange_failed`]. Statements are
//! single-writer: ordered by incarnation and sequence, which only the node itself raises. Others
//! may only suspect it.
//!
//! [`roster`] keeps the statements, [`neighbours`] chooses the peers, [`link`] remembers what each
//! of them still has to be told, [`reports`] counts who enforces what, [`exchange`] and
//! [`discovery`] do the talking, [`merge`] takes in what others say, and [`view`] ties them
//! together. See `docs/design/spread.md`.

pub(crate) mod discovery;
pub(crate) mod exchange;
pub mod gossip;
pub mod link;
pub(crate) mod merge;
pub mod neighbours;
pub mod reports;
pub mod roster;
pub mod view;

pub use gossip::{Exchange, Gossip, Report, Summary};
pub use neighbours::NeighbourKind;
pub use view::{Membership, Timing};
