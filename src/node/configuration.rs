//! The actor that drives [`Holder`], [`Fetcher`] and [`Floor`]: their sockets and their time.

mod head;
mod peers;
mod version_metrics;
mod versions;

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::Notify;

use self::head::FIRST_HEAD_POLL_SPREAD_MS;
use self::peers::Refresh;
use crate::core::configuration::Configuration;
use crate::core::version::{Stamp, Version};
use crate::distribution::fetch::Peer;
use crate::distribution::{Fetch, Fetcher, Floor, Holder, Offer, floor};
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::store::http::HttpStore;
use crate::util::clock;

/// How often floors, refreshes and head reads are looked after. Content does not wait for it.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Between two rounds of questions about the floor.
const FLOOR_QUERY_INTERVAL_MS: u64 = 500;

/// A node that knows no peer takes itself for alone only after so long: its greetings take a
/// moment, and alone it would enforce without a witness.
const ALONE_AFTER_MS: u64 = 3_000;

/// What this node's part in the mesh is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Role {
    pub(crate) gateway_rank: Option<usize>,
    pub(crate) watcher_rank: Option<usize>,
    pub(crate) neighbours: Vec<Peer>,
    /// Highest own version that a peer has confirmed to have heard.
    pub(crate) witnessed_version: Version,
    pub(crate) alone: bool,
    /// Nobody knows of another node in the data centre, alive or dead.
    pub(crate) last_in_data_centre: bool,
}

#[derive(Debug)]
pub(crate) enum ConfigurationMsg {
    Tick,
    /// The fetcher's next moment may have come.
    FetchDue,
    /// Somebody knows of this version, or holds it.
    Announced {
        stamp: Stamp,
        holder: Option<Peer>,
    },
    /// A fetch ended that was made while `base_version` was held.
    Fetched {
        fetch: Fetch,
        base_version: Version,
        found: Option<Offer>,
    },
    /// The head row was read, or not.
    HeadRead {
        head: Option<Stamp>,
        took_ms: u64,
    },
    /// The store was read: a configuration that was written into it as a whole, if there is news.
    StoreRead {
        configuration: Option<Box<Configuration>>,
        /// How old the store's last word was when the read began.
        last_read_age_ms: u64,
    },
    /// The store could not be read.
    StoreReadFailed,
    /// The node that reads the store for this data centre handed on a version newer than `base_version`.
    LeadOffer {
        offer: Offer,
        base_version: Version,
    },
    /// A peer told what it remembers of this node, and what it enforces.
    FloorAnswered {
        peer: Peer,
        reported: Version,
        enforced: Stamp,
    },
    /// The process was frozen until now.
    Refresh,
    SetRole(Role),
    GetOffer(Version, RpcReplyPort<Option<Offer>>),
    GetEnforced(RpcReplyPort<Stamp>),
    /// The membership actor is there; it is told of every version held and enforced.
    SetMembership(ActorRef<MembershipMsg>),
}

/// Where accepted configurations come from.
#[derive(Clone, Debug)]
pub(crate) enum ConfigurationOrigin {
    /// Published by the product's own command; the head is read here and heard of from peers.
    Published(HttpStore),
    /// Written by operators as a whole, and followed by [`crate::node::follower`], which gives up what is
    /// under way and asks anew when it is notified.
    Feed(Arc<Notify>),
}

pub(crate) struct ConfigurationActor;

pub(crate) struct State {
    node: Arc<NodeState>,
    origin: ConfigurationOrigin,
    holder: Holder,
    fetcher: Fetcher,
    /// When the version held was accepted, as far as clocks and answers tell.
    held_accepted_ms: u64,
    /// Longest time from a version's acceptance to its enforcement.
    max_enforcement_age_ms: u64,
    floor: Floor,
    role: Role,
    refresh: Option<Refresh>,
    next_head_poll_ms: u64,
    reading_head: bool,
    store_available: bool,
    scheduled_fetch_ms: Option<u64>,
    announced_held_version: Version,
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
        let now_ms = clock::since_ms(node.proxy.started);
        let floor_origin = match origin {
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
            floor: Floor::new(now_ms, floor_origin),
            role: Role::default(),
            refresh: None,
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
        let now_ms = clock::since_ms(state.node.proxy.started);
        match message {
            ConfigurationMsg::Tick => state.handle_tick(&myself, now_ms),
            ConfigurationMsg::FetchDue => state.scheduled_fetch_ms = None,
            ConfigurationMsg::Announced { stamp, holder } => {
                state.handle_announced(now_ms, stamp, holder);
            }
            ConfigurationMsg::Fetched {
                fetch,
                base_version,
                found,
            } => {
                state.handle_fetched(now_ms, &fetch, base_version, found);
            }
            ConfigurationMsg::HeadRead { head, took_ms } => {
                state.handle_head_read(now_ms, head, took_ms)
            }
            ConfigurationMsg::StoreRead {
                configuration,
                last_read_age_ms,
            } => state.handle_store_read(now_ms, configuration, last_read_age_ms),
            ConfigurationMsg::StoreReadFailed => state.record_store_read(false),
            ConfigurationMsg::LeadOffer {
                offer,
                base_version,
            } => state.handle_lead_offer(now_ms, &offer, base_version),
            ConfigurationMsg::FloorAnswered {
                peer,
                reported,
                enforced,
            } => state.handle_floor_answer(now_ms, peer, reported, enforced),
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
            .set_only_node_of_data_centre(self.role.last_in_data_centre);
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
            version_metrics::log_heard(stamp.version, holder.map(|peer| peer.node), held);
        }
        self.holder.note_announced(stamp);
        match holder {
            Some(peer) => self.fetcher.note_holder(now_ms, stamp, peer),
            None => self.fetcher.note_head(now_ms, stamp),
        }
    }

    /// Logs the beginning and the end of an outage, not each failed read.
    fn record_store_read(&mut self, store_answered: bool) {
        match (self.store_available, store_answered) {
            (true, false) => log::warn!("the platform does not answer; what is enforced stays"),
            (false, true) => log::info!("the platform answers again"),
            _ => (),
        }
        self.store_available = store_answered;
    }

    /// Enforces what is held once the floor is settled and a peer remembers it.
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
        let why = below.then_some("no peer and no store has a version at or above the floor");
        self.node.blocked_reason.store(Arc::new(why));
        let Some(stamp) = self.holder.enforceable() else {
            return;
        };
        if self.announced_held_version < stamp.version {
            self.announced_held_version = stamp.version;
            self.send_to_membership(MembershipMsg::SetHeld(stamp));
        }
        if !self.is_witnessed(now_ms, stamp) {
            return;
        }
        if let Some(applied) = self.holder.enforce() {
            let age_ms = self.held_age_ms(now_ms);
            version_metrics::record_enforced(stamp, age_ms);
            // One from before the start was in force elsewhere all the while.
            if self.held_accepted_ms > 0 {
                self.max_enforcement_age_ms = self.max_enforcement_age_ms.max(age_ms);
                version_metrics::record_enforcement_age(age_ms, self.max_enforcement_age_ms);
            }
            self.node.proxy.enforced.store(Some(applied));
            self.node.proxy.update_slot_limits();
            self.send_to_membership(MembershipMsg::SetEnforced(stamp.version));
        }
    }

    /// Whether a version may be enforced as far as it has to be remembered by others.
    fn is_witnessed(&self, now_ms: u64, stamp: Stamp) -> bool {
        match self.origin {
            ConfigurationOrigin::Published(_) => {
                let alone = self.role.alone && now_ms >= ALONE_AFTER_MS;
                self.role.witnessed_version >= stamp.version || alone
            }
            // The store's own row is newer than anything that was ever enforced, and is read first
            // after a restart.
            ConfigurationOrigin::Feed(_) => true,
        }
    }

    fn send_to_membership(&self, message: MembershipMsg) {
        if let Some(membership) = &self.membership {
            // The actor is gone only while the process ends.
            let _ = membership.cast(message);
        }
    }
}
