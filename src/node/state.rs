//! What the actors write and requests read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::core::member::{Liveness, Member, NodeId, Place};
use crate::core::names::ServiceName;
use crate::decide::admission::Admission;
use crate::distribution::Applied;
use crate::node::settings::{BackendServer, Settings};
use crate::proxy::backend::BackendPool;
use crate::proxy::peers::PeerConnections;

/// An endpoint as requests see it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) place: Place,
}

/// The members as requests and operators see them.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) members: Vec<Member>,
    pub(crate) endpoints: HashMap<ServiceName, Vec<Endpoint>>,
}

impl View {
    pub(crate) fn new(members: Vec<Member>, from: &Place) -> Self {
        let mut endpoints: HashMap<ServiceName, Vec<Endpoint>> = HashMap::new();
        for member in members.iter().filter(|member| member.takes_work()) {
            let service = member.service.clone().expect("takes_work checks it");
            endpoints.entry(service).or_default().push(Endpoint {
                node: member.node,
                address: member.dial_address(from),
                place: member.place.clone(),
            });
        }
        Self { members, endpoints }
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
    pub(crate) me: NodeId,
    pub(crate) started: Instant,
    pub(crate) enforced: ArcSwapOption<Applied>,
    pub(crate) view: ArcSwap<View>,
    /// Load percent of endpoints as they last reported it with an answer.
    pub(crate) loads: Mutex<HashMap<NodeId, u32>>,
    pub(crate) admission: Mutex<Admission>,
    pub(crate) backend: ArcSwapOption<BackendServer>,
    pub(crate) pool: BackendPool,
    pub(crate) peers: PeerConnections,
    /// Cancelled when the node takes no new work.
    pub(crate) draining: CancellationToken,
    /// Requests in flight at this node, either as entry or as gate.
    pub(crate) in_flight: TaskTracker,
}

impl NodeState {
    pub(crate) fn new(settings: Settings, me: NodeId) -> Arc<Self> {
        let dial_options = settings.dial_options();
        let backend = settings.backend_server.clone().map(Arc::new);
        Arc::new(Self {
            settings,
            me,
            started: Instant::now(),
            enforced: ArcSwapOption::empty(),
            view: ArcSwap::default(),
            loads: Mutex::default(),
            admission: Mutex::default(),
            backend: ArcSwapOption::from(backend),
            pool: BackendPool::default(),
            peers: PeerConnections::new(dial_options),
            draining: CancellationToken::new(),
            in_flight: TaskTracker::new(),
        })
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, HashMap<NodeId, u32>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings the number of slots in line with what is enforced and which service is local.
    pub(crate) fn refresh_slots(&self) {
        let backend = self.backend.load_full();
        let applied = self.enforced.load_full();
        let slots = backend.zip(applied).and_then(|(backend, applied)| {
            let service = applied.configuration.service(&backend.service)?;
            Some(service.slots_per_endpoint)
        });
        self.admission().set_slots(slots.unwrap_or(0));
    }
}
