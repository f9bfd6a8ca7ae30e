//! Limits on callers' connections to a node, and which idle one is closed to admit a new one.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies an open connection.
    pub struct ConnectionKey;
}

/// Share of the process's file descriptors that connections of callers may use. The rest is for other
/// nodes, the backend server, the platform and files.
const CALLER_SHARE_NUMERATOR: u32 = 3;
const CALLER_SHARE_DENOMINATOR: u32 = 4;

/// Memory budget of each connection, in KiB. It is above what a connection uses while it has a
/// request, and twice what an idle one uses.
const CONNECTION_MEMORY_KB: u32 = 64;

/// Maximum numbers of open connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Of all callers together.
    pub max_total: u32,
    /// From one IP address.
    pub max_per_address: u32,
}

impl ConnectionLimits {
    /// Derives the limits from the maximum number of file descriptors and the memory of the process
    /// in MiB, `None` if memory is not limited. `max_per_address` is configured; the total caps it.
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

/// A connection that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedConnection {
    /// The new connection.
    pub connection: ConnectionKey,
    /// The idle connection that has to be closed for it, if any.
    pub closed: Option<ConnectionKey>,
}

#[derive(Debug)]
struct OpenConnection {
    caller: IpAddr,
    /// Key in [`ConnectionTable::idle_connections`] while the connection is idle.
    idle_sequence: Option<u64>,
}

/// Open connections of all callers.
///
/// At the limit the connection that has been idle longest is closed for a new one, since its caller
/// is the least likely to use it soon. A request that the caller sends during the close was not read,
/// so the caller may retry it. If an address is at its own limit, one of its own connections is
/// closed.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    open: SlotMap<ConnectionKey, OpenConnection>,
    count_by_address: HashMap<IpAddr, u32>,
    /// Idle connections by the number of the idle period, the one that has been idle longest first.
    idle_connections: BTreeMap<u64, ConnectionKey>,
    last_idle_sequence: u64,
}

impl ConnectionTable {
    /// Returns an empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            open: SlotMap::with_key(),
            count_by_address: HashMap::new(),
            idle_connections: BTreeMap::new(),
            last_idle_sequence: 0,
        }
    }

    /// Adds a connection of `caller`; returns `None` if it must be refused.
    pub fn accept(&mut self, caller: IpAddr) -> Option<AcceptedConnection> {
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
        Some(AcceptedConnection { connection, closed })
    }

    /// Records that the connection waits for the next request.
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

    /// Records that a request has arrived on the connection. Returns false if the connection is
    /// being closed.
    pub fn mark_active(&mut self, connection: ConnectionKey) -> bool {
        let Some(open) = self.open.get_mut(connection) else {
            return false;
        };
        if let Some(sequence) = open.idle_sequence.take() {
            self.idle_connections.remove(&sequence);
        }
        true
    }

    /// Removes a connection that has ended. Does nothing if it was already closed for another one.
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

    /// Returns the number of open connections.
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

    /// Returns the connection to close for a new one of `caller`: the one that has been idle longest,
    /// among its own if `caller` is at its limit. `None` if no such connection is idle.
    fn connection_to_close(&self, caller: IpAddr) -> Option<ConnectionKey> {
        let own_only = self.is_at_limit(caller);
        let may_close = |key: &&ConnectionKey| {
            let open = self.open.get(**key);
            !own_only || open.is_some_and(|open| open.caller == caller)
        };
        self.idle_connections.values().find(may_close).copied()
    }
}
