//! A service in virtual time: entry nodes, endpoints of two software versions, a lead in each data
//! centre, and the store.
//!
//! Which version a request goes to, what a gate admits and counts, how versions are compared and which
//! phase follows is decided by the product's own code. Queues, delays and failures are simulated.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use dragonflywall::core::member::NodeId;
use dragonflywall::core::names::{ResourceName, ServiceName, SoftwareVersion};
use dragonflywall::core::rollout::{
    OrderEntry, RolloutBook, RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, StateEntry,
};
use dragonflywall::decide::rollout::exposure::{self, CandidateGuard};
use dragonflywall::decide::rollout::focus;
use dragonflywall::decide::rollout::plan::{Situation, next_state};
use dragonflywall::decide::rollout::tally::{GateCounter, GateState};
use dragonflywall::decide::rollout::{
    ExposureCredit, NodeTally, Stage, Tallies, VersionPolicy, VersionRole,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::judge::{Judge, JudgeKind};
use super::scenario::{Candidate, Scenario, Trouble};

/// Data centres; each has a lead, and nodes are spread evenly over them.
const DATA_CENTRES: usize = 4;
/// Share of the requests that a version not known to be good may get, in percent.
const EXPOSURE_PERCENT: u32 = 10;
/// Requests beyond that share, all entry nodes together.
const EXPOSURE_SLACK: u64 = 50;
/// Time after the 50th bad response from which no request may reach the candidate, in microseconds.
const ROLL_BACK_US: u64 = 5_000_000;
/// Bad responses after which that time begins.
const BAD_RESPONSES_FREE: u64 = 50;

/// Mean service time of the two resources at an endpoint of speed 1, in microseconds.
const MEAN_US: [f64; 2] = [120_000.0, 60_000.0];
const SLOTS: usize = 12;
/// Longest wait for a slot, in microseconds.
const WAIT_MAX_US: u64 = 300_000;
/// Interval of the roll-out actors, in microseconds.
const TICK_US: u64 = 250_000;
/// Time without requests before the order, in which nothing happens, in microseconds.
const ORDER_AT_US: u64 = 100_000;
/// How long a new endpoint is cold, in microseconds, and how much slower it is then.
const COLD_US: u64 = 3_000_000;
const COLD_FACTOR: f64 = 2.0;
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];

/// How a play ended, and what callers and rules saw of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Final phase, if there was one.
    pub(crate) phase: Option<RolloutPhase>,
    /// Time from the order to it, in milliseconds.
    pub(crate) decided_ms: u64,
    /// Why it was entered.
    pub(crate) reason: String,
    /// Requests that reached an endpoint between order and deadline, and those of the candidate.
    pub(crate) arrivals: u64,
    pub(crate) candidate_arrivals: u64,
    /// Requests that reached the candidate later than allowed after its 50th bad response.
    pub(crate) late_arrivals: u64,
    /// Requests at an established endpoint when the status `completed` was written.
    pub(crate) cut_off: u64,
    /// Requests that were refused by every endpoint that they were sent to.
    pub(crate) refused: u64,
    /// Requests that failed in the end.
    pub(crate) failed: u64,
    /// Share of the candidate, failures of it and phase over time, for the plot.
    pub(crate) course: Vec<CoursePoint>,
}

/// State of a play at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoursePoint {
    pub(crate) after_order_s: f64,
    /// Share of the requests of the last quarter of a second that reached the candidate.
    pub(crate) candidate_share: f64,
    /// Share of bad responses among the candidate's in that time.
    pub(crate) bad_share: f64,
    /// Evidence against the candidate, from 0 to 1.
    pub(crate) suspicion: f64,
}

impl Outcome {
    /// Whether more requests reached the candidate than a version that turned out bad may get.
    pub(crate) fn is_overexposed(&self) -> bool {
        let allowed = self.arrivals * u64::from(EXPOSURE_PERCENT) / 100 + EXPOSURE_SLACK;
        self.candidate_arrivals > allowed
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Finished {
        endpoint: usize,
        request: Request,
        started_us: u64,
        failed: bool,
    },
    Learnt {
        node: usize,
        book: RolloutBook,
    },
    Tally {
        lead: usize,
        tally: Box<NodeTally>,
    },
    Tick,
    WriteArrives {
        lead: usize,
        state: Box<RolloutState>,
        replaced_revision: u64,
    },
    WriteAnswered {
        lead: usize,
        written: Option<StateEntry>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    resource: usize,
    retried: bool,
}

/// A node: an entry node, or the gate of an endpoint.
#[derive(Clone, Debug, Default)]
struct Node {
    data_centre: usize,
    book: RolloutBook,
    credit: ExposureCredit,
    guard: CandidateGuard,
}

struct Endpoint {
    node: usize,
    candidate: bool,
    faulty: bool,
    speed: f64,
    cold_until_us: u64,
    /// When each slot becomes free.
    slots: Vec<u64>,
    in_flight: u64,
    counter: Option<GateCounter>,
    stopped: bool,
}

struct Lead {
    node: usize,
    tallies: Tallies,
    judge: Judge,
    demand: VecDeque<(u64, u64)>,
    writing: bool,
    due: Option<(u64, RolloutPhase, u32)>,
    not_before_us: u64,
    /// Not active before this time, because it was killed or is frozen.
    inactive_until_us: u64,
}

/// A play in progress.
pub(crate) struct World {
    scenario: Scenario,
    rng: StdRng,
    now_us: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    leads: Vec<Lead>,
    service: ServiceName,
    candidate: SoftwareVersion,
    established: SoftwareVersion,
    resources: [ResourceName; 2],
    store: RolloutRecord,
    store_revision: u64,
    bad_responses: u64,
    fiftieth_bad_us: Option<u64>,
    recent: Recent,
    outcome: Outcome,
}

/// Counts since the last point of the course.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    arrivals: u64,
    candidate_arrivals: u64,
    responses: u64,
    bad: u64,
}

/// Plays a scenario to some seconds after its deadline.
pub(crate) fn play(scenario: Scenario, judge: JudgeKind) -> Outcome {
    let mut world = World::new(scenario, judge);
    let end_us = ORDER_AT_US + scenario.duration_ms * 1_000 + 6_000_000;
    while let Some((&(at_us, sequence), _)) = world.events.first_key_value() {
        if at_us > end_us {
            break;
        }
        world.now_us = at_us;
        if let Some(event) = world.events.remove(&(at_us, sequence)) {
            world.handle(event);
        }
    }
    world.outcome
}

impl World {
    fn new(scenario: Scenario, judge: JudgeKind) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let candidates = match scenario.candidate {
            Candidate::GoodButFew => (scenario.endpoints * 3).div_ceil(4),
            _ => scenario.endpoints,
        };
        let entry_nodes = (0..scenario.entry_nodes).map(|index| Node {
            data_centre: index % DATA_CENTRES,
            ..Node::default()
        });
        let mut nodes: Vec<Node> = entry_nodes.collect();
        let mut endpoints = Vec::new();
        let faulty = rng.random_range(0..candidates);
        let first_speed = rng.random_range(0..SPEEDS.len());
        for index in 0..scenario.endpoints + candidates {
            let candidate = index >= scenario.endpoints;
            let own_index = index - if candidate { scenario.endpoints } else { 0 };
            nodes.push(Node {
                data_centre: own_index % DATA_CENTRES,
                ..Node::default()
            });
            let is_cold = candidate && scenario.candidate == Candidate::GoodCold;
            endpoints.push(Endpoint {
                node: nodes.len() - 1,
                candidate,
                faulty: candidate
                    && scenario.candidate == Candidate::GoodWithFaultyEndpoint
                    && own_index == faulty,
                speed: SPEEDS[(first_speed + own_index) % SPEEDS.len()],
                cold_until_us: if is_cold { ORDER_AT_US + COLD_US } else { 0 },
                slots: vec![0; SLOTS],
                in_flight: 0,
                counter: None,
                stopped: false,
            });
        }
        let leads = (0..DATA_CENTRES).map(|data_centre| Lead {
            node: data_centre,
            tallies: Tallies::default(),
            judge: Judge::new(judge),
            demand: VecDeque::new(),
            writing: false,
            due: None,
            not_before_us: 0,
            inactive_until_us: 0,
        });
        let mut world = Self {
            leads: leads.collect(),
            scenario,
            rng,
            now_us: 0,
            sequence: 0,
            events: BTreeMap::new(),
            nodes,
            endpoints,
            service: ServiceName::new("cobros"),
            candidate: SoftwareVersion::new("v2"),
            established: SoftwareVersion::new("v1"),
            resources: [ResourceName::new("charge"), ResourceName::new("lookup")],
            store: RolloutRecord::default(),
            store_revision: 10,
            bad_responses: 0,
            fiftieth_bad_us: None,
            recent: Recent::default(),
            outcome: Outcome::default(),
        };
        world.order();
        world.schedule(ORDER_AT_US, Event::Tick);
        world.schedule(1_000, Event::Arrival);
        world
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_us, self.sequence), event);
    }

    /// The operator writes the order; every lead reads it from the store.
    fn order(&mut self) {
        self.store.order = OrderEntry {
            revision: self.store_revision,
            order: Some(RolloutOrder {
                to: self.candidate.clone(),
                duration_ms: self.scenario.duration_ms,
            }),
        };
        let mut book = RolloutBook::default();
        book.merge_record(&self.service, &self.store);
        for lead in 0..DATA_CENTRES {
            let delay_us = self.rng.random_range(10_000..60_000);
            self.spread(ORDER_AT_US + delay_us, lead, &book);
        }
    }

    /// A lead passes its book on to its data centre, and by gossip to the others.
    fn spread(&mut self, from_us: u64, lead: usize, book: &RolloutBook) {
        for node in 0..self.nodes.len() {
            let data_centre = self.nodes[node].data_centre;
            let delay_us = match data_centre == lead {
                true => self.rng.random_range(5_000..120_000),
                false => self.rng.random_range(60_000..400_000),
            };
            let reached_us = self.reachable_from(from_us + delay_us, lead, data_centre);
            let book = book.clone();
            self.schedule(reached_us, Event::Learnt { node, book });
        }
    }

    /// The first time from `at_us` on at which two data centres reach each other.
    fn reachable_from(&mut self, at_us: u64, from: usize, to: usize) -> u64 {
        let is_cut = |data_centre| self.is_cut(at_us, data_centre);
        match from != to && (is_cut(from) || is_cut(to)) {
            true => self.trouble_end_us() + self.rng.random_range(100_000..600_000),
            false => at_us,
        }
    }

    fn trouble_start_us(&self) -> u64 {
        ORDER_AT_US + self.scenario.trouble_ms * 1_000
    }

    fn trouble_end_us(&self) -> u64 {
        let length_ms = match self.scenario.trouble {
            Trouble::Calm => 0,
            Trouble::StoreDown | Trouble::Burst | Trouble::AllSlow => 3_000,
            Trouble::DataCentreCut => 5_000,
            Trouble::LeadFrozen | Trouble::EstablishedSlow => 4_000,
            Trouble::StoreSlow | Trouble::RollingRestart => 10_000,
            Trouble::LeadKilled => 4_000,
        };
        self.trouble_start_us() + length_ms * 1_000
    }

    fn has_trouble(&self, at_us: u64, trouble: Trouble) -> bool {
        self.scenario.trouble == trouble
            && (self.trouble_start_us()..self.trouble_end_us()).contains(&at_us)
    }

    fn is_cut(&self, at_us: u64, data_centre: usize) -> bool {
        let cut = (self.scenario.seed % DATA_CENTRES as u64) as usize;
        data_centre == cut && self.has_trouble(at_us, Trouble::DataCentreCut)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Finished {
                endpoint,
                request,
                started_us,
                failed,
            } => self.finish(endpoint, request, started_us, failed),
            Event::Learnt { node, book } => {
                let frozen_until_us = self.frozen_until_us(node);
                match frozen_until_us > self.now_us {
                    true => self.schedule(frozen_until_us, Event::Learnt { node, book }),
                    false => {
                        self.nodes[node].book.merge(&book);
                    }
                }
            }
            Event::Tally { lead, tally } => {
                if self.leads[lead].inactive_until_us <= self.now_us {
                    self.leads[lead].tallies.merge(*tally);
                }
            }
            Event::Tick => self.tick(),
            Event::WriteArrives {
                lead,
                state,
                replaced_revision,
            } => self.write(lead, *state, replaced_revision),
            Event::WriteAnswered { lead, written } => self.handle_written(lead, written),
        }
    }

    fn frozen_until_us(&self, node: usize) -> u64 {
        let is_lead = self.leads[0].node == node;
        match is_lead && self.has_trouble(self.now_us, Trouble::LeadFrozen) {
            true => self.trouble_end_us(),
            false => 0,
        }
    }

    fn arrive(&mut self) {
        let factor = match self.has_trouble(self.now_us, Trouble::Burst) {
            true => 2.0,
            false => 1.0,
        };
        let rate_per_us = self.scenario.requests_per_s * factor / 1e6;
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let pause_us = (-uniform.ln() / rate_per_us) as u64;
        self.schedule(self.now_us + pause_us.max(1), Event::Arrival);
        let request = Request {
            entry: self.rng.random_range(0..self.scenario.entry_nodes),
            resource: usize::from(self.rng.random_bool(0.4)),
            retried: false,
        };
        self.send(request, true);
    }

    /// An entry node sends a request to an endpoint, and to others while it is refused.
    fn send(&mut self, request: Request, may_use_candidate: bool) {
        let policy = self.policy_of(request.entry);
        let mut may_use_candidate = may_use_candidate;
        for _ in 0..4 {
            let order = policy.as_ref().map(|policy| policy.order_revision);
            let roles = self.roles(request.entry, policy.as_ref(), may_use_candidate);
            for role in roles {
                let known_order = order.filter(|_| role == Some(VersionRole::Candidate));
                let Some(endpoint) = self.choose(request.entry, policy.as_ref(), role) else {
                    continue;
                };
                if self.admit(endpoint, request, known_order) {
                    return;
                }
                if let Some(order) = known_order {
                    self.nodes[request.entry].credit.put_back(order);
                    may_use_candidate = false;
                }
                break;
            }
        }
        self.outcome.refused += 1;
    }

    fn policy_of(&self, node: usize) -> Option<VersionPolicy> {
        let record = self.nodes[node].book.get(&self.service)?;
        VersionPolicy::of(record)
    }

    /// Roles to choose among, in order; `None` for any version.
    fn roles(
        &mut self,
        entry: usize,
        policy: Option<&VersionPolicy>,
        may_use_candidate: bool,
    ) -> Vec<Option<VersionRole>> {
        let Some(policy) = policy else {
            return vec![None];
        };
        let node = &mut self.nodes[entry];
        let order = policy.order_revision;
        match policy.stage() {
            None | Some(Stage::Pending) => vec![Some(VersionRole::Established)],
            Some(Stage::Settle) => vec![Some(VersionRole::Candidate)],
            Some(Stage::Trial | Stage::Shift { .. }) => {
                let allowed = may_use_candidate && !node.guard.is_suspended(order);
                match allowed && node.credit.take(order) {
                    true => vec![Some(VersionRole::Candidate), Some(VersionRole::Established)],
                    false => vec![Some(VersionRole::Established)],
                }
            }
        }
    }

    fn version_of(&self, endpoint: usize) -> &SoftwareVersion {
        match self.endpoints[endpoint].candidate {
            true => &self.candidate,
            false => &self.established,
        }
    }

    /// The less used of two endpoints.
    fn choose(
        &mut self,
        entry: usize,
        policy: Option<&VersionPolicy>,
        role: Option<VersionRole>,
    ) -> Option<usize> {
        let data_centre = self.nodes[entry].data_centre;
        let has_role = |endpoint: &usize| match (policy, role) {
            (Some(policy), Some(role)) => policy.role_of(Some(self.version_of(*endpoint))) == role,
            // Endpoints of a new version announce themselves only once they have been ordered.
            _ => !self.endpoints[*endpoint].candidate,
        };
        let reached = |endpoint: &usize| {
            let there = self.nodes[self.endpoints[*endpoint].node].data_centre;
            let cut = self.is_cut(self.now_us, there) || self.is_cut(self.now_us, data_centre);
            (there == data_centre || !cut) && !self.endpoints[*endpoint].stopped
        };
        let mut all: Vec<usize> = (0..self.endpoints.len()).filter(has_role).collect();
        if let (Some(VersionRole::Candidate), Some(policy)) = (role, policy) {
            all = self.in_use(all, policy);
        }
        all.retain(reached);
        let picks = [0; 2].map(|_| (!all.is_empty()).then(|| self.rng.random_range(0..all.len())));
        let picks = picks.into_iter().flatten().map(|position| all[position]);
        picks.min_by_key(|endpoint| self.endpoints[*endpoint].in_flight)
    }

    fn in_use(&self, candidates: Vec<usize>, policy: &VersionPolicy) -> Vec<usize> {
        let stage = policy.stage().unwrap_or(Stage::Pending);
        let age_ms = self.now_us.saturating_sub(ORDER_AT_US) / 1_000;
        let trial_percent = exposure::trial_percent(EXPOSURE_PERCENT);
        let nodes = candidates
            .iter()
            .map(|index| node_id(self.endpoints[*index].node));
        let in_use = focus::endpoints_in_use(nodes.collect(), stage, trial_percent, age_ms);
        let is_in_use = |index: &usize| in_use.contains(&node_id(self.endpoints[*index].node));
        candidates.into_iter().filter(is_in_use).collect()
    }

    /// The gate of an endpoint admits a request, or refuses it.
    fn admit(&mut self, index: usize, request: Request, known_order: Option<u64>) -> bool {
        let policy = self.policy_of(self.endpoints[index].node);
        let version = self.version_of(index).clone();
        let admits = policy
            .as_ref()
            .is_none_or(|policy| policy.admits(policy.role_of(Some(&version)), known_order));
        let endpoint = &mut self.endpoints[index];
        let (slot, free_us) = endpoint
            .slots
            .iter()
            .copied()
            .enumerate()
            .min_by_key(|(_, free_us)| *free_us)
            .expect("an endpoint has slots");
        let started_us = free_us.max(self.now_us);
        if !admits || started_us > self.now_us + WAIT_MAX_US {
            return false;
        }
        endpoint.in_flight += 1;
        let busy = endpoint
            .slots
            .iter()
            .filter(|free| **free > self.now_us)
            .count();
        let (service_us, failed) = self.run(index, request, started_us, busy);
        self.endpoints[index].slots[slot] = started_us + service_us;
        self.count_arrival(index);
        let event = Event::Finished {
            endpoint: index,
            request,
            started_us,
            failed,
        };
        self.schedule(started_us + service_us, event);
        true
    }

    fn count_arrival(&mut self, endpoint: usize) {
        let deadline_us = ORDER_AT_US + self.scenario.duration_ms * 1_000;
        let candidate = u64::from(self.endpoints[endpoint].candidate);
        self.recent.arrivals += 1;
        self.recent.candidate_arrivals += candidate;
        if (ORDER_AT_US..deadline_us).contains(&self.now_us) {
            self.outcome.arrivals += 1;
            self.outcome.candidate_arrivals += candidate;
        }
        let is_late = |fiftieth_us: u64| self.now_us > fiftieth_us + ROLL_BACK_US;
        if candidate > 0 && self.fiftieth_bad_us.is_some_and(is_late) {
            self.outcome.late_arrivals += 1;
        }
    }

    /// Service time of a request, and whether it fails.
    fn run(&mut self, index: usize, request: Request, started_us: u64, busy: usize) -> (u64, bool) {
        let mean_us = MEAN_US[request.resource];
        // Log-normal with a deviation of 0.6, by the sum of twelve uniform numbers.
        let uniform_sum: f64 = (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum();
        let spread = (0.6 * (uniform_sum - 6.0)).exp();
        let endpoint = &self.endpoints[index];
        let mut service_us = mean_us * spread / endpoint.speed;
        if started_us < endpoint.cold_until_us {
            service_us *= COLD_FACTOR;
        }
        if !endpoint.candidate && index.is_multiple_of(3) {
            let slow = self.has_trouble(self.now_us, Trouble::EstablishedSlow);
            service_us *= if slow { 4.0 } else { 1.0 };
        }
        if self.has_trouble(self.now_us, Trouble::AllSlow) {
            service_us *= 3.0;
        }
        let mut failed = self.rng.random_bool(0.004);
        let hit = self.rng.random_bool(self.scenario.bad_share);
        if endpoint.candidate {
            let late = self.now_us >= ORDER_AT_US + 5_000_000;
            match self.scenario.candidate {
                Candidate::Failing => failed |= hit,
                Candidate::FailingLate => failed |= hit && late,
                Candidate::FailingUnderLoad => {
                    failed |= hit && busy as f64 > self.usual_load() / 2.0
                }
                Candidate::FailingOnOneResource => failed |= hit && request.resource == 0,
                Candidate::Slow => service_us *= 3.0,
                Candidate::PartlySlow if hit => service_us *= 5.0,
                Candidate::GoodWithFaultyEndpoint => failed |= endpoint.faulty && hit,
                _ => (),
            }
        }
        (service_us as u64, failed)
    }

    /// Mean number of busy slots of an endpoint once it has its full share of the requests.
    fn usual_load(&self) -> f64 {
        let mean_us = MEAN_US[0] * 0.6 + MEAN_US[1] * 0.4;
        self.scenario.requests_per_s * mean_us / 1e6 / self.scenario.endpoints as f64
    }

    fn finish(&mut self, index: usize, request: Request, started_us: u64, failed: bool) {
        let service_us = self.now_us - started_us;
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight -= 1;
        let failed = failed || endpoint.stopped;
        if let Some(counter) = &mut endpoint.counter {
            let resource = &self.resources[request.resource];
            counter.record(resource, !failed, started_us, service_us);
        }
        if endpoint.candidate {
            let slow = service_us as f64 > 4.0 * MEAN_US[request.resource]
                && !self.scenario.candidate.is_good();
            self.recent.responses += 1;
            self.recent.bad += u64::from(failed || slow);
            self.bad_responses += u64::from(failed || slow);
            if self.bad_responses == BAD_RESPONSES_FREE && self.fiftieth_bad_us.is_none() {
                self.fiftieth_bad_us = Some(self.now_us);
            }
        }
        let policy = self.policy_of(request.entry);
        if let Some((policy, stage)) = policy.as_ref().and_then(|p| Some((p, p.stage()?))) {
            let order = policy.order_revision;
            let candidate = self.endpoints[index].candidate;
            let entry = &mut self.nodes[request.entry];
            entry.credit.deposit(order, stage, EXPOSURE_PERCENT);
            if candidate {
                entry.guard.record(order, failed);
            }
        }
        match failed && !request.retried && request.resource == 1 {
            true => {
                let again = Request {
                    retried: true,
                    ..request
                };
                self.send(again, false);
            }
            false => self.outcome.failed += u64::from(failed),
        }
    }

    fn tick(&mut self) {
        self.schedule(self.now_us + TICK_US, Event::Tick);
        self.restart_leads();
        self.report_gates();
        self.forward_tallies();
        self.record_course();
        for lead in 0..DATA_CENTRES {
            if self.leads[lead].inactive_until_us <= self.now_us {
                self.act(lead);
            }
        }
    }

    fn restart_leads(&mut self) {
        let since_us = self.now_us.saturating_sub(self.trouble_start_us());
        match self.scenario.trouble {
            Trouble::LeadKilled => {
                let again_us = 3_000_000;
                let struck =
                    since_us < TICK_US || (again_us..again_us + TICK_US).contains(&since_us);
                if self.now_us >= self.trouble_start_us() && struck {
                    self.restart_lead(0);
                }
            }
            Trouble::LeadFrozen if self.has_trouble(self.now_us, Trouble::LeadFrozen) => {
                self.leads[0].inactive_until_us = self.trouble_end_us();
            }
            Trouble::RollingRestart if self.has_trouble(self.now_us, Trouble::RollingRestart) => {
                // Every node loses its credit once, and each lead its evidence.
                let step = since_us / TICK_US;
                let steps = (self.trouble_end_us() - self.trouble_start_us()) / TICK_US;
                let share = self.nodes.len() as u64 / steps + 1;
                for node in (step * share)..((step + 1) * share) {
                    if let Some(node) = self.nodes.get_mut(node as usize) {
                        node.credit = ExposureCredit::default();
                        node.guard = CandidateGuard::default();
                    }
                }
                if step % 10 == 5 {
                    self.restart_lead((step / 10) as usize % DATA_CENTRES);
                }
            }
            _ => (),
        }
    }

    /// Another node of the data centre takes over as its lead, without the evidence so far.
    fn restart_lead(&mut self, lead: usize) {
        let inactive_until_us = self.now_us + 1_000_000;
        let lead = &mut self.leads[lead];
        lead.tallies = Tallies::default();
        lead.judge = Judge::new(lead.judge.kind());
        lead.demand.clear();
        lead.writing = false;
        lead.due = None;
        lead.inactive_until_us = inactive_until_us;
    }

    fn report_gates(&mut self) {
        for index in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[index];
            let node = endpoint.node;
            let data_centre = self.nodes[node].data_centre;
            let Some(policy) = self.policy_of(node) else {
                continue;
            };
            let version = self.version_of(index).clone();
            let role = policy.role_of(Some(&version));
            let closed = role != VersionRole::Candidate && !policy.admits(role, Some(u64::MAX));
            let order_revision = policy.order_revision;
            let empty = NodeTally {
                node: node_id(node),
                incarnation_us: 1,
                sequence: 0,
                service: self.service.clone(),
                version: Some(version),
                order_revision,
                slots: 0,
                in_flight: 0,
                closed: false,
                cold: false,
                busy_ms: 0,
                resources: BTreeMap::new(),
            };
            let now_us = self.now_us;
            let endpoint = &mut self.endpoints[index];
            let is_current = |c: &GateCounter| c.order_revision() == order_revision;
            if !endpoint.counter.as_ref().is_some_and(is_current) {
                endpoint.counter = Some(GateCounter::new(empty, endpoint.cold_until_us));
            }
            let gate = GateState {
                slots: SLOTS as u32,
                in_flight: endpoint.in_flight as u32,
                closed,
            };
            let counter = endpoint.counter.as_mut().expect("it was just created");
            let tally = Box::new(counter.next_message(now_us, gate));
            let delay_us = self.rng.random_range(3_000..30_000);
            let lead = data_centre;
            self.schedule(now_us + delay_us, Event::Tally { lead, tally });
        }
    }

    /// Each lead passes the tallies of its data centre on to the others.
    fn forward_tallies(&mut self) {
        for from in 0..DATA_CENTRES {
            if self.leads[from].inactive_until_us > self.now_us {
                continue;
            }
            let own: Vec<NodeTally> = self.leads[from].tallies.iter().cloned().collect();
            let own = own.into_iter().filter(|tally| {
                let node = node_index(tally.node);
                self.nodes[node].data_centre == from
            });
            let own: Vec<NodeTally> = own.collect();
            for to in (0..DATA_CENTRES).filter(|to| *to != from) {
                if self.is_cut(self.now_us, from) || self.is_cut(self.now_us, to) {
                    continue;
                }
                let delay_us = self.rng.random_range(2_000..60_000);
                for tally in &own {
                    let tally = Box::new(tally.clone());
                    self.schedule(self.now_us + delay_us, Event::Tally { lead: to, tally });
                }
            }
        }
    }

    fn act(&mut self, lead: usize) {
        let node = self.leads[lead].node;
        let Some(record) = self.nodes[node].book.get(&self.service).cloned() else {
            return;
        };
        if !record.is_active() {
            return;
        }
        let Some(policy) = VersionPolicy::of(&record) else {
            return;
        };
        let situation = self.situation(lead, &policy);
        let Some(next) = next_state(&record, &situation, node_id(node)) else {
            self.leads[lead].due = None;
            return;
        };
        let now_us = self.now_us;
        let state = &mut self.leads[lead];
        let key = (next.phase, next.share_percent);
        let since_us = match state.due {
            Some((since_us, phase, percent)) if (phase, percent) == key => since_us,
            _ => now_us,
        };
        state.due = Some((since_us, key.0, key.1));
        let delay_us = lead as u64 * 300_000;
        let may_act = now_us >= since_us + delay_us && now_us >= state.not_before_us;
        if !may_act || std::mem::replace(&mut state.writing, true) {
            return;
        }
        let latency_us = self.store_latency_us();
        let event = Event::WriteArrives {
            lead,
            state: Box::new(next),
            replaced_revision: record.state_revision(),
        };
        self.schedule(now_us + latency_us, event);
    }

    fn situation(&mut self, lead: usize, policy: &VersionPolicy) -> Situation {
        let now_us = self.now_us;
        let state = &mut self.leads[lead];
        let (candidate, _) = policy
            .candidate
            .clone()
            .unwrap_or((self.candidate.clone(), Stage::Pending));
        state.tallies.retain_order(policy.order_revision);
        let condemnation = state.judge.observe(
            now_us / 1_000,
            policy.order_revision,
            &candidate,
            &state.tallies,
        );
        let busy_ms: u64 = state.tallies.iter().map(|tally| tally.busy_ms).sum();
        state.demand.push_back((now_us, busy_ms));
        while state.demand.len() > 9 {
            state.demand.pop_front();
        }
        let (first_us, first_ms) = state.demand[0];
        let span_ms = now_us.saturating_sub(first_us) / 1_000;
        let demand_slots = match span_ms {
            0 => None,
            _ => Some(busy_ms.saturating_sub(first_ms) as f64 / span_ms as f64),
        };
        let mut situation = Situation {
            store_ms: now_us / 1_000,
            view_complete: true,
            demand_slots,
            suspicion: state.judge.suspicion(),
            condemnation,
            ..Situation::default()
        };
        for endpoint in self.endpoints.iter().filter(|endpoint| !endpoint.stopped) {
            let tally = state.tallies.get(node_id(endpoint.node));
            if endpoint.candidate {
                situation.candidates += 1;
                let warm = tally.filter(|tally| !tally.cold);
                situation.candidate_slots += warm.map_or(0, |tally| tally.slots);
                situation.candidate_answers += tally.map_or(0, NodeTally::answers);
            } else {
                situation.established += 1;
                let idle = tally.is_some_and(|tally| tally.closed && tally.in_flight == 0);
                situation.established_busy += usize::from(!idle);
            }
        }
        situation
    }

    fn store_latency_us(&mut self) -> u64 {
        match self.has_trouble(self.now_us, Trouble::StoreSlow) {
            true => 500_000,
            false => self.rng.random_range(4_000..30_000),
        }
    }

    fn write(&mut self, lead: usize, state: RolloutState, replaced_revision: u64) {
        let unreachable =
            self.has_trouble(self.now_us, Trouble::StoreDown) || self.is_cut(self.now_us, lead);
        let latency_us = self.store_latency_us();
        if unreachable {
            let event = Event::WriteAnswered {
                lead,
                written: None,
            };
            return self.schedule(self.now_us + 1_500_000, event);
        }
        if self.store.state_revision() == replaced_revision {
            self.store_revision += 1;
            self.apply(&state);
            self.store.state = Some(StateEntry {
                revision: self.store_revision,
                state,
            });
        }
        let event = Event::WriteAnswered {
            lead,
            written: self.store.state.clone(),
        };
        self.schedule(self.now_us + latency_us, event);
    }

    /// The operator sees a state.
    fn apply(&mut self, state: &RolloutState) {
        if !state.phase.is_final() {
            return;
        }
        self.outcome.phase = Some(state.phase);
        self.outcome.decided_ms = (self.now_us - ORDER_AT_US) / 1_000;
        self.outcome.reason.clone_from(&state.reason);
        if state.phase == RolloutPhase::Completed {
            for endpoint in self.endpoints.iter_mut().filter(|e| !e.candidate) {
                self.outcome.cut_off += endpoint.in_flight;
                endpoint.stopped = true;
            }
        }
    }

    fn handle_written(&mut self, lead: usize, written: Option<StateEntry>) {
        let now_us = self.now_us;
        let state = &mut self.leads[lead];
        state.writing = false;
        state.due = None;
        let node = state.node;
        let Some(entry) = written else {
            state.not_before_us = now_us + 300_000;
            return;
        };
        self.nodes[node].book.merge_state(&self.service, entry);
        let book = self.nodes[node].book.clone();
        self.spread(now_us, lead, &book);
    }

    fn record_course(&mut self) {
        let recent = std::mem::take(&mut self.recent);
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        self.outcome.course.push(CoursePoint {
            after_order_s: (self.now_us.saturating_sub(ORDER_AT_US)) as f64 / 1e6,
            candidate_share: share(recent.candidate_arrivals, recent.arrivals),
            bad_share: share(recent.bad, recent.responses),
            suspicion: self.leads[0].judge.suspicion().min(1.0),
        });
    }
}

fn node_id(index: usize) -> NodeId {
    let address = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8);
    NodeId(SocketAddr::new(address.into(), 1))
}

fn node_index(node: NodeId) -> usize {
    match node.0.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 250 + usize::from(low)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}
