//! What the actors and tasks of a node share with each other.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use arc_swap::ArcSwap;
use ractor::ActorRef;
use tokio::sync::{Notify, watch};

use crate::core::dialect::Dialect;
use crate::core::member::{BackendState, NodeId};
use crate::core::version::Version;
use crate::decide::announcements::Announcements;
use crate::distribution::ApplyBudget;
use crate::distribution::lead_choice::Leads;
use crate::node::membership::MembershipMsg;
use crate::node::settings::Settings;
use crate::peer::pool::PeerPool;
use crate::platform;
use crate::proxy::header_profile::{self, HeaderProfile};
use crate::proxy::state::{ProxyState, lock_ignoring_poison};

/// Shared by every task of the node; requests see [`ProxyState`] alone.
#[derive(Debug)]
pub(crate) struct NodeState {
    /// What requests read.
    pub(crate) proxy: Arc<ProxyState>,
    announcements: Mutex<Announcements>,
    /// The backend server has said something new.
    pub(crate) backend_changed: Notify,
    membership: OnceLock<ActorRef<MembershipMsg>>,
    /// The operator has drained the backend server; an announcement does not undo that.
    pub(crate) drained_by_operator: AtomicBool,
    /// Connections for control traffic.
    pub(crate) control_pool: PeerPool,
    /// Why nothing is enforced, or not enough.
    pub(crate) blocked_reason: ArcSwap<Option<&'static str>>,
    /// Newest version whose content is here; peers that follow this node wait on it.
    pub(crate) held_version: watch::Sender<Version>,
    /// The nodes of this data centre that read the store for the others.
    pub(crate) leads: watch::Sender<Leads>,
    /// The node that this one hears of new versions from; none while it reads the store itself.
    pub(crate) followed_node: watch::Sender<Option<NodeId>>,
    /// Reads of the store fail here.
    pub(crate) store_failing: watch::Sender<bool>,
}

impl NodeState {
    pub(crate) fn new(settings: Settings, local_node: NodeId) -> Arc<Self> {
        let control_pool = PeerPool::new(settings.dial_options());
        let vocabulary = vocabulary_of(settings.dialect);
        let proxy = Arc::new(ProxyState::new(settings, vocabulary, local_node));
        let announcements = match proxy.header_profile.instance {
            Some(_) => Announcements::doubtful(),
            None => Announcements::default(),
        };
        Arc::new(Self {
            proxy,
            announcements: Mutex::new(announcements),
            backend_changed: Notify::new(),
            membership: OnceLock::new(),
            drained_by_operator: AtomicBool::new(false),
            control_pool,
            blocked_reason: ArcSwap::default(),
            held_version: watch::Sender::new(Version::NONE),
            leads: watch::Sender::new(Leads::default()),
            followed_node: watch::Sender::new(None),
            store_failing: watch::Sender::new(false),
        })
    }

    /// Shares of the time within which a version is to be in force.
    pub(crate) fn budget(&self) -> ApplyBudget {
        ApplyBudget::new(self.proxy.reloadable.load().apply_within_ms)
    }

    /// Lets [`Self::send_to_membership`] and the request path reach the actor.
    pub(crate) fn set_membership(&self, membership: ActorRef<MembershipMsg>) {
        let loss_receiver = membership.clone();
        self.proxy.on_backend_lost.set(move |service| {
            // The actor is gone only while the process ends.
            let _ =
                loss_receiver.cast(MembershipMsg::SetBackend(Some(service), BackendState::Gone));
        });
        // Set once, when the node starts.
        let _ = self.membership.set(membership);
    }

    /// Sends the membership actor a message; without it the process is starting or ending.
    pub(crate) fn send_to_membership(&self, message: MembershipMsg) {
        if let Some(membership) = self.membership.get() {
            let _ = membership.cast(message);
        }
    }

    /// Whether the backend server gets no new work by an operator's or the system's will.
    pub(crate) fn is_stopping(&self) -> bool {
        self.drained_by_operator.load(Ordering::Acquire) || self.proxy.leaving.is_cancelled()
    }

    pub(crate) fn announcements(&self) -> MutexGuard<'_, Announcements> {
        lock_ignoring_poison(&self.announcements)
    }
}

fn vocabulary_of(dialect: Dialect) -> &'static HeaderProfile {
    match dialect {
        Dialect::Native => &header_profile::DEFAULT,
        Dialect::Platform => &platform::headers::VOCABULARY,
    }
}
