//! The control connections of a node, shared by all that ask its peers something.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::client::{DialOptions, PeerClient};

/// One client per peer address.
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

    /// The client of a peer; nothing is dialled before it is used.
    pub(crate) fn client(&self, address: SocketAddr) -> Option<PeerClient> {
        let mut clients = self.lock_clients();
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let client = PeerClient::new(address, &self.options).ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }

    /// Gives up a connection that brought no answer. After a long cut the system would go on
    /// resending on it ever more slowly, up to minutes apart, although the way is free again.
    pub(crate) fn discard(&self, address: SocketAddr) {
        self.lock_clients().remove(&address);
    }

    /// Closes the connections to all but `wanted`: a node talks to a few neighbours, whoever they
    /// are at the time, and must not gather a connection to each of 520 nodes.
    pub(crate) fn retain(&self, wanted: &BTreeSet<SocketAddr>) {
        self.lock_clients()
            .retain(|address, _| wanted.contains(address));
    }

    fn lock_clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
