//! What the actors write and requests read.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use ractor::ActorRef;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::core::member::{Liveness, Member, NodeId, Place};
use crate::core::names::ServiceName;
use crate::core::status::DataCentreSummary;
use crate::core::version::Version;
use crate::decide::admission::{Admission, Limits};
use crate::decide::announcements::Announcements;
use crate::decide::intake::{Intake, LinkShare};
use crate::decide::placement::{Balancer, LoadReport, Ranked};
use crate::decide::retry::{RetryPolicy, ServiceTokens};
use crate::distribution::Applied;
use crate::distribution::Budget;
use crate::distribution::lead_choice::Leads;
use crate::node::freeze;
use crate::node::local::LocalBackend;
use crate::node::membership::MembershipMsg;
use crate::node::settings::{Settings, Tunable};
use crate::peer::pool::PeerPool;
use crate::proxy::backend::BackendPool;
use crate::proxy::calls::Calls;
use crate::proxy::decisions::Decisions;
use crate::proxy::hop::Hop;
use crate::proxy::intake::turns::{self, Granted};
use crate::proxy::peers::PeerConnections;
use crate::proxy::slots::{self, Wake};
use crate::proxy::vocabulary::Vocabulary;
use crate::util::clock;

/// The members as requests and operators see them.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) members: Vec<Member>,
    pub(crate) endpoints: HashMap<ServiceName, Ranked>,
    pub(crate) data_centres: Vec<DataCentreSummary>,
}

impl View {
    pub(crate) fn new(members: Vec<Member>, me: NodeId, from: &Place) -> Self {
        let mut endpoints: HashMap<ServiceName, Ranked> = HashMap::new();
        for member in members.iter().filter(|member| member.takes_work()) {
            let service = member.service.clone().expect("takes_work checks it");
            endpoints.entry(service).or_default().add(me, from, member);
        }
        Self {
            members,
            endpoints,
            data_centres: Vec::new(),
        }
    }

    pub(crate) fn alive(&self) -> usize {
        let alive = |member: &&Member| member.liveness == Liveness::Alive;
        self.members.iter().filter(alive).count()
    }
}

/// Shared by every task of the node.
#[derive(Debug)]
pub(crate) struct NodeState {
    pub(crate) settings: Settings,
    /// What of the settings may change meanwhile, as it stands now.
    pub(crate) tunable: ArcSwap<Tunable>,
    pub(crate) vocabulary: &'static Vocabulary,
    pub(crate) me: NodeId,
    pub(crate) started: Instant,
    pub(crate) enforced: ArcSwapOption<Applied>,
    pub(crate) view: ArcSwap<View>,
    /// What this node, as an entry, has seen of endpoints.
    balancer: Mutex<Balancer>,
    retry_tokens: Mutex<ServiceTokens>,
    admission: Mutex<Admission<Wake>>,
    /// What the link of this VM takes at a time.
    pub(crate) link_share: LinkShare,
    intake: Mutex<Intake>,
    /// One for each large body that may come in at a time.
    pub(crate) intake_turns: Arc<Semaphore>,
    /// Large bodies that come in, from other nodes and from callers of this VM.
    pub(crate) bodies_coming: AtomicU32,
    /// Turns that entries were given and whose bodies are still to come.
    pub(crate) granted: Granted,
    /// The backend server that may be sent requests, if one is known.
    pub(crate) backend: ArcSwapOption<LocalBackend>,
    announcements: Mutex<Announcements>,
    /// The backend server has said something new.
    pub(crate) backend_news: Notify,
    membership: OnceLock<ActorRef<MembershipMsg>>,
    /// The operator has drained the backend server; an announcement does not undo that.
    pub(crate) drained: AtomicBool,
    pub(crate) pool: BackendPool,
    pub(crate) calls: Calls,
    /// What is logged of requests.
    pub(crate) decisions: Decisions,
    pub(crate) peers: PeerConnections,
    /// Connections for control traffic.
    pub(crate) control: PeerPool,
    /// Why nothing is enforced, or not enough.
    pub(crate) waiting: ArcSwap<Option<&'static str>>,
    /// The process was frozen and has not caught up yet; see [`crate::node::freeze`].
    pub(crate) refreshing: AtomicBool,
    /// When the process last ticked, by the clock of `started`.
    pub(crate) last_tick_ms: AtomicU64,
    /// Newest version whose content is here; peers that follow this node wait on it.
    pub(crate) held: watch::Sender<Version>,
    /// The nodes of this data centre that read the store for the others.
    pub(crate) leads: watch::Sender<Leads>,
    /// The node that this one hears of new versions from; none while it reads the store itself.
    pub(crate) follows: watch::Sender<Option<NodeId>>,
    /// Reads of the store fail here.
    pub(crate) blind: watch::Sender<bool>,
    /// When the store last told this node, or whom it follows, what is newest; by the clock of
    /// `started`, 0 for never.
    store_read_ms: AtomicU64,
    /// Cancelled when the node itself is about to leave.
    pub(crate) leaving: CancellationToken,
    /// Requests of other nodes in flight at this node's gate.
    pub(crate) in_gate: TaskTracker,
}

impl NodeState {
    pub(crate) fn new(settings: Settings, me: NodeId) -> Arc<Self> {
        let dial_options = settings.dial_options();
        // One that announces itself has nothing to do before it has.
        let known = settings.backend_server.as_ref();
        let known = known.filter(|_| !settings.backend_server_announces);
        let backend = known.map(|known| Arc::new(LocalBackend::from(known)));
        let link_share = LinkShare::of_link(settings.link_kbit_per_s);
        let vocabulary = Vocabulary::of(settings.dialect);
        Arc::new(Self {
            link_share,
            intake: Mutex::new(Intake::new(link_share)),
            intake_turns: turns::turns(link_share.at_a_time),
            bodies_coming: AtomicU32::new(0),
            granted: Granted::default(),
            vocabulary,
            tunable: ArcSwap::from_pointee(settings.tunable()),
            settings,
            me,
            started: Instant::now(),
            enforced: ArcSwapOption::empty(),
            view: ArcSwap::default(),
            balancer: Mutex::default(),
            retry_tokens: Mutex::default(),
            admission: Mutex::default(),
            backend: ArcSwapOption::from(backend),
            announcements: Mutex::new(match vocabulary.instance {
                Some(_) => Announcements::doubtful(),
                None => Announcements::default(),
            }),
            backend_news: Notify::new(),
            membership: OnceLock::new(),
            drained: AtomicBool::new(false),
            pool: BackendPool::default(),
            calls: Calls::default(),
            decisions: Decisions::default(),
            peers: PeerConnections::new(dial_options.clone()),
            control: PeerPool::new(dial_options),
            waiting: ArcSwap::default(),
            refreshing: AtomicBool::new(false),
            last_tick_ms: AtomicU64::new(0),
            held: watch::Sender::new(Version::NONE),
            leads: watch::Sender::new(Leads::default()),
            follows: watch::Sender::new(None),
            blind: watch::Sender::new(false),
            store_read_ms: AtomicU64::new(0),
            leaving: CancellationToken::new(),
            in_gate: TaskTracker::new(),
        })
    }

    /// Milliseconds since the process was started.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::since_ms(self.started)
    }

    /// Shares of the time within which a version is to be in force.
    pub(crate) fn budget(&self) -> Budget {
        Budget::new(self.tunable.load().apply_within_ms)
    }

    /// Notes that the store told what is newest, `age_ms` ago.
    pub(crate) fn store_was_read(&self, age_ms: u64) {
        let read_ms = self.age_ms().saturating_sub(age_ms);
        self.store_read_ms.fetch_max(read_ms, Ordering::AcqRel);
    }

    /// How long ago the store told what is newest, if it ever did.
    pub(crate) fn store_age_ms(&self) -> Option<u64> {
        match self.store_read_ms.load(Ordering::Acquire) {
            0 => None,
            read_ms => Some(self.age_ms().saturating_sub(read_ms)),
        }
    }

    /// Whether the process has gone on without a freeze since it last caught up.
    pub(crate) fn is_fresh(&self) -> bool {
        let now_ms = clock::since_ms(self.started);
        let since_tick_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Acquire));
        since_tick_ms < freeze::GAP_MS && !self.refreshing.load(Ordering::Acquire)
    }

    /// Lets [`Self::tell_membership`] reach the actor.
    pub(crate) fn set_membership(&self, membership: ActorRef<MembershipMsg>) {
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
        self.drained.load(Ordering::Acquire) || self.leaving.is_cancelled()
    }

    pub(crate) fn announcements(&self) -> MutexGuard<'_, Announcements> {
        lock(&self.announcements)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Brings the retries of this entry in line with the settings and the size of the mesh.
    pub(crate) fn refresh_retries(&self) {
        let tunable = self.tunable.load();
        let (percent, reserve) = (tunable.retry_percent, tunable.retry_reserve);
        let policy = RetryPolicy::of_entry(percent, reserve, self.view.load().alive());
        self.retry_tokens().set_policy(policy);
    }

    pub(crate) fn retry_tokens(&self) -> MutexGuard<'_, ServiceTokens> {
        lock(&self.retry_tokens)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission<Wake>> {
        lock(&self.admission)
    }

    /// What this node's gate says of its load with the answer to `hop`.
    pub(crate) fn load(&self, hop: &Hop) -> LoadReport {
        let now_us = clock::since_us(self.started);
        let ask = hop.ask_anew(self.started);
        let intake_us = self.intake().taken_us();
        let load = self.admission().load(now_us, &ask, &hop.resource);
        LoadReport { intake_us, ..load }
    }

    pub(crate) fn intake(&self) -> MutexGuard<'_, Intake> {
        lock(&self.intake)
    }

    /// Lets the backend server have no new work; what waits for a slot is refused at once, so
    /// that its entry takes it elsewhere.
    pub(crate) fn close_gate(&self) {
        self.admission().close();
        slots::settle(self);
    }

    /// Lets the backend server have new work again.
    pub(crate) fn open_gate(&self) {
        self.admission().open();
    }

    /// Brings the limits in line with what is enforced and which service is local.
    pub(crate) fn refresh_slots(&self) {
        let backend = self.backend.load_full();
        let applied = self.enforced.load_full();
        let (limits, connections) = match backend.as_ref().zip(applied.as_ref()) {
            Some((backend, applied)) => limits_of(backend, applied),
            None => (Limits::default(), 0),
        };
        self.pool.set_connections_max(connections);
        self.admission().set_limits(limits);
        slots::settle(self);
    }
}

/// How much a backend server takes, and how many connections.
fn limits_of(backend: &LocalBackend, applied: &Applied) -> (Limits, u32) {
    let Some(service) = applied.configuration.service(&backend.service) else {
        return (Limits::default(), 0);
    };
    let connections = service.connections_per_endpoint;
    let slots = backend.slots.unwrap_or(service.slots_per_endpoint);
    let limits = Limits {
        // Each request has a connection of its own to the backend server.
        slots: slots.min(connections),
        queue_len: service.queue_len,
    };
    (limits, connections)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
