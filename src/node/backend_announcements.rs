//! Handles the announcements of the backend server on the node's own VM.

use std::sync::Arc;
use std::time::Duration;

use crate::core::member::{BackendRecord, BackendState};
use crate::core::names::InstanceName;
use crate::core::status::Announcement;
use crate::decide::announcements::{self, AnnouncementOutcome};
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::proxy::health::{self, Health};
use crate::proxy::local_backend::LocalBackend;
use crate::proxy::state::BackendEvent;
use crate::util::clock;
use crate::util::unreadable::{self, Entry};

/// Health checks of a backend server after its announcement. With [`HEALTH_CHECK_INTERVAL`] between them they
/// take about one heartbeat interval of the backend server, after which it announces itself again.
const HEALTH_CHECK_ATTEMPTS: u32 = 12;
/// Pause between two of these health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A node's reply to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnouncementReply {
    /// The announcement was applied, is to be confirmed by a health check, or was ignored as repeated or outdated.
    Accepted,
    /// The node is draining its backend server, and so ignores an announcement that it is serving.
    Draining,
    /// The announcement is of another backend server than the configured one, and was ignored.
    Foreign,
}

/// Where an announcement comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnouncementSource {
    /// The backend server sent it to this process.
    Received,
    /// The previous process stored it.
    Stored,
}

impl NodeState {
    /// Handles what responses show of the backend server from now on.
    pub(crate) fn watch_backend(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        self.proxy.on_backend_event.set(move |event| {
            if let Some(node) = node.upgrade() {
                node.handle_backend_event(event);
            }
        });
    }

    fn handle_backend_event(&self, event: BackendEvent) {
        match event {
            BackendEvent::Lost(service) => {
                self.send_to_membership(MembershipMsg::SetBackend(BackendRecord {
                    service: Some(service),
                    start: None,
                    software_version: None,
                    state: BackendState::Gone,
                }));
            }
            BackendEvent::Leaving(start) => {
                let announcement = self.announcements().record_leaving(&start);
                if let Some(announcement) = announcement {
                    self.apply_announcement(&announcement);
                }
            }
        }
    }

    /// Handles an announcement. If it is valid and new, admission opens or closes at once, and the new state
    /// spreads to the mesh by gossip.
    pub(crate) fn handle_announcement(
        self: &Arc<Self>,
        announcement: &Announcement,
    ) -> AnnouncementReply {
        self.order_announcement(announcement, AnnouncementSource::Received)
    }

    fn order_announcement(
        self: &Arc<Self>,
        announcement: &Announcement,
        source: AnnouncementSource,
    ) -> AnnouncementReply {
        if !announcements::is_plausible(announcement, clock::unix_time_ms()) {
            let instance = announcement.instance.as_ref();
            let name = instance.map_or("", InstanceName::as_str);
            unreadable::record(Entry::Announcement, name, &"its start is in the future");
            return AnnouncementReply::Accepted;
        }
        if !self.is_configured_backend(announcement) {
            let instance = announcement.instance.as_ref();
            let name = instance.map_or("", InstanceName::as_str);
            let problem = "it is of another service or address than the backend server of this VM";
            unreadable::record(Entry::Announcement, name, &problem);
            return AnnouncementReply::Foreign;
        }
        let serving = announcement.state == BackendState::Serving;
        if serving && self.is_stopping() {
            self.proxy.pool.record_announcement();
            return AnnouncementReply::Draining;
        }
        let (outcome, is_current) = {
            let mut announcements = self.announcements();
            let outcome = announcements.apply(announcement);
            (outcome, announcements.is_latest(announcement))
        };
        if is_current || announcement.instance.is_none() {
            self.proxy.pool.record_announcement();
        }
        if is_current && source == AnnouncementSource::Received {
            self.record_announced_start(announcement);
        }
        match outcome {
            AnnouncementOutcome::Outdated => {
                log::info!(
                    instance:? = announcement.instance, state:? = announcement.state;
                    "ignored an outdated announcement"
                );
                return AnnouncementReply::Accepted;
            }
            AnnouncementOutcome::Unconfirmed => {
                let node = Arc::clone(self);
                let announcement = announcement.clone();
                tokio::spawn(async move { node.check_health(&announcement).await });
                return AnnouncementReply::Accepted;
            }
            AnnouncementOutcome::Duplicate if !serving || self.proxy.backend.load().is_some() => {
                return AnnouncementReply::Accepted;
            }
            AnnouncementOutcome::Duplicate | AnnouncementOutcome::Accepted => (),
        }
        self.apply_announcement(announcement);
        AnnouncementReply::Accepted
    }

    /// Checks the health of a backend server that announced that it is serving, and applies the announcement
    /// once the check confirms it. If no check is answered, the next announcement starts new ones.
    async fn check_health(self: &Arc<Self>, announcement: &Announcement) {
        for _ in 0..HEALTH_CHECK_ATTEMPTS {
            match health::check(&self.proxy, announcement).await {
                Health::Serving(instance) => return self.handle_confirmation(&instance),
                Health::NotServing(instance) => {
                    log::info!(instance:? = announcement.instance, responded:? = instance; "the announced backend server failed its health check");
                    return self.handle_refutation(announcement, instance.as_ref());
                }
                Health::Unknown => tokio::time::sleep(HEALTH_CHECK_INTERVAL).await,
            }
        }
        log::info!(instance:? = announcement.instance; "health checks of the announced backend server gave no result");
    }

    fn handle_refutation(&self, announcement: &Announcement, responded: Option<&InstanceName>) {
        let start = announcement.start();
        let changed = start.and_then(|start| self.announcements().refute(&start, responded));
        if let Some(changed) = changed.filter(|changed| self.may_apply(changed)) {
            self.apply_announcement(&changed);
        }
    }

    /// Whether an announcement may take effect now. A node that drains its backend server ignores that it is serving.
    fn may_apply(&self, announcement: &Announcement) -> bool {
        announcement.state != BackendState::Serving || !self.is_stopping()
    }

    fn handle_confirmation(&self, instance: &InstanceName) {
        let announcement = self.announcements().confirm(instance).cloned();
        match announcement {
            Some(announcement) if self.may_apply(&announcement) => {
                self.apply_announcement(&announcement);
            }
            Some(_) => (),
            None => {
                log::info!(instance:%; "the health check does not confirm the latest announcement, which is of another instance or not ready");
            }
        }
    }

    /// Handles the announcement that the previous process of this node stored in its row, unless the backend
    /// server has announced itself to this process already.
    pub(crate) fn restore_backend(self: &Arc<Self>, announcement: &Announcement) {
        if self.announcements().is_empty() {
            log::info!(instance:? = announcement.instance; "restored the backend server from the stored row");
            self.order_announcement(announcement, AnnouncementSource::Stored);
        }
    }

    /// Whether an announcement is of the backend server that the settings name. Without such a setting, the announcement
    /// names it.
    fn is_configured_backend(&self, announcement: &Announcement) -> bool {
        let settings = self.proxy.reloadable.load();
        let configured = settings.backend_server.as_ref();
        configured.is_none_or(|configured| {
            configured.service == announcement.service && configured.address == announcement.address
        })
    }

    /// Records that the backend server runs, for nodes that take it for ended.
    fn record_announced_start(&self, announcement: &Announcement) {
        let start = announcement.start().and_then(|start| start.digest());
        let runs = announcement.state != BackendState::Gone;
        if let Some(start) = start.filter(|_| runs) {
            let sequence = announcement.sequence;
            self.proxy.pool.record_announced_start(start, sequence);
        }
    }

    fn apply_announcement(&self, announcement: &Announcement) {
        let state = announcement.state;
        let backend = LocalBackend::from(announcement);
        let service = backend.service.clone();
        let start = backend.start_digest();
        let software_version = backend.software_version.clone();
        self.proxy
            .set_backend((state != BackendState::Gone).then_some(backend));
        match state {
            BackendState::Serving => self.proxy.open_gate(),
            BackendState::Draining | BackendState::Gone => self.proxy.close_gate(),
        }
        log::info!(
            service:%, state:?, instance:? = announcement.instance,
            software_version:? = announcement.software_version,
            sequence:? = announcement.sequence, started_ms:? = announcement.started_ms;
            "backend server announced itself"
        );
        self.send_to_membership(MembershipMsg::SetBackend(BackendRecord {
            service: Some(service),
            start,
            software_version,
            state,
        }));
        self.backend_changed.notify_one();
    }
}
