//! Sends one message to many nodes by way of others, so that no node sends it to more than [`FANOUT`].

/// Number of nodes that one node sends a message to.
pub const FANOUT: usize = 16;

/// A node that is sent the message, and the nodes to which it passes it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch<T> {
    /// The node that is sent the message.
    pub relay: T,
    /// Further recipients, which get it from `relay`.
    pub further: Vec<T>,
}

impl<T> Branch<T> {
    /// All recipients of the branch, none of which has the message if its relay was not sent it.
    pub fn into_recipients(self) -> Vec<T> {
        std::iter::once(self.relay).chain(self.further).collect()
    }
}

/// Splits recipients among at most [`FANOUT`] branches of neighbouring recipients. The first one of each is its relay.
pub fn branches<T>(recipients: Vec<T>) -> Vec<Branch<T>> {
    let branch_len = recipients.len().div_ceil(FANOUT);
    let mut left = recipients.into_iter();
    let next = || {
        let relay = left.next()?;
        let further = left.by_ref().take(branch_len - 1).collect();
        Some(Branch { relay, further })
    };
    std::iter::from_fn(next).collect()
}

/// Number of sends one after the other until the last of this number of recipients has the message.
pub fn depth(recipients: usize) -> u32 {
    match recipients {
        0 => 0,
        _ => 1 + depth(recipients.div_ceil(FANOUT) - 1),
    }
}
