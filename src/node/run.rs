//! Starts a node and runs it until it is told to stop.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use ractor::{Actor, ActorRef};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::core::member::{BackendState, Liveness, Member, NodeId};
use crate::core::version::Version;
use crate::node::configuration::{ConfigurationActor, ConfigurationMsg};
use crate::node::freeze;
use crate::node::membership::{self, MembershipActor, MembershipMsg};
use crate::node::operator::Operator;
use crate::node::registration;
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::peer::server::ControlService;
use crate::proxy::listener;
use crate::store::http::HttpStore;
use crate::util::clock;

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest wait for neighbours to hear the goodbye.
const GOODBYE_TIMEOUT_MS: u64 = 2_000;

/// Callers' connections that have been idle so long are closed; until then an answer says that it
/// is the last on its connection. A caller that sends while its idle connection is being closed
/// cannot know whether its request was read, so few are to be closed that way.
const LAME_DUCK: Duration = Duration::from_millis(500);

/// Longest wait for other nodes to take the last bytes of answers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} for {what}"))]
    Listen {
        /// Which listener.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// From the system.
        source: io::Error,
    },
    /// A control actor did not start.
    #[snafu(display("cannot start the {what} actor"))]
    Spawn {
        /// Which actor.
        what: &'static str,
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
    node: Arc<NodeState>,
    membership: ActorRef<MembershipMsg>,
    configuration: ActorRef<ConfigurationMsg>,
    stops: Stops,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
    tasks: TaskTracker,
}

/// What ends the parts of a node, in the order in which they end.
#[derive(Clone, Debug, Default)]
struct Stops {
    callers: CancellationToken,
    peers: CancellationToken,
    all: CancellationToken,
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
    let caller = listen("callers", settings.caller_listen).await?;
    let peer = listen("peers", settings.peer_listen).await?;
    let operator = listen("operators", settings.operator_listen).await?;
    let caller_address = bound(&caller, settings.caller_listen);
    let peer_address = bound(&peer, settings.peer_listen);
    let operator_address = bound(&operator, settings.operator_listen);
    let me = own_statement(&settings, peer_address);
    let platform = HttpStore::new(&settings.platform_url, settings.dial_from);
    let node = NodeState::new(settings, me.node);

    let arguments = (Arc::clone(&node), platform.clone());
    let (configuration, _) = Actor::spawn(None, ConfigurationActor, arguments)
        .await
        .context(SpawnSnafu {
            what: "configuration",
        })?;
    let arguments = membership::Arguments {
        node: Arc::clone(&node),
        me: me.clone(),
        configuration: configuration.clone(),
    };
    let (membership, _) = Actor::spawn(None, MembershipActor, arguments)
        .await
        .context(SpawnSnafu { what: "membership" })?;
    let _ = configuration.cast(ConfigurationMsg::Membership(membership.clone()));

    let stops = Stops::default();
    let tasks = TaskTracker::new();
    let control = ControlService {
        membership: membership.clone(),
        configuration: configuration.clone(),
    };
    let operator_service = Arc::new(Operator {
        node: Arc::clone(&node),
        membership: membership.clone(),
        metrics: recorder(),
    });
    let callers = tasks.spawn(listener::serve_callers(
        caller,
        Arc::clone(&node),
        stops.callers.clone(),
        stops.all.clone(),
    ));
    let peers = tasks.spawn(listener::serve_peers(
        peer,
        Arc::clone(&node),
        control,
        stops.peers.clone(),
        stops.all.clone(),
    ));
    tasks.spawn(listener::serve_operators(
        operator,
        operator_service,
        stops.all.clone(),
    ));
    tasks.spawn(registration::run(
        Arc::clone(&node),
        me.clone(),
        platform,
        membership.clone(),
        stops.all.clone(),
    ));
    tasks.spawn(freeze::watch(
        Arc::clone(&node),
        configuration.clone(),
        stops.all.clone(),
    ));
    log::info!(
        node:% = me.node,
        caller:% = caller_address,
        operator:% = operator_address;
        "listening"
    );
    Ok(NodeHandle {
        caller: caller_address,
        peer: peer_address,
        operator: operator_address,
        node,
        membership,
        configuration,
        stops,
        callers,
        peers,
        tasks,
    })
}

impl NodeHandle {
    /// The node's addresses as one line of JSON, for whoever started it with port 0.
    pub fn addresses_json(&self) -> String {
        let addresses = serde_json::json!({
            "node": self.node.me,
            "caller": self.caller,
            "peer": self.peer,
            "operator": self.operator,
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
        self.node.leaving.cancel();
        self.node.close_gate();
        let service = self.node.backend.load().as_ref().map(|b| b.service.clone());
        let _ = self
            .membership
            .cast(MembershipMsg::SetBackend(service, BackendState::Draining));
        let limit = Duration::from_millis(self.node.settings.drain_timeout_ms);
        if tokio::time::timeout(limit, self.finish()).await.is_err() {
            log::warn!(drain_timeout_ms = self.node.settings.drain_timeout_ms; "requests in flight were cut");
        }
        let _ = ractor::call_t!(self.membership, MembershipMsg::Leave, GOODBYE_TIMEOUT_MS);
        self.stops.peers.cancel();
        // Answers that were read whole may still be on their way out.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, &mut self.peers).await;
        self.stops.all.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.membership.stop(None);
        self.configuration.stop(None);
        log::info!("stopped");
    }

    async fn finish(&mut self) {
        // Whatever the gate is asked from now on it refuses at once, so a request that comes
        // after the last one has ended cannot be lost by not being waited for.
        self.node.in_gate.close();
        tokio::join!(self.node.in_gate.wait(), tokio::time::sleep(LAME_DUCK));
        self.stops.callers.cancel();
        let _ = (&mut self.callers).await;
    }
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { what, address })
}

fn bound(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

fn own_statement(settings: &Settings, peer_address: SocketAddr) -> Member {
    let node = settings.peer_advertise.unwrap_or(peer_address);
    let service = settings.backend_server.as_ref().map(|b| b.service.clone());
    let backend = if service.is_some() {
        BackendState::Serving
    } else {
        BackendState::Gone
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

/// The process's metrics recorder, installed when first asked for.
fn recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if the host program has installed its own, which then gets the figures.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    RECORDER.get_or_init(install).clone()
}
