//! The backend server of the node's own VM, as its announcements describe it.

use std::sync::Arc;
use std::time::Duration;

use crate::core::member::BackendState;
use crate::core::names::InstanceName;
use crate::core::status::Announcement;
use crate::decide::announcements::AnnouncementOutcome;
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::proxy::health::{self, Health};
use crate::proxy::local_backend::LocalBackend;

/// Questions to a backend server that has announced itself, and the pause between two of them. Together
/// about a heartbeat, after which the next announcement comes.
const HEALTH_TRIES: u32 = 12;
const HEALTH_PAUSE: Duration = Duration::from_millis(100);

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
        let heard = self.announcements().apply(announcement);
        match heard {
            AnnouncementOutcome::Outdated => {
                log::info!(
                    instance:? = announcement.instance, state:? = announcement.state;
                    "an announcement came too late"
                );
                return Noted::Yes;
            }
            AnnouncementOutcome::Unconfirmed => {
                let node = Arc::clone(self);
                let announcement = announcement.clone();
                tokio::spawn(async move { node.confirm(&announcement).await });
                return Noted::Yes;
            }
            AnnouncementOutcome::Duplicate if !serving || self.proxy.backend.load().is_some() => {
                return Noted::Yes;
            }
            AnnouncementOutcome::Duplicate | AnnouncementOutcome::Accepted => (),
        }
        self.take_backend(announcement);
        Noted::Yes
    }

    /// Asks a backend server that is said to take work whether it does, and takes it up then. Without an
    /// answer the next announcement is the next occasion.
    async fn confirm(self: &Arc<Self>, announcement: &Announcement) {
        for _ in 0..HEALTH_TRIES {
            match health::ask(&self.proxy, announcement).await {
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
        let own = self.proxy.settings.backend_server.as_ref();
        let same = own.is_some_and(|own| {
            own.service == announcement.service && own.address == announcement.address
        });
        if same && self.announcements().is_empty() {
            log::info!(instance:? = announcement.instance; "took up the backend server known before");
            self.hear(announcement);
        }
    }

    fn take_backend(&self, announcement: &Announcement) {
        let state = announcement.state;
        let backend = LocalBackend::from(announcement);
        let service = backend.service.clone();
        self.proxy
            .backend
            .store((state != BackendState::Gone).then(|| Arc::new(backend)));
        self.proxy.refresh_slots();
        match state {
            BackendState::Serving => self.proxy.open_gate(),
            BackendState::Draining | BackendState::Gone => self.proxy.close_gate(),
        }
        log::info!(
            service:%, state:?, instance:? = announcement.instance,
            sequence:? = announcement.sequence, started_ms:? = announcement.started_ms;
            "backend server announced itself"
        );
        self.tell_membership(MembershipMsg::SetBackend(Some(service), state));
        self.backend_news.notify_one();
    }
}
