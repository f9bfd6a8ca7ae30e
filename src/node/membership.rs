//! The actor that owns the membership state machine and does its exchanges.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::core::member::{BackendState, Member, NodeId};
use crate::core::names::ServiceName;
use crate::core::version::Stamp;
use crate::membership::{Exchange, Gossip, Membership, Timing};
use crate::node::configuration::ConfigurationMsg;
use crate::node::state::{NodeState, View};
use crate::peer::client::PeerClient;
use crate::util::clock;

/// How often due heartbeats and suspicions are looked for. News does not wait for it.
const TICK: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(crate) enum MembershipMsg {
    Tick,
    /// A peer started an exchange.
    Receive(Gossip, RpcReplyPort<Gossip>),
    /// An exchange of ours was answered.
    Answered(Gossip),
    /// An exchange of ours was not answered.
    Failed {
        to: NodeId,
        sent: Vec<Member>,
    },
    Seeds(Vec<SocketAddr>),
    SetBackend(Option<ServiceName>, BackendState),
    SetEnforced(Stamp),
    Remembered(NodeId, RpcReplyPort<Option<Stamp>>),
    /// Say goodbye and answer once the neighbours have been told.
    Leave(RpcReplyPort<()>),
}

pub(crate) struct MembershipActor;

pub(crate) struct Arguments {
    pub(crate) node: Arc<NodeState>,
    pub(crate) me: Member,
    pub(crate) configuration: ActorRef<ConfigurationMsg>,
}

pub(crate) struct State {
    node: Arc<NodeState>,
    membership: Membership,
    configuration: ActorRef<ConfigurationMsg>,
    clients: HashMap<SocketAddr, PeerClient>,
    published_generation: u64,
}

impl Actor for MembershipActor {
    type Msg = MembershipMsg;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK, || MembershipMsg::Tick);
        let seeds = arguments.node.settings.peer_seeds.clone();
        Ok(State {
            membership: Membership::new(arguments.me, seeds, Timing::default()),
            node: arguments.node,
            configuration: arguments.configuration,
            clients: HashMap::new(),
            published_generation: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now_ms = clock::since_ms(state.node.started);
        match message {
            MembershipMsg::Tick => state.greet_seeds(&myself),
            MembershipMsg::Receive(gossip, reply) => {
                let answer = state.membership.receive(now_ms, &gossip);
                // A caller that gave up waiting hears of it again with the next heartbeat.
                let _ = reply.send(answer);
            }
            MembershipMsg::Answered(gossip) => {
                let announced = ConfigurationMsg::Announced {
                    stamp: gossip.enforced,
                    from: Some(gossip.from),
                };
                // The actor is gone only while the process ends.
                let _ = state.configuration.cast(announced);
                state.membership.exchange_done(now_ms, &gossip);
            }
            MembershipMsg::Failed { to, sent } => {
                state.membership.exchange_failed(now_ms, to, &sent);
            }
            MembershipMsg::Seeds(seeds) => state.membership.add_seeds(seeds),
            MembershipMsg::SetBackend(service, backend) => {
                state.membership.set_backend(service, backend);
            }
            MembershipMsg::SetEnforced(stamp) => state.membership.set_enforced(stamp),
            MembershipMsg::Remembered(node, reply) => {
                let remembered = state.membership.remembered(node);
                let _ = reply.send(remembered.map(|member| member.enforced));
            }
            MembershipMsg::Leave(reply) => {
                state.membership.leave();
                state.say_goodbye(now_ms).await;
                let _ = reply.send(());
            }
        }
        for exchange in state.membership.tick(now_ms) {
            state.start(&myself, exchange);
        }
        state.publish();
        Ok(())
    }
}

impl State {
    fn client(&mut self, address: SocketAddr) -> Option<PeerClient> {
        if let Some(client) = self.clients.get(&address) {
            return Some(client.clone());
        }
        let client = PeerClient::new(address, &self.node.settings.dial_options()).ok()?;
        self.clients.insert(address, client.clone());
        Some(client)
    }

    fn start(&mut self, myself: &ActorRef<MembershipMsg>, exchange: Exchange) {
        let Some(mut client) = self.client(exchange.address) else {
            return;
        };
        let myself = myself.clone();
        tokio::spawn(async move {
            let message = match client.exchange(&exchange.gossip).await {
                Ok(answer) => MembershipMsg::Answered(answer),
                Err(error) => {
                    log::debug!(peer:% = exchange.to, error:%; "heartbeat failed");
                    MembershipMsg::Failed {
                        to: exchange.to,
                        sent: exchange.gossip.updates,
                    }
                }
            };
            let _ = myself.cast(message);
        });
    }

    fn greet_seeds(&mut self, myself: &ActorRef<MembershipMsg>) {
        let seeds = self.membership.seeds_to_greet().to_vec();
        for seed in seeds {
            let greeting = self.membership.greeting();
            let Some(mut client) = self.client(seed) else {
                continue;
            };
            let myself = myself.clone();
            tokio::spawn(async move {
                if let Ok(answer) = client.exchange(&greeting).await {
                    let _ = myself.cast(MembershipMsg::Answered(answer));
                }
            });
        }
    }

    async fn say_goodbye(&mut self, now_ms: u64) {
        let exchanges = self.membership.tick(now_ms);
        for exchange in exchanges {
            if let Some(mut client) = self.client(exchange.address) {
                // A neighbour that does not hear it finds out by its own heartbeat.
                let _ = client.exchange(&exchange.gossip).await;
            }
        }
    }

    /// Gives requests a new copy of the view, if it changed.
    fn publish(&mut self) {
        let generation = self.membership.generation();
        if generation == self.published_generation {
            return;
        }
        self.published_generation = generation;
        let members: Vec<Member> = self.membership.members().cloned().collect();
        let neighbours = self.membership.neighbours();
        let addresses: Vec<SocketAddr> = members
            .iter()
            .filter(|member| neighbours.contains(&member.node))
            .map(|member| member.dial_address(&self.node.settings.place))
            .collect();
        self.clients
            .retain(|address, _| addresses.contains(address));
        let view = View::new(members, self.node.me, &self.node.settings.place);
        self.node.view.store(Arc::new(view));
    }
}
