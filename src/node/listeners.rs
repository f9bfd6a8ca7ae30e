//! The listeners of a node: bound before anything else starts, and served once the actors run.

mod operators;

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::node::operator::Operator;
use crate::node::recorder;
use crate::node::run::{ListenSnafu, Result, ShutdownTokens};
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::peer::server::ControlService;
use crate::proxy::listener;

/// Bound sockets. Connections can be established but are not served before [`Listeners::serve`].
pub(crate) struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
    /// Additional listener for readiness checks, if configured.
    ready: Option<TcpListener>,
    /// Separate listener for announcements of the backend server, if configured.
    announce: Option<TcpListener>,
}

/// Addresses that a node listens on, with the port that the system chose where port 0 is configured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) ready: Option<SocketAddr>,
    pub(crate) announce: Option<SocketAddr>,
}

impl Listeners {
    /// Binds all listeners that `settings` configures.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self> {
        Ok(Self {
            caller: listen("callers", settings.caller_listen).await?,
            peer: listen("peers", settings.peer_listen).await?,
            operator: listen("operators", settings.operator_listen).await?,
            ready: listen_if_configured("readiness", settings.ready_listen).await?,
            announce: listen_if_configured("announcements", settings.announce_listen).await?,
        })
    }

    /// Returns the addresses of the bound sockets.
    pub(crate) fn addresses(&self, settings: &Settings) -> Addresses {
        Addresses {
            caller: local_address(&self.caller, settings.caller_listen),
            peer: local_address(&self.peer, settings.peer_listen),
            operator: local_address(&self.operator, settings.operator_listen),
            ready: local_address_if_configured(self.ready.as_ref(), settings.ready_listen),
            announce: local_address_if_configured(self.announce.as_ref(), settings.announce_listen),
        }
    }

    /// Serves all listeners in `tasks`. Returns the tasks that serve callers and peers, since a shutdown waits for
    /// each of them separately.
    pub(crate) fn serve(
        self,
        node: &Arc<NodeState>,
        control: ControlService,
        shutdown: &ShutdownTokens,
        tasks: &TaskTracker,
    ) -> (JoinHandle<()>, JoinHandle<()>) {
        let operator = Arc::new(Operator {
            node: Arc::clone(node),
            metrics: recorder::handle(),
            rollout: control.rollout.clone(),
        });
        let callers = tasks.spawn(listener::callers::serve(
            self.caller,
            Arc::clone(&node.proxy),
            shutdown.callers.clone(),
            shutdown.all.clone(),
        ));
        let peers = tasks.spawn(listener::peers::serve(
            self.peer,
            Arc::clone(&node.proxy),
            control,
            shutdown.peers.clone(),
            shutdown.all.clone(),
        ));
        for listener in [self.ready, self.announce].into_iter().flatten() {
            let operator = Arc::clone(&operator);
            let all = shutdown.all.clone();
            tasks.spawn(operators::serve_platform(listener, operator, all));
        }
        tasks.spawn(operators::serve(
            self.operator,
            operator,
            shutdown.all.clone(),
        ));
        (callers, peers)
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { purpose, address })
}

async fn listen_if_configured(
    purpose: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>> {
    match address {
        Some(address) => listen(purpose, address).await.map(Some),
        None => Ok(None),
    }
}

fn local_address_if_configured(
    listener: Option<&TcpListener>,
    configured: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let (listener, configured) = listener.zip(configured)?;
    Some(local_address(listener, configured))
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}
