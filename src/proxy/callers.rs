//! The connections of callers, and how an idle one is told that its place is needed.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use crate::decide::connections::{CallerConnections, ConnectionKey, ConnectionLimits};

/// Connections by caller; see [`CallerConnections`].
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    connections: CallerConnections,
    /// Wakes the idle ones.
    wakes: SecondaryMap<ConnectionKey, oneshot::Sender<()>>,
}

impl Callers {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        let state = State {
            connections: CallerConnections::new(limits),
            wakes: SecondaryMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Counts one more connection and closes an idle one for it if need be; none if there is no room.
    pub(crate) fn enter(&self, caller: IpAddr) -> Option<Counted> {
        let mut state = self.lock();
        let Some(entered) = state.connections.accept(caller) else {
            metrics::counter!("dragonflywall_caller_connections_refused_total").increment(1);
            return None;
        };
        if let Some(closed) = entered.closed {
            metrics::counter!("dragonflywall_caller_connections_closed_idle_total").increment(1);
            // Its task ends when the sender is dropped.
            state.wakes.remove(closed);
        }
        state.record();
        Some(Counted {
            callers: self.clone(),
            connection: entered.connection,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record(&self) {
        let count = self.connections.count();
        metrics::gauge!("dragonflywall_caller_connections").set(count as f64);
    }
}

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct Counted {
    callers: Callers,
    connection: ConnectionKey,
}

impl Counted {
    /// The connection waits for a request, until what is returned is dropped.
    pub(crate) fn idle(&self) -> Idle<'_> {
        let (wake, needed) = oneshot::channel();
        let mut state = self.callers.lock();
        state.connections.mark_idle(self.connection);
        state.wakes.insert(self.connection, wake);
        Idle {
            counted: self,
            needed,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut state = self.callers.lock();
        state.connections.remove(self.connection);
        state.wakes.remove(self.connection);
        state.record();
    }
}

/// The time during which a connection is idle.
#[derive(Debug)]
pub(crate) struct Idle<'a> {
    counted: &'a Counted,
    needed: oneshot::Receiver<()>,
}

impl Idle<'_> {
    /// Waits until the place of the connection is needed for another one.
    pub(crate) async fn place_needed(&mut self) {
        // Nothing is ever sent: the sender is dropped.
        let _ = (&mut self.needed).await;
    }
}

impl Drop for Idle<'_> {
    fn drop(&mut self) {
        let mut state = self.counted.callers.lock();
        state.connections.mark_active(self.counted.connection);
        state.wakes.remove(self.counted.connection);
    }
}
