//! A simulated network of membership state machines in one thread and in virtual time, without
//! sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use dragonflywall::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId, Place};
use dragonflywall::core::names::{DataCentreName, RegionName, ServiceName};
use dragonflywall::core::version::{Digest, Stamp, Version};
use dragonflywall::membership::link::MIN_UPDATE_INTERVAL_MS;
use dragonflywall::membership::{Exchange, Gossip, Membership, Timing};

/// Interval between two ticks of a node.
pub(crate) const TICK_MS: u64 = 250;
const TIMEOUT_MS: u64 = 1_000;

enum Event {
    Tick(usize),
    Wake(usize),
    Request(usize, SocketAddr, Exchange),
    Answer(usize, Exchange, Gossip),
    Failure(usize, Exchange),
}

/// Decides whether a message from one node to another is delivered. The number identifies the
/// message.
type MessageFilter = Box<dyn Fn(&Member, &Member, u64) -> bool>;

/// The nodes, the messages in flight, and the virtual time.
pub(crate) struct TestNetwork {
    pub(crate) nodes: Vec<Option<Membership>>,
    pub(crate) records: Vec<Member>,
    pub(crate) now_ms: u64,
    /// Number of exchanges started so far.
    pub(crate) exchanges: u64,
    /// Number of member records delivered so far.
    pub(crate) records_sent: u64,
    /// Number of member records delivered from one region to another so far.
    pub(crate) cross_region_records: u64,
    frozen: BTreeSet<usize>,
    wake_scheduled: BTreeSet<usize>,
    filter: MessageFilter,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
}

pub(crate) fn stamp(version: u64) -> Stamp {
    Stamp {
        version: Version(version),
        digest: Digest::compute(&version.to_be_bytes()),
    }
}

impl TestNetwork {
    /// Creates six data centres in two regions. Each node has the next three as seeds.
    pub(crate) fn new(per_data_centre: u8) -> Self {
        let mut network = Self {
            nodes: Vec::new(),
            records: Vec::new(),
            now_ms: 1_000,
            exchanges: 0,
            records_sent: 0,
            cross_region_records: 0,
            frozen: BTreeSet::new(),
            wake_scheduled: BTreeSet::new(),
            filter: Box::new(|_, _, _| true),
            events: BTreeMap::new(),
            scheduled: 0,
        };
        for data_centre in 0..6 {
            for number in 0..per_data_centre {
                let member = member_record(data_centre, number);
                network.records.push(member);
            }
        }
        for position in 0..network.records.len() {
            network.nodes.push(None);
            let phase_ms = network.now_ms + position as u64 * 7 % TICK_MS;
            network.schedule(phase_ms, Event::Tick(position));
            network.start(position);
        }
        network
    }

    /// Starts a node without any state from an earlier run.
    pub(crate) fn start(&mut self, position: usize) {
        let count = self.records.len();
        let seeds = (1..=3).map(|step| self.records[(position + step) % count].external);
        let member = self.records[position].clone();
        let membership = Membership::new(member, seeds.collect(), Timing::default());
        self.nodes[position] = Some(membership);
    }

    pub(crate) fn stop(&mut self, position: usize) {
        self.nodes[position] = None;
    }

    /// Lets a node leave, send the messages that are then due, and end.
    pub(crate) fn leave(&mut self, position: usize) {
        self.node(position).leave();
        self.tick(position);
        self.stop(position);
    }

    pub(crate) fn freeze(&mut self, position: usize) {
        self.frozen.insert(position);
    }

    /// Resumes a frozen process. The exchanges that it had in flight when it was frozen then fail.
    pub(crate) fn resume(&mut self, position: usize) {
        self.frozen.remove(&position);
    }

    pub(crate) fn set_filter(&mut self, filter: impl Fn(&Member, &Member, u64) -> bool + 'static) {
        self.filter = Box::new(filter);
    }

    pub(crate) fn node(&mut self, position: usize) -> &mut Membership {
        self.nodes[position].as_mut().expect("the node runs")
    }

    pub(crate) fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(entry) = self.events.first_entry() {
            let (at_ms, _) = *entry.key();
            if at_ms > end_ms {
                break;
            }
            let event = entry.remove();
            self.now_ms = at_ms;
            let event = match event {
                // Delivered after the process resumes, when the exchange has already timed out.
                Event::Answer(position, sent, _) | Event::Failure(position, sent)
                    if self.frozen.contains(&position) =>
                {
                    self.schedule(at_ms + 10, Event::Failure(position, sent));
                    continue;
                }
                event => event,
            };
            self.handle(event);
        }
        self.now_ms = end_ms;
    }

    /// Runs until `condition` holds, and returns how long that took. Panics with `what` if it takes
    /// longer than `limit_ms`.
    pub(crate) fn run_until(
        &mut self,
        what: &str,
        limit_ms: u64,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> u64 {
        let begin_ms = self.now_ms;
        while !condition(self) {
            assert!(
                self.now_ms - begin_ms < limit_ms,
                "timed out: {what}; live nodes by view: {:?}",
                self.running()
                    .map(|n| alive_nodes(n).len())
                    .collect::<Vec<_>>()
            );
            self.run_for(10);
        }
        self.now_ms - begin_ms
    }

    /// Whether every running node considers exactly the running nodes alive.
    pub(crate) fn has_converged(&self) -> bool {
        let running: BTreeSet<NodeId> = self
            .running()
            .map(|node| node.local_member().node)
            .collect();
        self.running().all(|node| alive_nodes(node) == running)
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Membership> {
        self.nodes.iter().flatten()
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at_ms, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(position) => {
                self.schedule(self.now_ms + TICK_MS, Event::Tick(position));
                self.tick(position);
            }
            Event::Wake(position) => {
                self.wake_scheduled.remove(&position);
                self.tick(position);
            }
            Event::Request(from, to, exchange) => self.request(from, to, exchange),
            Event::Answer(position, sent, answer) => {
                let now_ms = self.now_ms;
                if self.is_up(position) {
                    self.node(position).exchange_done(now_ms, &sent, &answer);
                    self.tick(position);
                }
            }
            Event::Failure(position, sent) => {
                let now_ms = self.now_ms;
                if self.is_up(position) {
                    self.node(position).exchange_failed(now_ms, &sent);
                    self.tick(position);
                }
            }
        }
    }

    fn is_up(&self, position: usize) -> bool {
        self.nodes[position].is_some() && !self.frozen.contains(&position)
    }

    /// Sends the exchanges of a node that are due, as its driver does after each message.
    pub(crate) fn tick(&mut self, position: usize) {
        if !self.is_up(position) {
            return;
        }
        let now_ms = self.now_ms;
        for exchange in self.node(position).tick(now_ms) {
            self.exchanges += 1;
            let delay_ms = 1;
            let event = Event::Request(position, exchange.address, exchange);
            self.schedule(now_ms + delay_ms, event);
        }
        if self.node(position).has_deferred_updates(now_ms) && self.wake_scheduled.insert(position)
        {
            self.schedule(now_ms + MIN_UPDATE_INTERVAL_MS, Event::Wake(position));
        }
    }

    fn request(&mut self, from: usize, address: SocketAddr, exchange: Exchange) {
        let to = self
            .records
            .iter()
            .position(|member| member.node.0 == address || member.external == address)
            .expect("every address belongs to a node");
        let sender = &self.records[from];
        let receiver = &self.records[to];
        let is_cross_region = sender.place.region != receiver.place.region;
        let delay_ms = if is_cross_region { 20 } else { 1 };
        let request_passes = (self.filter)(sender, receiver, self.scheduled);
        let answer_passes = (self.filter)(receiver, sender, self.scheduled + 1);
        if self.nodes[to].is_none() {
            self.schedule(self.now_ms + delay_ms, Event::Failure(from, exchange));
            return;
        }
        if !request_passes || self.frozen.contains(&to) {
            self.schedule(self.now_ms + TIMEOUT_MS, Event::Failure(from, exchange));
            return;
        }
        self.now_ms += delay_ms;
        let now_ms = self.now_ms;
        let answer = self.node(to).receive(now_ms, &exchange.gossip);
        self.now_ms -= delay_ms;
        let records = (exchange.gossip.updates.len() + answer.updates.len()) as u64;
        self.records_sent += records;
        self.cross_region_records += if is_cross_region { records } else { 0 };
        let event = match answer_passes {
            true => Event::Answer(from, exchange, answer),
            false => Event::Failure(from, exchange),
        };
        let wait_ms = if answer_passes {
            2 * delay_ms
        } else {
            TIMEOUT_MS
        };
        self.schedule(self.now_ms + wait_ms, event);
        self.tick(to);
    }
}

/// The nodes that are alive in the view of `node`.
pub(crate) fn alive_nodes(node: &Membership) -> BTreeSet<NodeId> {
    node.members()
        .filter(|member| member.liveness == Liveness::Alive)
        .map(|member| member.node)
        .collect()
}

fn member_record(data_centre: u8, number: u8) -> Member {
    let node = SocketAddr::from((Ipv4Addr::new(10, 0, data_centre, number), 7000));
    let external = SocketAddr::from((Ipv4Addr::new(192, 168, data_centre, number), 7000));
    let region = if data_centre < 3 { "norte" } else { "sul" };
    Member {
        node: NodeId(node),
        external,
        place: Place {
            region: RegionName::new(region),
            data_centre: DataCentreName::new(format!("dc-{data_centre}")),
        },
        incarnation_us: 1_000_000,
        sequence: 1,
        liveness: Liveness::Alive,
        service: Some(ServiceName::new("tablon")),
        backend: BackendState::Serving,
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::default(),
        enforced: Version::NONE,
    }
}
