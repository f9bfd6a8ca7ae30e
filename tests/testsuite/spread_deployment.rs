//! A deployment in virtual time: who follows whom, and what gossip brings.
//!
//! Nodes take the product's decisions ([`LeadChoice`], [`Fetcher`]); the store and the processes fail as they
//! are told to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

use dragonflywall::core::member::{Distance, NodeId};
use dragonflywall::core::version::Version;
use dragonflywall::distribution::fetch::Peer;
use dragonflywall::distribution::lead_choice::{Ask, LeadChoice, LeadState, Leads, StoreFailure};
use dragonflywall::distribution::{Budget, Fetch, Fetcher, Source};
use dragonflywall::membership::link::NEWS_PAUSE_MS;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::spread_network::stamp;

const BUDGET: Budget = Budget::new(2_500);
const LEADS: usize = 3;
/// Answers of the store, without the way there.
const STORE_MS: u64 = 4;

/// What the store does to one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trouble {
    #[default]
    None,
    /// Every call is refused.
    Refused,
    /// No call is answered.
    Silent,
    /// The connections of now are never answered, new ones are.
    OldConnections,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Store(Trouble),
    /// The process is gone, and stays so.
    Killed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    Accept,
    Due(u64),
    Fault(usize),
    FaultEnds(usize),
    StoreAnswers {
        at: usize,
        asked: u64,
        version: Option<u64>,
    },
    StoreFails {
        at: usize,
        asked: u64,
        silent: bool,
    },
    Asked {
        lead: usize,
        by: usize,
        asked: u64,
        have: u64,
        until_ms: u64,
    },
    WaitEnds {
        lead: usize,
        asked: u64,
    },
    LeadAnswers {
        at: usize,
        asked: u64,
        lead: usize,
        held: u64,
        age_ms: u64,
        blind: bool,
    },
    LeadSilent {
        at: usize,
        asked: u64,
        lead: usize,
    },
    Gossip {
        to: usize,
        from: usize,
        head: u64,
        held: u64,
    },
    Fetched {
        at: usize,
        number: u64,
        held: Option<u64>,
    },
    Wake(usize),
}

struct Waiter {
    by: usize,
    asked: u64,
    have: u64,
}

struct Process {
    up: bool,
    trouble: Trouble,
    choice: LeadChoice,
    fetcher: Fetcher,
    fetching: Option<(u64, Fetch)>,
    held: u64,
    head: u64,
    /// Numbers what it asks of a lead or the store; answers to earlier questions are void.
    asked: u64,
    /// A read of the store is under way since then.
    reading_since_ms: Option<u64>,
    store_read_ms: u64,
    waiters: Vec<Waiter>,
}

pub(crate) struct Deployment {
    data_centres: usize,
    per_data_centre: usize,
    now_ms: u64,
    accepted: u64,
    /// Least and most time between two versions.
    pub(crate) gap_ms: (u64, u64),
    until_ms: u64,
    processes: Vec<Process>,
    faults: Vec<(usize, Fault)>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
}

fn node(at: usize) -> NodeId {
    let port = u16::try_from(at + 1).expect("few nodes");
    NodeId(SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port)))
}

/// Place among the gateways of a region, for the node at a place of the region's first data centre.
fn gateway_rank(number: usize) -> Option<usize> {
    number.checked_sub(1).filter(|rank| *rank < 2)
}

fn position(node: NodeId) -> usize {
    usize::from(node.0.port()) - 1
}

impl Deployment {
    pub(crate) fn new(data_centres: usize, per_data_centre: usize, seed: u64) -> Self {
        let mut deployment = Self {
            data_centres,
            per_data_centre,
            now_ms: 10_000,
            accepted: 1,
            gap_ms: (100, 250),
            until_ms: 40_000,
            processes: Vec::new(),
            faults: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for at in 0..data_centres * per_data_centre {
            deployment.processes.push(deployment.process(at));
            deployment.after(0, Event::Step(at));
        }
        deployment.after(1_000, Event::Accept);
        deployment
    }

    fn process(&self, at: usize) -> Process {
        let mut process = Process {
            up: true,
            trouble: Trouble::None,
            choice: LeadChoice::default(),
            fetcher: Fetcher::followed(node(at), BUDGET.hold_ms()),
            fetching: None,
            held: 1,
            head: 1,
            asked: 0,
            reading_since_ms: None,
            store_read_ms: self.now_ms,
            waiters: Vec::new(),
        };
        process.choice.store_answered();
        if self.is_first_of_region(at) {
            let rank = gateway_rank(at % self.per_data_centre);
            process.fetcher.set_gateway_rank(rank);
        }
        process
    }

    fn place(&self, at: usize) -> usize {
        at / self.per_data_centre
    }

    fn is_first_of_region(&self, at: usize) -> bool {
        self.place(at).is_multiple_of(2)
    }

    /// Two data centres form a region.
    fn distance(&self, one: usize, other: usize) -> Distance {
        let (one, other) = (self.place(one), self.place(other));
        match (one == other, one / 2 == other / 2) {
            (true, _) => Distance::DataCentre,
            (_, true) => Distance::Region,
            _ => Distance::Mesh,
        }
    }

    fn latency_ms(&self, one: usize, other: usize) -> u64 {
        match self.distance(one, other) {
            Distance::DataCentre | Distance::Region => 1,
            Distance::Mesh => 20,
        }
    }

    /// The store stands in the first region.
    fn store_ms(&self, at: usize) -> u64 {
        STORE_MS + 2 * self.latency_ms(0, at)
    }

    fn peer(&self, from: usize, at: usize) -> Peer {
        Peer {
            node: node(at),
            address: node(at).0,
            distance: self.distance(from, at),
        }
    }

    /// All of the data centre, two bridges to the other one of the region, and two pairs between regions.
    fn neighbours(&self, at: usize) -> Vec<usize> {
        let is_neighbour = |other: &usize| {
            let rank = (at % self.per_data_centre, other % self.per_data_centre);
            match self.distance(at, *other) {
                Distance::DataCentre => *other != at,
                Distance::Region => rank.0 == rank.1 && rank.0 < 2,
                Distance::Mesh => {
                    gateway_rank(rank.0).is_some()
                        && rank.0 == rank.1
                        && self.is_first_of_region(at)
                        && self.is_first_of_region(*other)
                }
            }
        };
        (0..self.processes.len()).filter(is_neighbour).collect()
    }

    fn leads(&self, at: usize) -> Leads {
        let first = self.place(at) * self.per_data_centre;
        let alive = (first..first + self.per_data_centre).filter(|other| self.processes[*other].up);
        let ranked: Vec<usize> = alive.take(LEADS).collect();
        let own = ranked.iter().position(|lead| *lead == at);
        let before = &ranked[..own.unwrap_or(ranked.len())];
        Leads {
            before: before.iter().map(|lead| self.peer(at, *lead)).collect(),
            own: own.is_some(),
            alone: self.data_centres == 1,
        }
    }

    fn after(&mut self, pause_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + pause_ms;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    /// Lets `fault` strike `at` after a time, for a time.
    pub(crate) fn strike(&mut self, after_ms: u64, for_ms: u64, at: usize, fault: Fault) {
        let number = self.faults.len();
        self.faults.push((at, fault));
        self.after(after_ms, Event::Fault(number));
        self.after(after_ms + for_ms, Event::FaultEnds(number));
    }

    /// Runs to the end; the versions that were late, with the node.
    pub(crate) fn run(mut self) -> Vec<(u64, usize)> {
        let mut late = Vec::new();
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            self.now_ms = now_ms;
            if now_ms > self.until_ms + 2 * BUDGET.apply_ms() {
                break;
            }
            match event {
                Event::Due(version) => {
                    let behind = self.processes.iter().enumerate();
                    let behind = behind.filter(|(_, node)| node.up && node.held < version);
                    late.extend(behind.map(|(at, _)| (version, at)));
                }
                event => self.handle(event),
            }
        }
        late
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Due(_) => (),
            Event::Step(at) => self.step(at),
            Event::Accept => self.accept(),
            Event::Fault(number) => self.fault(number),
            Event::FaultEnds(number) => self.fault_ends(number),
            Event::StoreAnswers { at, asked, version } => self.store_answers(at, asked, version),
            Event::StoreFails { at, asked, silent } => self.store_fails(at, asked, silent),
            Event::Asked {
                lead,
                by,
                asked,
                have,
                until_ms,
            } => {
                self.lead_asked(lead, Waiter { by, asked, have }, until_ms);
            }
            Event::WaitEnds { lead, asked } => {
                self.answer_waiters(lead, |waiter| waiter.asked == asked)
            }
            Event::LeadAnswers {
                at,
                asked,
                lead,
                held,
                age_ms,
                blind,
            } => {
                if self.is_current(at, asked) {
                    let state = LeadState {
                        store_age_ms: age_ms,
                        blind,
                    };
                    self.lead_answers(at, lead, held, state);
                }
            }
            Event::LeadSilent { at, asked, lead } => {
                if self.is_current(at, asked) {
                    let now_ms = self.now_ms;
                    self.processes[at].choice.lead_silent(now_ms, node(lead));
                    self.step(at);
                }
            }
            Event::Gossip {
                to,
                from,
                head,
                held,
            } => self.gossip(to, from, head, held),
            Event::Fetched { at, number, held } => self.fetched(at, number, held),
            Event::Wake(at) => self.fetch(at),
        }
    }

    fn is_current(&self, at: usize, asked: u64) -> bool {
        self.processes[at].up && self.processes[at].asked == asked
    }

    fn step(&mut self, at: usize) {
        if !self.processes[at].up {
            return;
        }
        let leads = self.leads(at);
        let now_ms = self.now_ms;
        let process = &mut self.processes[at];
        process.asked += 1;
        process.reading_since_ms = None;
        let (asked, have) = (process.asked, process.held);
        process.choice.set_leads(leads);
        process.choice.note_held(now_ms, Version(have));
        match process.choice.next(now_ms, BUDGET) {
            Ask::Store => self.read_store(at, asked),
            Ask::Lead {
                lead,
                wait_ms,
                answer_ms,
            } => {
                let lead = position(lead.node);
                let way_ms = self.latency_ms(at, lead);
                let until_ms = now_ms + wait_ms;
                self.after(
                    way_ms,
                    Event::Asked {
                        lead,
                        by: at,
                        asked,
                        have,
                        until_ms,
                    },
                );
                self.after(wait_ms + answer_ms, Event::LeadSilent { at, asked, lead });
            }
        }
    }

    fn read_store(&mut self, at: usize, asked: u64) {
        let way_ms = self.store_ms(at);
        self.processes[at].reading_since_ms = Some(self.now_ms);
        match self.processes[at].trouble {
            Trouble::Refused => {
                self.after(
                    way_ms,
                    Event::StoreFails {
                        at,
                        asked,
                        silent: false,
                    },
                );
            }
            Trouble::Silent => self.never_answered(at, asked),
            Trouble::None | Trouble::OldConnections => {
                let newer = self.accepted > self.processes[at].held;
                let wait_ms = match newer {
                    true => 0,
                    false => self.processes[at].choice.store_wait_ms(self.now_ms, BUDGET),
                };
                let version = newer.then_some(self.accepted);
                self.after(wait_ms + way_ms, Event::StoreAnswers { at, asked, version });
            }
        }
    }

    fn never_answered(&mut self, at: usize, asked: u64) {
        let choice = &self.processes[at].choice;
        let wait_ms = choice.store_wait_ms(self.now_ms, BUDGET) + choice.store_answer_ms(BUDGET);
        self.after(
            wait_ms,
            Event::StoreFails {
                at,
                asked,
                silent: true,
            },
        );
    }

    fn accept(&mut self) {
        self.accepted += 1;
        let version = self.accepted;
        self.after(BUDGET.apply_ms(), Event::Due(version));
        for at in 0..self.processes.len() {
            let process = &self.processes[at];
            // A read that a silent connection hides is told nothing.
            if process.reading_since_ms.is_some() && process.trouble == Trouble::None {
                let asked = process.asked;
                let version = Some(version);
                self.after(
                    self.store_ms(at) / 2,
                    Event::StoreAnswers { at, asked, version },
                );
            }
        }
        if self.now_ms < self.until_ms {
            let gap_ms = self.rng.random_range(self.gap_ms.0..=self.gap_ms.1);
            self.after(gap_ms, Event::Accept);
        }
    }

    fn fault(&mut self, number: usize) {
        let (at, fault) = self.faults[number];
        let asked = self.processes[at].asked;
        let reads = self.processes[at].reading_since_ms.is_some();
        match fault {
            Fault::Killed => self.kill(at),
            Fault::Store(trouble) => {
                self.processes[at].trouble = trouble;
                if reads {
                    // Answers of before are void; the read ends as the trouble has it.
                    self.processes[at].asked += 1;
                    match trouble {
                        Trouble::Refused => {
                            self.after(
                                1,
                                Event::StoreFails {
                                    at,
                                    asked: asked + 1,
                                    silent: false,
                                },
                            );
                        }
                        _ => self.never_answered(at, asked + 1),
                    }
                }
            }
        }
    }

    fn kill(&mut self, at: usize) {
        self.processes[at].up = false;
        // A connection that is closed shows at once.
        for waiter in std::mem::take(&mut self.processes[at].waiters) {
            let (at, asked, lead) = (waiter.by, waiter.asked, at);
            self.after(1, Event::LeadSilent { at, asked, lead });
        }
    }

    fn fault_ends(&mut self, number: usize) {
        if let (at, Fault::Store(_)) = self.faults[number] {
            self.processes[at].trouble = Trouble::None;
        }
    }

    fn store_answers(&mut self, at: usize, asked: u64, version: Option<u64>) {
        if !self.is_current(at, asked) {
            return;
        }
        let now_ms = self.now_ms;
        let process = &mut self.processes[at];
        process.choice.store_answered();
        process.store_read_ms = now_ms;
        if let Some(version) = version {
            process.fetcher.source_told(now_ms, Version(version));
            self.learn(at, version);
        }
        self.step(at);
    }

    fn store_fails(&mut self, at: usize, asked: u64, silent: bool) {
        if !self.is_current(at, asked) {
            return;
        }
        let failure = if silent {
            StoreFailure::Silent
        } else {
            StoreFailure::Refused
        };
        let process = &mut self.processes[at];
        process.asked += 1;
        process.reading_since_ms = None;
        // New connections are answered.
        if process.trouble == Trouble::OldConnections {
            process.trouble = Trouble::None;
        }
        let pause_ms = process.choice.store_failed(failure, BUDGET);
        if process.choice.is_blind() {
            self.answer_waiters(at, |_| true);
        }
        self.after(pause_ms, Event::Step(at));
    }

    fn lead_asked(&mut self, lead: usize, waiter: Waiter, until_ms: u64) {
        if !self.processes[lead].up {
            let (at, asked) = (waiter.by, waiter.asked);
            return self.after(1, Event::LeadSilent { at, asked, lead });
        }
        let (have, asked) = (waiter.have, waiter.asked);
        self.processes[lead].waiters.push(waiter);
        let process = &self.processes[lead];
        if process.held > have || process.choice.is_blind() || until_ms <= self.now_ms {
            return self.answer_waiters(lead, |waiter| waiter.asked == asked);
        }
        self.after(until_ms - self.now_ms, Event::WaitEnds { lead, asked });
    }

    fn answer_waiters(&mut self, lead: usize, is_due: impl Fn(&Waiter) -> bool) {
        let process = &mut self.processes[lead];
        let (due, waiting) = std::mem::take(&mut process.waiters)
            .into_iter()
            .partition(|waiter| is_due(waiter));
        process.waiters = waiting;
        let (held, blind) = (process.held, process.choice.is_blind());
        let age_ms = self.now_ms - process.store_read_ms;
        let due: Vec<Waiter> = due;
        for waiter in due {
            let (at, asked) = (waiter.by, waiter.asked);
            let way_ms = self.latency_ms(lead, at);
            self.after(
                way_ms,
                Event::LeadAnswers {
                    at,
                    asked,
                    lead,
                    held,
                    age_ms,
                    blind,
                },
            );
        }
    }

    fn lead_answers(&mut self, at: usize, lead: usize, held: u64, state: LeadState) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[at];
        process
            .choice
            .lead_answered(now_ms, node(lead), state, BUDGET);
        let read_ms = now_ms.saturating_sub(state.store_age_ms);
        process.store_read_ms = process.store_read_ms.max(read_ms);
        if held > process.held {
            process.fetcher.source_told(now_ms, Version(held));
            self.learn(at, held);
        }
        self.step(at);
    }

    fn learn(&mut self, at: usize, version: u64) {
        let process = &mut self.processes[at];
        if version > process.held {
            process.held = version;
            process.head = process.head.max(version);
            self.answer_waiters(at, |waiter| waiter.have < version);
            self.announce(at);
        }
        self.fetch(at);
    }

    fn announce(&mut self, from: usize) {
        let (head, held) = (self.processes[from].head, self.processes[from].held);
        for to in self.neighbours(from) {
            let pause_ms = self.rng.random_range(0..=NEWS_PAUSE_MS) + self.latency_ms(from, to);
            self.after(
                pause_ms,
                Event::Gossip {
                    to,
                    from,
                    head,
                    held,
                },
            );
        }
    }

    fn gossip(&mut self, to: usize, from: usize, head: u64, held: u64) {
        if !self.processes[to].up || !self.processes[from].up {
            return;
        }
        let holder = self.peer(to, from);
        let now_ms = self.now_ms;
        let process = &mut self.processes[to];
        if held > process.held {
            process.fetcher.held_by(now_ms, stamp(held), holder);
        }
        process.fetcher.heard(now_ms, stamp(head));
        if head > process.head {
            process.head = head;
            self.announce(to);
        }
        self.fetch(to);
    }

    fn fetch(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[at];
        let held = Version(process.held);
        if !process.up || process.fetching.is_some() {
            return;
        }
        if let Some(fetch) = process.fetcher.next(now_ms, held) {
            self.sequence += 1;
            let number = self.sequence;
            self.processes[at].fetching = Some((number, fetch));
            return self.ask_holder(at, number, &fetch);
        }
        if let Some(wake_ms) = process.fetcher.wake_at(held) {
            self.after(wake_ms.saturating_sub(now_ms).max(1), Event::Wake(at));
        }
    }

    fn ask_holder(&mut self, at: usize, number: u64, fetch: &Fetch) {
        let Source::Peer { node, .. } = fetch.source else {
            panic!("a follower fetches from peers alone");
        };
        let holder = position(node);
        let held = self.processes[holder]
            .up
            .then_some(self.processes[holder].held);
        let pause_ms = 2 * self.latency_ms(at, holder);
        self.after(pause_ms, Event::Fetched { at, number, held });
    }

    fn fetched(&mut self, at: usize, number: u64, held: Option<u64>) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[at];
        let Some((_, fetch)) = process.fetching.filter(|(fetching, _)| *fetching == number) else {
            return;
        };
        process.fetching = None;
        process.fetcher.done(now_ms, &fetch, held.is_some());
        match held {
            Some(version) => self.learn(at, version),
            None => self.fetch(at),
        }
    }
}
