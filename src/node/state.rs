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
use crate::distribution::Budget;
use crate::distribution::lead_choice::Leads;
use crate::node::membership::MembershipMsg;
use crate::node::settings::Settings;
use crate::peer::pool::PeerPool;
use crate::platform;
use crate::proxy::state::{ProxyState, lock};
use crate::proxy::vocabulary::{self, Vocabulary};

/// Shared by every task of the node; requests see [`ProxyState`] alone.
#[derive(Debug)]
pub(crate) struct NodeState {
    /// What requests read.
    pub(crate) proxy: Arc<ProxyState>,
    announcements: Mutex<Announcements>,
    /// The backend server has said something new.
    pub(crate) backend_news: Notify,
    membership: OnceLock<ActorRef<MembershipMsg>>,
    /// The operator has drained the backend server; an announcement does not undo that.
    pub(crate) drained: AtomicBool,
    /// Connections for control traffic.
    pub(crate) control: PeerPool,
    /// Why nothing is enforced, or not enough.
    pub(crate) waiting: ArcSwap<Option<&'static str>>,
    /// Newest version whose content is here; peers that follow this node wait on it.
    pub(crate) held: watch::Sender<Version>,
    /// The nodes of this data centre that read the store for the others.
    pub(crate) leads: watch::Sender<Leads>,
    /// The node that this one hears of new versions from; none while it reads the store itself.
    pub(crate) follows: watch::Sender<Option<NodeId>>,
    /// Reads of the store fail here.
    pub(crate) blind: watch::Sender<bool>,
}

impl NodeState {
    pub(crate) fn new(settings: Settings, me: NodeId) -> Arc<Self> {
        let control = PeerPool::new(settings.dial_options());
        let vocabulary = vocabulary_of(settings.dialect);
        let proxy = Arc::new(ProxyState::new(settings, vocabulary, me));
        let announcements = match proxy.vocabulary.instance {
            Some(_) => Announcements::requiring_confirmation(),
            None => Announcements::default(),
        };
        Arc::new(Self {
            proxy,
            announcements: Mutex::new(announcements),
            backend_news: Notify::new(),
            membership: OnceLock::new(),
            drained: AtomicBool::new(false),
            control,
            waiting: ArcSwap::default(),
            held: watch::Sender::new(Version::NONE),
            leads: watch::Sender::new(Leads::default()),
            follows: watch::Sender::new(None),
            blind: watch::Sender::new(false),
        })
    }

    /// Shares of the time within which a version is to be in force.
    pub(crate) fn budget(&self) -> Budget {
        Budget::new(self.proxy.tunable.load().apply_within_ms)
    }

    /// Lets [`Self::tell_membership`] and the request path reach the actor.
    pub(crate) fn set_membership(&self, membership: ActorRef<MembershipMsg>) {
        let lost = membership.clone();
        self.proxy.backend_lost.set(move |service| {
            // The actor is gone only while the process ends.
            let _ = lost.cast(MembershipMsg::SetBackend(Some(service), BackendState::Gone));
        });
        // Set once, when the node starts.
        let _ = self.membership.set(membership);
    }

    /// Sends the membership actor a message; without it the process is starting or ending.
    pub(crate) fn tell_membership(&self, message: MembershipMsg) {
        if let Some(membership) = self.membership.get() {
            let _ = membership.cast(message);
        }
    }

    /// Whether the backend server gets no new work by an operator's or the system's will.
    pub(crate) fn is_stopping(&self) -> bool {
        self.drained.load(Ordering::Acquire) || self.proxy.leaving.is_cancelled()
    }

    pub(crate) fn announcements(&self) -> MutexGuard<'_, Announcements> {
        lock(&self.announcements)
    }
}

fn vocabulary_of(dialect: Dialect) -> &'static Vocabulary {
    match dialect {
        Dialect::Own => &vocabulary::OWN,
        Dialect::Platform => &platform::headers::VOCABULARY,
    }
}
