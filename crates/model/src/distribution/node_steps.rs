//! Transitions of gossip, node starts and faults.

use super::DistributionSpec;
use super::state::{Action, Mutation, Phase, State, bit, crashed};

impl DistributionSpec {
    pub(super) fn gossip_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for from in 0..self.bounds.nodes {
            for to in self.peers(from) {
                let receiver = &state.nodes[to];
                if receiver.phase == Phase::Down || receiver.cut_off {
                    continue;
                }
                // A report that any process at the sender's address has sent may arrive at any time.
                for version in 1..=state.nodes[from].highest_enforced {
                    let mut next = *state;
                    let node = &mut next.nodes[to];
                    node.highest_reported[from] =
                        self.record_report(node.highest_reported[from], version);
                    if next != *state {
                        steps.push((Action::Gossip { from, to, version }, next));
                    }
                }
                if Self::can_reach(state, from, to) {
                    let mut next = *state;
                    for subject in self.peers(from).filter(|subject| *subject != to) {
                        let sender_report = state.nodes[from].highest_reported[subject];
                        let highest_reported = &mut next.nodes[to].highest_reported[subject];
                        *highest_reported = (*highest_reported).max(sender_report);
                    }
                    if next != *state {
                        steps.push((Action::ForwardReports { from, to }, next));
                    }
                }
            }
        }
    }

    fn record_report(&self, recorded: u8, reported: u8) -> u8 {
        match self.mutation {
            Some(Mutation::RecordLatestReport) => reported,
            _ => recorded.max(reported),
        }
    }

    pub(super) fn start_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for index in 0..self.bounds.nodes {
            match state.nodes[index].phase {
                Phase::Running => {}
                Phase::Down => {
                    let mut next = *state;
                    next.nodes[index].phase = Phase::Starting;
                    steps.push((Action::Restart(index), next));
                }
                Phase::Starting => {
                    for peer in self.answering_peers(state, index) {
                        let mut next = *state;
                        let answering = &state.nodes[peer];
                        let node = &mut next.nodes[index];
                        node.floor = node.floor.max(answering.highest_reported[index]);
                        let reported = self
                            .enforced_version(answering)
                            .max(answering.staged_version);
                        node.highest_reported[peer] = node.highest_reported[peer].max(reported);
                        for subject in self.peers(index).filter(|subject| *subject != peer) {
                            let highest_reported = &mut node.highest_reported[subject];
                            *highest_reported =
                                (*highest_reported).max(answering.highest_reported[subject]);
                        }
                        node.answered_peers |= bit(peer);
                        if self.mutation == Some(Mutation::RecordLatestReport) {
                            // The query reports the version of the new process, which enforces
                            // nothing yet.
                            next.nodes[peer].highest_reported[index] = 0;
                        }
                        if next != *state {
                            steps.push((Action::QueryPeer(index, peer), next));
                        }
                    }
                    if self.may_finish_start(state, index) {
                        let mut next = *state;
                        next.nodes[index].phase = Phase::Running;
                        next.nodes[index].answered_peers = 0;
                        next.nodes[index].head_read = false;
                        steps.push((Action::FinishStart(index), next));
                    }
                }
            }
        }
    }

    pub(super) fn fault_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        if state.platform_down {
            let mut next = *state;
            next.platform_down = false;
            steps.push((Action::PlatformRecovers, next));
        } else if state.outages > 0 {
            let mut next = *state;
            next.platform_down = true;
            next.outages -= 1;
            steps.push((Action::PlatformFails, next));
        }
        for index in 0..self.bounds.nodes {
            let node = &state.nodes[index];
            if node.cut_off {
                let mut next = *state;
                next.nodes[index].cut_off = false;
                steps.push((Action::Heal(index), next));
            } else if state.cuts > 0 {
                let mut next = *state;
                next.nodes[index].cut_off = true;
                next.cuts -= 1;
                steps.push((Action::CutOff(index), next));
            }
            if node.phase != Phase::Down && state.crashes > 0 {
                let mut next = *state;
                next.crashes -= 1;
                next.nodes[index] = crashed(node);
                steps.push((Action::Crash(index), next));
            }
        }
    }
}
