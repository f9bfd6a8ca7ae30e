//! Polls the head row of the store, which names the newest accepted version, as a fallback if hints and gossip about
//! published versions are lost.

use std::sync::Arc;

use ractor::ActorRef;

use super::{ConfigurationMsg, ConfigurationOrigin, State};
use crate::core::version::Stamp;
use crate::decide::freeze::Epoch;
use crate::decide::freshness::FreshnessProof;
use crate::node::membership::MembershipMsg;
use crate::node::store;

/// Longest pause between polls by the first gateway of the region, if the store is near.
const GATEWAY_POLL_MS: u64 = 2_000;
/// Longest pause between polls by the first watcher of each data centre, if the store is near.
const WATCHER_POLL_MS: u64 = 10_000;
/// Longest pause between polls by all other nodes.
const MEMBER_POLL_MS: u64 = 120_000;

/// Longest pause between polls while this node enforces no version: a successful read settles the floor.
const STARTUP_POLL_MS: u64 = 1_000;

/// Span over which the first polls are spread, for the case that 520 nodes start at the same time.
pub(super) const FIRST_HEAD_POLL_SPREAD_MS: u64 = 1_000;

/// Duration of a read from a store in the same region that is not overloaded. If reads take longer, the pauses grow
/// in proportion, up to [`MAX_POLL_FACTOR`] times: the link between regions is billed by volume, an overloaded
/// platform needs fewer reads, and the region nearest the platform reads a new version in time anyway.
const NORMAL_STORE_READ_MS: u64 = 5;
/// Largest factor by which a slow store lengthens the pauses.
const MAX_POLL_FACTOR: u64 = 8;

/// Time after the start in which a node that has found no peer does not act as a gateway. When many nodes start at
/// the same time, each is the only member of its own view for a moment, and so the first gateway in it.
const STARTUP_GRACE_MS: u64 = 1_500;

impl State {
    pub(super) fn head_poll_pause_ms(&self) -> u64 {
        if self.holder.stamp() == Stamp::NONE {
            return rand::random_range(STARTUP_POLL_MS / 2..=STARTUP_POLL_MS);
        }
        let max_poll_ms = self.node.budget().head_poll_interval_ms();
        let (pause_ms, max_pause_ms) = match (self.role.gateway_rank, self.role.watcher_rank) {
            (Some(0), _) => (GATEWAY_POLL_MS, max_poll_ms),
            (_, Some(0)) => (WATCHER_POLL_MS, max_poll_ms),
            _ => (MEMBER_POLL_MS, MEMBER_POLL_MS),
        };
        let factor = self.fetcher.store_latency_ms() / NORMAL_STORE_READ_MS;
        let pause_ms = pause_ms * factor.clamp(1, MAX_POLL_FACTOR);
        let freshness_poll_ms = self.node.budget().freshness_poll_ms();
        let pause_ms = pause_ms.min(max_pause_ms).min(freshness_poll_ms);
        rand::random_range(pause_ms / 2..=pause_ms)
    }

    pub(super) fn set_gateway_rank(&mut self, now_ms: u64) {
        let is_starting = self.role.alone && now_ms < STARTUP_GRACE_MS;
        let rank = self.role.gateway_rank.filter(|_| !is_starting);
        self.fetcher.set_gateway_rank(rank);
    }

    pub(super) fn start_head_read(&mut self, myself: &ActorRef<ConfigurationMsg>) {
        let ConfigurationOrigin::Published(store) = &self.origin else {
            return;
        };
        if std::mem::replace(&mut self.reading_head, true) {
            return;
        }
        let http_store = store.clone();
        let myself = myself.clone();
        let asked_in = self.node.proxy.freezes.epoch();
        let node = Arc::clone(&self.node);
        let asked_ms = node.proxy.uptime_ms();
        tokio::spawn(async move {
            let (head, took_ms) = store::read_head(&http_store).await;
            if let Some(head) = head {
                let proof = FreshnessProof::from_store(head.version, asked_ms);
                node.proxy.freshness().record(proof);
            }
            let _ = myself.cast(ConfigurationMsg::HeadRead {
                head,
                took_ms,
                asked_in,
            });
        });
    }

    pub(super) fn handle_head_read(
        &mut self,
        now_ms: u64,
        head: Option<Stamp>,
        took_ms: u64,
        asked_in: Epoch,
    ) {
        // After a freeze another read is in progress, and neither the time nor the failure of an earlier one
        // tells anything about the store.
        if self.node.proxy.is_current(asked_in) {
            self.reading_head = false;
            self.record_store_read(head.is_some());
            if head.is_some() {
                self.fetcher.record_store_latency(took_ms);
            }
        }
        let Some(head) = head else { return };
        self.record_refresh_read(asked_in);
        self.floor.record_head(head.version);
        self.handle_announced(now_ms, head, None);
        self.send_to_membership(MembershipMsg::SetHead(head));
    }
}
