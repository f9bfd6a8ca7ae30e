//! Starts a node and shuts it down gracefully.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::{Actor, ActorRef};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::core::dialect::Dialect;
use crate::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId};
use crate::core::version::Version;
use crate::decide::drain::DrainSchedule;
use crate::decide::quota::ProcessId;
use crate::node::configuration::{ConfigurationActor, ConfigurationMsg, ConfigurationOrigin};
use crate::node::listeners::Listeners;
use crate::node::membership::{self, MembershipActor, MembershipMsg};
use crate::node::registration;
use crate::node::registration::row_writer::{self, RowWriter};
use crate::node::rollout::{RolloutActor, RolloutMsg};
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::node::{crashes, follower, freeze, quota, recorder, reload, rollout};
use crate::peer::server::ControlService;
use crate::platform::store::PlatformStore;
use crate::proxy::slots;
use crate::store::NodeStore;
use crate::store::http::HttpStore;
use crate::util::clock;

/// A result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest wait for neighbours to acknowledge that this node leaves the mesh.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for callers to read the responses to requests that were given up, at the end of the
/// drain timeout.
const GIVEN_UP_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest wait for other nodes to read the end of the responses that are still being sent.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for background tasks to end.
const TASKS_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a node could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listener could not be bound to its address.
    #[snafu(display("cannot listen on {address} for {purpose}"))]
    Listen {
        /// Whom or what the listener serves, such as `callers`.
        purpose: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A control actor did not start.
    #[snafu(display("cannot start the {actor} actor"))]
    Spawn {
        /// The name of the actor, such as `membership`.
        actor: &'static str,
        /// The error of the actor library.
        source: ractor::SpawnErr,
    },
}

/// A running node: its bound addresses, and what is needed to stop it.
#[derive(Debug)]
pub struct NodeHandle {
    /// Address on which callers connect.
    pub caller: SocketAddr,
    /// Address on which other nodes connect.
    pub peer: SocketAddr,
    /// Address on which operators connect.
    pub operator: SocketAddr,
    /// Additional address that answers readiness checks, if configured; the operator address always does.
    pub ready: Option<SocketAddr>,
    /// Address on which the local backend server announces itself, if it is not the operator address.
    pub announce: Option<SocketAddr>,
    node: Arc<NodeState>,
    membership: ActorRef<MembershipMsg>,
    configuration: ActorRef<ConfigurationMsg>,
    rollout: ActorRef<RolloutMsg>,
    shutdown: ShutdownTokens,
    callers_task: JoinHandle<()>,
    peers_task: JoinHandle<()>,
    tasks: TaskTracker,
}

/// Cancellation tokens of the parts of a node, in the order in which shutdown cancels them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownTokens {
    pub(crate) callers: CancellationToken,
    pub(crate) peers: CancellationToken,
    pub(crate) all: CancellationToken,
}

/// Creates the single-threaded runtime of a node.
///
/// A request passes through several tasks, each woken by the previous one. On one thread a wake-up is a
/// push to a queue. Between threads it is a system call, which doubled the CPU time of a request
/// (docs/design/requests.md). One thread serves about a hundred times the requests that a node receives
/// at the mesh size that the product is designed for.
pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created")
}

/// Starts a node: binds its listeners, and spawns its actors and background tasks.
pub async fn start(settings: Settings) -> Result<NodeHandle> {
    let listeners = Listeners::bind(&settings).await?;
    let addresses = listeners.addresses(&settings);
    let local_member = initial_member(&settings, addresses.peer);
    let (row_writer, waiting_rows) = RowWriter::new();
    let process = ProcessId {
        node: local_member.node,
        incarnation_us: local_member.incarnation_us,
    };
    let node = NodeState::new(settings, process, row_writer);
    let origin = configuration_origin(&node.proxy.settings);
    let (configuration, membership) = start_actors(&node, &local_member, origin.clone()).await?;
    node.set_membership(membership.clone());
    node.watch_backend();
    let rollout = start_rollout_actor(&node, local_member.incarnation_us).await?;

    let shutdown = ShutdownTokens::default();
    let tasks = TaskTracker::new();
    if let ConfigurationOrigin::Feed(resync) = origin {
        let feed = PlatformStore::new(
            &node.proxy.settings.platform_url,
            node.proxy.settings.dial_from,
        );
        let all = shutdown.all.clone();
        let configuration = configuration.clone();
        let node = Arc::clone(&node);
        tasks.spawn(follower::run(node, feed, configuration, resync, all));
    }
    let control = ControlService {
        membership: membership.clone(),
        configuration: configuration.clone(),
        rollout: rollout.clone(),
        node: Arc::clone(&node),
    };
    let (callers_task, peers_task) = listeners.serve(&node, control, &shutdown, &tasks);
    tasks.spawn(registration::run(
        Arc::clone(&node),
        local_member.clone(),
        node_store(&node.proxy.settings),
        membership.clone(),
        shutdown.all.clone(),
    ));
    tasks.spawn(row_writer::run(
        node_store(&node.proxy.settings),
        waiting_rows,
        shutdown.all.clone(),
    ));
    tasks.spawn(slots::run_permit_timer(
        Arc::clone(&node.proxy),
        shutdown.all.clone(),
    ));
    tasks.spawn({
        let (proxy, stop) = (Arc::clone(&node.proxy), shutdown.all.clone());
        async move { proxy.log_limiter.report_dropped(stop).await }
    });
    tasks.spawn(quota::run(Arc::clone(&node), shutdown.all.clone()));
    tasks.spawn(crashes::run(Arc::clone(&node), shutdown.all.clone()));
    tasks.spawn(recorder::run_maintenance(shutdown.all.clone()));
    tasks.spawn(reload::run(Arc::clone(&node), shutdown.all.clone()));
    tasks.spawn(freeze::watch(
        Arc::clone(&node),
        configuration.clone(),
        shutdown.all.clone(),
    ));
    let disabled_mechanisms = node.proxy.mechanisms();
    if !disabled_mechanisms.all_enabled() {
        log::warn!(disabled_mechanisms:%; "mechanisms are switched off");
    }
    log::info!(
        node:% = local_member.node,
        caller:% = addresses.caller,
        operator:% = addresses.operator;
        "listening"
    );
    Ok(NodeHandle {
        caller: addresses.caller,
        peer: addresses.peer,
        operator: addresses.operator,
        ready: addresses.ready,
        announce: addresses.announce,
        node,
        membership,
        configuration,
        rollout,
        shutdown,
        callers_task,
        peers_task,
        tasks,
    })
}

fn node_store(settings: &Settings) -> NodeStore {
    let url = &settings.platform_url;
    match settings.dialect {
        Dialect::Native => NodeStore::Native(HttpStore::new(url, settings.dial_from)),
        Dialect::Platform => NodeStore::Platform(PlatformStore::new(url, settings.dial_from)),
    }
}

fn configuration_origin(settings: &Settings) -> ConfigurationOrigin {
    match settings.dialect {
        Dialect::Native => {
            let store = HttpStore::new(&settings.platform_url, settings.dial_from);
            ConfigurationOrigin::Published(store)
        }
        Dialect::Platform => ConfigurationOrigin::Feed(Arc::default()),
    }
}

async fn start_actors(
    node: &Arc<NodeState>,
    local_member: &Member,
    origin: ConfigurationOrigin,
) -> Result<(ActorRef<ConfigurationMsg>, ActorRef<MembershipMsg>)> {
    let arguments = (Arc::clone(node), origin);
    let (configuration, _) = Actor::spawn(None, ConfigurationActor, arguments)
        .await
        .context(SpawnSnafu {
            actor: "configuration",
        })?;
    let arguments = membership::Arguments {
        node: Arc::clone(node),
        local_member: local_member.clone(),
        configuration: configuration.clone(),
    };
    let (membership, _) = Actor::spawn(None, MembershipActor, arguments)
        .await
        .context(SpawnSnafu {
            actor: "membership",
        })?;
    let _ = configuration.cast(ConfigurationMsg::SetMembership(membership.clone()));
    Ok((configuration, membership))
}

/// Starts the actor that carries out roll-outs. Its states are written only to the users' platform.
async fn start_rollout_actor(
    node: &Arc<NodeState>,
    incarnation_us: u64,
) -> Result<ActorRef<RolloutMsg>> {
    let settings = &node.proxy.settings;
    let table = match settings.dialect {
        Dialect::Native => None,
        Dialect::Platform => Some(PlatformStore::new(
            &settings.platform_url,
            settings.dial_from,
        )),
    };
    let arguments = rollout::Arguments {
        node: Arc::clone(node),
        incarnation_us,
        table,
    };
    let (rollout, _) = Actor::spawn(None, RolloutActor, arguments)
        .await
        .context(SpawnSnafu { actor: "rollout" })?;
    Ok(rollout)
}

impl NodeHandle {
    /// The node's addresses as one line of JSON. They contain the ports that the system chose for port 0.
    pub fn addresses_json(&self) -> String {
        let addresses = serde_json::json!({
            "node": self.node.proxy.local_id,
            "caller": self.caller,
            "peer": self.peer,
            "operator": self.operator,
            "ready": self.ready,
            "announce": self.announce,
        });
        addresses.to_string()
    }

    /// Stops the node gracefully: refuses new requests for the local backend server, announces this to
    /// the mesh, waits for the requests in flight and then stops all tasks.
    ///
    /// The order matters. Admission closes first, while the state `draining` spreads by gossip. Callers
    /// are served until the backend server has finished its requests, because these may send further
    /// requests through this node. Then the callers' connections close, and last those of other nodes.
    pub async fn drain(mut self) {
        log::info!("draining");
        let reloadable = self.node.proxy.reloadable.load();
        let drain_timeout_ms = reloadable.drain_timeout_ms;
        let schedule = DrainSchedule::new(
            Instant::now(),
            Duration::from_millis(reloadable.stop_least_ms),
            Duration::from_millis(drain_timeout_ms),
        );
        self.node.proxy.begin_drain(schedule);
        let draining = self.node.backend_record(BackendState::Draining);
        let _ = self.membership.cast(MembershipMsg::SetBackend(draining));
        let requests_ended = self.wait_for_requests(&schedule);
        if tokio::time::timeout_at(schedule.ends_at().into(), requests_ended)
            .await
            .is_err()
        {
            log::warn!(drain_timeout_ms; "drain timeout expired; giving up the requests in flight");
            self.node.proxy.drain_expired.cancel();
            self.shutdown.callers.cancel();
            let flush_timeout = GIVEN_UP_FLUSH_TIMEOUT;
            exit_step(
                &schedule,
                flush_timeout,
                "responses",
                &mut self.callers_task,
            )
            .await;
        }
        self.exit(&schedule).await;
    }

    /// Leaves the mesh and stops all tasks.
    async fn exit(mut self, schedule: &DrainSchedule) {
        self.shutdown.peers.cancel();
        let membership = self.membership.clone();
        let leave = async move { ractor::call!(membership, MembershipMsg::Leave) };
        // Responses that were received completely from the backend server may not be sent completely yet.
        let flush = &mut self.peers_task;
        tokio::join!(
            exit_step(schedule, LEAVE_TIMEOUT, "leaving the mesh", leave),
            exit_step(
                schedule,
                RESPONSE_FLUSH_TIMEOUT,
                "responses to nodes",
                flush
            ),
        );
        self.shutdown.all.cancel();
        self.tasks.close();
        exit_step(schedule, TASKS_TIMEOUT, "tasks", self.tasks.wait()).await;
        self.membership.stop(None);
        self.configuration.stop(None);
        self.rollout.stop(None);
        log::info!("stopped");
    }

    async fn wait_for_requests(&mut self, schedule: &DrainSchedule) {
        // Admission is closed and refuses every new request at once. So no request can start after the
        // tracker has become empty, and the wait misses none.
        self.node.proxy.gate_requests.close();
        // Each response until then tells the caller that the connection closes, so that few
        // connections are left to be closed while idle: a caller that sends a request on a connection
        // that is being closed cannot tell whether it was received.
        tokio::join!(
            self.node.proxy.gate_requests.wait(),
            tokio::time::sleep_until(schedule.callers_served_until().into())
        );
        self.shutdown.callers.cancel();
        let _ = (&mut self.callers_task).await;
    }
}

/// Waits for a step of the exit until its time limit, and logs if the limit passes first.
async fn exit_step<F: Future>(
    schedule: &DrainSchedule,
    step_max: Duration,
    step: &'static str,
    future: F,
) {
    let ends_at = schedule.exit_step_ends_at(Instant::now(), step_max);
    if tokio::time::timeout_at(ends_at.into(), future)
        .await
        .is_err()
    {
        log::warn!(step; "a step of the exit was given up");
    }
}

fn initial_member(settings: &Settings, peer_address: SocketAddr) -> Member {
    let node = settings.peer_advertise.unwrap_or(peer_address);
    let service = settings.backend_server.as_ref().map(|b| b.service.clone());
    // A backend server that announces itself gets no requests before its first announcement. If the node
    // reported it as serving, other nodes would send requests that are refused, and would then avoid this
    // endpoint for a while.
    let backend = match &service {
        Some(_) if !settings.backend_server_announces => BackendState::Serving,
        _ => BackendState::Gone,
    };
    Member {
        node: NodeId(node),
        external: settings.peer_external.unwrap_or(node),
        place: settings.place.clone(),
        incarnation_us: u64::try_from(clock::unix_time().as_micros()).unwrap_or(u64::MAX),
        sequence: 1,
        liveness: Liveness::Alive,
        service,
        backend,
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::of(settings.cpu_percent, settings.link_kbit_per_s),
        enforced: Version::NONE,
    }
}
