//! A VM: its node, its backend server, and the announcements that the backend server sends to the node.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::DataCentre;
use crate::network::{Forwarder, Site};
use crate::process::NodeProcess;
use crate::users::backend::{AnnouncedState, Backend};
use crate::users::backend_process::BackendProcess;

/// Interval between two announcements of a backend server.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// A VM, which runs at most one node and one backend server.
#[derive(Debug)]
pub struct Vm {
    /// Site of the VM in the network.
    pub site: Site,
    /// Loopback address of the VM.
    pub ip: IpAddr,
    /// Names of its data centre and region.
    pub data_centre: DataCentre,
    /// Service for which the VM was started.
    pub service: String,
    /// The node; `None` while no node runs on this VM.
    pub node: Option<NodeProcess>,
    /// Address of its backend server. A restarted backend server gets the same address.
    pub backend_address: SocketAddr,
    /// The backend server; `None` after a crash until the restart.
    pub backend: Option<Arc<Backend>>,
    /// The backend server as a process of its own, if the plan says so; `None` after its end until the restart.
    pub backend_process: Option<BackendProcess>,
    /// Journals of all its processes.
    pub journals: Vec<PathBuf>,
    /// The backend servers that ended under a request before it was started.
    pub ended_backends: Vec<Arc<Backend>>,
    pub(super) announcements: Option<AnnouncementTask>,
    pub(super) announce_address: Arc<Mutex<Option<SocketAddr>>>,
    pub(super) forwarder: Forwarder,
    pub(super) settings_file: PathBuf,
    pub(super) backend_restarts: u32,
}

impl Vm {
    /// Returns the node; panics if none runs.
    pub fn node(&self) -> &NodeProcess {
        self.node.as_ref().expect("a node runs on this VM")
    }

    /// Returns the backend server; panics if none runs.
    pub fn backend(&self) -> &Arc<Backend> {
        self.backend
            .as_ref()
            .expect("a backend server runs on this VM")
    }

    /// Returns all backend servers that have run here, the current one last.
    pub fn all_backends(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.ended_backends.iter().chain(&self.backend)
    }

    /// Returns the address under which other nodes reach this VM's node. It stays the same when the node
    /// is restarted.
    pub fn peer_address(&self) -> SocketAddr {
        self.forwarder.address
    }

    /// Returns the address on which the node accepts announcements of the backend server.
    pub fn announce_address(&self) -> SocketAddr {
        let announce = self.node().addresses.announce;
        announce.expect("nodes on the users' platform listen for announcements")
    }

    /// Sets the state that the backend server's periodic announcements have from now on.
    pub fn set_announced_state(&self, announced_state: AnnouncedState) {
        if let Some(announcements) = &self.announcements {
            *announcements
                .announced_state
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = announced_state;
        }
    }
}

/// The task that sends a backend server's periodic announcements. Dropping it stops them.
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
    while !backend.has_ended() {
        let address = *announce_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let state = *announced_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(address) = address {
            // A failure is ignored, since the next announcement follows after the interval.
            let _ = backend.announce(address, state).await;
        }
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}
