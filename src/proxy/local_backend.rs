//! The backend server on this node's own VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::core::member::StartDigest;
use crate::core::names::{InstanceName, ServiceName, SoftwareVersion};
use crate::core::status::{Announcement, BackendStart};
use crate::node::settings::BackendServer;

/// Address and identity of the local backend server, as configured or announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LocalBackend {
    /// Service whose requests it runs.
    pub(crate) service: ServiceName,
    /// Address on which it accepts requests.
    pub(crate) address: SocketAddr,
    /// Its start, as announced. `None` if it comes from the settings or named no instance.
    pub(crate) start: Option<BackendStart>,
    /// Number of requests that it runs concurrently, if it announced one. Otherwise the service's
    /// configuration applies.
    pub(crate) slots: Option<u32>,
    /// Version of the software that it runs, if it announced one.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// End of its warm-up, during which it is slow.
    pub(crate) cold_until: Instant,
}

impl LocalBackend {
    /// Digest of its start, if it announced one.
    pub(crate) fn start_digest(&self) -> Option<StartDigest> {
        self.start.as_ref().and_then(BackendStart::digest)
    }

    /// Name of the instance, if it announced one.
    pub(crate) fn instance(&self) -> Option<&InstanceName> {
        self.start.as_ref().map(|start| &start.instance)
    }
}

impl From<&BackendServer> for LocalBackend {
    fn from(configured: &BackendServer) -> Self {
        Self {
            service: configured.service.clone(),
            address: configured.address,
            start: None,
            slots: None,
            software_version: None,
            cold_until: Instant::now(),
        }
    }
}

impl From<&Announcement> for LocalBackend {
    fn from(announcement: &Announcement) -> Self {
        Self {
            service: announcement.service.clone(),
            address: announcement.address,
            start: announcement.start(),
            slots: announcement.slots,
            software_version: announcement.software_version.clone(),
            cold_until: Instant::now() + Duration::from_millis(announcement.cold_ms),
        }
    }
}
