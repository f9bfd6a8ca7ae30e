//! One VM: its node, its backend server, and what the backend server announces.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::DataCentre;
use crate::network::{Forwarder, Site};
use crate::process::NodeProcess;
use crate::users::backend::{AnnouncedState, Backend};

/// Between two announcements of a backend server.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// One VM.
#[derive(Debug)]
pub struct Vm {
    /// Its number, by which links are named.
    pub site: Site,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What its backend server serves.
    pub service: String,
    /// Its node, unless it was taken away.
    pub node: Option<NodeProcess>,
    /// Where its backend server listens, also while there is none.
    pub backend_address: SocketAddr,
    /// Its backend server, unless it was taken away.
    pub backend: Option<Arc<Backend>>,
    pub(super) announcements: Option<AnnouncementTask>,
    pub(super) announce_address: Arc<Mutex<Option<SocketAddr>>>,
    pub(super) forwarder: Forwarder,
    pub(super) settings_file: PathBuf,
    pub(super) backend_restarts: u32,
}

impl Vm {
    /// The running node.
    pub fn node(&self) -> &NodeProcess {
        self.node.as_ref().expect("the node was not taken away")
    }

    /// The running backend server.
    pub fn backend(&self) -> &Arc<Backend> {
        self.backend.as_ref().expect("the backend server runs")
    }

    /// Where other nodes reach its node, whichever process that is.
    pub fn peer_address(&self) -> SocketAddr {
        self.forwarder.address
    }

    /// Where its node takes announcements.
    pub fn announce_address(&self) -> SocketAddr {
        let announce = self.node().addresses.announce;
        announce.expect("nodes of the platform take announcements")
    }

    /// What its backend server announces from now on.
    pub fn set_announced_state(&self, announced_state: AnnouncedState) {
        if let Some(announcements) = &self.announcements {
            *announcements
                .announced_state
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = announced_state;
        }
    }
}

/// A backend server's announcements, which end when dropped.
#[derive(Debug)]
pub(super) struct AnnouncementTask {
    pub(super) announced_state: Arc<Mutex<AnnouncedState>>,
    pub(super) task: JoinHandle<()>,
}

impl Drop for AnnouncementTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) async fn announce_periodically(
    backend: Arc<Backend>,
    announce_address: Arc<Mutex<Option<SocketAddr>>>,
    announced_state: Arc<Mutex<AnnouncedState>>,
) {
    loop {
        let address = *announce_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let state = *announced_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(address) = address {
            // One that is not acknowledged is followed by the next.
            let _ = backend.announce(address, state).await;
        }
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}
