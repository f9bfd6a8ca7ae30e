//! Messages that members exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::core::member::{Member, NodeId, Place};
use crate::core::rollout::RolloutBook;
use crate::core::version::{Stamp, Version};

/// One message of an exchange: the request or the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// Node that sends the message.
    pub from: NodeId,
    /// Hash over the sender's records of all live members. Equal hashes show that two views are
    /// equal.
    pub view_hash: u64,
    /// Version that the sender enforces or is about to enforce. The receiver stores it, so that the
    /// sender does not enforce an older version after a restart.
    pub version: Version,
    /// Newest stamp (version and digest) that the sender has received, if the receiver may not have
    /// it yet. The sender has its content if it is not newer than [`Self::version`].
    pub announce: Option<Stamp>,
    /// Member records that may be new to the receiver.
    pub updates: Vec<Member>,
    /// Which node enforces which version. Sent only inside a data centre.
    pub reports: Vec<Report>,
    /// How many nodes of each data centre enforce which version.
    pub summaries: Vec<Summary>,
    /// Digest of the orders and states of roll-outs that the sender has; 0 if there are none.
    pub rollouts_digest: u64,
    /// These orders and states, if the receiver may not have them.
    pub rollouts: Option<Arc<RolloutBook>>,
    /// Asks the receiver for its whole view.
    pub want_all: bool,
}

/// Which version one node enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Node that the report is about.
    pub node: NodeId,
    /// Start time of its process, as in [`Member::incarnation_us`]. A report from an earlier
    /// process is outdated.
    pub incarnation_us: u64,
    /// Version that it enforces.
    pub version: Version,
}

/// How many nodes of one data centre enforce which version, counted by one of its nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Region and name of the data centre.
    pub place: Place,
    /// Number of its live nodes.
    pub nodes: u32,
    /// Number of nodes that enforce each version.
    pub versions: BTreeMap<Version, u32>,
    /// Orders the summaries of one data centre; the highest one is the newest.
    pub sequence: u64,
}

/// An exchange that the driver has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Member that is marked as suspect if it does not answer; `None` for exchanges that are only
    /// attempts, such as contacting a seed.
    pub to: Option<NodeId>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Message to send.
    pub gossip: Gossip,
    /// Time at which it was started, on the clock of [`super::Membership`].
    pub started_ms: u64,
}
