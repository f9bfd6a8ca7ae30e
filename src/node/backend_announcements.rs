//! The backend server of the node's own VM, as its announcements describe it.

use std::sync::Arc;
use std::time::Duration;

use crate::core::member::BackendState;
use crate::core::names::InstanceName;
use crate::core::status::Announcement;
use crate::decide::announcements::Heard;
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::proxy::health::{self, Health};
use crate::proxy::local_backend::LocalBackend;

/// Questions to a backend server that has announced itself, and the pause between two of them. Together
/// about a heartbeat, after which the next announcement comes.
const HEALTH_CHECK_ATTEMPTS: u32 = 12;
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a node answers to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnouncementReply {
    /// It was taken in, or is known already.
    Accepted,
    /// The node is draining its backend server and takes no "serving".
    Draining,
}

impl NodeState {
    /// Takes in an announcement: the gate follows it at once, the mesh hears of it.
    pub(crate) fn handle_announcement(
        self: &Arc<Self>,
        announcement: &Announcement,
    ) -> AnnouncementReply {
        let serving = announcement.state == BackendState::Serving;
        if serving && self.is_stopping() {
            return AnnouncementReply::Draining;
        }
        let outcome = self.announcements().hear(announcement);
        match outcome {
            Heard::Outdated => {
                log::info!(
                    instance:? = announcement.instance, state:? = announcement.state;
                    "an announcement came too late"
                );
                return AnnouncementReply::Accepted;
            }
            Heard::Unconfirmed => {
                let node = Arc::clone(self);
                let announcement = announcement.clone();
                tokio::spawn(async move { node.check_health(&announcement).await });
                return AnnouncementReply::Accepted;
            }
            Heard::Repeated if !serving || self.proxy.backend.load().is_some() => {
                return AnnouncementReply::Accepted;
            }
            Heard::Repeated | Heard::Taken => (),
        }
        self.apply_announcement(announcement);
        AnnouncementReply::Accepted
    }

    /// Asks a backend server that is said to take work whether it does, and takes it up then. Without an
    /// answer the next announcement is the next occasion.
    async fn check_health(self: &Arc<Self>, announcement: &Announcement) {
        for _ in 0..HEALTH_CHECK_ATTEMPTS {
            match health::check(&self.proxy, announcement).await {
                Health::Serving(instance) => return self.handle_confirmation(&instance),
                Health::NotServing => {
                    log::info!(instance:? = announcement.instance; "the backend server announced itself, but takes no work");
                    return;
                }
                Health::Unknown => tokio::time::sleep(HEALTH_CHECK_INTERVAL).await,
            }
        }
        log::info!(instance:? = announcement.instance; "the backend server announced itself, but gave no answer");
    }

    fn handle_confirmation(&self, instance: &InstanceName) {
        let announcement = self.announcements().confirm(instance).cloned();
        match announcement {
            Some(announcement) if !self.is_stopping() => self.apply_announcement(&announcement),
            Some(_) => (),
            None => {
                log::info!(instance:%; "the backend server that answers is not the one that announced itself last");
            }
        }
    }

    /// Takes up what the process before this one has heard last, unless something was heard since.
    pub(crate) fn restore_backend(self: &Arc<Self>, announcement: &Announcement) {
        let configured = self.proxy.settings.backend_server.as_ref();
        let is_own = configured.is_some_and(|configured| {
            configured.service == announcement.service && configured.address == announcement.address
        });
        if is_own && self.announcements().is_silent() {
            log::info!(instance:? = announcement.instance; "took up the backend server known before");
            self.handle_announcement(announcement);
        }
    }

    fn apply_announcement(&self, announcement: &Announcement) {
        let state = announcement.state;
        let backend = LocalBackend::from(announcement);
        let service = backend.service.clone();
        self.proxy
            .backend
            .store((state != BackendState::Gone).then(|| Arc::new(backend)));
        self.proxy.update_slot_limits();
        match state {
            BackendState::Serving => self.proxy.open_gate(),
            BackendState::Draining | BackendState::Gone => self.proxy.close_gate(),
        }
        log::info!(
            service:%, state:?, instance:? = announcement.instance,
            sequence:? = announcement.sequence, started_ms:? = announcement.started_ms;
            "backend server announced itself"
        );
        self.send_to_membership(MembershipMsg::SetBackend(Some(service), state));
        self.backend_changed.notify_one();
    }
}
