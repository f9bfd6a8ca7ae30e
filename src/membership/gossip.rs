//! What travels between two members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::core::member::{Member, NodeId, Place};
use crate::core::version::{Stamp, Version};

/// One message of an exchange, either way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The sender.
    pub from: NodeId,
    /// Hash of the sender's view.
    pub view_hash: u64,
    /// Version that the sender enforces or is about to. The receiver remembers it, so that the
    /// sender never comes back below it.
    pub version: Version,
    /// Newest stamp the sender knows of, where the receiver may not know it. The sender holds its
    /// content if it is not above [`Self::version`].
    pub announce: Option<Stamp>,
    /// Statements that may be news to the receiver.
    pub updates: Vec<Member>,
    /// Who enforces what; inside a data centre only.
    pub reports: Vec<Report>,
    /// What each data centre enforces.
    pub summaries: Vec<Summary>,
    /// The sender asks for the whole view.
    pub want_all: bool,
}

/// Which version a node enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The node.
    pub node: NodeId,
    /// Which life of it.
    pub incarnation_us: u64,
    /// What it enforces.
    pub version: Version,
}

/// What the nodes of one data centre enforce, counted by one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The data centre.
    pub place: Place,
    /// Nodes that are alive.
    pub nodes: u32,
    /// How many of them enforce each version.
    pub versions: BTreeMap<Version, u32>,
    /// Orders the summaries of one data centre.
    pub sequence: u64,
}

/// An exchange that the driver is to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// With whom; unknown for a seed.
    pub to: Option<NodeId>,
    /// Where to dial.
    pub address: SocketAddr,
    /// What to send.
    pub gossip: Gossip,
    /// When it was started.
    pub started_ms: u64,
}
