//! The actor that carries out roll-outs: it reports what the gate of this node counts, collects the
//! reports of other gates, and, while this node reads the store for its data centre, decides on the
//! next phases.
//!
//! Gates report to the lead that they follow, and leads pass the reports of their data centre on to the
//! leads of the others. So every lead has the evidence of the whole mesh and can act as coordinator. The
//! leads act one after the other, in the order of their data centres, so that usually only the first one
//! writes.

mod coordinator;
mod gate;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use self::coordinator::ServiceRollout;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::core::rollout::RolloutState;
use crate::core::status::RolloutStatus;
use crate::decide::rollout::{NodeTally, ReportTime};
use crate::membership::neighbours;
use crate::node::state::NodeState;
use crate::platform::store::PlatformStore;
use crate::store::{self, AdvanceOutcome};

/// Interval at which gates report, and at which a lead passes reports on and decides.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(crate) enum RolloutMsg {
    Tick,
    /// Gates have reported their totals. With `forwarded` they are of another data centre.
    Tallies {
        tallies: Vec<NodeTally>,
        forwarded: bool,
    },
    /// The write of a state has ended.
    AdvanceEnded(Box<AdvanceEnded>),
    /// Returns the roll-outs for the operator's view.
    GetStatus(RpcReplyPort<Vec<RolloutStatus>>),
}

/// How the write of a state has ended.
#[derive(Debug)]
pub(crate) struct AdvanceEnded {
    service: ServiceName,
    state: RolloutState,
    result: store::Result<AdvanceOutcome>,
}

pub(crate) struct RolloutActor;

pub(crate) struct Arguments {
    pub(crate) node: Arc<NodeState>,
    pub(crate) incarnation_us: u64,
    /// Where states are written; `None` where no roll-outs can be ordered.
    pub(crate) table: Option<PlatformStore>,
}

pub(crate) struct State {
    node: Arc<NodeState>,
    incarnation_us: u64,
    table: Option<PlatformStore>,
    services: BTreeMap<ServiceName, ServiceRollout>,
    report_time: ReportTime,
    /// Reports of gates of this data centre that were not passed on yet.
    to_forward: Vec<NodeTally>,
}

impl Actor for RolloutActor {
    type Msg = RolloutMsg;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        if arguments.table.is_some() {
            myself.send_interval(TICK_INTERVAL, || RolloutMsg::Tick);
        }
        Ok(State {
            node: arguments.node,
            incarnation_us: arguments.incarnation_us,
            table: arguments.table,
            services: BTreeMap::new(),
            report_time: ReportTime::default(),
            to_forward: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            RolloutMsg::Tick => state.handle_tick(&myself),
            RolloutMsg::Tallies { tallies, forwarded } => state.collect(tallies, forwarded),
            RolloutMsg::AdvanceEnded(ended) => state.handle_advance_ended(*ended),
            RolloutMsg::GetStatus(reply) => {
                let _ = reply.send(state.status());
            }
        }
        Ok(())
    }
}

impl State {
    fn handle_tick(&mut self, myself: &ActorRef<RolloutMsg>) {
        let book = self.node.rollouts();
        if book.is_empty() {
            return;
        }
        self.report_own_gate(myself, &book);
        if !self.has_current_reports() {
            return;
        }
        let is_active = |service: &ServiceName| {
            let record = book.get(service);
            record.is_some_and(|record| record.is_active())
        };
        self.services.retain(|service, _| is_active(service));
        for (service, record) in book.iter().filter(|(_, record)| record.is_active()) {
            let rollout = self.services.entry(service.clone()).or_default();
            rollout
                .evidence
                .observe(self.node.proxy.uptime_ms(), record);
        }
        if self.is_lead() {
            self.forward_tallies();
            self.advance(myself, &book);
        }
    }

    /// Whether this node reads the store for its data centre.
    fn is_lead(&self) -> bool {
        self.node.followed_node.borrow().is_none()
    }

    /// Whether reports that arrive now were sent after the last freeze of this process. Until then there
    /// is nothing to decide by.
    fn has_current_reports(&mut self) -> bool {
        let proxy = &self.node.proxy;
        let (now_ms, epoch) = (proxy.uptime_ms(), proxy.freezes.epoch());
        // Before the first tick after a freeze, the epoch is still that from before it.
        if !proxy.freezes.is_current(now_ms, epoch) {
            return false;
        }
        if self.report_time.set_epoch(now_ms, epoch) {
            self.to_forward.clear();
            let rollouts = self.services.values_mut();
            rollouts.for_each(|rollout| rollout.evidence.restart());
        }
        self.report_time.has_current_reports(now_ms)
    }

    fn collect(&mut self, tallies: Vec<NodeTally>, forwarded: bool) {
        if !self.has_current_reports() {
            return;
        }
        for tally in tallies {
            let rollout = self.services.entry(tally.service.clone()).or_default();
            if rollout.evidence.merge(tally.clone()) && !forwarded {
                self.to_forward.push(tally);
            }
        }
    }

    /// Passes the reports of this data centre on to the leads of the others.
    fn forward_tallies(&mut self) {
        let tallies = std::mem::take(&mut self.to_forward);
        if tallies.is_empty() {
            return;
        }
        let tallies = Arc::new(tallies);
        for lead in self.leads_elsewhere().0 {
            let tallies = Arc::clone(&tallies);
            let node = Arc::clone(&self.node);
            tokio::spawn(async move { send_tallies(&node, lead, &tallies, true).await });
        }
    }

    /// The leads of the other data centres, and the rank of this one.
    fn leads_elsewhere(&self) -> (Vec<NodeId>, usize) {
        let view = self.node.proxy.view.load();
        let local = self.node.proxy.local_id;
        let local_member = view.members.iter().find(|member| member.node == local);
        local_member.map_or_else(Default::default, |local_member| {
            neighbours::leads_elsewhere(local_member, view.members.iter())
        })
    }
}

/// Sends tallies to another node. They are totals, so a message that is lost is made up for by the next.
async fn send_tallies(node: &NodeState, to: NodeId, tallies: &[NodeTally], forwarded: bool) {
    let address = {
        let view = node.proxy.view.load();
        let member = view.members.iter().find(|member| member.node == to);
        member.map(|member| member.dial_address(&node.proxy.settings.place))
    };
    let client = address.and_then(|address| node.control_pool.client(address));
    let Some(mut client) = client else { return };
    if let Err(error) = client.tally(tallies, forwarded).await {
        log::debug!(lead:% = to, error:%; "the report of a gate was not delivered");
    }
}
