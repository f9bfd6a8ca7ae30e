//! The actor that drives [`Holder`], [`Fetcher`] and [`Floor`]: their sockets and their time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::Notify;

use crate::core::configuration::Configuration;
use crate::core::member::{Distance, NodeId};
use crate::core::version::{Stamp, Version};
use crate::distribution::fetch::Peer;
use crate::distribution::{Content, Fetch, Fetcher, Floor, Holder, Offer, floor, holder};
use crate::node::learning::{self, Learnt, Way};
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::node::{content, store};
use crate::store::http::HttpStore;
use crate::util::clock;

/// How often floors, refreshes and head reads are looked after. Content does not wait for it.
const TICK: Duration = Duration::from_millis(250);

/// How often the head is read as the backstop of hints and gossip: by the region's first gateway,
/// by the watcher of each data centre, and by everybody else. At 520 nodes that is about ten reads
/// a second; a lost hint costs a second or two, and nobody depends on one node's reading it.
const GATEWAY_POLL_MS: u64 = 2_000;
const WATCHER_POLL_MS: u64 = 10_000;
const MEMBER_POLL_MS: u64 = 120_000;
/// Until the first read has worked, which settles the floor.
const FIRST_POLL_MS: u64 = 1_000;
/// First reads of a herd of 520 are spread over this.
const FIRST_POLL_SPREAD_MS: u64 = 1_000;

/// A read that takes this long crosses no regional link and meets no slow platform. One that takes
/// longer is made less often, up to [`FAR_FACTOR_MAX`] times: the link is paid for by volume, a
/// slow platform needs rest, and the region nearest the platform hears of a version anyway.
const NEAR_READ_MS: u64 = 5;
const FAR_FACTOR_MAX: u64 = 8;

/// Between two rounds of questions about the floor.
const ASK_FLOOR_MS: u64 = 500;

/// A node that knows no peer takes itself for alone only after so long: its greetings take a
/// moment, and alone it would enforce without a witness.
const ALONE_MS: u64 = 3_000;

/// Before this age a node that knows nobody leaves the store to others: in a herd everybody is
/// the only member of its own view for a moment, and so its first gateway.
const YOUNG_MS: u64 = 1_500;

/// Longest time that a node woken from a freeze refuses work. Peers answer in milliseconds; one
/// that is cut off serves what it has.
const REFRESH_MAX_MS: u64 = 2_000;
/// Peers whose word ends a refresh, unless the head itself was read.
const REFRESH_PEERS: usize = 2;

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

/// A refresh under way.
#[derive(Debug)]
struct Refresh {
    until_ms: u64,
    peers: Vec<NodeId>,
    head_read: bool,
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
        Origin::Written(_) => Fetcher::followed(node.proxy.me, node.budget().hold_ms()),
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
            Origin::Published(_) => floor::Origin::Witnessed,
            Origin::Written(_) => floor::Origin::Followed,
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

    fn poll_pause_ms(&self) -> u64 {
        if self.holder.stamp() == Stamp::NONE {
            return rand::random_range(FIRST_POLL_MS / 2..=FIRST_POLL_MS);
        }
        let for_others_ms = self.node.budget().head_poll_ms();
        let (pause_ms, longest_ms) = match (self.role.gateway_rank, self.role.watcher_rank) {
            (Some(0), _) => (GATEWAY_POLL_MS, for_others_ms),
            (_, Some(0)) => (WATCHER_POLL_MS, for_others_ms),
            _ => (MEMBER_POLL_MS, MEMBER_POLL_MS),
        };
        let factor = self.fetcher.store_distance_ms() / NEAR_READ_MS;
        let pause_ms = pause_ms * factor.clamp(1, FAR_FACTOR_MAX);
        let pause_ms = pause_ms.min(longest_ms);
        rand::random_range(pause_ms / 2..=pause_ms)
    }

    fn set_role(&mut self, now_ms: u64, role: Role) {
        let was = (self.role.gateway_rank, self.role.watcher_rank);
        self.role = role;
        self.floor
            .set_last_in_data_centre(self.role.last_in_data_centre);
        if was != (self.role.gateway_rank, self.role.watcher_rank) {
            self.set_gateway_rank(now_ms);
            self.next_poll_ms = self.next_poll_ms.min(now_ms + self.poll_pause_ms());
        }
    }

    fn set_gateway_rank(&mut self, now_ms: u64) {
        let young = self.role.alone && now_ms < YOUNG_MS;
        let rank = self.role.gateway_rank.filter(|_| !young);
        self.fetcher.set_gateway_rank(rank);
    }

    fn announced(&mut self, now_ms: u64, stamp: Stamp, holder: Option<Peer>) {
        let held = self.holder.held().version;
        if stamp.version > held.max(self.fetcher.head().version) {
            learning::heard(stamp.version, holder.map(|peer| peer.node), held);
        }
        self.holder.announce(stamp);
        match holder {
            Some(peer) => self.fetcher.held_by(now_ms, stamp, peer),
            None => self.fetcher.heard(now_ms, stamp),
        }
    }

    fn read_head(&mut self, myself: &ActorRef<ConfigurationMsg>) {
        let Origin::Published(store) = &self.origin else {
            return;
        };
        if std::mem::replace(&mut self.reading_head, true) {
            return;
        }
        let platform = store.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let (head, took_ms) = store::head(&platform).await;
            let _ = myself.cast(ConfigurationMsg::HeadRead { head, took_ms });
        });
    }

    fn head_read(&mut self, now_ms: u64, head: Option<Stamp>, took_ms: u64) {
        self.reading_head = false;
        self.note_store(head.is_some());
        let Some(head) = head else { return };
        self.fetcher.store_answered(took_ms);
        self.floor.head_read(head.version);
        if let Some(refresh) = &mut self.refresh {
            refresh.head_read = true;
        }
        self.announced(now_ms, head, None);
        self.tell(MembershipMsg::Head(head));
    }

    /// Takes in what the store told. A configuration older than the one held is refused by the holder.
    fn written(
        &mut self,
        now_ms: u64,
        configuration: Option<Box<Configuration>>,
        unwatched_ms: u64,
    ) {
        self.note_store(true);
        if let Some(refresh) = &mut self.refresh {
            refresh.head_read = true;
        }
        let Some(configuration) = configuration else {
            return;
        };
        let version = configuration.version;
        self.floor.head_read(version);
        self.fetcher.source_told(now_ms, version);
        if version <= self.holder.held().version {
            return;
        }
        match self.holder.prepare_whole(*configuration) {
            Ok(applied) => {
                self.learnt(now_ms, applied.stamp.version, Way::Store, unwatched_ms);
                self.announced(now_ms, applied.stamp, None);
                self.tell(MembershipMsg::Head(applied.stamp));
            }
            Err(error) => self.refused(version, &error),
        }
    }

    fn led(&mut self, now_ms: u64, offer: &Offer, have: Version) {
        let stamp = offer.stamp;
        self.fetcher.source_told(now_ms, stamp.version);
        if self.prepare(now_ms, offer, have, Way::Lead) {
            self.floor.head_read(stamp.version);
            self.announced(now_ms, stamp, None);
            self.tell(MembershipMsg::Head(stamp));
        }
    }

    fn refused(&self, version: Version, error: &holder::Error) {
        log::warn!(version = version.0, error:? = error; "refused a configuration");
        metrics::counter!("dragonflywall_refused_content_total").increment(1);
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

    fn ask_floor(&mut self, myself: &ActorRef<ConfigurationMsg>) {
        for peer in self.role.neighbours.clone() {
            if peer.distance == Distance::DataCentre {
                self.floor.asked(peer.node);
            }
            let Some(mut client) = self.node.control.client(peer.address) else {
                continue;
            };
            let me = self.node.proxy.me;
            let myself = myself.clone();
            tokio::spawn(async move {
                if let Ok((reported, enforced)) = client.floor(me).await {
                    let _ = myself.cast(ConfigurationMsg::FloorAnswered {
                        peer,
                        reported,
                        enforced,
                    });
                }
            });
        }
    }

    fn floor_answered(&mut self, now_ms: u64, peer: Peer, reported: Version, enforced: Stamp) {
        let (node, distance) = (peer.node, peer.distance);
        self.floor
            .answered(node, distance, reported, enforced.version);
        if enforced.version > Version::NONE {
            self.announced(now_ms, enforced, Some(peer));
        }
        if let Some(refresh) = &mut self.refresh
            && !refresh.peers.contains(&peer.node)
        {
            refresh.peers.push(peer.node);
        }
    }

    fn begin_refresh(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        self.refresh = Some(Refresh {
            until_ms: now_ms + REFRESH_MAX_MS,
            peers: Vec::new(),
            head_read: false,
        });
        self.fetcher.woke(now_ms);
        self.reading_head = false;
        match &self.origin {
            Origin::Published(_) => self.read_head(myself),
            Origin::Written(again) => again.notify_one(),
        }
        self.ask_floor(myself);
    }

    /// The refresh ends once what was heard from peers or the platform is in force here, or when
    /// its time is up.
    fn end_refresh(&mut self, now_ms: u64) {
        let Some(refresh) = &self.refresh else { return };
        let heard = refresh.head_read || refresh.peers.len() >= REFRESH_PEERS;
        let caught_up = self.holder.stamp().version >= self.fetcher.head().version;
        if (heard && caught_up) || now_ms >= refresh.until_ms {
            self.refresh = None;
            self.node.proxy.refreshing.store(false, Ordering::Release);
            log::info!(caught_up; "admits work again");
        }
    }

    fn fetch(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        let held = self.holder.held();
        if let Some(fetch) = self.fetcher.next(now_ms, held.version) {
            let node = Arc::clone(&self.node);
            let origin = self.origin.clone();
            let myself = myself.clone();
            tokio::spawn(async move {
                let found = content::fetch(&node, &origin, held, &fetch).await;
                let have = held.version;
                let _ = myself.cast(ConfigurationMsg::Fetched { fetch, have, found });
            });
            return;
        }
        let Some(wake_ms) = self.fetcher.wake_at(held.version) else {
            return;
        };
        if self.woken_for_ms.is_none_or(|already| wake_ms < already) {
            self.woken_for_ms = Some(wake_ms);
            let pause = Duration::from_millis(wake_ms.saturating_sub(now_ms).max(1));
            myself.send_after(pause, || ConfigurationMsg::Wake);
        }
    }

    fn fetched(&mut self, now_ms: u64, fetch: &Fetch, have: Version, found: Option<Offer>) {
        let way = Way::from(&fetch.source);
        let source = way.as_str();
        let prepared = found.is_some_and(|offer| self.prepare(now_ms, &offer, have, way));
        let result = if prepared { "used" } else { "failed" };
        metrics::counter!("dragonflywall_fetches_total", "source" => source, "result" => result)
            .increment(1);
        self.fetcher.done(now_ms, fetch, prepared);
    }

    /// Whether the version is held now. `have` was held when its content was asked for.
    fn prepare(&mut self, now_ms: u64, offer: &Offer, have: Version, way: Way) -> bool {
        let Offer {
            stamp,
            content,
            age_ms,
        } = offer;
        let bytes = content.len_bytes() as u64;
        metrics::counter!("dragonflywall_fetched_bytes_total", "source" => way.as_str())
            .increment(bytes);
        let held = self.holder.held().version;
        if stamp.version <= held {
            // It came another way meanwhile.
            return true;
        }
        if held != have && !matches!(content, Content::Snapshot(_)) {
            // Differences from what was held then; whoever follows asks again for those from now.
            log::debug!(version = stamp.version.0, have = have.0, held = held.0; "differences from an older version");
            return false;
        }
        match self.holder.prepare(*stamp, content) {
            Ok(_) => self.learnt(now_ms, stamp.version, way, *age_ms),
            Err(error) => {
                self.refused(stamp.version, &error);
                return false;
            }
        }
        true
    }

    /// The content of a version that was accepted `age_ms` ago, or earlier, is held now.
    fn learnt(&mut self, now_ms: u64, version: Version, way: Way, age_ms: u64) {
        let heard_ms = self.fetcher.heard_at_ms(version).unwrap_or(now_ms);
        self.held_accepted_ms = heard_ms.min(now_ms.saturating_sub(age_ms));
        learning::learnt(&Learnt {
            version,
            way,
            heard_ms: now_ms.saturating_sub(heard_ms),
            age_ms: self.held_age_ms(now_ms),
        });
    }

    fn held_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.held_accepted_ms)
    }

    /// What a peer that holds `have` gets.
    fn offer(&self, now_ms: u64, have: Version) -> Option<Offer> {
        let (stamp, content) = self.holder.content_for(have)?;
        let age_ms = self.held_age_ms(now_ms);
        Some(Offer {
            stamp,
            content,
            age_ms,
        })
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
