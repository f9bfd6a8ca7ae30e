//! State that the requests of a node share, and that the node's actors update.

use std::fmt;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use http::HeaderValue;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::backend::BackendPool;
use super::failure::{Reason, Refusal};
use super::header_profile::HeaderProfile;
use super::headers;
use super::hop::Hop;
use super::local_backend::LocalBackend;
use super::log_limiter::LogLimiter;
use super::peers::PeerConnections;
use super::received_ids::ReceivedIds;
use super::rollouts::RequestRollouts;
use super::running_requests::RunningRequests;
use super::slots::{self, WaitOutcomeSender};
use super::statements::{self, LocalStatements};
use super::uploads::permits::{self, ReservedPermits};
use super::view::MembershipView;
use crate::core::mechanism::MechanismSwitches;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::core::rollout::RolloutBook;
use crate::core::status::BackendStart;
use crate::core::version::Version;
use crate::decide::access::ConfigurationAge;
use crate::decide::admission::{Admission, Limits};
use crate::decide::crashes::CrashBook;
use crate::decide::drain::DrainSchedule;
use crate::decide::freeze::{Epoch, FreezeDetector};
use crate::decide::freshness::Freshness;
use crate::decide::known_statements::KnownStatements;
use crate::decide::load_balancing::{Balancer, LoadReport};
use crate::decide::overload::OverloadThrottle;
use crate::decide::quota::QuotaBook;
use crate::decide::rejections::Rejections;
use crate::decide::retry::{RetryPolicy, ServiceTokens};
use crate::decide::uploads::{UploadLimits, UploadQueue};
use crate::distribution::CompiledConfiguration;
use crate::node::settings::{ReloadableSettings, Settings};
use crate::util::clock;
use crate::util::lock::lock_ignoring_poison;

/// Shared by all requests of the node. The node's actors store the enforced configuration and the
/// membership here.
#[derive(Debug)]
pub(crate) struct ProxyState {
    pub(crate) settings: Settings,
    /// Settings that can change while the node runs, with their current values.
    pub(crate) reloadable: ArcSwap<ReloadableSettings>,
    pub(crate) header_profile: &'static HeaderProfile,
    pub(crate) local_id: NodeId,
    pub(crate) started: Instant,
    /// [`clock::boot_us`] at `started`.
    started_boot_us: u64,
    enforced: ArcSwapOption<CompiledConfiguration>,
    pub(crate) view: ArcSwap<MembershipView>,
    /// Load and failures of endpoints, as this node has observed them as an entry node.
    balancer: Mutex<Balancer>,
    /// Statements of other nodes' backend servers.
    known_statements: Mutex<KnownStatements>,
    retry_tokens: Mutex<ServiceTokens>,
    admission: Mutex<Admission<WaitOutcomeSender>>,
    /// How much of this VM's link large uploads may use at a time.
    pub(crate) upload_limits: UploadLimits,
    upload_queue: Mutex<UploadQueue>,
    /// One permit per large body that may be received concurrently.
    pub(crate) upload_permits: Arc<Semaphore>,
    /// Number of large bodies being received, from other nodes and from callers on this VM.
    pub(crate) incoming_uploads: AtomicU32,
    /// Upload permits granted to entry nodes whose bodies have not arrived yet.
    pub(crate) reserved_permits: ReservedPermits,
    /// The local backend server that requests may be sent to, if there is one.
    pub(crate) backend: ArcSwapOption<LocalBackend>,
    statements: Mutex<LocalStatements>,
    /// Rejections of the local backend server since its start.
    rejections: Mutex<Rejections>,
    /// Ids of requests that must not run twice.
    pub(crate) received_ids: ReceivedIds,
    /// Notified when a queued request waits for the backend server's rate limit.
    pub(crate) permit_awaited: Notify,
    /// Called when responses show that the backend server gets no more requests.
    pub(crate) on_backend_event: BackendEventCallback,
    pub(crate) pool: BackendPool,
    pub(crate) running_requests: RunningRequests,
    /// Which software versions may get requests.
    pub(crate) rollouts: RequestRollouts,
    /// Limits the rate of log lines about requests.
    pub(crate) log_limiter: LogLimiter,
    pub(crate) peers: PeerConnections,
    /// Detects freezes of the process. Its times are those of [`Self::uptime_ms`].
    pub(crate) freezes: FreezeDetector,
    /// Time of the last read of the newest version from the store, by this node or by the node that
    /// it follows. In milliseconds since `started`; 0 if there was none.
    store_read_ms: AtomicU64,
    /// When the configuration was known to be the newest. Its times are those of [`Self::uptime_ms`].
    freshness: Mutex<Freshness>,
    quotas: Mutex<QuotaBook>,
    overload: Mutex<OverloadThrottle>,
    crashes: Mutex<CrashBook>,
    /// Notified when a change of the recorded crashes is to be reported to other nodes.
    pub(crate) crash_reported: Notify,
    /// Cancelled when the node starts to shut down.
    pub(crate) leaving: CancellationToken,
    /// The times of the shutdown, once it has started.
    drain: OnceLock<DrainSchedule>,
    /// Cancelled when the time for requests in flight at a shutdown is over.
    pub(crate) drain_expired: CancellationToken,
    /// Requests that are in flight at this node's gate, of other nodes and of callers on this VM.
    pub(crate) gate_requests: TaskTracker,
}

/// The enforced configuration at a time at which this process could rely on it.
#[derive(Clone, Debug)]
pub(crate) struct CurrentConfiguration {
    pub(crate) compiled: Arc<CompiledConfiguration>,
    /// After the end of this epoch the configuration may be outdated.
    pub(crate) epoch: Epoch,
}

/// Why this process handles no requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotServing {
    /// It was frozen and has not refreshed its configuration yet.
    Refreshing,
    /// It enforces no configuration yet.
    NoConfiguration,
}

/// What responses show of the local backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BackendEvent {
    /// Another instance responds at the address of the backend server of this service.
    Lost(ServiceName),
    /// The backend server says that it leaves.
    Leaving(BackendStart),
}

/// Callback for a [`BackendEvent`]. Set once, when the node starts.
#[derive(Default)]
pub(crate) struct BackendEventCallback(OnceLock<Box<dyn Fn(BackendEvent) + Send + Sync>>);

impl BackendEventCallback {
    pub(crate) fn set(&self, callback: impl Fn(BackendEvent) + Send + Sync + 'static) {
        // The node starts only once, so the callback is never already set.
        let _ = self.0.set(Box::new(callback));
    }

    pub(crate) fn call(&self, event: BackendEvent) {
        if let Some(callback) = self.0.get() {
            callback(event);
        }
    }
}

impl fmt::Debug for BackendEventCallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendEventCallback")
    }
}

impl ProxyState {
    pub(crate) fn new(
        settings: Settings,
        header_profile: &'static HeaderProfile,
        local_id: NodeId,
    ) -> Self {
        // A backend server that announces itself receives no requests before its first
        // announcement.
        let configured = settings.backend_server.as_ref();
        let configured = configured.filter(|_| !settings.backend_server_announces);
        let backend = configured.map(|configured| Arc::new(LocalBackend::from(configured)));
        let upload_limits = UploadLimits::for_link(settings.link_kbit_per_s);
        let mechanisms = settings.disabled_mechanisms;
        Self {
            upload_limits,
            upload_queue: Mutex::new(UploadQueue::new(upload_limits)),
            upload_permits: permits::new_semaphore(upload_limits.concurrent_max),
            incoming_uploads: AtomicU32::new(0),
            reserved_permits: ReservedPermits::default(),
            header_profile,
            reloadable: ArcSwap::from_pointee(settings.reloadable()),
            peers: PeerConnections::new(settings.dial_options()),
            local_id,
            started: Instant::now(),
            started_boot_us: clock::boot_us(),
            enforced: ArcSwapOption::empty(),
            view: ArcSwap::default(),
            balancer: Mutex::new(Balancer::new(mechanisms)),
            known_statements: Mutex::default(),
            retry_tokens: Mutex::default(),
            admission: Mutex::new(Admission::new(mechanisms)),
            backend: ArcSwapOption::from(backend),
            statements: Mutex::default(),
            rejections: Mutex::default(),
            received_ids: ReceivedIds::default(),
            permit_awaited: Notify::new(),
            on_backend_event: BackendEventCallback::default(),
            pool: BackendPool::new(mechanisms, header_profile),
            running_requests: RunningRequests::default(),
            rollouts: RequestRollouts::default(),
            log_limiter: LogLimiter::default(),
            freezes: FreezeDetector::default(),
            store_read_ms: AtomicU64::new(0),
            freshness: Mutex::default(),
            overload: Mutex::default(),
            crashes: Mutex::new(CrashBook::new(local_id)),
            crash_reported: Notify::new(),
            quotas: Mutex::new(QuotaBook::new(settings.quota_limits(), 0)),
            leaving: CancellationToken::new(),
            drain: OnceLock::new(),
            drain_expired: CancellationToken::new(),
            gate_requests: TaskTracker::new(),
            settings,
        }
    }

    /// Mechanisms that the operator has switched off.
    pub(crate) fn mechanisms(&self) -> MechanismSwitches {
        self.settings.disabled_mechanisms
    }

    /// Milliseconds since the process started, including time in which the VM was suspended.
    pub(crate) fn uptime_ms(&self) -> u64 {
        clock::boot_us().saturating_sub(self.started_boot_us) / 1_000
    }

    /// Records that the newest version was read from the store `age_ms` milliseconds ago.
    pub(crate) fn record_store_read(&self, age_ms: u64) {
        let last_read_ms = self.uptime_ms().saturating_sub(age_ms);
        self.store_read_ms.fetch_max(last_read_ms, Ordering::AcqRel);
    }

    /// Milliseconds since the newest version was read from the store. `None` if it never was.
    pub(crate) fn store_age_ms(&self) -> Option<u64> {
        match self.store_read_ms.load(Ordering::Acquire) {
            0 => None,
            last_read_ms => Some(self.uptime_ms().saturating_sub(last_read_ms)),
        }
    }

    /// When the configuration was known to be the newest.
    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock_ignoring_poison(&self.freshness)
    }

    /// The requests of organisations at this entry node.
    pub(crate) fn quotas(&self) -> MutexGuard<'_, QuotaBook> {
        lock_ignoring_poison(&self.quotas)
    }

    /// Which requests this entry node withholds from services that refuse many.
    pub(crate) fn overload(&self) -> MutexGuard<'_, OverloadThrottle> {
        lock_ignoring_poison(&self.overload)
    }

    /// The requests under which backend servers have ended.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashBook> {
        lock_ignoring_poison(&self.crashes)
    }

    /// How current `enforced` is known to be, which decides whether keys are accepted by it.
    pub(crate) fn configuration_age(&self, enforced: Version) -> ConfigurationAge {
        let known_newest_at_ms = self.freshness().known_newest_at_ms(enforced);
        ConfigurationAge {
            known_newest_ms_ago: known_newest_at_ms
                .map(|at_ms| self.uptime_ms().saturating_sub(at_ms)),
            apply_within_ms: self.reloadable.load().apply_within_ms,
            key_limit_ms: self.settings.key_freshness_ms,
        }
    }

    /// The configuration by which requests are handled that are admitted now.
    pub(crate) fn current_configuration(&self) -> Result<CurrentConfiguration, NotServing> {
        let read = || self.enforced.load_full();
        let read = self.freezes.read_refreshed(|| self.uptime_ms(), read);
        let (enforced, epoch) = read.ok_or(NotServing::Refreshing)?;
        let compiled = enforced.ok_or(NotServing::NoConfiguration)?;
        Ok(CurrentConfiguration { compiled, epoch })
    }

    /// Fails if a request that was admitted in `epoch` must not be sent on, because this process was frozen since: the
    /// configuration by which it was routed may be outdated.
    pub(crate) fn check_admitted_in(&self, epoch: Epoch) -> Result<(), Refusal> {
        match self.is_current(epoch) {
            true => Ok(()),
            false => Err(Reason::Refreshing.into()),
        }
    }

    /// The configuration that was enforced last. After a freeze it may be outdated, so it decides neither whether nor
    /// how a request is handled; [`Self::current_configuration`] does. It is for limits, health checks and reports.
    pub(crate) fn last_configuration(&self) -> Option<Arc<CompiledConfiguration>> {
        self.enforced.load_full()
    }

    /// Enforces a configuration and applies its limits for the local backend server.
    pub(crate) fn enforce(&self, compiled: Arc<CompiledConfiguration>) {
        self.enforced.store(Some(compiled));
        self.update_slot_limits();
    }

    /// Whether the process has run without a freeze since `epoch` was read.
    pub(crate) fn is_current(&self, epoch: Epoch) -> bool {
        self.freezes.is_current(self.uptime_ms(), epoch)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock_ignoring_poison(&self.balancer)
    }

    pub(crate) fn known_statements(&self) -> MutexGuard<'_, KnownStatements> {
        lock_ignoring_poison(&self.known_statements)
    }

    /// Publishes a membership view. An endpoint that has come back in it is no longer avoided for having been draining.
    pub(crate) fn set_view(&self, view: MembershipView) {
        let now_us = clock::since_us(self.started);
        let before = self.view.swap(Arc::new(view));
        let after = self.view.load();
        let mut balancer = self.balancer();
        for node in balancer.draining(now_us) {
            if after.has_endpoint(node) && !before.has_endpoint(node) {
                balancer.record_return(node);
            }
        }
    }

    /// Applies the retry settings and the current number of nodes to the retry tokens.
    pub(crate) fn update_retry_policy(&self) {
        let reloadable = self.reloadable.load();
        let (percent, reserve) = (reloadable.retry_percent, reloadable.retry_reserve);
        let policy = RetryPolicy::for_entry_node(percent, reserve, self.view.load().alive_count());
        self.retry_tokens()
            .set_policy(policy.with_switches(self.mechanisms()));
    }

    pub(crate) fn retry_tokens(&self) -> MutexGuard<'_, ServiceTokens> {
        lock_ignoring_poison(&self.retry_tokens)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission<WaitOutcomeSender>> {
        lock_ignoring_poison(&self.admission)
    }

    /// What the local backend server states in its responses.
    pub(crate) fn statements(&self) -> MutexGuard<'_, LocalStatements> {
        lock_ignoring_poison(&self.statements)
    }

    pub(crate) fn rejections(&self) -> MutexGuard<'_, Rejections> {
        lock_ignoring_poison(&self.rejections)
    }

    /// Sets the local backend server, whose earlier start's statements no longer apply.
    pub(crate) fn set_backend(&self, backend: Option<LocalBackend>) {
        if let Some(backend) = &backend {
            statements::begin_start(self, backend.start.as_ref());
        }
        self.pool
            .set_start(backend.as_ref().and_then(LocalBackend::start_digest));
        self.backend.store(backend.map(Arc::new));
        self.update_slot_limits();
    }

    /// The load that this node's gate reports with the response to `hop`.
    pub(crate) fn load(&self, hop: &Hop) -> LoadReport {
        let now_us = clock::since_us(self.started);
        let request = hop.fresh_slot_request(self.started);
        let upload_time_us = self.upload_queue().estimated_completion_us();
        let load = self
            .admission()
            .load_report(now_us, &request, &hop.resource);
        LoadReport {
            upload_time_us,
            ..load
        }
    }

    /// How long requests for other resources hold a slot, as this node's gate reports it with the
    /// response to `hop`.
    pub(crate) fn other_service_times(&self, hop: &Hop) -> HeaderValue {
        let admission = self.admission();
        let now_us = clock::since_us(self.started);
        headers::format_service_times(&admission.other_service_times(now_us, &hop.resource))
    }

    pub(crate) fn upload_queue(&self) -> MutexGuard<'_, UploadQueue> {
        lock_ignoring_poison(&self.upload_queue)
    }

    /// Applies orders and states of roll-outs. Requests that wait for a slot of the local backend server
    /// are refused if its version gets no more requests.
    pub(crate) fn set_rollouts(&self, book: &RolloutBook) {
        self.rollouts.set(book);
        let Some(backend) = self.backend.load_full() else {
            return;
        };
        let version = backend.software_version.as_ref();
        if !self
            .rollouts
            .admits(&backend.service, version, Some(u64::MAX))
        {
            self.admission().refuse_waiting();
            slots::notify_queued(self);
        }
    }

    /// Starts the shutdown: refuses requests at the gate, and requests of callers as `schedule` says.
    pub(crate) fn begin_drain(&self, schedule: DrainSchedule) {
        // Called once, when the node stops.
        let _ = self.drain.set(schedule);
        self.leaving.cancel();
        self.close_gate();
    }

    /// The times of the shutdown; `None` before it has started.
    pub(crate) fn drain_schedule(&self) -> Option<&DrainSchedule> {
        self.drain.get()
    }

    /// Stops admitting requests to the backend server. Queued requests are refused at once, so that
    /// their entry nodes retry them elsewhere.
    pub(crate) fn close_gate(&self) {
        self.admission().close();
        slots::notify_queued(self);
    }

    /// Admits requests to the backend server again.
    pub(crate) fn open_gate(&self) {
        self.admission().open();
    }

    /// Applies the slot and connection limits of the enforced configuration for the local backend
    /// server.
    pub(crate) fn update_slot_limits(&self) {
        let backend = self.backend.load_full();
        let compiled = self.last_configuration();
        let (limits, connections) = match backend.as_ref().zip(compiled.as_ref()) {
            Some((backend, compiled)) => backend_limits(backend, compiled),
            None => (Limits::default(), 0),
        };
        self.pool.set_connections_max(connections);
        self.admission().set_limits(limits);
        slots::notify_queued(self);
    }

    /// Stops sending requests to `backend` after another instance has responded at its address,
    /// which may have been reassigned to another service. The next announcement sets a backend
    /// server again.
    pub(crate) fn handle_wrong_instance(&self, backend: &LocalBackend) {
        let current = self.backend.load_full();
        if current.as_deref() != Some(backend) {
            return;
        }
        log::warn!(instance:? = backend.instance(); "another instance responded at the backend server's address");
        self.backend.store(None);
        self.on_backend_event
            .call(BackendEvent::Lost(backend.service.clone()));
    }
}

/// Slot and queue limits of a backend server, and its number of connections.
fn backend_limits(backend: &LocalBackend, compiled: &CompiledConfiguration) -> (Limits, u32) {
    let Some(service) = compiled.configuration.service(&backend.service) else {
        return (Limits::default(), 0);
    };
    let connections = service.connections_per_endpoint;
    let slots = backend.slots.unwrap_or(service.slots_per_endpoint);
    let limits = Limits {
        // Each request uses its own connection to the backend server.
        slots: slots.min(connections),
        queue_len: service.queue_len,
    };
    (limits, connections)
}
