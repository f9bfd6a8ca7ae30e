//! The actor that drives [`Holder`], [`Fetcher`] and [`Floor`]: their sockets and their time.

mod head;
mod learning;
mod peers;
mod versions;

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::Notify;

use self::head::FIRST_POLL_SPREAD_MS;
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
const TICK: Duration = Duration::from_millis(250);

/// Between two rounds of questions about the floor.
const ASK_FLOOR_MS: u64 = 500;

/// A node that knows no peer takes itself for alone only after so long: its greetings take a
/// moment, and alone it would enforce without a witness.
const ALONE_MS: u64 = 3_000;

/// What this node's part in the mesh is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Role {
    pub(crate) gateway_rank: Option<usize>,
    pub(crate) watcher_rank: Option<usize>,
    pub(crate) neighbours: Vec<Peer>,
    /// Highest own version that a peer has confirmed to have heard.
    pub(crate) witnessed: Version,
    pub(crate) alone: bool,
    /// Nobody knows of another node in the data centre, alive or dead.
    pub(crate) last_in_data_centre: bool,
}

#[derive(Debug)]
pub(crate) enum ConfigurationMsg {
    Tick,
    /// The fetcher's next moment may have come.
    Wake,
    /// Somebody knows of this version, or holds it.
    Announced {
        stamp: Stamp,
        holder: Option<Peer>,
    },
    /// A fetch ended that was made while `have` was held.
    Fetched {
        fetch: Fetch,
        have: Version,
        found: Option<Offer>,
    },
    /// The head row was read, or not.
    HeadRead {
        head: Option<Stamp>,
        took_ms: u64,
    },
    /// The store was read: a configuration that was written into it as a whole, if there is news.
    Written {
        configuration: Option<Box<Configuration>>,
        /// How old the store's last word was when the read began.
        unwatched_ms: u64,
    },
    /// The store could not be read.
    NotRead,
    /// The node that reads the store for this data centre handed on a version newer than `have`.
    FromLead {
        offer: Offer,
        have: Version,
    },
    /// A peer told what it remembers of this node, and what it enforces.
    FloorAnswered {
        peer: Peer,
        reported: Version,
        enforced: Stamp,
    },
    /// The process was frozen until now.
    Refresh,
    Role(Role),
    Offer(Version, RpcReplyPort<Option<Offer>>),
    Enforced(RpcReplyPort<Stamp>),
    /// The membership actor is there; it is told of every version held and enforced.
    Membership(ActorRef<MembershipMsg>),
}

/// Where accepted configurations come from.
#[derive(Clone, Debug)]
pub(crate) enum Origin {
    /// Published by the product's own command; the head is read here and heard of from peers.
    Published(HttpStore),
    /// Written by operators as a whole, and followed by [`crate::node::follower`], which gives up what is
    /// under way and asks anew when it is notified.
    Written(Arc<Notify>),
}

pub(crate) struct ConfigurationActor;

pub(crate) struct State {
    node: Arc<NodeState>,
    origin: Origin,
    holder: Holder,
    fetcher: Fetcher,
    /// When the version held was accepted, as far as clocks and answers tell.
    held_accepted_ms: u64,
    /// Longest time from a version's acceptance to its enforcement.
    longest_age_ms: u64,
    floor: Floor,
    role: Role,
    refresh: Option<Refresh>,
    next_poll_ms: u64,
    reading_head: bool,
    store_answers: bool,
    woken_for_ms: Option<u64>,
    told_held: Version,
    floor_asked_ms: Option<u64>,
    membership: Option<ActorRef<MembershipMsg>>,
}

fn fetcher(node: &NodeState, origin: &Origin) -> Fetcher {
    match origin {
        Origin::Published(_) => Fetcher::new(node.proxy.me),
        Origin::Written(_) => {
            Fetcher::for_follower(node.proxy.me, node.budget().peer_fetch_delay_ms())
        }
    }
}

impl Actor for ConfigurationActor {
    type Msg = ConfigurationMsg;
    type State = State;
    type Arguments = (Arc<NodeState>, Origin);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (node, origin): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK, || ConfigurationMsg::Tick);
        let now_ms = clock::since_ms(node.proxy.started);
        let floor_origin = match origin {
            Origin::Published(_) => floor::VersionSource::Acknowledged,
            Origin::Written(_) => floor::VersionSource::Followed,
        };
        Ok(State {
            fetcher: fetcher(&node, &origin),
            node,
            origin,
            holder: Holder::default(),
            held_accepted_ms: now_ms,
            longest_age_ms: 0,
            floor: Floor::new(now_ms, floor_origin),
            role: Role::default(),
            refresh: None,
            next_poll_ms: now_ms + rand::random_range(0..FIRST_POLL_SPREAD_MS),
            reading_head: false,
            store_answers: true,
            woken_for_ms: None,
            told_held: Version::NONE,
            floor_asked_ms: None,
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
            ConfigurationMsg::Tick => state.tick(&myself, now_ms),
            ConfigurationMsg::Wake => state.woken_for_ms = None,
            ConfigurationMsg::Announced { stamp, holder } => {
                state.announced(now_ms, stamp, holder);
            }
            ConfigurationMsg::Fetched { fetch, have, found } => {
                state.fetched(now_ms, &fetch, have, found);
            }
            ConfigurationMsg::HeadRead { head, took_ms } => state.head_read(now_ms, head, took_ms),
            ConfigurationMsg::Written {
                configuration,
                unwatched_ms,
            } => state.written(now_ms, configuration, unwatched_ms),
            ConfigurationMsg::NotRead => state.note_store(false),
            ConfigurationMsg::FromLead { offer, have } => state.led(now_ms, &offer, have),
            ConfigurationMsg::FloorAnswered {
                peer,
                reported,
                enforced,
            } => state.floor_answered(now_ms, peer, reported, enforced),
            ConfigurationMsg::Refresh => state.begin_refresh(&myself, now_ms),
            ConfigurationMsg::Role(role) => state.set_role(now_ms, role),
            ConfigurationMsg::Offer(have, reply) => {
                let _ = reply.send(state.offer(now_ms, have));
            }
            ConfigurationMsg::Enforced(reply) => {
                let _ = reply.send(state.holder.stamp());
            }
            ConfigurationMsg::Membership(membership) => state.membership = Some(membership),
        }
        state.enforce(now_ms);
        state.fetch(&myself, now_ms);
        state.end_refresh(now_ms);
        Ok(())
    }
}

impl State {
    fn tick(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        if let Some(age_ms) = self.node.proxy.store_age_ms() {
            metrics::gauge!("dragonflywall_store_age_seconds").set(age_ms as f64 / 1_000.0);
        }
        self.set_gateway_rank(now_ms);
        if now_ms >= self.next_poll_ms {
            self.next_poll_ms = now_ms + self.poll_pause_ms();
            self.read_head(myself);
        }
        let lately = |asked_ms| now_ms < asked_ms + ASK_FLOOR_MS;
        let asked_lately = self.floor_asked_ms.is_some_and(lately);
        let has_neighbours = !self.role.neighbours.is_empty();
        if has_neighbours && !asked_lately && !self.floor.is_settled(now_ms) {
            self.floor_asked_ms = Some(now_ms);
            self.ask_floor(myself);
        }
    }

    fn set_role(&mut self, now_ms: u64, role: Role) {
        let was = (self.role.gateway_rank, self.role.watcher_rank);
        self.role = role;
        self.floor
            .set_only_node_of_data_centre(self.role.last_in_data_centre);
        if was != (self.role.gateway_rank, self.role.watcher_rank) {
            self.set_gateway_rank(now_ms);
            self.next_poll_ms = self.next_poll_ms.min(now_ms + self.poll_pause_ms());
        }
    }

    fn announced(&mut self, now_ms: u64, stamp: Stamp, holder: Option<Peer>) {
        let held = self.holder.held().version;
        if stamp.version > held.max(self.fetcher.head().version) {
            learning::heard(stamp.version, holder.map(|peer| peer.node), held);
        }
        self.holder.note_announced(stamp);
        match holder {
            Some(peer) => self.fetcher.note_holder(now_ms, stamp, peer),
            None => self.fetcher.note_head(now_ms, stamp),
        }
    }

    /// Logs the beginning and the end of an outage, not each failed read.
    fn note_store(&mut self, answers: bool) {
        match (self.store_answers, answers) {
            (true, false) => log::warn!("the platform does not answer; what is enforced stays"),
            (false, true) => log::info!("the platform answers again"),
            _ => (),
        }
        self.store_answers = answers;
    }

    /// Enforces what is held once the floor is settled and a peer remembers it.
    fn enforce(&mut self, now_ms: u64) {
        let newest = self.holder.held().version;
        let tell = |held: &mut Version| std::mem::replace(held, newest) != newest;
        self.node.held.send_if_modified(tell);
        if !self.floor.is_settled(now_ms) {
            self.node.waiting.store(Arc::new(Some(
                "it is not known yet which version this address has enforced before",
            )));
            return;
        }
        self.holder.raise_floor(self.floor.version());
        let below = self.holder.held().version < self.holder.floor();
        let why = below.then_some("no peer and no store has a version at or above the floor");
        self.node.waiting.store(Arc::new(why));
        let Some(stamp) = self.holder.enforceable() else {
            return;
        };
        if self.told_held < stamp.version {
            self.told_held = stamp.version;
            self.tell(MembershipMsg::SetHeld(stamp));
        }
        if !self.is_witnessed(now_ms, stamp) {
            return;
        }
        if let Some(applied) = self.holder.enforce() {
            let age_ms = self.held_age_ms(now_ms);
            learning::enforced(stamp, age_ms);
            // One from before the start was in force elsewhere all the while.
            if self.held_accepted_ms > 0 {
                self.longest_age_ms = self.longest_age_ms.max(age_ms);
                learning::measure(age_ms, self.longest_age_ms);
            }
            self.node.proxy.enforced.store(Some(applied));
            self.node.proxy.refresh_slots();
            self.tell(MembershipMsg::SetEnforced(stamp.version));
        }
    }

    /// Whether a version may be enforced as far as it has to be remembered by others.
    fn is_witnessed(&self, now_ms: u64, stamp: Stamp) -> bool {
        match self.origin {
            Origin::Published(_) => {
                let alone = self.role.alone && now_ms >= ALONE_MS;
                self.role.witnessed >= stamp.version || alone
            }
            // The store's own row is newer than anything that was ever enforced, and is read first
            // after a restart.
            Origin::Written(_) => true,
        }
    }

    fn tell(&self, message: MembershipMsg) {
        if let Some(membership) = &self.membership {
            // The actor is gone only while the process ends.
            let _ = membership.cast(message);
        }
    }
}
