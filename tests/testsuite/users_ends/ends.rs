//! What ends, when and how, and what starts again.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use testkit::network::Site;
use testkit::process::Signal;
use testkit::users::backend::journal::{self, Entry};
use testkit::users::backend_process::StopMode;
use testkit::users::mesh::Mesh;
use testkit::users::store::CallFault;

use super::routes;
use crate::support::{SERVICES, write_routes};

/// Longest time between the first and the last process that ends.
const SPREAD_MAX_MS: u64 = 400;
/// Longest time for which everything is down.
const DOWN_MAX_MS: u64 = 2_500;
/// Longest time for which a process is stopped or cut off before it is killed, or drains.
const HELD_MAX_MS: u64 = 1_200;
/// Time for which processes are paused that go on afterwards.
const PAUSE_MIN_MS: u64 = 300;
const PAUSE_MAX_MS: u64 = 6_000;
/// Time for which backend servers that deny what they run go on.
const DENY_MS: u64 = 100;
const DENY_SHORT_MS: u64 = 4;
/// Time between a start and the next end.
const RUNNING_MIN_MS: u64 = 1_500;
const RUNNING_MAX_MS: u64 = 3_000;

/// A process of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Node,
    Backend,
}

/// In which order processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    NodesFirst,
    BackendsFirst,
    /// Both processes of a VM, then those of the next one.
    ByVm,
    Mixed,
}

/// How processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// SIGKILL.
    Kill,
    /// SIGTERM, and SIGKILL to those that still run after this time.
    Terminate { held_ms: u64 },
    /// SIGTERM to backend servers, SIGKILL to nodes.
    TerminateBackends,
    /// SIGTERM to nodes, SIGKILL to backend servers.
    TerminateNodes { held_ms: u64 },
    /// SIGSTOP, and SIGKILL after this time.
    Stop { held_ms: u64 },
    /// SIGSTOP, and SIGCONT after this time: nothing ends.
    Pause { held_ms: u64 },
    /// The links between VMs carry nothing for this time, then SIGKILL.
    Silence { held_ms: u64 },
}

/// What ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    All,
    Nodes,
    Backends,
    /// Both processes of some VMs.
    SomeVms,
    SomeNodes,
    SomeBackends,
}

impl Extent {
    const ALL: [Self; 8] = [
        Self::All,
        Self::All,
        Self::All,
        Self::Nodes,
        Self::Backends,
        Self::SomeVms,
        Self::SomeNodes,
        Self::SomeBackends,
    ];

    fn includes(self, process: Process, is_chosen: bool) -> bool {
        match self {
            Self::All => true,
            Self::Nodes => process == Process::Node,
            Self::Backends => process == Process::Backend,
            Self::SomeVms => is_chosen,
            Self::SomeNodes => is_chosen && process == Process::Node,
            Self::SomeBackends => is_chosen && process == Process::Backend,
        }
    }
}

/// What fails around the processes from before an end until after the start that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Surroundings {
    Sound,
    /// The store does not answer as it should.
    Store(CallFault),
    /// The links between some VMs and the others carry nothing, in one direction or both.
    Cut {
        both: bool,
    },
}

impl Surroundings {
    const ALL: [Self; 7] = [
        Self::Sound,
        Self::Sound,
        Self::Sound,
        Self::Store(CallFault::Unavailable),
        Self::Store(CallFault::NeverAnswer),
        Self::Cut { both: false },
        Self::Cut { both: true },
    ];
}

/// The end of all processes, or of all of a kind.
#[derive(Clone, Debug)]
pub(super) struct End {
    seed: u64,
    order: Order,
    way: Way,
    extent: Extent,
    surroundings: Surroundings,
    spread_ms: u64,
    down_ms: u64,
    running_ms: u64,
    /// Whether the operator writes a configuration right before.
    after_publication: bool,
    /// What backend servers that start again do upon SIGTERM.
    stop_mode: StopMode,
}

impl End {
    /// The ends that a seed plays, one after the other.
    pub(super) fn series(seed: u64, count: usize) -> Vec<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        (0..count).map(|_| Self::random(&mut rng)).collect()
    }

    /// Ends of backend servers that deny what they run, before the nodes end or while they go on. The first one only starts
    /// such backend servers.
    pub(super) fn denials(seed: u64, count: usize) -> Vec<Self> {
        let ends = Self::series(seed, count);
        let denial = |(number, end): (usize, Self)| Self {
            order: Order::BackendsFirst,
            way: Way::Terminate {
                held_ms: 2 * DENY_MS,
            },
            extent: match number % 2 {
                0 => Extent::Backends,
                _ => Extent::All,
            },
            surroundings: Surroundings::Sound,
            stop_mode: StopMode::Deny(match number % 3 {
                0 => DENY_MS,
                _ => DENY_SHORT_MS,
            }),
            ..end
        };
        ends.into_iter().enumerate().map(denial).collect()
    }

    /// Pauses of processes, which then go on with what they had received.
    pub(super) fn pauses(seed: u64, count: usize) -> Vec<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut pause = |end| Self {
            way: Way::Pause {
                held_ms: rng.random_range(PAUSE_MIN_MS..PAUSE_MAX_MS),
            },
            extent: [Extent::SomeVms, Extent::SomeNodes, Extent::SomeBackends]
                [rng.random_range(0..3)],
            ..end
        };
        let ends = Self::series(seed, count);
        ends.into_iter().map(&mut pause).collect()
    }

    fn random(rng: &mut StdRng) -> Self {
        let orders = [
            Order::NodesFirst,
            Order::BackendsFirst,
            Order::ByVm,
            Order::Mixed,
        ];
        let held_ms = rng.random_range(0..HELD_MAX_MS);
        let ways = [
            Way::Kill,
            Way::Kill,
            Way::Terminate { held_ms },
            Way::TerminateBackends,
            Way::TerminateNodes { held_ms },
            Way::Stop { held_ms },
            Way::Silence { held_ms },
        ];
        let stop_modes = [StopMode::Exit, StopMode::Drain(200), StopMode::Drain(1_000)];
        let is_at_once = rng.random_bool(0.3);
        Self {
            seed: rng.random(),
            order: orders[rng.random_range(0..orders.len())],
            way: ways[rng.random_range(0..ways.len())],
            extent: Extent::ALL[rng.random_range(0..Extent::ALL.len())],
            surroundings: Surroundings::ALL[rng.random_range(0..Surroundings::ALL.len())],
            spread_ms: match is_at_once {
                true => 0,
                false => rng.random_range(0..SPREAD_MAX_MS),
            },
            down_ms: rng.random_range(100..DOWN_MAX_MS),
            running_ms: rng.random_range(RUNNING_MIN_MS..RUNNING_MAX_MS),
            after_publication: rng.random_bool(0.5),
            stop_mode: stop_modes[rng.random_range(0..stop_modes.len())],
        }
    }

    /// The processes that end, in order.
    fn processes(&self, vms: usize) -> Vec<(usize, Process)> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut positions: Vec<usize> = (0..vms).collect();
        positions.shuffle(&mut rng);
        let all = |process| positions.iter().map(move |position| (*position, process));
        let mut processes: Vec<_> = match self.order {
            Order::NodesFirst => all(Process::Node).chain(all(Process::Backend)).collect(),
            Order::BackendsFirst => all(Process::Backend).chain(all(Process::Node)).collect(),
            Order::ByVm | Order::Mixed => {
                let both =
                    |position: &usize| [(*position, Process::Node), (*position, Process::Backend)];
                positions.iter().flat_map(both).collect()
            }
        };
        if self.order == Order::Mixed {
            processes.shuffle(&mut rng);
        }
        let chosen = &positions[..vms.div_ceil(2)];
        processes.retain(|(position, process)| {
            self.extent.includes(*process, chosen.contains(position))
        });
        processes
    }

    fn signal(&self, process: Process) -> Signal {
        match (self.way, process) {
            (Way::Kill, _) | (Way::Silence { .. }, _) => Signal::Kill,
            (Way::Stop { .. } | Way::Pause { .. }, _) => Signal::Stop,
            (Way::Terminate { .. }, _) => Signal::Terminate,
            (Way::TerminateBackends, Process::Backend) => Signal::Terminate,
            (Way::TerminateBackends, Process::Node) => Signal::Kill,
            (Way::TerminateNodes { .. }, Process::Node) => Signal::Terminate,
            (Way::TerminateNodes { .. }, Process::Backend) => Signal::Kill,
        }
    }

    fn held(&self) -> Duration {
        match self.way {
            Way::Kill | Way::TerminateBackends | Way::Silence { .. } => Duration::ZERO,
            Way::Terminate { held_ms }
            | Way::TerminateNodes { held_ms }
            | Way::Stop { held_ms }
            | Way::Pause { held_ms } => Duration::from_millis(held_ms),
        }
    }
}

/// A mesh whose processes end and start again.
pub(super) struct Ends {
    mesh: Mesh,
    version: u64,
}

impl Ends {
    pub(super) fn new(mesh: Mesh) -> Self {
        Self { mesh, version: 1 }
    }

    /// Plays the ends. After the last one nothing starts again.
    pub(super) async fn play(&mut self, ends: &[End]) {
        for (number, end) in ends.iter().enumerate() {
            tokio::time::sleep(Duration::from_millis(end.running_ms)).await;
            self.begin(end).await;
            tokio::time::sleep(Duration::from_millis(end.down_ms)).await;
            if number + 1 < ends.len() {
                self.start_again(end).await;
            }
        }
    }

    async fn begin(&mut self, end: &End) {
        if end.after_publication {
            self.version += 1;
            write_routes(&self.mesh, self.version, &routes(), &SERVICES);
        }
        self.set_surroundings(end);
        if let Way::Silence { held_ms } = end.way {
            self.mesh.network.set_cut(true, |from, to| from != to);
            tokio::time::sleep(Duration::from_millis(held_ms)).await;
        }
        let processes = end.processes(self.mesh.vms.len());
        let pauses = u32::try_from(processes.len()).unwrap_or(u32::MAX).max(1);
        let pause = Duration::from_millis(end.spread_ms) / pauses;
        for (position, process) in &processes {
            self.signal(*position, *process, end.signal(*process));
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        tokio::time::sleep(end.held()).await;
        if let Way::Pause { .. } = end.way {
            for (position, process) in &processes {
                self.signal(*position, *process, Signal::Continue);
            }
            return;
        }
        for (position, process) in &processes {
            self.signal(*position, *process, Signal::Kill);
        }
        for (position, process) in &processes {
            self.wait_exit(*position, *process).await;
        }
        self.set_surroundings(end);
    }

    fn set_surroundings(&self, end: &End) {
        let vms = u8::try_from(self.mesh.vms.len()).unwrap_or(u8::MAX);
        let is_inside = |site: Site| site < vms && (u64::from(site) + end.seed).is_multiple_of(3);
        let (fault, is_cut): (_, Box<dyn Fn(Site, Site) -> bool>) = match end.surroundings {
            Surroundings::Sound => (CallFault::None, Box::new(|_, _| false)),
            Surroundings::Store(fault) => (fault, Box::new(|_, _| false)),
            Surroundings::Cut { both } => {
                let is_cut = move |from: Site, to: Site| {
                    is_inside(from) && !is_inside(to) || both && is_inside(to) && !is_inside(from)
                };
                (CallFault::None, Box::new(is_cut))
            }
        };
        self.mesh.store.set_call_fault(fault);
        self.mesh.network.set_cut_links(is_cut);
    }

    fn end_surroundings(&self) {
        self.mesh.store.set_call_fault(CallFault::None);
        self.mesh.network.set_cut(false, |_, _| true);
    }

    fn signal(&self, position: usize, process: Process, signal: Signal) {
        let vm = &self.mesh.vms[position];
        match process {
            Process::Node => vm.node.iter().for_each(|node| node.signal(signal)),
            Process::Backend => {
                let backend = vm.backend_process.iter();
                backend.for_each(|backend| backend.signal(signal));
            }
        }
    }

    async fn wait_exit(&mut self, position: usize, process: Process) {
        match process {
            Process::Node => {
                let exited = self.mesh.wait_node_exit(position).await;
                exited.expect("the exit of the node is seen");
            }
            Process::Backend => {
                if let Some(mut backend) = self.mesh.vms[position].backend_process.take() {
                    let exited = backend.wait_exit().await;
                    exited.expect("the exit of the backend server is seen");
                }
            }
        }
    }

    async fn start_again(&mut self, end: &End) {
        let positions = 0..self.mesh.vms.len();
        for position in positions.clone() {
            if self.mesh.vms[position].backend_process.is_none() {
                let started = self.mesh.start_backend_process(position, end.stop_mode);
                started.expect("the backend server starts");
            }
        }
        let without_node = |position: &usize| self.mesh.vms[*position].node.is_none();
        let nodes: Vec<usize> = positions.filter(without_node).collect();
        let started = self.mesh.start_nodes(&nodes).await;
        started.expect("the nodes start");
        tokio::time::sleep(Duration::from_millis(end.down_ms) / 2).await;
        self.end_surroundings();
    }

    /// Ends all processes and returns what all backend servers did, in the order of time.
    pub(super) async fn into_entries(mut self) -> Vec<Entry> {
        for position in 0..self.mesh.vms.len() {
            for process in [Process::Node, Process::Backend] {
                self.signal(position, process, Signal::Kill);
                self.wait_exit(position, process).await;
            }
        }
        let journals = self.mesh.vms.iter().flat_map(|vm| &vm.journals);
        // A process that was killed at once has written none.
        let entries = journals.filter_map(|path| journal::read(path).ok());
        let mut entries: Vec<Entry> = entries.flatten().collect();
        entries.sort_by_key(|entry| entry.at_us);
        entries
    }
}
