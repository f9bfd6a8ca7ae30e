//! The backend server on this node's own VM.

use std::net::SocketAddr;

use crate::core::names::{InstanceName, ServiceName};
use crate::core::status::Announcement;
use crate::node::settings::BackendServer;

/// Address and identity of the local backend server, as configured or announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LocalBackend {
    /// Service whose requests it runs.
    pub(crate) service: ServiceName,
    /// Address on which it accepts requests.
    pub(crate) address: SocketAddr,
    /// Instance name from its announcement. `None` if it comes from the settings or gave no name.
    pub(crate) instance: Option<InstanceName>,
    /// Number of requests that it runs concurrently, if it announced one. Otherwise the service's
    /// configuration applies.
    pub(crate) slots: Option<u32>,
}

impl From<&BackendServer> for LocalBackend {
    fn from(configured: &BackendServer) -> Self {
        Self {
            service: configured.service.clone(),
            address: configured.address,
            instance: None,
            slots: None,
        }
    }
}

impl From<&Announcement> for LocalBackend {
    fn from(announcement: &Announcement) -> Self {
        Self {
            service: announcement.service.clone(),
            address: announcement.address,
            instance: announcement.instance.clone(),
            slots: announcement.slots,
        }
    }
}
