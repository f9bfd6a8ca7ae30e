//! One VM: its node, its backend server, and what the backend server announces.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::DataCentre;
use crate::network::{Front, Site};
use crate::process::NodeProcess;
use crate::users::backend::{Announced, Backend};

/// Between two announcements of a backend server.
const HEARTBEAT: Duration = Duration::from_millis(300);

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
    pub(super) beats: Option<Beats>,
    pub(super) control: Arc<Mutex<Option<SocketAddr>>>,
    pub(super) front: Front,
    pub(super) settings: PathBuf,
    pub(super) starts: u32,
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
        self.front.address
    }

    /// Where its node takes announcements.
    pub fn control(&self) -> SocketAddr {
        let announce = self.node().addresses.announce;
        announce.expect("nodes of the platform take announcements")
    }

    /// What its backend server announces from now on.
    pub fn set_announced(&self, announced: Announced) {
        if let Some(beats) = &self.beats {
            *beats
                .announced
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = announced;
        }
    }
}

/// A backend server's announcements, which end when dropped.
#[derive(Debug)]
pub(super) struct Beats {
    pub(super) announced: Arc<Mutex<Announced>>,
    pub(super) task: JoinHandle<()>,
}

impl Drop for Beats {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) async fn beat(
    backend: Arc<Backend>,
    control: Arc<Mutex<Option<SocketAddr>>>,
    announced: Arc<Mutex<Announced>>,
) {
    loop {
        let to = *control.lock().unwrap_or_else(PoisonError::into_inner);
        let what = *announced.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(to) = to {
            // One that is not acknowledged is followed by the next.
            let _ = backend.announce(to, what).await;
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}
