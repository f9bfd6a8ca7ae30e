//! Steps of nodes among each other: statements, starts, and what goes wrong.

use super::Spread;
use super::state::{Action, Mutation, Phase, State, bit, without_memory};

impl Spread {
    pub(super) fn gossip_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for from in 0..self.bounds.nodes {
            for to in self.peers(from) {
                let receiver = &state.nodes[to];
                if receiver.phase == Phase::Down || receiver.cut_off {
                    continue;
                }
                // What any process at that address has said may arrive at any time.
                for version in 1..=state.nodes[from].highest {
                    let mut next = *state;
                    let node = &mut next.nodes[to];
                    node.memory[from] = self.remember(node.memory[from], version);
                    if next != *state {
                        steps.push((Action::Gossip { from, to, version }, next));
                    }
                }
                if Self::reach(state, from, to) {
                    let mut next = *state;
                    for about in self.peers(from).filter(|about| *about != to) {
                        let theirs = state.nodes[from].memory[about];
                        let memory = &mut next.nodes[to].memory[about];
                        *memory = (*memory).max(theirs);
                    }
                    if next != *state {
                        steps.push((Action::ShareView { from, to }, next));
                    }
                }
            }
        }
    }

    fn remember(&self, known: u8, said: u8) -> u8 {
        match self.mutation {
            Some(Mutation::RememberLatest) => said,
            _ => known.max(said),
        }
    }

    pub(super) fn start_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for at in 0..self.bounds.nodes {
            match state.nodes[at].phase {
                Phase::Running => {}
                Phase::Down => {
                    let mut next = *state;
                    next.nodes[at].phase = Phase::Starting;
                    steps.push((Action::Restart(at), next));
                }
                Phase::Starting => {
                    for peer in self.answering(state, at) {
                        let mut next = *state;
                        let theirs = &state.nodes[peer];
                        let node = &mut next.nodes[at];
                        node.floor = node.floor.max(theirs.memory[at]);
                        let said = self.version(theirs).max(theirs.staged);
                        node.memory[peer] = node.memory[peer].max(said);
                        for about in self.peers(at).filter(|about| *about != peer) {
                            let memory = &mut node.memory[about];
                            *memory = (*memory).max(theirs.memory[about]);
                        }
                        node.heard |= bit(peer);
                        if self.mutation == Some(Mutation::RememberLatest) {
                            // The greeting of the new process, which enforces nothing yet.
                            next.nodes[peer].memory[at] = 0;
                        }
                        if next != *state {
                            steps.push((Action::HearPeer(at, peer), next));
                        }
                    }
                    if self.may_begin(state, at) {
                        let mut next = *state;
                        next.nodes[at].phase = Phase::Running;
                        next.nodes[at].heard = 0;
                        next.nodes[at].head_read = false;
                        steps.push((Action::Begin(at), next));
                    }
                }
            }
        }
    }

    pub(super) fn fault_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        if state.platform_away {
            let mut next = *state;
            next.platform_away = false;
            steps.push((Action::PlatformReturns, next));
        } else if state.outages > 0 {
            let mut next = *state;
            next.platform_away = true;
            next.outages -= 1;
            steps.push((Action::PlatformGoes, next));
        }
        for at in 0..self.bounds.nodes {
            let node = &state.nodes[at];
            if node.cut_off {
                let mut next = *state;
                next.nodes[at].cut_off = false;
                steps.push((Action::Heal(at), next));
            } else if state.cuts > 0 {
                let mut next = *state;
                next.nodes[at].cut_off = true;
                next.cuts -= 1;
                steps.push((Action::CutOff(at), next));
            }
            if node.phase != Phase::Down && state.crashes > 0 {
                let mut next = *state;
                next.crashes -= 1;
                next.nodes[at] = without_memory(node);
                steps.push((Action::Crash(at), next));
            }
        }
    }
}
