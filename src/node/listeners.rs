//! The listeners of a node: bound before anything else starts, served once the actors are there.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::node::operator::Operator;
use crate::node::recorder;
use crate::node::run::{ListenSnafu, Result, Stops};
use crate::node::settings::Settings;
use crate::node::state::NodeState;
use crate::peer::server::ControlService;
use crate::proxy::listener;

/// Addresses on which connections are accepted already.
pub(crate) struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
    /// For what the platform asks at addresses of its own.
    platform: Vec<TcpListener>,
}

/// Where a node listens: as asked, and with the port that the system picked for port 0.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
}

impl Listeners {
    /// Binds every listener of `settings`.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self> {
        let mut platform = Vec::new();
        if let Some(address) = settings.ready_listen {
            platform.push(listen("readiness", address).await?);
        }
        if let Some(address) = settings.announce_listen {
            platform.push(listen("announcements", address).await?);
        }
        Ok(Self {
            caller: listen("callers", settings.caller_listen).await?,
            peer: listen("peers", settings.peer_listen).await?,
            operator: listen("operators", settings.operator_listen).await?,
            platform,
        })
    }

    /// Where they listen.
    pub(crate) fn addresses(&self, settings: &Settings) -> Addresses {
        Addresses {
            caller: bound(&self.caller, settings.caller_listen),
            peer: bound(&self.peer, settings.peer_listen),
            operator: bound(&self.operator, settings.operator_listen),
        }
    }

    /// Serves all of them as part of `tasks`; what serves callers and peers is waited for apart.
    pub(crate) fn serve(
        self,
        node: &Arc<NodeState>,
        control: ControlService,
        stops: &Stops,
        tasks: &TaskTracker,
    ) -> (JoinHandle<()>, JoinHandle<()>) {
        let operator = Arc::new(Operator {
            node: Arc::clone(node),
            metrics: recorder::handle(),
        });
        let callers = tasks.spawn(listener::callers::serve(
            self.caller,
            Arc::clone(node),
            stops.callers.clone(),
            stops.all.clone(),
        ));
        let peers = tasks.spawn(listener::peers::serve(
            self.peer,
            Arc::clone(node),
            control,
            stops.peers.clone(),
            stops.all.clone(),
        ));
        for listener in self.platform {
            let operator = Arc::clone(&operator);
            let all = stops.all.clone();
            tasks.spawn(listener::operators::serve_platform(listener, operator, all));
        }
        tasks.spawn(listener::operators::serve(
            self.operator,
            operator,
            stops.all.clone(),
        ));
        (callers, peers)
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
