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
const CALLER_SHARE_NUMERATOR: u32 = 3;
const CALLER_SHARE_DENOMINATOR: u32 = 4;

/// Memory set aside for each connection: above what one takes with a request in hand, and twice
/// that of the idle ones among them.
const CONNECTION_MEMORY_KB: u32 = 64;

/// How many connections callers may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// All together.
    pub max_total: u32,
    /// From one address.
    pub max_per_address: u32,
}

impl ConnectionLimits {
    /// For a process that may open so many descriptors and use so much memory; none if it is not
    /// limited.
    pub fn for_process(descriptors: u32, memory_mb: Option<u32>, max_per_address: u32) -> Self {
        let by_descriptors = descriptors / CALLER_SHARE_DENOMINATOR * CALLER_SHARE_NUMERATOR;
        let by_memory = memory_mb.map_or(u32::MAX, |mb| {
            mb.saturating_mul(1_024) / CONNECTION_MEMORY_KB
        });
        let max_total = by_descriptors.min(by_memory).max(1);
        Self {
            max_total,
            max_per_address: max_per_address.min(max_total),
        }
    }
}

/// A connection that was let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The new connection.
    pub connection: ConnectionKey,
    /// The one that is closed for it.
    pub closed: Option<ConnectionKey>,
}

#[derive(Debug)]
struct OpenConnection {
    caller: IpAddr,
    /// Its number among the idle ones while it is idle.
    idle_sequence: Option<u64>,
}

/// The connections of all callers.
///
/// At the limit the longest idle one is closed for a new one: its caller is the least likely to use it now, and
/// a request that crosses the close was not read, so it may be sent again. An address that opens connection
/// after connection loses its own first.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    open: SlotMap<ConnectionKey, OpenConnection>,
    count_by_address: HashMap<IpAddr, u32>,
    /// The longest idle first.
    idle_connections: BTreeMap<u64, ConnectionKey>,
    last_idle_sequence: u64,
}

impl ConnectionTable {
    /// None yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            open: SlotMap::with_key(),
            count_by_address: HashMap::new(),
            idle_connections: BTreeMap::new(),
            last_idle_sequence: 0,
        }
    }

    /// A connection of `caller` has come; none if there is no room for it.
    pub fn accept(&mut self, caller: IpAddr) -> Option<Accepted> {
        let closed = match self.has_room(caller) {
            true => None,
            false => Some(self.connection_to_close(caller)?),
        };
        if let Some(closed) = closed {
            self.remove(closed);
        }
        *self.count_by_address.entry(caller).or_default() += 1;
        let connection = self.open.insert(OpenConnection {
            caller,
            idle_sequence: None,
        });
        Some(Accepted { connection, closed })
    }

    /// The connection waits for its caller's next request.
    pub fn mark_idle(&mut self, connection: ConnectionKey) {
        let Some(open) = self.open.get_mut(connection) else {
            return;
        };
        self.last_idle_sequence += 1;
        if let Some(previous) = open.idle_sequence.replace(self.last_idle_sequence) {
            self.idle_connections.remove(&previous);
        }
        self.idle_connections
            .insert(self.last_idle_sequence, connection);
    }

    /// A request has come on the connection. False if it is being closed.
    pub fn mark_active(&mut self, connection: ConnectionKey) -> bool {
        let Some(open) = self.open.get_mut(connection) else {
            return false;
        };
        if let Some(sequence) = open.idle_sequence.take() {
            self.idle_connections.remove(&sequence);
        }
        true
    }

    /// The connection has ended; nothing changes if it was closed for another one.
    pub fn remove(&mut self, connection: ConnectionKey) {
        let Some(open) = self.open.remove(connection) else {
            return;
        };
        if let Some(sequence) = open.idle_sequence {
            self.idle_connections.remove(&sequence);
        }
        if let Some(count) = self.count_by_address.get_mut(&open.caller) {
            *count -= 1;
            if *count == 0 {
                self.count_by_address.remove(&open.caller);
            }
        }
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    fn has_room(&self, caller: IpAddr) -> bool {
        !self.is_at_limit(caller) && self.open.len() < self.limits.max_total as usize
    }

    fn is_at_limit(&self, caller: IpAddr) -> bool {
        let count = self.count_by_address.get(&caller).copied().unwrap_or(0);
        count >= self.limits.max_per_address
    }

    /// What is closed for a connection of `caller`: one of its own if it has too many itself.
    fn connection_to_close(&self, caller: IpAddr) -> Option<ConnectionKey> {
        let own_only = self.is_at_limit(caller);
        let may_close = |key: &&ConnectionKey| {
            let open = self.open.get(**key);
            !own_only || open.is_some_and(|open| open.caller == caller)
        };
        self.idle_connections.values().find(may_close).copied()
    }
}
