//! The actor that distributes and enforces configurations on this node. It makes the network calls and provides the
//! time for the state machines [`Holder`], [`Fetcher`] and [`Floor`].
//!
//! - The head is the newest accepted version. A stamp identifies a version by its number and digest.
//! - A node holds a version once it has the content, and enforces it once requests are routed by it. In between, peers
//!   may have to acknowledge the version.
//! - The floor is the lowest version that this node may enforce. It keeps a restarted node from enforcing an older
//!   version than before its restart.

mod head;
mod peers;
mod version_metrics;
mod versions;

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::Notify;

use self::head::FIRST_HEAD_POLL_SPREAD_MS;
use crate::core::configuration::Configuration;
use crate::core::version::{Stamp, Version};
use crate::decide::freeze::Epoch;
use crate::distribution::fetch::Peer;
use crate::distribution::{Fetch, Fetcher, Floor, Holder, Offer, Refresh, floor};
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::peer::client::FloorAnswer;
use crate::store::http::HttpStore;

/// Interval of the check for floor queries, refreshes and head reads that are due. Content is handled without
/// waiting for it.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two messages from which the process counts as paused. It is shorter than that of a freeze: a pause has no
/// consequence but that time limits do not run on in it.
const PAUSE_MIN_MS: u64 = 1_000;

/// Interval between two rounds of floor queries to the neighbours.
const FLOOR_QUERY_INTERVAL_MS: u64 = 500;

/// Time after the start from which a node that has found no peer counts as alone. Its first contacts with peers take
/// a moment, and a node that counts as alone enforces versions without acknowledgement by a peer.
const ALONE_AFTER_MS: u64 = 3_000;

/// The role of this node in the mesh, as the membership actor computes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Role {
    /// Position among the gateways of the region, which fetch content from other regions and from the store earlier
    /// than other nodes do; the gateway with rank 0 fetches first.
    pub(crate) gateway_rank: Option<usize>,
    /// Position among the watchers of the data centre. The watcher with rank 0 polls the head row more often than
    /// other nodes.
    pub(crate) watcher_rank: Option<usize>,
    pub(crate) neighbours: Vec<Peer>,
    /// Highest version of this node that enough peers have acknowledged. They keep a record of it in case this node
    /// restarts.
    pub(crate) acknowledged_version: Version,
    /// Whether no other node is known to be alive.
    pub(crate) alone: bool,
    /// Whether no other node of the data centre is known, alive or dead, except nodes that have left.
    pub(crate) only_node_of_data_centre: bool,
}

#[derive(Debug)]
pub(crate) enum ConfigurationMsg {
    Tick,
    /// The time for which the fetcher scheduled its next action has come.
    FetchDue,
    /// A version was announced by gossip, or by a hint of the `publish` command. `holder` is the sender if it holds the
    /// content.
    Announced {
        stamp: Stamp,
        holder: Option<Peer>,
    },
    /// A fetch has ended. `base_version` is the version that was held when it started.
    Fetched {
        fetch: Fetch,
        base_version: Version,
        offer: Option<Offer>,
    },
    /// A read of the head row has ended; `head` is none if it failed.
    HeadRead {
        head: Option<Stamp>,
        took_ms: u64,
        /// The epoch in which the read started.
        asked_in: Epoch,
    },
    /// A read of the configuration feed has succeeded. `configuration` is none if there is no new version.
    StoreRead {
        configuration: Option<Box<Configuration>>,
        /// Time from the last successful read to the start of this one. A version that only this read returns was
        /// accepted after the last one.
        last_read_age_ms: u64,
        /// The epoch in which the read started.
        asked_in: Epoch,
    },
    /// A read of the configuration feed has failed.
    StoreReadFailed,
    /// The lead of this data centre has sent a version newer than `base_version`.
    LeadOffer {
        offer: Offer,
        base_version: Version,
        /// Whether the lead has read the store recently enough for its version to be the head.
        is_current: bool,
    },
    /// A peer has answered a floor query.
    FloorAnswered {
        peer: Peer,
        answer: FloorAnswer,
        /// The epoch in which the query was sent.
        asked_in: Epoch,
    },
    /// The process was frozen and must refresh its configuration before it admits requests.
    Refresh,
    SetRole(Role),
    /// Returns the content of the version held, nothing if it is not newer than the given one.
    GetOffer(Version, RpcReplyPort<Option<Offer>>),
    /// Returns the stamp of the enforced version.
    GetEnforced(RpcReplyPort<Stamp>),
    /// Sets the membership actor, which receives every version held and enforced.
    SetMembership(ActorRef<MembershipMsg>),
}

/// Where accepted configurations come from.
#[derive(Clone, Debug)]
pub(crate) enum ConfigurationOrigin {
    /// Versions are published by the `publish` command. Nodes read the head from this store, and get new versions
    /// from peers too.
    Published(HttpStore),
    /// Operators write each configuration into the store as a whole, and [`crate::node::follower`] follows these.
    /// A notification makes it abort the read in progress and read again.
    Feed(Arc<Notify>),
}

pub(crate) struct ConfigurationActor;

pub(crate) struct State {
    node: Arc<NodeState>,
    origin: ConfigurationOrigin,
    holder: Holder,
    fetcher: Fetcher,
    /// Estimate of when the version held was accepted, rather too early than too late, in milliseconds since the
    /// process started.
    held_accepted_ms: u64,
    /// Longest time from the acceptance of a version to its enforcement, since the process started.
    max_enforcement_age_ms: u64,
    floor: Floor,
    role: Role,
    refresh: Option<Refresh>,
    /// When the last message was handled.
    last_handled_ms: u64,
    next_head_poll_ms: u64,
    /// Whether a read of the head row is in progress.
    reading_head: bool,
    store_available: bool,
    /// Time of the next scheduled [`ConfigurationMsg::FetchDue`].
    scheduled_fetch_ms: Option<u64>,
    /// Newest held version that was sent to the membership actor, which announces it to peers.
    announced_held_version: Version,
    /// Time of the last round of floor queries.
    floor_queried_ms: Option<u64>,
    membership: Option<ActorRef<MembershipMsg>>,
}

fn new_fetcher(node: &NodeState, origin: &ConfigurationOrigin) -> Fetcher {
    match origin {
        ConfigurationOrigin::Published(_) => Fetcher::new(node.proxy.local_id),
        ConfigurationOrigin::Feed(_) => {
            Fetcher::for_follower(node.proxy.local_id, node.budget().peer_fetch_delay_ms())
        }
    }
}

impl Actor for ConfigurationActor {
    type Msg = ConfigurationMsg;
    type State = State;
    type Arguments = (Arc<NodeState>, ConfigurationOrigin);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (node, origin): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || ConfigurationMsg::Tick);
        let now_ms = node.proxy.uptime_ms();
        let version_source = match origin {
            ConfigurationOrigin::Published(_) => floor::VersionSource::Acknowledged,
            ConfigurationOrigin::Feed(_) => floor::VersionSource::Followed,
        };
        Ok(State {
            fetcher: new_fetcher(&node, &origin),
            node,
            origin,
            holder: Holder::default(),
            held_accepted_ms: now_ms,
            max_enforcement_age_ms: 0,
            floor: Floor::new(now_ms, version_source),
            role: Role::default(),
            refresh: None,
            last_handled_ms: now_ms,
            next_head_poll_ms: now_ms + rand::random_range(0..FIRST_HEAD_POLL_SPREAD_MS),
            reading_head: false,
            store_available: true,
            scheduled_fetch_ms: None,
            announced_held_version: Version::NONE,
            floor_queried_ms: None,
            membership: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now_ms = state.node.proxy.uptime_ms();
        state.detect_pause(now_ms);
        match message {
            ConfigurationMsg::Tick => state.handle_tick(&myself, now_ms),
            ConfigurationMsg::FetchDue => state.scheduled_fetch_ms = None,
            ConfigurationMsg::Announced { stamp, holder } => {
                state.handle_announced(now_ms, stamp, holder);
            }
            ConfigurationMsg::Fetched {
                fetch,
                base_version,
                offer,
            } => {
                state.handle_fetched(now_ms, &fetch, base_version, offer);
            }
            ConfigurationMsg::HeadRead {
                head,
                took_ms,
                asked_in,
            } => state.handle_head_read(now_ms, head, took_ms, asked_in),
            ConfigurationMsg::StoreRead {
                configuration,
                last_read_age_ms,
                asked_in,
            } => {
                state.record_refresh_read(asked_in);
                state.handle_store_read(now_ms, configuration, last_read_age_ms);
            }
            ConfigurationMsg::StoreReadFailed => state.record_store_read(false),
            ConfigurationMsg::LeadOffer {
                offer,
                base_version,
                is_current,
            } => state.handle_lead_offer(now_ms, &offer, base_version, is_current),
            ConfigurationMsg::FloorAnswered {
                peer,
                answer,
                asked_in,
            } => state.handle_floor_answer(now_ms, peer, &answer, asked_in),
            ConfigurationMsg::Refresh => state.begin_refresh(&myself, now_ms),
            ConfigurationMsg::SetRole(role) => state.set_role(now_ms, role),
            ConfigurationMsg::GetOffer(base_version, reply) => {
                let _ = reply.send(state.offer_newer_than(now_ms, base_version));
            }
            ConfigurationMsg::GetEnforced(reply) => {
                let _ = reply.send(state.holder.stamp());
            }
            ConfigurationMsg::SetMembership(membership) => state.membership = Some(membership),
        }
        state.enforce_held(now_ms);
        state.start_fetch(&myself, now_ms);
        state.try_end_refresh(now_ms);
        Ok(())
    }
}

impl State {
    /// Detects a pause of the process, after which the first messages are handled before the answers that arrived in it.
    fn detect_pause(&mut self, now_ms: u64) {
        let paused_ms = now_ms.saturating_sub(self.last_handled_ms);
        self.last_handled_ms = now_ms;
        if paused_ms < PAUSE_MIN_MS {
            return;
        }
        self.floor.record_pause(paused_ms);
        if let Some(refresh) = &mut self.refresh {
            refresh.record_pause(paused_ms);
        }
    }

    fn handle_tick(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        if let Some(age_ms) = self.node.proxy.store_age_ms() {
            metrics::gauge!("dragonflywall_store_age_seconds").set(age_ms as f64 / 1_000.0);
        }
        self.set_gateway_rank(now_ms);
        if now_ms >= self.next_head_poll_ms {
            self.next_head_poll_ms = now_ms + self.head_poll_pause_ms();
            self.start_head_read(myself);
        }
        let is_recent = |queried_ms| now_ms < queried_ms + FLOOR_QUERY_INTERVAL_MS;
        let recently_queried = self.floor_queried_ms.is_some_and(is_recent);
        let has_neighbours = !self.role.neighbours.is_empty();
        if has_neighbours && !recently_queried && !self.floor.is_settled(now_ms) {
            self.floor_queried_ms = Some(now_ms);
            self.query_floor(myself);
        }
    }

    fn set_role(&mut self, now_ms: u64, role: Role) {
        let previous_ranks = (self.role.gateway_rank, self.role.watcher_rank);
        self.role = role;
        self.floor
            .set_only_node_of_data_centre(self.role.only_node_of_data_centre);
        if previous_ranks != (self.role.gateway_rank, self.role.watcher_rank) {
            self.set_gateway_rank(now_ms);
            self.next_head_poll_ms = self
                .next_head_poll_ms
                .min(now_ms + self.head_poll_pause_ms());
        }
    }

    fn handle_announced(&mut self, now_ms: u64, stamp: Stamp, holder: Option<Peer>) {
        let held = self.holder.held().version;
        if stamp.version > held.max(self.fetcher.head().version) {
            version_metrics::log_announced(stamp.version, holder.map(|peer| peer.node), held);
        }
        self.holder.note_announced(stamp);
        match holder {
            Some(peer) => self.fetcher.note_holder(now_ms, stamp, peer),
            None => self.fetcher.note_head(now_ms, stamp),
        }
    }

    /// Records that the store answered a read that started in the epoch `asked_in`.
    fn record_refresh_read(&mut self, asked_in: Epoch) {
        if let Some(refresh) = &mut self.refresh {
            refresh.record_store_read(asked_in);
        }
    }

    /// Logs the start and the end of an outage of the platform, but not each failed read.
    fn record_store_read(&mut self, store_answered: bool) {
        match (self.store_available, store_answered) {
            (true, false) => log::warn!("the platform does not answer; what is enforced stays"),
            (false, true) => log::info!("the platform answers again"),
            _ => (),
        }
        self.store_available = store_answered;
    }

    /// Enforces the version held, if it is not below the floor and enough peers have acknowledged it. While the floor
    /// is unknown or above the version held, readiness checks report that.
    fn enforce_held(&mut self, now_ms: u64) {
        let newest = self.holder.held().version;
        let replace_held = |held: &mut Version| std::mem::replace(held, newest) != newest;
        self.node.held_version.send_if_modified(replace_held);
        if !self.floor.is_settled(now_ms) {
            self.node.blocked_reason.store(Arc::new(Some(
                "it is not known yet which version this address has enforced before",
            )));
            return;
        }
        self.holder.raise_floor(self.floor.version());
        let below = self.holder.held().version < self.holder.floor();
        let reason = below.then_some("no peer and no store has a version at or above the floor");
        self.node.blocked_reason.store(Arc::new(reason));
        let Some(stamp) = self.holder.enforceable() else {
            return;
        };
        if self.announced_held_version < stamp.version {
            self.announced_held_version = stamp.version;
            self.send_to_membership(MembershipMsg::SetHeld(stamp));
        }
        if !self.is_acknowledged(now_ms, stamp) {
            return;
        }
        if let Some(applied) = self.holder.enforce() {
            let age_ms = self.held_age_ms(now_ms);
            version_metrics::record_enforced(stamp, age_ms);
            // A version accepted before this process started is not measured: it was enforced elsewhere already.
            if self.held_accepted_ms > 0 {
                self.max_enforcement_age_ms = self.max_enforcement_age_ms.max(age_ms);
                version_metrics::record_enforcement_age(age_ms, self.max_enforcement_age_ms);
            }
            self.node.proxy.enforce(applied);
            self.send_to_membership(MembershipMsg::SetEnforced(stamp.version));
        }
    }

    /// Whether enough peers have acknowledged that this node is about to enforce the version. A restarted node queries
    /// its peers for their record of it, so that it never enforces an older version than before.
    fn is_acknowledged(&self, now_ms: u64, stamp: Stamp) -> bool {
        match self.origin {
            ConfigurationOrigin::Published(_) => {
                let alone = self.role.alone && now_ms >= ALONE_AFTER_MS;
                self.role.acknowledged_version >= stamp.version || alone
            }
            // No acknowledgement is needed: the row in the store is at least as new as any enforced version, and a
            // restarted node reads it first.
            ConfigurationOrigin::Feed(_) => true,
        }
    }

    fn send_to_membership(&self, message: MembershipMsg) {
        if let Some(membership) = &self.membership {
            // Sending fails only while the process is shutting down.
            let _ = membership.cast(message);
        }
    }
}
