//! The actor that owns the [`Membership`] state machine and runs its gossip exchanges with peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::core::member::{BackendRecord, Member, NodeId};
use crate::core::version::{Stamp, Version};
use crate::distribution::fetch::Peer;
use crate::distribution::lead_choice::Leads;
use crate::membership::link::MIN_UPDATE_INTERVAL_MS;
use crate::membership::{Exchange, Gossip, Membership, Timing};
use crate::node::configuration::{ConfigurationMsg, Role};
use crate::node::liveness_log;
use crate::node::state::NodeState;
use crate::proxy::view::MembershipView;

/// Interval of the check for heartbeats and suspicions that are due. New information is sent without waiting for it.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two copies of the view for requests. A burst of changes, such as a simultaneous restart of
/// many nodes, causes one copy instead of hundreds. A draining backend server still disappears from the view without
/// a noticeable delay.
const MIN_VIEW_INTERVAL_MS: u64 = 50;

#[derive(Debug)]
pub(crate) enum MembershipMsg {
    Tick,
    /// Deferred information may be sent now.
    SendDeferred,
    /// A peer sent gossip; the reply is this node's gossip.
    Receive(Gossip, RpcReplyPort<Gossip>),
    /// A peer answered an exchange that this node started.
    ExchangeAnswered(Exchange, Gossip),
    /// A peer did not answer an exchange that this node started.
    ExchangeFailed(Exchange),
    AddSeeds(Vec<SocketAddr>),
    SetBackend(BackendRecord),
    /// The known orders or states of roll-outs have changed.
    RolloutsChanged,
    /// The version of this stamp was accepted, according to a hint or to the head row in the store.
    SetHead(Stamp),
    /// This node holds the content of this version and is about to enforce it.
    SetHeld(Stamp),
    SetEnforced(Version),
    /// Returns the highest version that the given node has reported, also before a restart. A restarted node
    /// asks its peers for it, since it stores nothing on disk.
    GetReportedVersion(NodeId, RpcReplyPort<Version>),
    /// Announces to the neighbours that this node leaves, and replies once these exchanges have ended.
    Leave(RpcReplyPort<()>),
}

pub(crate) struct MembershipActor;

pub(crate) struct Arguments {
    pub(crate) node: Arc<NodeState>,
    pub(crate) local_member: Member,
    pub(crate) configuration: ActorRef<ConfigurationMsg>,
}

pub(crate) struct State {
    node: Arc<NodeState>,
    membership: Membership,
    configuration: ActorRef<ConfigurationMsg>,
    /// Generation of the membership view that was last published for requests.
    published_view_generation: u64,
    view_published_ms: u64,
    /// Whether a [`MembershipMsg::SendDeferred`] is scheduled.
    send_scheduled: bool,
    role: Role,
    /// State of the membership of which `role` and the leads are.
    role_basis: RoleBasis,
}

/// What the role and the leads of a node depend on. Finding them takes a hash of each member, so it is done only when this
/// changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RoleBasis {
    generation: u64,
    acknowledged_version: Version,
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
        myself.send_interval(TICK_INTERVAL, || MembershipMsg::Tick);
        let seeds = arguments.node.proxy.settings.peer_seeds.clone();
        Ok(State {
            membership: Membership::new(arguments.local_member, seeds, Timing::default()),
            node: arguments.node,
            configuration: arguments.configuration,
            published_view_generation: 0,
            view_published_ms: 0,
            send_scheduled: false,
            role: Role::default(),
            role_basis: RoleBasis::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now_ms = state.node.proxy.uptime_ms();
        match message {
            MembershipMsg::Tick => (),
            MembershipMsg::SendDeferred => state.send_scheduled = false,
            MembershipMsg::Receive(gossip, reply) => {
                state.merge_rollouts(&gossip);
                let answer = state.membership.receive(now_ms, &gossip);
                // If the peer has timed out, it gets the same information with the next heartbeat.
                let _ = reply.send(answer);
                state.forward_announcement(&gossip);
            }
            MembershipMsg::ExchangeAnswered(sent, answer) => {
                state.merge_rollouts(&answer);
                state.membership.exchange_done(now_ms, &sent, &answer);
                state.forward_announcement(&answer);
            }
            MembershipMsg::ExchangeFailed(sent) => state.membership.exchange_failed(now_ms, &sent),
            MembershipMsg::AddSeeds(seeds) => state.membership.add_seeds(seeds),
            MembershipMsg::SetBackend(backend) => state.membership.set_backend(backend),
            // The new book is passed on below, with every message.
            MembershipMsg::RolloutsChanged => (),
            MembershipMsg::SetHead(stamp) => state.membership.set_head(stamp),
            MembershipMsg::SetHeld(stamp) => state.membership.set_held(stamp),
            MembershipMsg::SetEnforced(version) => state.membership.set_enforced(version),
            MembershipMsg::GetReportedVersion(node, reply) => {
                let _ = reply.send(state.membership.highest_reported(node));
            }
            MembershipMsg::Leave(reply) => {
                state.membership.leave();
                state.announce_leave(now_ms).await;
                let _ = reply.send(());
            }
        }
        state.membership.set_rollouts(state.node.rollouts());
        for exchange in state.membership.tick(now_ms) {
            state.start_exchange(&myself, exchange);
        }
        if state.membership.has_deferred_updates(now_ms)
            && !std::mem::replace(&mut state.send_scheduled, true)
        {
            let pause = Duration::from_millis(MIN_UPDATE_INTERVAL_MS);
            myself.send_after(pause, || MembershipMsg::SendDeferred);
        }
        state.update_role();
        state.publish_view(now_ms);
        Ok(())
    }
}

impl State {
    fn start_exchange(&self, myself: &ActorRef<MembershipMsg>, exchange: Exchange) {
        let Some(mut client) = self.node.control_pool.client(exchange.address) else {
            return;
        };
        let myself = myself.clone();
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let message = match client.exchange(&exchange.gossip).await {
                Ok(answer) => {
                    count_exchange("answered");
                    MembershipMsg::ExchangeAnswered(exchange, answer)
                }
                Err(error) => {
                    count_exchange("failed");
                    log::debug!(peer:% = exchange.address, error:%; "gossip exchange failed");
                    node.control_pool.discard(exchange.address);
                    MembershipMsg::ExchangeFailed(exchange)
                }
            };
            let _ = myself.cast(message);
        });
    }

    /// Passes the version that a peer announces to the configuration actor, with the peer as a holder of its
    /// content if it has that.
    fn forward_announcement(&self, gossip: &Gossip) {
        // A peer omits the stamp once this node has confirmed it. The version number then identifies it.
        let head = self.membership.head();
        let shared_head = (head.version == gossip.version).then_some(head);
        let Some(stamp) = gossip.announce.or(shared_head) else {
            return;
        };
        let holds = stamp.version > Version::NONE && stamp.version <= gossip.version;
        let announced = ConfigurationMsg::Announced {
            stamp,
            holder: self.peer(gossip.from).filter(|_| holds),
        };
        // Sending fails only while the process is shutting down.
        let _ = self.configuration.cast(announced);
    }

    /// Merges the orders and states of roll-outs that a peer sent, before the answer to it is made.
    fn merge_rollouts(&mut self, gossip: &Gossip) {
        if let Some(rollouts) = &gossip.rollouts {
            self.node.merge_rollouts(rollouts);
            self.membership.set_rollouts(self.node.rollouts());
        }
    }

    fn peer(&self, node: NodeId) -> Option<Peer> {
        Some(Peer {
            node,
            address: self.membership.address_of(node)?,
            distance: self.membership.distance_to(node)?,
        })
    }

    /// Recomputes the role and the leads of this node if the membership has changed. Sends the role to the configuration
    /// actor if that has changed.
    fn update_role(&mut self) {
        let basis = RoleBasis {
            generation: self.membership.generation(),
            acknowledged_version: self.membership.acknowledged_version(),
        };
        if std::mem::replace(&mut self.role_basis, basis) == basis {
            return;
        }
        let neighbours = self.membership.neighbours();
        let role = Role {
            gateway_rank: self.membership.gateway_rank(),
            watcher_rank: self.membership.watcher_rank(),
            neighbours: neighbours.filter_map(|(node, _)| self.peer(node)).collect(),
            acknowledged_version: self.membership.acknowledged_version(),
            alone: self.membership.is_alone(),
            only_node_of_data_centre: self.membership.is_only_node_of_data_centre(),
        };
        let leads = self.leads();
        self.node.leads.send_if_modified(|stored| {
            let changed = *stored != leads;
            *stored = leads;
            changed
        });
        if role != self.role {
            self.role = role.clone();
            let _ = self.configuration.cast(ConfigurationMsg::SetRole(role));
        }
    }

    fn leads(&self) -> Leads {
        let ranked = self.membership.leads();
        let own_rank = ranked
            .iter()
            .position(|node| *node == self.node.proxy.local_id);
        let before = &ranked[..own_rank.unwrap_or(ranked.len())];
        let after = own_rank.map_or(&[][..], |own_rank| &ranked[own_rank + 1..]);
        Leads {
            lower_ranked: after.iter().filter_map(|node| self.peer(*node)).collect(),
            higher_ranked: before.iter().filter_map(|node| self.peer(*node)).collect(),
            is_lead: own_rank.is_some(),
            is_only_data_centre: self.membership.is_only_data_centre(),
        }
    }

    async fn announce_leave(&mut self, now_ms: u64) {
        let mut exchanges = tokio::task::JoinSet::new();
        for exchange in self.membership.tick(now_ms) {
            if let Some(mut client) = self.node.control_pool.client(exchange.address) {
                // A neighbour that is not reached detects the departure by its own heartbeat.
                exchanges.spawn(async move { client.exchange(&exchange.gossip).await });
            }
        }
        exchanges.join_all().await;
    }

    /// Publishes a copy of the membership view for requests if it has changed. Within [`MIN_VIEW_INTERVAL_MS`] of
    /// the last copy it does nothing, and the next message or tick publishes the change.
    fn publish_view(&mut self, now_ms: u64) {
        let generation = self.membership.generation();
        let is_recent = now_ms.saturating_sub(self.view_published_ms) < MIN_VIEW_INTERVAL_MS;
        if generation == self.published_view_generation
            || (is_recent && self.published_view_generation > 0)
        {
            return;
        }
        self.published_view_generation = generation;
        self.view_published_ms = now_ms;
        let neighbours = self.membership.neighbours();
        let mut peer_addresses: BTreeSet<SocketAddr> = neighbours
            .filter_map(|(node, _)| self.membership.address_of(node))
            .collect();
        let leads = self.leads();
        peer_addresses.extend(leads.higher_ranked.iter().map(|lead| lead.address));
        if self.node.proxy.settings.key_freshness_ms.is_some() {
            peer_addresses.extend(leads.lower_ranked.iter().map(|lead| lead.address));
        }
        peer_addresses.extend(self.node.quota_peers());
        self.node.control_pool.retain(&peer_addresses);
        metrics::gauge!("dragonflywall_neighbours").set(peer_addresses.len() as f64);
        let members = self.membership.members_with_versions();
        let mut view = MembershipView::new(
            members,
            self.node.proxy.local_id,
            &self.node.proxy.settings.place,
        );
        view.data_centres = self.membership.summaries();
        metrics::gauge!("dragonflywall_members_alive").set(view.alive_count() as f64);
        liveness_log::log_liveness(
            &self.node.proxy.log_limiter,
            &self.node.proxy.view.load(),
            &view,
        );
        self.node.proxy.set_view(view);
        self.node.proxy.update_retry_policy();
    }
}

fn count_exchange(result: &'static str) {
    metrics::counter!("dragonflywall_gossip_exchanges_total", "result" => result).increment(1);
}
