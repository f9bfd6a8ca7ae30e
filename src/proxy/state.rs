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
use super::header_profile::HeaderProfile;
use super::headers;
use super::hop::Hop;
use super::local_backend::LocalBackend;
use super::log_limiter::LogLimiter;
use super::peers::PeerConnections;
use super::running_requests::RunningRequests;
use super::slots::{self, DecisionSender};
use super::uploads::permits::{self, ReservedPermits};
use super::view::MembershipView;
use crate::core::mechanism::MechanismSwitches;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::decide::admission::{Admission, Limits};
use crate::decide::load_balancing::{Balancer, LoadReport};
use crate::decide::retry::{RetryPolicy, ServiceTokens};
use crate::decide::uploads::{UploadLimits, UploadQueue};
use crate::distribution::CompiledConfiguration;
use crate::node::settings::{ReloadableSettings, Settings};
use crate::util::clock;

/// A gap between two ticks from which the process counts as frozen.
pub(crate) const FREEZE_GAP_MS: u64 = 3_000;

/// Shared by every request of the node. The actors write what is in force and who is there.
#[derive(Debug)]
pub(crate) struct ProxyState {
    pub(crate) settings: Settings,
    /// What of the settings may change meanwhile, as it stands now.
    pub(crate) tunable: ArcSwap<ReloadableSettings>,
    pub(crate) header_profile: &'static HeaderProfile,
    pub(crate) local_id: NodeId,
    pub(crate) started: Instant,
    pub(crate) enforced: ArcSwapOption<CompiledConfiguration>,
    pub(crate) view: ArcSwap<MembershipView>,
    /// What this node, as an entry, has seen of endpoints.
    balancer: Mutex<Balancer>,
    retry_tokens: Mutex<ServiceTokens>,
    admission: Mutex<Admission<DecisionSender>>,
    /// What the link of this VM takes at a time.
    pub(crate) link_share: UploadLimits,
    intake: Mutex<UploadQueue>,
    /// One for each large body that may come in at a time.
    pub(crate) upload_permits: Arc<Semaphore>,
    /// Large bodies that come in, from other nodes and from callers of this VM.
    pub(crate) incoming_uploads: AtomicU32,
    /// Turns that entries were given and whose bodies are still to come.
    pub(crate) reserved_permits: ReservedPermits,
    /// The backend server that may be sent requests, if one is known.
    pub(crate) backend: ArcSwapOption<LocalBackend>,
    /// Told when it turns out that something else is at its address.
    pub(crate) on_backend_lost: BackendLostCallback,
    pub(crate) pool: BackendPool,
    pub(crate) running_requests: RunningRequests,
    /// What is logged of requests.
    pub(crate) log_limiter: LogLimiter,
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
    pub(crate) gate_requests: TaskTracker,
}

/// Whom to tell that the local backend server of a service is lost; set once, when the node starts.
#[derive(Default)]
pub(crate) struct BackendLostCallback(OnceLock<Box<dyn Fn(ServiceName) + Send + Sync>>);

impl BackendLostCallback {
    pub(crate) fn set(&self, callback: impl Fn(ServiceName) + Send + Sync + 'static) {
        // A second call would be of a second start, which there is not.
        let _ = self.0.set(Box::new(callback));
    }

    fn call(&self, service: ServiceName) {
        if let Some(callback) = self.0.get() {
            callback(service);
        }
    }
}

impl fmt::Debug for BackendLostCallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendLost")
    }
}

impl ProxyState {
    pub(crate) fn new(
        settings: Settings,
        header_profile: &'static HeaderProfile,
        local_id: NodeId,
    ) -> Self {
        // One that announces itself has nothing to do before it has.
        let configured = settings.backend_server.as_ref();
        let configured = configured.filter(|_| !settings.backend_server_announces);
        let backend = configured.map(|configured| Arc::new(LocalBackend::from(configured)));
        let link_share = UploadLimits::for_link(settings.link_kbit_per_s);
        let without = settings.disabled_mechanisms;
        Self {
            link_share,
            intake: Mutex::new(UploadQueue::new(link_share)),
            upload_permits: permits::new_semaphore(link_share.concurrent_max),
            incoming_uploads: AtomicU32::new(0),
            reserved_permits: ReservedPermits::default(),
            header_profile,
            tunable: ArcSwap::from_pointee(settings.reloadable()),
            peers: PeerConnections::new(settings.dial_options()),
            local_id,
            started: Instant::now(),
            enforced: ArcSwapOption::empty(),
            view: ArcSwap::default(),
            balancer: Mutex::new(Balancer::new(without)),
            retry_tokens: Mutex::default(),
            admission: Mutex::new(Admission::new(without)),
            backend: ArcSwapOption::from(backend),
            on_backend_lost: BackendLostCallback::default(),
            pool: BackendPool::new(without),
            running_requests: RunningRequests::default(),
            log_limiter: LogLimiter::default(),
            refreshing: AtomicBool::new(false),
            last_tick_ms: AtomicU64::new(0),
            store_read_ms: AtomicU64::new(0),
            leaving: CancellationToken::new(),
            gate_requests: TaskTracker::new(),
            settings,
        }
    }

    /// Mechanisms that are switched off.
    pub(crate) fn without(&self) -> MechanismSwitches {
        self.settings.disabled_mechanisms
    }

    /// Milliseconds since the process was started.
    pub(crate) fn uptime_ms(&self) -> u64 {
        clock::since_ms(self.started)
    }

    /// Notes that the store told what is newest, `uptime_ms` ago.
    pub(crate) fn record_store_read(&self, age_ms: u64) {
        let last_read_ms = self.uptime_ms().saturating_sub(age_ms);
        self.store_read_ms.fetch_max(last_read_ms, Ordering::AcqRel);
    }

    /// How long ago the store told what is newest, if it ever did.
    pub(crate) fn store_age_ms(&self) -> Option<u64> {
        match self.store_read_ms.load(Ordering::Acquire) {
            0 => None,
            last_read_ms => Some(self.uptime_ms().saturating_sub(last_read_ms)),
        }
    }

    /// Whether the process has gone on without a freeze since it last caught up.
    pub(crate) fn is_fresh(&self) -> bool {
        let since_tick_ms = self
            .uptime_ms()
            .saturating_sub(self.last_tick_ms.load(Ordering::Acquire));
        since_tick_ms < FREEZE_GAP_MS && !self.refreshing.load(Ordering::Acquire)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock_ignoring_poison(&self.balancer)
    }

    /// Brings the retries of this entry in line with the settings and the size of the mesh.
    pub(crate) fn update_retry_policy(&self) {
        let tunable = self.tunable.load();
        let (percent, reserve) = (tunable.retry_percent, tunable.retry_reserve);
        let policy = RetryPolicy::for_entry(percent, reserve, self.view.load().alive_count());
        self.retry_tokens()
            .set_policy(policy.with_switches(self.without()));
    }

    pub(crate) fn retry_tokens(&self) -> MutexGuard<'_, ServiceTokens> {
        lock_ignoring_poison(&self.retry_tokens)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission<DecisionSender>> {
        lock_ignoring_poison(&self.admission)
    }

    /// What this node's gate says of its load with the answer to `hop`.
    pub(crate) fn load(&self, hop: &Hop) -> LoadReport {
        let now_us = clock::since_us(self.started);
        let request = hop.fresh_admission_request(self.started);
        let intake_us = self.intake().estimated_completion_us();
        let load = self
            .admission()
            .load_report(now_us, &request, &hop.resource);
        LoadReport {
            upload_time_us: intake_us,
            ..load
        }
    }

    /// What this node's gate says, with the answer to `hop`, of how long other requests hold a slot.
    pub(crate) fn other_hold_times(&self, hop: &Hop) -> HeaderValue {
        let admission = self.admission();
        let now_us = clock::since_us(self.started);
        headers::format_hold_times(&admission.other_service_times(now_us, &hop.resource))
    }

    pub(crate) fn intake(&self) -> MutexGuard<'_, UploadQueue> {
        lock_ignoring_poison(&self.intake)
    }

    /// Lets the backend server have no new work; what waits for a slot is refused at once, so
    /// that its entry takes it elsewhere.
    pub(crate) fn close_gate(&self) {
        self.admission().close();
        slots::notify_queued(self);
    }

    /// Lets the backend server have new work again.
    pub(crate) fn open_gate(&self) {
        self.admission().open();
    }

    /// Brings the limits in line with what is enforced and which service is local.
    pub(crate) fn update_slot_limits(&self) {
        let backend = self.backend.load_full();
        let applied = self.enforced.load_full();
        let (limits, connections) = match backend.as_ref().zip(applied.as_ref()) {
            Some((backend, applied)) => backend_limits(backend, applied),
            None => (Limits::default(), 0),
        };
        self.pool.set_connections_max(connections);
        self.admission().set_limits(limits);
        slots::notify_queued(self);
    }

    /// Another instance has answered in `backend`'s place, as an address may pass to another service: the
    /// gate is closed until something announces itself.
    pub(crate) fn handle_wrong_instance(&self, backend: &LocalBackend) {
        let current = self.backend.load_full();
        if current.as_deref() != Some(backend) {
            return;
        }
        log::warn!(instance:? = backend.instance; "another instance answers at the backend server's address");
        self.backend.store(None);
        self.on_backend_lost.call(backend.service.clone());
    }
}

/// How much a backend server takes, and how many connections.
fn backend_limits(backend: &LocalBackend, applied: &CompiledConfiguration) -> (Limits, u32) {
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
pub(crate) fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
