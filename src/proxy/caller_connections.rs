//! The connections of callers, and how an idle one is told that its place is needed.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use crate::decide::connections::{ConnectionKey, ConnectionLimits, ConnectionTable};

/// Connections by caller; see [`ConnectionTable`].
#[derive(Clone, Debug)]
pub(crate) struct CallerConnections {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    connections: ConnectionTable,
    /// Wakes the idle ones.
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

    /// Counts one more connection and closes an idle one for it if need be; none if there is no room.
    pub(crate) fn register(&self, caller: IpAddr) -> Option<ConnectionGuard> {
        let mut state = self.lock();
        let Some(entered) = state.connections.accept(caller) else {
            metrics::counter!("dragonflywall_caller_connections_refused_total").increment(1);
            return None;
        };
        if let Some(closed) = entered.closed {
            metrics::counter!("dragonflywall_caller_connections_closed_idle_total").increment(1);
            // Its task ends when the sender is dropped.
            state.close_senders.remove(closed);
        }
        state.record_count();
        Some(ConnectionGuard {
            registry: self.clone(),
            key: entered.connection,
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

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    registry: CallerConnections,
    key: ConnectionKey,
}

impl ConnectionGuard {
    /// The connection waits for a request, until what is returned is dropped.
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

/// The time during which a connection is idle.
#[derive(Debug)]
pub(crate) struct IdleGuard<'a> {
    connection: &'a ConnectionGuard,
    close_receiver: oneshot::Receiver<()>,
}

impl IdleGuard<'_> {
    /// Waits until the place of the connection is needed for another one.
    pub(crate) async fn close_requested(&mut self) {
        // Nothing is ever sent: the sender is dropped.
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
