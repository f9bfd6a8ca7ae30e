//! Specification of spread, apply and restart.
//!
//! The accepted versions are 1, 2, ... in order; how `publish` makes them so is checked apart, in
//! [`crate::publish`]. Nodes hear of versions by gossip and from the head, fetch content from the
//! platform or a peer, and apply it through the product's own holder. Messages are kept for ever
//! once sent and may arrive at any time, again, in any order, or never; content in flight may even
//! reach the next process at its address. Nodes lose all memory when they crash.

mod node_steps;
mod state;

use crate::checker::Specification;
use crate::configurations::{ApplyMutation, Contents, Form};
pub use state::{Action, Bounds, FloorRule, Mutation, NODES_MAX, Node, Start, State};
use state::{ORDERS, Phase, bit, renumbered};

/// The protocol at given bounds.
#[derive(Debug)]
pub struct Spread {
    bounds: Bounds,
    rule: FloorRule,
    mutation: Option<Mutation>,
    contents: Contents,
}

impl Spread {
    /// A protocol to check.
    pub fn new(bounds: Bounds, rule: FloorRule, mutation: Option<Mutation>) -> Self {
        Self {
            bounds,
            rule,
            mutation,
            contents: Contents::new(bounds.open_version),
        }
    }

    fn peers(&self, node: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.bounds.nodes).filter(move |peer| *peer != node)
    }

    fn reach(state: &State, from: usize, to: usize) -> bool {
        let up = |node: usize| state.nodes[node].phase != Phase::Down;
        let cut = state.nodes[from].cut_off || state.nodes[to].cut_off;
        up(from) && up(to) && !cut
    }

    fn version(&self, node: &Node) -> u8 {
        self.contents.version(node.enforced)
    }

    fn enforce(&self, state: &mut State, at: usize, content: u8) {
        let version = self.contents.version(content);
        let node = &mut state.nodes[at];
        node.enforced = content;
        node.highest = node.highest.max(version);
        node.staged = 0;
        node.noted_by = 0;
    }

    /// Content as it arrives; `None` if it changes nothing.
    fn deliver(&self, state: &State, at: usize, form: Form, version: u8) -> Option<State> {
        let node = &state.nodes[at];
        if node.phase != Phase::Running {
            return None;
        }
        let content = self.accepted(node, form, version)?;
        let mut next = *state;
        if self.mutation == Some(Mutation::ApplyInParts) && self.contents.is_whole(node.enforced) {
            let part = self.contents.apply_in_part(node.enforced, version);
            self.enforce(&mut next, at, part);
        } else if self.rule.witnesses == 0 {
            self.enforce(&mut next, at, content);
        } else if node.staged < version {
            next.nodes[at].staged = version;
            next.nodes[at].noted_by = 0;
        }
        Some(next)
    }

    fn accepted(&self, node: &Node, form: Form, version: u8) -> Option<u8> {
        let mutation = match self.mutation {
            Some(Mutation::ApplyWithoutComparing) => ApplyMutation::WithoutComparing,
            Some(Mutation::ApplyWithoutDigest) => ApplyMutation::WithoutDigest,
            Some(Mutation::ApplyWithoutClosureCheck) => ApplyMutation::WithoutClosureCheck,
            _ if !self.contents.is_whole(node.enforced) => return None,
            _ => {
                return self
                    .contents
                    .apply(node.enforced, node.floor, form, version);
            }
        };
        self.contents
            .apply_mutated(mutation, node.enforced, form, version)
    }

    fn may_enforce_staged(&self, state: &State, at: usize) -> bool {
        let in_reach = self.peers(at).filter(|peer| Self::reach(state, at, *peer));
        let all = u32::try_from(self.bounds.nodes - 1).expect("few nodes");
        let available = match self.rule.waits_for_witnesses {
            true => all,
            false => u32::try_from(in_reach.count()).expect("few nodes"),
        };
        let needed = self.rule.witnesses.min(available);
        state.nodes[at].noted_by.count_ones() >= needed
    }

    fn may_begin(&self, state: &State, at: usize) -> bool {
        let node = &state.nodes[at];
        if node.head_read || self.rule.start == Start::Nothing {
            return true;
        }
        // The head comes first; peers are enough only if it cannot be had.
        if !state.platform_away {
            return false;
        }
        let all = u32::try_from(self.bounds.nodes - 1).expect("few nodes");
        match self.rule.start {
            Start::Nothing => true,
            Start::HeadOnly => false,
            Start::PeersInReach => {
                let mut answering = self.answering(state, at);
                node.heard != 0 && answering.all(|peer| node.heard & bit(peer) != 0)
            }
            Start::AllPeersBut(missing) => node.heard.count_ones() + missing >= all,
        }
    }

    /// Peers that tell a started node what they remember. One that is itself starting does not: it
    /// has lost its memory, and its silence must not pass for "nothing known".
    fn answering(&self, state: &State, at: usize) -> impl Iterator<Item = usize> {
        let answers = move |peer: &usize| {
            Self::reach(state, at, *peer) && state.nodes[*peer].phase == Phase::Running
        };
        self.peers(at).filter(answers)
    }

    fn configuration_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        let mut add = |action, next: State| {
            if next != *state {
                steps.push((action, next));
            }
        };
        if state.head < self.bounds.versions && !state.platform_away {
            let mut next = *state;
            next.head += 1;
            add(Action::Commit, next);
        }
        for at in 0..self.bounds.nodes {
            let node = &state.nodes[at];
            if node.phase == Phase::Down {
                continue;
            }
            if node.phase == Phase::Starting && !state.platform_away {
                let mut next = *state;
                next.nodes[at].head_read = true;
                next.nodes[at].floor = node.floor.max(state.head);
                // No address can have enforced more than the head, so the head stands for all that
                // this address had noted of its peers and has lost.
                for about in self.peers(at) {
                    let memory = &mut next.nodes[at].memory[about];
                    *memory = (*memory).max(state.head);
                }
                add(Action::ReadHead(at), next);
            }
            if node.phase != Phase::Running {
                continue;
            }
            for version in 1..=state.head {
                for form in [Form::Delta, Form::Snapshot, Form::Damaged] {
                    if self.may_arrive(state, at, form, version)
                        && let Some(next) = self.deliver(state, at, form, version)
                    {
                        add(Action::Deliver(at, form, version), next);
                    }
                }
            }
            if self.mutation == Some(Mutation::NeverFetchAgain) {
                let mut next = *state;
                next.nodes[at].fetch_failed = true;
                add(Action::FetchLost(at), next);
            }
            self.staged_steps(state, at, &mut add);
        }
    }

    /// Whether content can be on its way to a node: fetched from the platform or a peer, or still
    /// in flight from what any process at its address has fetched before. Damaged content can come
    /// from anywhere.
    fn may_arrive(&self, state: &State, at: usize, form: Form, version: u8) -> bool {
        let node = &state.nodes[at];
        if node.fetch_failed {
            return false;
        }
        let peer_has = |peer: usize| {
            Self::reach(state, at, peer) && self.version(&state.nodes[peer]) == version
        };
        let from_platform = version == state.head && !state.platform_away;
        let in_flight = version <= node.highest;
        form == Form::Damaged || from_platform || in_flight || self.peers(at).any(peer_has)
    }

    fn staged_steps(&self, state: &State, at: usize, add: &mut impl FnMut(Action, State)) {
        let node = &state.nodes[at];
        let version = node.staged;
        if version == 0 {
            return;
        }
        for peer in self.peers(at).filter(|peer| Self::reach(state, at, *peer)) {
            for answer_lost in [false, true] {
                let mut next = *state;
                let memory = &mut next.nodes[peer].memory[at];
                *memory = (*memory).max(version);
                if !answer_lost {
                    next.nodes[at].noted_by |= bit(peer);
                }
                let action = Action::Note {
                    node: at,
                    peer,
                    answer_lost,
                };
                add(action, next);
            }
        }
        if self.may_enforce_staged(state, at) {
            let mut next = *state;
            match self.accepted(node, Form::Snapshot, version) {
                Some(content) => self.enforce(&mut next, at, content),
                None => next.nodes[at].staged = 0,
            }
            add(Action::Enforce(at), next);
        }
    }
}

impl Specification for Spread {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut memory = [0; NODES_MAX];
        memory[..self.bounds.nodes].fill(1);
        let node = |at: usize| Node {
            phase: Phase::Running,
            enforced: 1,
            floor: 0,
            staged: 0,
            noted_by: 0,
            heard: 0,
            head_read: false,
            fetch_failed: false,
            memory: std::array::from_fn(|of| if of == at { 0 } else { memory[of] }),
            cut_off: false,
            highest: 1,
        };
        State {
            head: 1,
            platform_away: false,
            nodes: std::array::from_fn(node),
            crashes: self.bounds.crashes,
            cuts: self.bounds.cuts,
            outages: self.bounds.outages,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        self.configuration_steps(state, &mut steps);
        self.gossip_steps(state, &mut steps);
        self.start_steps(state, &mut steps);
        self.fault_steps(state, &mut steps);
        steps
    }

    /// Nodes are alike, so states that differ only in their numbers are one.
    fn canonical(&self, state: State) -> State {
        let orders = match self.bounds.nodes {
            NODES_MAX => &ORDERS[..],
            2 => &ORDERS[..2],
            _ => &ORDERS[..1],
        };
        let all = orders.iter().map(|order| renumbered(&state, *order));
        all.min().expect("at least one order")
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        let nodes = &state.nodes[..self.bounds.nodes];
        for node in nodes.iter().filter(|node| node.enforced != 0) {
            if self.version(node) < node.highest {
                return Some("a version never goes back at a node");
            }
            if !self.contents.is_whole(node.enforced) {
                return Some("all of a version or none of it");
            }
            if !self.contents.is_closed(node.enforced) {
                return Some("references close");
            }
            if self.version(node) > state.head {
                return Some("only accepted versions are enforced");
            }
        }
        None
    }

    fn without_faults(&self, state: &State) -> Option<State> {
        let mut calm = *state;
        calm.platform_away = false;
        calm.crashes = 0;
        calm.cuts = 0;
        calm.outages = 0;
        for node in &mut calm.nodes {
            node.cut_off = false;
        }
        Some(calm)
    }

    fn settled(&self, state: &State) -> bool {
        let nodes = &state.nodes[..self.bounds.nodes];
        nodes
            .iter()
            .all(|node| node.phase == Phase::Running && node.enforced == state.head)
    }
}
