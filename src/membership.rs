//! Gossip membership and failure detection, as a state machine without sockets.
//!
//! Every node has a [`Membership`]: its own member record and the latest record that it has
//! received of each other node. The driver (an actor of [`crate::node`]) calls
//! [`Membership::tick`], sends the exchanges that it returns, and passes the results to
//! [`Membership::receive`], [`Membership::exchange_done`] and [`Membership::exchange_failed`]. Only
//! the node itself writes its record; the records of a node are ordered by incarnation and sequence
//! number. Other nodes may only mark it as suspect or dead.
//!
//! [`roster`] stores the records, [`neighbours`] chooses the peers to gossip with, [`link`] stores
//! what is still to be sent to each of them, [`reports`] tracks which node enforces which version,
//! [`exchange`] and [`discovery`] create and answer messages, [`merge`] merges received messages,
//! and [`view`] holds the state as a whole. See `docs/design/spread.md`.

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
