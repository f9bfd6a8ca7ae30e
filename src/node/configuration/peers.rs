//! Floor queries to peers: below which version this node must not enforce after a restart, and which version is
//! enforced elsewhere when the process resumes after a freeze.

use std::sync::atomic::Ordering;

use ractor::ActorRef;

use super::{ConfigurationMsg, ConfigurationOrigin, State};
use crate::core::member::{Distance, NodeId};
use crate::core::version::{Stamp, Version};
use crate::distribution::fetch::Peer;

/// Longest time for which a node refuses requests after a freeze. Peers answer within milliseconds; a node that
/// reaches no peer serves the version that it has after this time.
const REFRESH_TIMEOUT_MS: u64 = 2_000;

/// Number of peers whose answers complete a refresh if the store itself was not read.
const REFRESH_QUORUM: usize = 2;

/// A configuration refresh after a freeze, during which the node refuses requests.
#[derive(Debug)]
pub(super) struct Refresh {
    deadline_ms: u64,
    /// Peers that have answered a floor query.
    peers: Vec<NodeId>,
    /// Whether the store has been read since the freeze.
    pub(super) store_read: bool,
}

impl State {
    pub(super) fn query_floor(&mut self, myself: &ActorRef<ConfigurationMsg>) {
        for peer in self.role.neighbours.clone() {
            if peer.distance == Distance::DataCentre {
                self.floor.record_asked(peer.node);
            }
            let Some(mut client) = self.node.control_pool.client(peer.address) else {
                continue;
            };
            let me = self.node.proxy.local_id;
            let myself = myself.clone();
            tokio::spawn(async move {
                if let Ok((reported, enforced)) = client.floor(me).await {
                    let _ = myself.cast(ConfigurationMsg::FloorAnswered {
                        peer,
                        reported,
                        enforced,
                    });
                }
            });
        }
    }

    pub(super) fn handle_floor_answer(
        &mut self,
        now_ms: u64,
        peer: Peer,
        reported: Version,
        enforced: Stamp,
    ) {
        let (node, distance) = (peer.node, peer.distance);
        self.floor
            .record_answer(node, distance, reported, enforced.version);
        if enforced.version > Version::NONE {
            self.handle_announced(now_ms, enforced, Some(peer));
        }
        if let Some(refresh) = &mut self.refresh
            && !refresh.peers.contains(&peer.node)
        {
            refresh.peers.push(peer.node);
        }
    }

    pub(super) fn begin_refresh(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        self.refresh = Some(Refresh {
            deadline_ms: now_ms + REFRESH_TIMEOUT_MS,
            peers: Vec::new(),
            store_read: false,
        });
        self.fetcher.resume_after_freeze(now_ms);
        self.reading_head = false;
        match &self.origin {
            ConfigurationOrigin::Published(_) => self.start_head_read(myself),
            ConfigurationOrigin::Feed(resync) => resync.notify_one(),
        }
        self.query_floor(myself);
    }

    /// Ends the refresh once the version that peers or the platform reported is enforced here, or after
    /// [`REFRESH_TIMEOUT_MS`].
    pub(super) fn try_end_refresh(&mut self, now_ms: u64) {
        let Some(refresh) = &self.refresh else { return };
        let has_quorum = refresh.store_read || refresh.peers.len() >= REFRESH_QUORUM;
        let caught_up = self.holder.stamp().version >= self.fetcher.head().version;
        if (has_quorum && caught_up) || now_ms >= refresh.deadline_ms {
            log::info!(
                caught_up,
                store_read = refresh.store_read,
                peers = refresh.peers.len(),
                head = self.fetcher.head().version.0,
                enforced = self.holder.stamp().version.0;
                "refresh after a freeze has ended; admitting requests"
            );
            self.refresh = None;
            self.node.proxy.refreshing.store(false, Ordering::Release);
        }
    }
}
