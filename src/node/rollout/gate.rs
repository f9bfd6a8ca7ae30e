//! Reports of this node's own gate.

use std::sync::Arc;

use ractor::ActorRef;

use super::{RolloutMsg, State, send_tallies};
use crate::core::rollout::RolloutBook;
use crate::decide::rollout::tally::GateState;
use crate::decide::rollout::{NodeTally, VersionPolicy, VersionRole};
use crate::proxy::rollouts::GateIdentity;
use crate::util::clock;

impl State {
    /// Counts the responses of the backend server while a roll-out of its service runs, and reports the
    /// totals to the lead.
    pub(super) fn report_own_gate(&self, myself: &ActorRef<RolloutMsg>, book: &RolloutBook) {
        let Some(tally) = self.own_tally(book) else {
            return;
        };
        let lead = *self.node.followed_node.borrow();
        match lead {
            None => {
                // Sending fails only while the process is shutting down.
                let _ = myself.cast(RolloutMsg::Tallies {
                    tallies: vec![tally],
                    forwarded: false,
                });
            }
            Some(lead) => {
                let node = Arc::clone(&self.node);
                tokio::spawn(async move { send_tallies(&node, lead, &[tally], false).await });
            }
        }
    }

    fn own_tally(&self, book: &RolloutBook) -> Option<NodeTally> {
        let proxy = &self.node.proxy;
        let backend = proxy.backend.load_full();
        let record = backend
            .as_ref()
            .and_then(|backend| book.get(&backend.service));
        let active = record.filter(|record| record.is_active());
        let Some((backend, record)) = backend.as_ref().zip(active) else {
            proxy.rollouts.stop_counting();
            return None;
        };
        let policy = VersionPolicy::of(record)?;
        let version = backend.software_version.as_ref();
        let identity = GateIdentity {
            node: proxy.local_id,
            incarnation_us: self.incarnation_us,
            service: &backend.service,
            version,
            order_revision: policy.order_revision,
        };
        let cold_until_us = clock::us_between(proxy.started, backend.cold_until);
        proxy.rollouts.start_counting(&identity, cold_until_us);
        let role = policy.role_of(version);
        let refuses_all = !policy.admits(role, Some(u64::MAX));
        // Read after the policy, so that a closed gate has no request that its state does not include.
        let in_flight = proxy.admission().in_use();
        let gate = GateState {
            slots: backend.slots.unwrap_or(0),
            in_flight,
            closed: role != VersionRole::Candidate && refuses_all,
        };
        proxy
            .rollouts
            .next_tally(clock::since_us(proxy.started), gate)
    }
}
