//! Starts a node and runs it until it is told to stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorRef};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::core::dialect::Dialect;
use crate::core::member::{BackendState, Liveness, Member, NodeId};
use crate::core::version::Version;
use crate::node::configuration::{ConfigurationActor, ConfigurationMsg, ConfigurationOrigin};
use crate::node::listeners::Listeners;
use crate::node::membership::{self, MembershipActor, MembershipMsg};
use crate::node::registration;
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::node::{follower, freeze, recorder, reload};
use crate::peer::server::ControlService;
use crate::platform::store::Client;
use crate::store::NodeStore;
use crate::store::http::HttpStore;
use crate::util::clock;

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest wait for neighbours to hear the goodbye.
const LEAVE_TIMEOUT_MS: u64 = 2_000;

/// Longest wait for other nodes to take the last bytes of answers.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a node could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} for {purpose}"))]
    Listen {
        /// Which listener.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// From the system.
        source: io::Error,
    },
    /// A control actor did not start.
    #[snafu(display("cannot start the {actor} actor"))]
    Spawn {
        /// Which actor.
        actor: &'static str,
        /// From the actor library.
        source: ractor::SpawnErr,
    },
}

/// A started node.
#[derive(Debug)]
pub struct NodeHandle {
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where other nodes connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where readiness is asked for, if not only there.
    pub ready: Option<SocketAddr>,
    /// Where the local backend server announces itself, if not there.
    pub announce: Option<SocketAddr>,
    node: Arc<NodeState>,
    membership: ActorRef<MembershipMsg>,
    configuration: ActorRef<ConfigurationMsg>,
    shutdown: ShutdownTokens,
    callers_task: JoinHandle<()>,
    peers_task: JoinHandle<()>,
    tasks: TaskTracker,
}

/// What ends the parts of a node, in the order in which they end.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownTokens {
    pub(crate) callers: CancellationToken,
    pub(crate) peers: CancellationToken,
    pub(crate) all: CancellationToken,
}

/// The runtime that a node runs on: one thread.
///
/// A call passes several tasks in a node, each woken by the one before. On one thread such a wake is
/// a push to a queue; between threads it is a call to the system, which doubled the processor time
/// of a call (docs/design/requests.md). One thread carries about a hundred times the calls that a
/// node gets at the size designed for.
pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime needs only a file descriptor")
}

/// Binds the listeners and starts the actors.
pub async fn start(settings: Settings) -> Result<NodeHandle> {
    let listeners = Listeners::bind(&settings).await?;
    let addresses = listeners.addresses(&settings);
    let local_member = initial_member(&settings, addresses.peer);
    let node = NodeState::new(settings, local_member.node);
    let origin = configuration_origin(&node.proxy.settings);
    let (configuration, membership) = start_actors(&node, &local_member, origin.clone()).await?;
    node.set_membership(membership.clone());

    let shutdown = ShutdownTokens::default();
    let tasks = TaskTracker::new();
    if let ConfigurationOrigin::Feed(resync) = origin {
        let feed = Client::new(
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
        shutdown,
        callers_task,
        peers_task,
        tasks,
    })
}

fn node_store(settings: &Settings) -> NodeStore {
    let url = &settings.platform_url;
    match settings.dialect {
        Dialect::Native => NodeStore::Own(HttpStore::new(url, settings.dial_from)),
        Dialect::Platform => NodeStore::Platform(Client::new(url, settings.dial_from)),
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

impl NodeHandle {
    /// The node's addresses as one line of JSON, for whoever started it with port 0.
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

    /// Takes no new work, tells the mesh, finishes what is in flight, then ends.
    ///
    /// The order matters. The gate closes first, while the mesh is told. Callers are still served
    /// until the backend server has finished: its own work may lead to calls through this node.
    /// Only then do the callers' connections end, and last the other nodes'.
    pub async fn drain(mut self) {
        log::info!("draining");
        self.node.proxy.leaving.cancel();
        self.node.proxy.close_gate();
        let service = self
            .node
            .proxy
            .backend
            .load()
            .as_ref()
            .map(|b| b.service.clone());
        let _ = self
            .membership
            .cast(MembershipMsg::SetBackend(service, BackendState::Draining));
        let drain_timeout_ms = self.node.proxy.reloadable.load().drain_timeout_ms;
        let drain_timeout = Duration::from_millis(drain_timeout_ms);
        if tokio::time::timeout(drain_timeout, self.wait_for_requests())
            .await
            .is_err()
        {
            log::warn!(drain_timeout_ms; "requests in flight were cut");
        }
        let _ = ractor::call_t!(self.membership, MembershipMsg::Leave, LEAVE_TIMEOUT_MS);
        self.shutdown.peers.cancel();
        // Answers that were read whole may still be on their way out.
        let _ = tokio::time::timeout(RESPONSE_FLUSH_TIMEOUT, &mut self.peers_task).await;
        self.shutdown.all.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.membership.stop(None);
        self.configuration.stop(None);
        log::info!("stopped");
    }

    async fn wait_for_requests(&mut self) {
        // Callers' connections that have been idle so long are closed; until then an answer says that
        // it is the last on its connection. A caller that sends while its idle connection is being
        // closed cannot know whether its request was read, so few are to be closed that way.
        let min_serving_time =
            Duration::from_millis(self.node.proxy.reloadable.load().stop_least_ms);
        // Whatever the gate is asked from now on it refuses at once, so a request that comes
        // after the last one has ended cannot be lost by not being waited for.
        self.node.proxy.gate_requests.close();
        tokio::join!(
            self.node.proxy.gate_requests.wait(),
            tokio::time::sleep(min_serving_time)
        );
        self.shutdown.callers.cancel();
        let _ = (&mut self.callers_task).await;
    }
}

fn initial_member(settings: &Settings, peer_address: SocketAddr) -> Member {
    let node = settings.peer_advertise.unwrap_or(peer_address);
    let service = settings.backend_server.as_ref().map(|b| b.service.clone());
    // One that announces itself is sent nothing before it has; whoever is sent there until then finds no
    // endpoint, and leaves this one alone for a while.
    let backend = match &service {
        Some(_) if !settings.backend_server_announces => BackendState::Serving,
        _ => BackendState::Gone,
    };
    Member {
        node: NodeId(node),
        external: settings.peer_external.unwrap_or(node),
        place: settings.place.clone(),
        incarnation_us: u64::try_from(clock::wall().as_micros()).unwrap_or(u64::MAX),
        sequence: 1,
        liveness: Liveness::Alive,
        service,
        backend,
        enforced: Version::NONE,
    }
}
