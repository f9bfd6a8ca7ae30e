//! The actor that owns the membership state machine and does its exchanges.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::core::member::{BackendState, Member, NodeId};
use crate::core::names::ServiceName;
use crate::core::version::{Stamp, Version};
use crate::distribution::fetch::Peer;
use crate::distribution::lead_choice::Leads;
use crate::membership::link::MIN_UPDATE_INTERVAL_MS;
use crate::membership::{Exchange, Gossip, Membership, Timing};
use crate::node::changes;
use crate::node::configuration::{ConfigurationMsg, Role};
use crate::node::state::NodeState;
use crate::proxy::view::View;
use crate::util::clock;

/// How often due heartbeats and suspicions are looked for. News does not wait for it.
const TICK: Duration = Duration::from_millis(250);

/// Between two copies of the view for requests: a burst of changes, as when a herd restarts, makes
/// one copy instead of hundreds; a draining server still disappears at once for a person.
const VIEW_PAUSE_MS: u64 = 50;

#[derive(Debug)]
pub(crate) enum MembershipMsg {
    Tick,
    /// News that was gathered may go out.
    Wake,
    /// A peer started an exchange.
    Receive(Gossip, RpcReplyPort<Gossip>),
    /// An exchange of ours was answered.
    Answered(Exchange, Gossip),
    /// An exchange of ours was not answered.
    Failed(Exchange),
    Seeds(Vec<SocketAddr>),
    SetBackend(Option<ServiceName>, BackendState),
    /// A version is accepted, as a hint or the head row says.
    Head(Stamp),
    /// The content is here and about to be enforced.
    SetHeld(Stamp),
    SetEnforced(Version),
    Remembered(NodeId, RpcReplyPort<Version>),
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
    published_generation: u64,
    published_ms: u64,
    woken: bool,
    role: Role,
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
        let seeds = arguments.node.proxy.settings.peer_seeds.clone();
        Ok(State {
            membership: Membership::new(arguments.me, seeds, Timing::default()),
            node: arguments.node,
            configuration: arguments.configuration,
            published_generation: 0,
            published_ms: 0,
            woken: false,
            role: Role::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now_ms = clock::since_ms(state.node.proxy.started);
        match message {
            MembershipMsg::Tick => (),
            MembershipMsg::Wake => state.woken = false,
            MembershipMsg::Receive(gossip, reply) => {
                let answer = state.membership.receive(now_ms, &gossip);
                // A caller that gave up waiting hears of it again with the next heartbeat.
                let _ = reply.send(answer);
                state.announce(&gossip);
            }
            MembershipMsg::Answered(sent, answer) => {
                state.membership.exchange_done(now_ms, &sent, &answer);
                state.announce(&answer);
            }
            MembershipMsg::Failed(sent) => state.membership.exchange_failed(now_ms, &sent),
            MembershipMsg::Seeds(seeds) => state.membership.add_seeds(seeds),
            MembershipMsg::SetBackend(service, backend) => {
                state.membership.set_backend(service, backend);
            }
            MembershipMsg::Head(stamp) => state.membership.set_head(stamp),
            MembershipMsg::SetHeld(stamp) => state.membership.set_held(stamp),
            MembershipMsg::SetEnforced(version) => state.membership.set_enforced(version),
            MembershipMsg::Remembered(node, reply) => {
                let _ = reply.send(state.membership.highest_reported(node));
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
        if state.membership.has_deferred_updates(now_ms)
            && !std::mem::replace(&mut state.woken, true)
        {
            let pause = Duration::from_millis(MIN_UPDATE_INTERVAL_MS);
            myself.send_after(pause, || MembershipMsg::Wake);
        }
        state.tell_role();
        state.publish(now_ms);
        Ok(())
    }
}

impl State {
    fn start(&self, myself: &ActorRef<MembershipMsg>, exchange: Exchange) {
        let Some(mut client) = self.node.control.client(exchange.address) else {
            return;
        };
        let myself = myself.clone();
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let message = match client.exchange(&exchange.gossip).await {
                Ok(answer) => {
                    count_exchange("answered");
                    MembershipMsg::Answered(exchange, answer)
                }
                Err(error) => {
                    count_exchange("failed");
                    log::debug!(peer:% = exchange.address, error:%; "heartbeat failed");
                    node.control.discard(exchange.address);
                    MembershipMsg::Failed(exchange)
                }
            };
            let _ = myself.cast(message);
        });
    }

    /// Passes on what a peer knows of, and whether it holds it.
    fn announce(&self, gossip: &Gossip) {
        // A stamp that this node has confirmed to know is not repeated; its version tells.
        let head = self.membership.head();
        let known = (head.version == gossip.version).then_some(head);
        let Some(stamp) = gossip.announce.or(known) else {
            return;
        };
        let holds = stamp.version > Version::NONE && stamp.version <= gossip.version;
        let announced = ConfigurationMsg::Announced {
            stamp,
            holder: self.peer(gossip.from).filter(|_| holds),
        };
        // The actor is gone only while the process ends.
        let _ = self.configuration.cast(announced);
    }

    fn peer(&self, node: NodeId) -> Option<Peer> {
        Some(Peer {
            node,
            address: self.membership.address_of(node)?,
            distance: self.membership.distance_to(node)?,
        })
    }

    /// Tells the configuration actor what this node's part is, when it changes.
    fn tell_role(&mut self) {
        let neighbours = self.membership.neighbours();
        let role = Role {
            gateway_rank: self.membership.gateway_rank(),
            watcher_rank: self.membership.watcher_rank(),
            neighbours: neighbours.filter_map(|(node, _)| self.peer(node)).collect(),
            witnessed: self.membership.acknowledged_version(),
            alone: self.membership.is_alone(),
            last_in_data_centre: self.membership.is_only_node_of_data_centre(),
        };
        let leads = self.leads();
        self.node.leads.send_if_modified(|known| {
            let changed = *known != leads;
            *known = leads;
            changed
        });
        if role != self.role {
            self.role = role.clone();
            let _ = self.configuration.cast(ConfigurationMsg::Role(role));
        }
    }

    fn leads(&self) -> Leads {
        let ranked = self.membership.leads();
        let own_rank = ranked.iter().position(|node| *node == self.node.proxy.me);
        let before = &ranked[..own_rank.unwrap_or(ranked.len())];
        Leads {
            higher_ranked: before.iter().filter_map(|node| self.peer(*node)).collect(),
            is_lead: own_rank.is_some(),
            is_only_data_centre: self.membership.is_only_data_centre(),
        }
    }

    async fn say_goodbye(&mut self, now_ms: u64) {
        let mut goodbyes = tokio::task::JoinSet::new();
        for exchange in self.membership.tick(now_ms) {
            if let Some(mut client) = self.node.control.client(exchange.address) {
                // A neighbour that does not hear it finds out by its own heartbeat.
                goodbyes.spawn(async move { client.exchange(&exchange.gossip).await });
            }
        }
        goodbyes.join_all().await;
    }

    /// Gives requests a new copy of the view, if it changed and the last one is not too young;
    /// the next tick makes up for it then.
    fn publish(&mut self, now_ms: u64) {
        let generation = self.membership.generation();
        let young = now_ms.saturating_sub(self.published_ms) < VIEW_PAUSE_MS;
        if generation == self.published_generation || (young && self.published_generation > 0) {
            return;
        }
        self.published_generation = generation;
        self.published_ms = now_ms;
        let neighbours = self.membership.neighbours();
        let mut wanted: BTreeSet<SocketAddr> = neighbours
            .filter_map(|(node, _)| self.membership.address_of(node))
            .collect();
        wanted.extend(self.leads().higher_ranked.iter().map(|lead| lead.address));
        self.node.control.retain(&wanted);
        metrics::gauge!("dragonflywall_neighbours").set(wanted.len() as f64);
        let members = self.membership.members_with_versions();
        let mut view = View::new(members, self.node.proxy.me, &self.node.proxy.settings.place);
        view.data_centres = self.membership.summaries();
        metrics::gauge!("dragonflywall_members_alive").set(view.alive() as f64);
        changes::log_liveness(
            &self.node.proxy.decisions,
            &self.node.proxy.view.load(),
            &view,
        );
        self.node.proxy.view.store(Arc::new(view));
        self.node.proxy.refresh_retries();
    }
}

fn count_exchange(result: &'static str) {
    metrics::counter!("dragonflywall_gossip_exchanges_total", "result" => result).increment(1);
}
