//! The control connections of a node to its peers, shared by all parts of the process that call
//! peers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::client::{DialOptions, PeerClient};

/// Clients of the control service, one per peer address.
#[derive(Debug)]
pub(crate) struct PeerPool {
    options: DialOptions,
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl PeerPool {
    pub(crate) fn new(options: DialOptions) -> Self {
        Self {
            options,
            clients: Mutex::default(),
        }
    }

    /// The client for a peer. It connects when it is first used. `None` if the address cannot be
    /// connected to.
    pub(crate) fn client(&self, address: SocketAddr) -> Option<PeerClient> {
        let mut clients = self.lock_clients();
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let client = PeerClient::new(address, &self.options).ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }

    /// Drops a connection on which a call failed. After a long network partition TCP would continue
    /// to retransmit on it at growing intervals, up to minutes, although the network works again.
    pub(crate) fn discard(&self, address: SocketAddr) {
        self.lock_clients().remove(&address);
    }

    /// Closes all connections except those to `wanted`. A node exchanges messages with a few
    /// neighbours, which change over time, and must not accumulate a connection to each of 520
    /// nodes.
    pub(crate) fn retain(&self, wanted: &BTreeSet<SocketAddr>) {
        self.lock_clients()
            .retain(|address, _| wanted.contains(address));
    }

    fn lock_clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
