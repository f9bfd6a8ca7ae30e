//! Floor queries to peers: below which version this node must not enforce after a restart, and which version is
//! enforced elsewhere when the process resumes after a freeze.

use std::sync::Arc;

use ractor::ActorRef;

use super::{ConfigurationMsg, ConfigurationOrigin, State};
use crate::core::member::Distance;
use crate::core::version::Version;
use crate::decide::freeze::Epoch;
use crate::distribution::Refresh;
use crate::distribution::fetch::Peer;
use crate::peer::client::FloorAnswer;

impl State {
    pub(super) fn query_floor(&mut self, myself: &ActorRef<ConfigurationMsg>) {
        let asked_in = self.node.proxy.freezes.epoch();
        for peer in self.role.neighbours.clone() {
            if peer.distance == Distance::DataCentre {
                self.floor.record_asked(peer.node);
            }
            let Some(mut client) = self.node.control_pool.client(peer.address) else {
                continue;
            };
            let me = self.node.proxy.local_id;
            let myself = myself.clone();
            let node = Arc::clone(&self.node);
            tokio::spawn(async move {
                if let Ok(answer) = client.floor(me).await {
                    // Before the answer can settle the floor, so that no request ignores a roll-out.
                    node.merge_rollouts(&answer.rollouts);
                    let _ = myself.cast(ConfigurationMsg::FloorAnswered {
                        peer,
                        answer,
                        asked_in,
                    });
                }
            });
        }
    }

    pub(super) fn handle_floor_answer(
        &mut self,
        now_ms: u64,
        peer: Peer,
        answer: &FloorAnswer,
        asked_in: Epoch,
    ) {
        let enforced = answer.enforced;
        match answer.refreshing {
            true => self.floor.raise(answer.reported.max(enforced.version)),
            false => self.floor.record_answer(
                now_ms,
                peer.node,
                peer.distance,
                answer.reported,
                enforced.version,
            ),
        }
        if enforced.version > Version::NONE {
            self.handle_announced(now_ms, enforced, Some(peer));
        }
        if let Some(refresh) = &mut self.refresh {
            let may_be_behind = answer.refreshing || enforced.version == Version::NONE;
            refresh.record_peer_answer(peer.node, asked_in, may_be_behind);
        }
    }

    pub(super) fn begin_refresh(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        self.refresh = Some(Refresh::new(now_ms, self.node.proxy.freezes.epoch()));
        self.fetcher.resume_after_freeze(now_ms);
        self.reading_head = false;
        match &self.origin {
            ConfigurationOrigin::Published(_) => self.start_head_read(myself),
            ConfigurationOrigin::Feed(resync) => resync.notify_one(),
        }
        self.query_floor(myself);
    }

    /// Ends the refresh once the version that peers or the platform reported is enforced here, or after a time limit.
    pub(super) fn try_end_refresh(&mut self, now_ms: u64) {
        let head = self.fetcher.head().version;
        let enforced = self.holder.stamp().version;
        let caught_up = enforced >= head;
        let Some(refresh) = self
            .refresh
            .take_if(|refresh| refresh.has_ended(now_ms, caught_up))
        else {
            return;
        };
        log::info!(
            caught_up,
            store_read = refresh.store_read(),
            peers = refresh.peer_count(),
            head = head.0,
            enforced = enforced.0;
            "refresh after a freeze has ended; admitting requests"
        );
        self.node.proxy.freezes.record_refreshed(refresh.epoch());
    }
}
