//! How many connections of callers a node keeps, and which one it gives up for a new one.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names an open connection.
    pub struct ConnectionKey;
}

/// Part of the process's descriptors that callers may take, in quarters. The rest is for other nodes,
/// the backend server, the platform and files.
const CALLERS_QUARTERS: u32 = 3;
const QUARTERS: u32 = 4;

/// Memory set aside for each connection: above what one takes with a request in hand, and twice
/// that of the idle ones among them.
const CONNECTION_KB: u32 = 64;

/// How many connections callers may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// All together.
    pub most: u32,
    /// From one address.
    pub most_of_one: u32,
}

impl ConnectionLimits {
    /// For a process that may open so many descriptors and use so much memory; none if it is not
    /// limited.
    pub fn of_process(descriptors: u32, memory_mb: Option<u32>, most_of_one: u32) -> Self {
        let by_descriptors = descriptors / QUARTERS * CALLERS_QUARTERS;
        let by_memory = memory_mb.map_or(u32::MAX, |mb| mb.saturating_mul(1_024) / CONNECTION_KB);
        let most = by_descriptors.min(by_memory).max(1);
        Self {
            most,
            most_of_one: most_of_one.min(most),
        }
    }
}

/// A connection that was let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entered {
    /// The new connection.
    pub connection: ConnectionKey,
    /// The one that is closed for it.
    pub closed: Option<ConnectionKey>,
}

#[derive(Debug)]
struct Open {
    caller: IpAddr,
    /// Its number among the idle ones while it is idle.
    idle: Option<u64>,
}

/// The connections of all callers.
///
/// At the limit the longest idle one is closed for a new one: its caller is the least likely to use it now, and
/// a request that crosses the close was not read, so it may be sent again. An address that opens connection
/// after connection loses its own first.
#[derive(Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    open: SlotMap<ConnectionKey, Open>,
    of: HashMap<IpAddr, u32>,
    /// The longest idle first.
    idle: BTreeMap<u64, ConnectionKey>,
    idles: u64,
}

impl Connections {
    /// None yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            open: SlotMap::with_key(),
            of: HashMap::new(),
            idle: BTreeMap::new(),
            idles: 0,
        }
    }

    /// A connection of `caller` has come; none if there is no room for it.
    pub fn enter(&mut self, caller: IpAddr) -> Option<Entered> {
        let closed = match self.has_room(caller) {
            true => None,
            false => Some(self.longest_idle(caller)?),
        };
        if let Some(closed) = closed {
            self.leave(closed);
        }
        *self.of.entry(caller).or_default() += 1;
        let connection = self.open.insert(Open { caller, idle: None });
        Some(Entered { connection, closed })
    }

    /// The connection waits for its caller's next request.
    pub fn idle(&mut self, connection: ConnectionKey) {
        let Some(open) = self.open.get_mut(connection) else {
            return;
        };
        self.idles += 1;
        if let Some(before) = open.idle.replace(self.idles) {
            self.idle.remove(&before);
        }
        self.idle.insert(self.idles, connection);
    }

    /// A request has come on the connection. False if it is being closed.
    pub fn used(&mut self, connection: ConnectionKey) -> bool {
        let Some(open) = self.open.get_mut(connection) else {
            return false;
        };
        if let Some(idle) = open.idle.take() {
            self.idle.remove(&idle);
        }
        true
    }

    /// The connection has ended; nothing changes if it was closed for another one.
    pub fn leave(&mut self, connection: ConnectionKey) {
        let Some(open) = self.open.remove(connection) else {
            return;
        };
        if let Some(idle) = open.idle {
            self.idle.remove(&idle);
        }
        if let Some(count) = self.of.get_mut(&open.caller) {
            *count -= 1;
            if *count == 0 {
                self.of.remove(&open.caller);
            }
        }
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    fn has_room(&self, caller: IpAddr) -> bool {
        !self.is_at_its_limit(caller) && self.open.len() < self.limits.most as usize
    }

    fn is_at_its_limit(&self, caller: IpAddr) -> bool {
        let count = self.of.get(&caller).copied().unwrap_or(0);
        count >= self.limits.most_of_one
    }

    /// What is closed for a connection of `caller`: one of its own if it has too many itself.
    fn longest_idle(&self, caller: IpAddr) -> Option<ConnectionKey> {
        let own_only = self.is_at_its_limit(caller);
        let may_go = |key: &&ConnectionKey| {
            let open = self.open.get(**key);
            !own_only || open.is_some_and(|open| open.caller == caller)
        };
        self.idle.values().find(may_go).copied()
    }
}
