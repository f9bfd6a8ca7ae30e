//! The backend server of the node's own VM, as its announcements describe it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::core::member::BackendState;
use crate::core::names::{InstanceName, ServiceName};
use crate::core::status::Announcement;
use crate::decide::announcements::Heard;
use crate::node::membership::MembershipMsg;
use crate::node::settings::BackendServer;
use crate::node::state::NodeState;
use crate::proxy::health::{self, Health};

/// Questions to a backend server that has announced itself, and the pause between two of them. Together
/// about a heartbeat, after which the next announcement comes.
const HEALTH_TRIES: u32 = 12;
const HEALTH_PAUSE: Duration = Duration::from_millis(100);

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
    fn from(known: &BackendServer) -> Self {
        Self {
            service: known.service.clone(),
            address: known.address,
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

/// What a node answers to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Noted {
    /// It was taken in, or is known already.
    Yes,
    /// The node is draining its backend server and takes no "serving".
    Draining,
}

impl NodeState {
    /// Takes in an announcement: the gate follows it at once, the mesh hears of it.
    pub(crate) fn hear(self: &Arc<Self>, announcement: &Announcement) -> Noted {
        let serving = announcement.state == BackendState::Serving;
        if serving && self.is_stopping() {
            return Noted::Draining;
        }
        let heard = self.announcements().hear(announcement);
        match heard {
            Heard::Outdated => {
                log::info!(
                    instance:? = announcement.instance, state:? = announcement.state;
                    "an announcement came too late"
                );
                return Noted::Yes;
            }
            Heard::Unconfirmed => {
                let node = Arc::clone(self);
                let announcement = announcement.clone();
                tokio::spawn(async move { node.confirm(&announcement).await });
                return Noted::Yes;
            }
            Heard::Repeated if !serving || self.backend.load().is_some() => return Noted::Yes,
            Heard::Repeated | Heard::Taken => (),
        }
        self.take_backend(announcement);
        Noted::Yes
    }

    /// Asks a backend server that is said to take work whether it does, and takes it up then. Without an
    /// answer the next announcement is the next occasion.
    async fn confirm(self: &Arc<Self>, announcement: &Announcement) {
        for _ in 0..HEALTH_TRIES {
            match health::ask(self, announcement).await {
                Health::Serving(instance) => return self.confirmed(&instance),
                Health::Refusing => {
                    log::info!(instance:? = announcement.instance; "the backend server announced itself, but takes no work");
                    return;
                }
                Health::Unknown => tokio::time::sleep(HEALTH_PAUSE).await,
            }
        }
        log::info!(instance:? = announcement.instance; "the backend server announced itself, but gave no answer");
    }

    fn confirmed(&self, instance: &InstanceName) {
        let announcement = self.announcements().confirm(instance).cloned();
        match announcement {
            Some(announcement) if !self.is_stopping() => self.take_backend(&announcement),
            Some(_) => (),
            None => {
                log::info!(instance:%; "the backend server that answers is not the one that announced itself last");
            }
        }
    }

    /// Takes up what the process before this one has heard last, unless something was heard since.
    pub(crate) fn recall(self: &Arc<Self>, announcement: &Announcement) {
        let own = self.settings.backend_server.as_ref();
        let same = own.is_some_and(|own| {
            own.service == announcement.service && own.address == announcement.address
        });
        if same && self.announcements().is_silent() {
            log::info!(instance:? = announcement.instance; "took up the backend server known before");
            self.hear(announcement);
        }
    }

    fn take_backend(&self, announcement: &Announcement) {
        let state = announcement.state;
        let backend = LocalBackend::from(announcement);
        let service = backend.service.clone();
        self.backend
            .store((state != BackendState::Gone).then(|| Arc::new(backend)));
        self.refresh_slots();
        match state {
            BackendState::Serving => self.open_gate(),
            BackendState::Draining | BackendState::Gone => self.close_gate(),
        }
        log::info!(
            service:%, state:?, instance:? = announcement.instance,
            sequence:? = announcement.sequence, started_ms:? = announcement.started_ms;
            "backend server announced itself"
        );
        self.tell_membership(MembershipMsg::SetBackend(Some(service), state));
        self.backend_news.notify_one();
    }

    /// Another instance has answered in `backend`'s place, as an address may pass to another service: the gate is
    /// closed until something announces itself.
    pub(crate) fn mistaken(&self, backend: &LocalBackend) {
        let current = self.backend.load_full();
        if current.as_deref() != Some(backend) {
            return;
        }
        log::warn!(instance:? = backend.instance; "another instance answers at the backend server's address");
        self.backend.store(None);
        let service = Some(backend.service.clone());
        self.tell_membership(MembershipMsg::SetBackend(service, BackendState::Gone));
    }
}
