//! What requests read, and what they leave for each other: all that the request path needs of its node.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use http::HeaderValue;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::backend::BackendPool;
use super::calls::Calls;
use super::decisions::Decisions;
use super::headers;
use super::hop::Hop;
use super::intake::turns::{self, Granted};
use super::local_backend::LocalBackend;
use super::peers::PeerConnections;
use super::slots::{self, Wake};
use super::view::View;
use super::vocabulary::Vocabulary;
use crate::core::mechanism::Without;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::decide::admission::{Admission, Limits};
use crate::decide::load_balancing::{Balancer, LoadReport};
use crate::decide::retry::{RetryPolicy, ServiceTokens};
use crate::decide::uploads::{UploadLimits, UploadQueue};
use crate::distribution::Applied;
use crate::node::settings::{Settings, Tunable};
use crate::util::clock;

/// A gap between two ticks from which the process counts as frozen.
pub(crate) const FREEZE_GAP_MS: u64 = 3_000;

/// Shared by every request of the node. The actors write what is in force and who is there.
#[derive(Debug)]
pub(crate) struct ProxyState {
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
    pub(crate) link_share: UploadLimits,
    intake: Mutex<UploadQueue>,
    /// One for each large body that may come in at a time.
    pub(crate) intake_turns: Arc<Semaphore>,
    /// Large bodies that come in, from other nodes and from callers of this VM.
    pub(crate) bodies_coming: AtomicU32,
    /// Turns that entries were given and whose bodies are still to come.
    pub(crate) granted: Granted,
    /// The backend server that may be sent requests, if one is known.
    pub(crate) backend: ArcSwapOption<LocalBackend>,
    /// Told when it turns out that something else is at its address.
    pub(crate) backend_lost: BackendLost,
    pub(crate) pool: BackendPool,
    pub(crate) calls: Calls,
    /// What is logged of requests.
    pub(crate) decisions: Decisions,
    pub(crate) peers: PeerConnections,
    /// The process was frozen and has not caught up yet.
    pub(crate) refreshing: AtomicBool,
    /// When the process last ticked, by the clock of `started`.
    pub(crate) last_tick_ms: AtomicU64,
    /// When the store last told this node, or whom it follows, what is newest; by the clock of
    /// `started`, 0 for never.
    store_read_ms: AtomicU64,
    /// Cancelled when the node itself is about to leave.
    pub(crate) leaving: CancellationToken,
    /// Requests of other nodes in flight at this node's gate.
    pub(crate) in_gate: TaskTracker,
}

/// Whom to tell that the local backend server of a service is lost; set once, when the node starts.
#[derive(Default)]
pub(crate) struct BackendLost(OnceLock<Box<dyn Fn(ServiceName) + Send + Sync>>);

impl BackendLost {
    pub(crate) fn set(&self, tell: impl Fn(ServiceName) + Send + Sync + 'static) {
        // A second call would be of a second start, which there is not.
        let _ = self.0.set(Box::new(tell));
    }

    fn tell(&self, service: ServiceName) {
        if let Some(tell) = self.0.get() {
            tell(service);
        }
    }
}

impl fmt::Debug for BackendLost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendLost")
    }
}

impl ProxyState {
    pub(crate) fn new(settings: Settings, vocabulary: &'static Vocabulary, me: NodeId) -> Self {
        // One that announces itself has nothing to do before it has.
        let known = settings.backend_server.as_ref();
        let known = known.filter(|_| !settings.backend_server_announces);
        let backend = known.map(|known| Arc::new(LocalBackend::from(known)));
        let link_share = UploadLimits::for_link(settings.link_kbit_per_s);
        let without = settings.without;
        Self {
            link_share,
            intake: Mutex::new(UploadQueue::new(link_share)),
            intake_turns: turns::turns(link_share.concurrent_max),
            bodies_coming: AtomicU32::new(0),
            granted: Granted::default(),
            vocabulary,
            tunable: ArcSwap::from_pointee(settings.tunable()),
            peers: PeerConnections::new(settings.dial_options()),
            me,
            started: Instant::now(),
            enforced: ArcSwapOption::empty(),
            view: ArcSwap::default(),
            balancer: Mutex::new(Balancer::new(without)),
            retry_tokens: Mutex::default(),
            admission: Mutex::new(Admission::new(without)),
            backend: ArcSwapOption::from(backend),
            backend_lost: BackendLost::default(),
            pool: BackendPool::new(without),
            calls: Calls::default(),
            decisions: Decisions::default(),
            refreshing: AtomicBool::new(false),
            last_tick_ms: AtomicU64::new(0),
            store_read_ms: AtomicU64::new(0),
            leaving: CancellationToken::new(),
            in_gate: TaskTracker::new(),
            settings,
        }
    }

    /// Mechanisms that are switched off.
    pub(crate) fn without(&self) -> Without {
        self.settings.without
    }

    /// Milliseconds since the process was started.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::since_ms(self.started)
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
        let since_tick_ms = self
            .age_ms()
            .saturating_sub(self.last_tick_ms.load(Ordering::Acquire));
        since_tick_ms < FREEZE_GAP_MS && !self.refreshing.load(Ordering::Acquire)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Brings the retries of this entry in line with the settings and the size of the mesh.
    pub(crate) fn refresh_retries(&self) {
        let tunable = self.tunable.load();
        let (percent, reserve) = (tunable.retry_percent, tunable.retry_reserve);
        let policy = RetryPolicy::for_entry(percent, reserve, self.view.load().alive());
        self.retry_tokens()
            .set_policy(policy.without(self.without()));
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
        let intake_us = self.intake().estimated_completion_us();
        let load = self.admission().load_report(now_us, &ask, &hop.resource);
        LoadReport {
            upload_time_us: intake_us,
            ..load
        }
    }

    /// What this node's gate says, with the answer to `hop`, of how long other requests hold a slot.
    pub(crate) fn other_held(&self, hop: &Hop) -> HeaderValue {
        let admission = self.admission();
        let now_us = clock::since_us(self.started);
        headers::held_value(&admission.other_service_times(now_us, &hop.resource))
    }

    pub(crate) fn intake(&self) -> MutexGuard<'_, UploadQueue> {
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

    /// Another instance has answered in `backend`'s place, as an address may pass to another service: the
    /// gate is closed until something announces itself.
    pub(crate) fn mistaken(&self, backend: &LocalBackend) {
        let current = self.backend.load_full();
        if current.as_deref() != Some(backend) {
            return;
        }
        log::warn!(instance:? = backend.instance; "another instance answers at the backend server's address");
        self.backend.store(None);
        self.backend_lost.tell(backend.service.clone());
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

/// A lock that a panic elsewhere does not take away.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
