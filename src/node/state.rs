//! State that the actors and tasks of a node share.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use arc_swap::ArcSwap;
use ractor::ActorRef;
use tokio::sync::{Notify, watch};

use crate::core::dialect::Dialect;
use crate::core::member::{BackendRecord, BackendState, NodeId};
use crate::core::rollout::RolloutBook;
use crate::core::version::Version;
use crate::decide::announcements::Announcements;
use crate::decide::quota::{ProcessId, UsageTotals};
use crate::distribution::ApplyBudget;
use crate::distribution::lead_choice::Leads;
use crate::node::membership::MembershipMsg;
use crate::node::registration::row_writer::RowWriter;
use crate::node::settings::Settings;
use crate::peer::pool::PeerPool;
use crate::platform;
use crate::proxy::header_profile::{self, HeaderProfile};
use crate::proxy::state::ProxyState;
use crate::util::lock::lock_ignoring_poison;

/// Shared state of the control actors and tasks. Code that serves requests uses only [`ProxyState`].
#[derive(Debug)]
pub(crate) struct NodeState {
    pub(crate) process: ProcessId,
    /// State that requests read and write.
    pub(crate) proxy: Arc<ProxyState>,
    announcements: Mutex<Announcements>,
    /// Notified when the announced state of the backend server changes, so that the node's row in the store
    /// is rewritten.
    pub(crate) backend_changed: Notify,
    membership: OnceLock<ActorRef<MembershipMsg>>,
    /// Whether an operator has drained the backend server. Later announcements do not undo that.
    pub(crate) drained_by_operator: AtomicBool,
    /// Connections to other nodes for control traffic.
    pub(crate) control_pool: PeerPool,
    /// Why no configuration may be enforced yet, or none that is new enough; readiness checks report it.
    pub(crate) blocked_reason: ArcSwap<Option<&'static str>>,
    /// Newest version whose content this node holds. Long polls of followers wait for it to change.
    pub(crate) held_version: watch::Sender<Version>,
    /// The ranked lead nodes of this data centre, which read the store for the others.
    pub(crate) leads: watch::Sender<Leads>,
    /// The lead node from which this node receives new versions; none while it reads the store itself.
    pub(crate) followed_node: watch::Sender<Option<NodeId>>,
    /// Whether this node's reads of the store fail, so that followers should choose another lead node.
    pub(crate) store_failing: watch::Sender<bool>,
    /// Time of the store's clock when the process started, in milliseconds; 0 before the store's first
    /// answer.
    store_clock_at_start_ms: AtomicU64,
    usage_totals: Mutex<UsageTotals>,
    /// Leads with which this node exchanges sums of requests.
    quota_peers: ArcSwap<BTreeSet<SocketAddr>>,
    /// Writes rows of nodes of this data centre.
    pub(crate) row_writer: RowWriter,
    /// Newest known orders and states of roll-outs. Long polls of followers wait for it to change.
    pub(crate) rollouts: watch::Sender<Arc<RolloutBook>>,
}

impl NodeState {
    pub(crate) fn new(settings: Settings, process: ProcessId, row_writer: RowWriter) -> Arc<Self> {
        let control_pool = PeerPool::new(settings.dial_options());
        let profile = header_profile_of(settings.dialect);
        let usage_totals = UsageTotals::new(settings.quota_limits(), process);
        let proxy = Arc::new(ProxyState::new(settings, profile, process.node));
        let announcements = match proxy.header_profile.instance {
            Some(_) => Announcements::requiring_confirmation(),
            None => Announcements::default(),
        };
        Arc::new(Self {
            proxy,
            process,
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
            store_clock_at_start_ms: AtomicU64::new(0),
            usage_totals: Mutex::new(usage_totals),
            quota_peers: ArcSwap::default(),
            row_writer,
            rollouts: watch::Sender::new(Arc::default()),
        })
    }

    /// Time limits of each step from the acceptance of a version to its enforcement, derived from the
    /// `apply-within-ms` setting.
    pub(crate) fn budget(&self) -> ApplyBudget {
        ApplyBudget::new(self.proxy.reloadable.load().apply_within_ms)
            .with_freshness(self.proxy.settings.key_freshness_ms)
    }

    /// Sets the membership actor that [`Self::send_to_membership`] sends messages to.
    pub(crate) fn set_membership(&self, membership: ActorRef<MembershipMsg>) {
        // Called once, when the node starts.
        let _ = self.membership.set(membership);
    }

    /// Sends a message to the membership actor. Does nothing if the actor is not running, which is the case
    /// only during start and shutdown.
    pub(crate) fn send_to_membership(&self, message: MembershipMsg) {
        if let Some(membership) = self.membership.get() {
            let _ = membership.cast(message);
        }
    }

    /// Whether the backend server must get no new requests because an operator drains it or the node shuts
    /// down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.drained_by_operator.load(Ordering::Acquire) || self.proxy.leaving.is_cancelled()
    }

    /// The backend server as it is announced to the mesh, in another state.
    pub(crate) fn backend_record(&self, state: BackendState) -> BackendRecord {
        let backend = self.proxy.backend.load();
        BackendRecord {
            service: backend.as_ref().map(|backend| backend.service.clone()),
            start: backend.as_ref().and_then(|backend| backend.start_digest()),
            software_version: backend
                .as_ref()
                .and_then(|backend| backend.software_version.clone()),
            state,
        }
    }

    /// Sets the time of the store's clock from an answer that has just arrived.
    pub(crate) fn set_store_clock(&self, store_ms: u64) {
        let at_start_ms = store_ms.saturating_sub(self.proxy.uptime_ms());
        self.store_clock_at_start_ms
            .store(at_start_ms.max(1), Ordering::Release);
    }

    /// Time of the store's clock now, in milliseconds; `None` before the store's first answer.
    pub(crate) fn store_clock_ms(&self) -> Option<u64> {
        match self.store_clock_at_start_ms.load(Ordering::Acquire) {
            0 => None,
            at_start_ms => Some(at_start_ms + self.proxy.uptime_ms()),
        }
    }

    /// The newest known orders and states of roll-outs.
    pub(crate) fn rollouts(&self) -> Arc<RolloutBook> {
        Arc::clone(&self.rollouts.borrow())
    }

    /// Merges orders and states of roll-outs, from whatever source. They apply to requests from now on.
    pub(crate) fn merge_rollouts(&self, received: &RolloutBook) {
        self.update_rollouts(|book| book.merge(received));
    }

    /// Changes the known orders and states of roll-outs by `update`, which returns whether it changed
    /// anything.
    pub(crate) fn update_rollouts(&self, update: impl FnOnce(&mut RolloutBook) -> bool) {
        let changed = self.rollouts.send_if_modified(|shared| {
            let mut book = RolloutBook::clone(shared);
            let changed = update(&mut book);
            if changed {
                self.proxy.set_rollouts(&book);
                *shared = Arc::new(book);
            }
            changed
        });
        if changed {
            self.send_to_membership(MembershipMsg::RolloutsChanged);
        }
    }

    /// Requests of organisations that nodes have reported to this one.
    pub(crate) fn usage_totals(&self) -> MutexGuard<'_, UsageTotals> {
        lock_ignoring_poison(&self.usage_totals)
    }

    /// Addresses of the leads with which this node exchanges sums of requests.
    pub(crate) fn quota_peers(&self) -> Vec<SocketAddr> {
        self.quota_peers.load().iter().copied().collect()
    }

    pub(crate) fn set_quota_peers(&self, peers: BTreeSet<SocketAddr>) {
        self.quota_peers.store(Arc::new(peers));
    }

    pub(crate) fn announcements(&self) -> MutexGuard<'_, Announcements> {
        lock_ignoring_poison(&self.announcements)
    }
}

fn header_profile_of(dialect: Dialect) -> &'static HeaderProfile {
    match dialect {
        Dialect::Native => &header_profile::DEFAULT,
        Dialect::Platform => &platform::headers::PROFILE,
    }
}
