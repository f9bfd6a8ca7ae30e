//! The backend server of the node's own VM.

use std::net::SocketAddr;

use crate::core::names::{InstanceName, ServiceName};
use crate::core::status::Announcement;
use crate::node::settings::BackendServer;

/// A backend server that may be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LocalBackend {
    /// Its service.
    pub(crate) service: ServiceName,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// What it calls itself.
    pub(crate) instance: Option<InstanceName>,
    /// Requests that it runs at a time, by its own word.
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
