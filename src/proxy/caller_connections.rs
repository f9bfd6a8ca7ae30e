//! Limits the number of caller connections and closes idle ones to make room for new ones.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use crate::decide::connections::{ConnectionKey, ConnectionLimits, ConnectionTable};

/// The open caller connections of a node, shared by its connection tasks. [`ConnectionTable`] holds
/// the limits and chooses which idle connection to close.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnections {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    connections: ConnectionTable,
    /// One sender per idle connection. Dropping it makes the connection's task close the
    /// connection.
    close_senders: SecondaryMap<ConnectionKey, oneshot::Sender<()>>,
}

impl CallerConnections {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        let state = State {
            connections: ConnectionTable::new(limits),
            close_senders: SecondaryMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Registers a new connection of `caller`. At the limit for all callers, any idle connection is
    /// closed to make room; at the limit for one address, an idle one of `caller`. Returns `None`
    /// if there is no such connection.
    pub(crate) fn register(&self, caller: IpAddr) -> Option<ConnectionGuard> {
        let mut state = self.lock();
        let Some(accepted) = state.connections.accept(caller) else {
            metrics::counter!("dragonflywall_caller_connections_refused_total").increment(1);
            return None;
        };
        if let Some(closed) = accepted.closed {
            metrics::counter!("dragonflywall_caller_connections_closed_idle_total").increment(1);
            // Dropping the sender ends the task of that connection.
            state.close_senders.remove(closed);
        }
        state.record_count();
        Some(ConnectionGuard {
            registry: self.clone(),
            key: accepted.connection,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_count(&self) {
        let count = self.connections.count();
        metrics::gauge!("dragonflywall_caller_connections").set(count as f64);
    }
}

/// An open connection. Unregisters it when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    registry: CallerConnections,
    key: ConnectionKey,
}

impl ConnectionGuard {
    /// Marks the connection as idle until the returned guard is dropped. An idle connection may be
    /// closed to make room for a new one.
    pub(crate) fn mark_idle(&self) -> IdleGuard<'_> {
        let (close_sender, close_receiver) = oneshot::channel();
        let mut state = self.registry.lock();
        state.connections.mark_idle(self.key);
        state.close_senders.insert(self.key, close_sender);
        IdleGuard {
            connection: self,
            close_receiver,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.connections.remove(self.key);
        state.close_senders.remove(self.key);
        state.record_count();
    }
}

/// Marks its connection as idle until dropped.
#[derive(Debug)]
pub(crate) struct IdleGuard<'a> {
    connection: &'a ConnectionGuard,
    close_receiver: oneshot::Receiver<()>,
}

impl IdleGuard<'_> {
    /// Waits until the connection must be closed to make room for a new one.
    pub(crate) async fn close_requested(&mut self) {
        // The channel carries no message: the sender is dropped to request the close.
        let _ = (&mut self.close_receiver).await;
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.connection.registry.lock();
        state.connections.mark_active(self.connection.key);
        state.close_senders.remove(self.connection.key);
    }
}
