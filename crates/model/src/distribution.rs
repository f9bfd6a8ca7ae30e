//! Specification of configuration distribution: nodes receive versions, apply them, and restart.
//!
//! Versions 1, 2, ... are accepted in order; [`crate::publish`] checks separately that `publish`
//! keeps this order. Nodes receive announcements by gossip and read the head, fetch content from the
//! platform or a peer, and apply it through the product's own holder.
//!
//! A message that was sent may arrive at any time, in any order, several times or never. Content in
//! flight may even reach a process that was started later at the same address. A node that crashes
//! loses all its memory.

mod node_steps;
mod state;

use crate::checker::Specification;
use crate::configurations::{ApplyMutation, ConfigurationSet, ContentForm};
pub use state::{Action, Bounds, FloorRule, Mutation, NODES_MAX, Node, StartCondition, State};
use state::{NODE_PERMUTATIONS, Phase, bit, renumber_nodes};

/// The specification of distribution with given bounds and floor rule.
#[derive(Debug)]
pub struct DistributionSpec {
    bounds: Bounds,
    rule: FloorRule,
    mutation: Option<Mutation>,
    configurations: ConfigurationSet,
}

impl DistributionSpec {
    /// Creates the specification. A `mutation` breaks the protocol, to test the checker.
    pub fn new(bounds: Bounds, rule: FloorRule, mutation: Option<Mutation>) -> Self {
        Self {
            bounds,
            rule,
            mutation,
            configurations: ConfigurationSet::new(bounds.dangling_version),
        }
    }

    fn peers(&self, node: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.bounds.nodes).filter(move |peer| *peer != node)
    }

    fn can_reach(state: &State, from: usize, to: usize) -> bool {
        let up = |node: usize| state.nodes[node].phase != Phase::Down;
        let cut = state.nodes[from].cut_off || state.nodes[to].cut_off;
        up(from) && up(to) && !cut
    }

    fn enforced_version(&self, node: &Node) -> u8 {
        self.configurations.version_of(node.enforced_id)
    }

    fn enforce(&self, state: &mut State, index: usize, configuration_id: u8) {
        let version = self.configurations.version_of(configuration_id);
        let node = &mut state.nodes[index];
        node.enforced_id = configuration_id;
        node.highest_enforced = node.highest_enforced.max(version);
        node.staged_version = 0;
        node.recorded_by = 0;
    }

    /// The state after the content of `version` has arrived at a node. `None` if the node is not
    /// running or refuses the content.
    fn deliver_content(
        &self,
        state: &State,
        index: usize,
        form: ContentForm,
        version: u8,
    ) -> Option<State> {
        let node = &state.nodes[index];
        if node.phase != Phase::Running {
            return None;
        }
        let configuration_id = self.apply_result(node, form, version)?;
        let mut next = *state;
        if self.mutation == Some(Mutation::ApplyInParts)
            && self.configurations.is_published(node.enforced_id)
        {
            let partial_id = self
                .configurations
                .apply_first_changed_team(node.enforced_id, version);
            self.enforce(&mut next, index, partial_id);
        } else if self.rule.witnesses == 0 {
            self.enforce(&mut next, index, configuration_id);
        } else if node.staged_version < version {
            next.nodes[index].staged_version = version;
            next.nodes[index].recorded_by = 0;
        }
        Some(next)
    }

    fn apply_result(&self, node: &Node, form: ContentForm, version: u8) -> Option<u8> {
        let mutation = match self.mutation {
            Some(Mutation::ApplyWithoutVersionCheck) => ApplyMutation::WithoutVersionCheck,
            Some(Mutation::ApplyWithoutDigestCheck) => ApplyMutation::WithoutDigestCheck,
            Some(Mutation::ApplyWithoutReferenceCheck) => ApplyMutation::WithoutReferenceCheck,
            _ if !self.configurations.is_published(node.enforced_id) => return None,
            _ => {
                return self
                    .configurations
                    .apply(node.enforced_id, node.floor, form, version);
            }
        };
        self.configurations
            .apply_mutated(mutation, node.enforced_id, form, version)
    }

    fn may_enforce_staged(&self, state: &State, index: usize) -> bool {
        let reachable_peers = self
            .peers(index)
            .filter(|peer| Self::can_reach(state, index, *peer));
        let peer_count =
            u32::try_from(self.bounds.nodes - 1).expect("the number of nodes fits in a u32");
        let available = match self.rule.waits_for_witnesses {
            true => peer_count,
            false => {
                u32::try_from(reachable_peers.count()).expect("the number of nodes fits in a u32")
            }
        };
        let needed = self.rule.witnesses.min(available);
        state.nodes[index].recorded_by.count_ones() >= needed
    }

    fn may_finish_start(&self, state: &State, index: usize) -> bool {
        let node = &state.nodes[index];
        if node.head_read || self.rule.start_condition == StartCondition::Unconditional {
            return true;
        }
        // Answers of peers are enough only while the head cannot be read.
        if !state.platform_down {
            return false;
        }
        let peer_count =
            u32::try_from(self.bounds.nodes - 1).expect("the number of nodes fits in a u32");
        match self.rule.start_condition {
            StartCondition::Unconditional => true,
            StartCondition::HeadOnly => false,
            StartCondition::AllReachablePeers => {
                let mut answering = self.answering_peers(state, index);
                node.answered_peers != 0
                    && answering.all(|peer| node.answered_peers & bit(peer) != 0)
            }
            StartCondition::AllPeersBut(missing) => {
                node.answered_peers.count_ones() + missing >= peer_count
            }
        }
    }

    /// Peers that answer the floor query of a starting node. A peer that is itself starting does not
    /// answer: it has lost its records, and an empty answer would mean that the starting node had
    /// enforced nothing.
    fn answering_peers(&self, state: &State, index: usize) -> impl Iterator<Item = usize> {
        let may_answer = move |peer: &usize| {
            Self::can_reach(state, index, *peer) && state.nodes[*peer].phase == Phase::Running
        };
        self.peers(index).filter(may_answer)
    }

    fn configuration_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        let mut add = |action, next: State| {
            if next != *state {
                steps.push((action, next));
            }
        };
        if state.head < self.bounds.versions && !state.platform_down {
            let mut next = *state;
            next.head += 1;
            add(Action::Commit, next);
        }
        for index in 0..self.bounds.nodes {
            let node = &state.nodes[index];
            if node.phase == Phase::Down {
                continue;
            }
            if node.phase == Phase::Starting && !state.platform_down {
                let mut next = *state;
                next.nodes[index].head_read = true;
                next.nodes[index].floor = node.floor.max(state.head);
                // No node can have enforced a version above the head. The head therefore replaces
                // the versions that this node recorded for its peers and lost in the crash.
                for subject in self.peers(index) {
                    let highest_reported = &mut next.nodes[index].highest_reported[subject];
                    *highest_reported = (*highest_reported).max(state.head);
                }
                add(Action::ReadHead(index), next);
            }
            if node.phase != Phase::Running {
                continue;
            }
            for version in 1..=state.head {
                for form in [
                    ContentForm::Delta,
                    ContentForm::Snapshot,
                    ContentForm::Damaged,
                ] {
                    if self.may_arrive(state, index, form, version)
                        && let Some(next) = self.deliver_content(state, index, form, version)
                    {
                        add(Action::Deliver(index, form, version), next);
                    }
                }
            }
            if self.mutation == Some(Mutation::NeverRetryFetch) {
                let mut next = *state;
                next.nodes[index].fetch_failed = true;
                add(Action::FetchFails(index), next);
            }
            self.staged_steps(state, index, &mut add);
        }
    }

    /// Whether content can arrive at a node: fetched from the platform or a peer, or still in flight
    /// from an earlier fetch by any process at its address. Damaged content can always arrive.
    fn may_arrive(&self, state: &State, index: usize, form: ContentForm, version: u8) -> bool {
        let node = &state.nodes[index];
        if node.fetch_failed {
            return false;
        }
        let peer_has = |peer: usize| {
            Self::can_reach(state, index, peer)
                && self.enforced_version(&state.nodes[peer]) == version
        };
        let from_platform = version == state.head && !state.platform_down;
        let in_flight = version <= node.highest_enforced;
        form == ContentForm::Damaged
            || from_platform
            || in_flight
            || self.peers(index).any(peer_has)
    }

    fn staged_steps(&self, state: &State, index: usize, add: &mut impl FnMut(Action, State)) {
        let node = &state.nodes[index];
        let version = node.staged_version;
        if version == 0 {
            return;
        }
        for peer in self
            .peers(index)
            .filter(|peer| Self::can_reach(state, index, *peer))
        {
            for answer_lost in [false, true] {
                let mut next = *state;
                let highest_reported = &mut next.nodes[peer].highest_reported[index];
                *highest_reported = (*highest_reported).max(version);
                if !answer_lost {
                    next.nodes[index].recorded_by |= bit(peer);
                }
                let action = Action::RecordAtPeer {
                    node: index,
                    peer,
                    answer_lost,
                };
                add(action, next);
            }
        }
        if self.may_enforce_staged(state, index) {
            let mut next = *state;
            match self.apply_result(node, ContentForm::Snapshot, version) {
                Some(configuration_id) => self.enforce(&mut next, index, configuration_id),
                None => next.nodes[index].staged_version = 0,
            }
            add(Action::Enforce(index), next);
        }
    }
}

impl Specification for DistributionSpec {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut initial_reports = [0; NODES_MAX];
        initial_reports[..self.bounds.nodes].fill(1);
        let node = |index: usize| Node {
            phase: Phase::Running,
            enforced_id: 1,
            floor: 0,
            staged_version: 0,
            recorded_by: 0,
            answered_peers: 0,
            head_read: false,
            fetch_failed: false,
            highest_reported: std::array::from_fn(|subject| {
                if subject == index {
                    0
                } else {
                    initial_reports[subject]
                }
            }),
            cut_off: false,
            highest_enforced: 1,
        };
        State {
            head: 1,
            platform_down: false,
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

    /// Nodes are interchangeable, so states that differ only in the numbering of nodes are the same.
    fn canonical(&self, state: State) -> State {
        let permutations = match self.bounds.nodes {
            NODES_MAX => &NODE_PERMUTATIONS[..],
            2 => &NODE_PERMUTATIONS[..2],
            _ => &NODE_PERMUTATIONS[..1],
        };
        let renumbered = permutations
            .iter()
            .map(|permutation| renumber_nodes(&state, *permutation));
        renumbered.min().expect("there is at least one permutation")
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        let nodes = &state.nodes[..self.bounds.nodes];
        for node in nodes.iter().filter(|node| node.enforced_id != 0) {
            if self.enforced_version(node) < node.highest_enforced {
                return Some("a node never goes back to an older version");
            }
            if !self.configurations.is_published(node.enforced_id) {
                return Some("a node enforces all of a version or none of it");
            }
            if !self.configurations.references_resolve(node.enforced_id) {
                return Some("every reference resolves");
            }
            if self.enforced_version(node) > state.head {
                return Some("only accepted versions are enforced");
            }
        }
        None
    }

    fn without_faults(&self, state: &State) -> Option<State> {
        let mut fault_free = *state;
        fault_free.platform_down = false;
        fault_free.crashes = 0;
        fault_free.cuts = 0;
        fault_free.outages = 0;
        for node in &mut fault_free.nodes {
            node.cut_off = false;
        }
        Some(fault_free)
    }

    fn is_settled(&self, state: &State) -> bool {
        let nodes = &state.nodes[..self.bounds.nodes];
        nodes
            .iter()
            .all(|node| node.phase == Phase::Running && node.enforced_id == state.head)
    }
}
