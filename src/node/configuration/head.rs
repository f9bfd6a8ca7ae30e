//! The head row, as the backstop of hints and gossip where versions are published.

use ractor::ActorRef;

use super::{ConfigurationMsg, ConfigurationOrigin, State};
use crate::core::version::Stamp;
use crate::node::membership::MembershipMsg;
use crate::node::store;

/// How often the head is read as the backstop of hints and gossip: by the region's first gateway, by the
/// watcher of each data centre, and by everybody else.
const GATEWAY_POLL_MS: u64 = 2_000;
const WATCHER_POLL_MS: u64 = 10_000;
const MEMBER_POLL_MS: u64 = 120_000;

/// Until the first read has worked, which settles the floor.
const STARTUP_POLL_MS: u64 = 1_000;

/// First reads of a herd of 520 are spread over this.
pub(super) const FIRST_HEAD_POLL_SPREAD_MS: u64 = 1_000;

/// A read that takes this long crosses no regional link and meets no slow platform. One that takes
/// longer is made less often, up to [`MAX_POLL_FACTOR`] times: the link is paid for by volume, a
/// slow platform needs rest, and the region nearest the platform hears of a version anyway.
const NEAR_READ_MS: u64 = 5;
const MAX_POLL_FACTOR: u64 = 8;

/// Before this age a node that knows nobody leaves the store to others: in a herd everybody is
/// the only member of its own view for a moment, and so its first gateway.
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
        let factor = self.fetcher.store_latency_ms() / NEAR_READ_MS;
        let pause_ms = pause_ms * factor.clamp(1, MAX_POLL_FACTOR);
        let pause_ms = pause_ms.min(max_pause_ms);
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
        let platform = store.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let (head, took_ms) = store::read_head(&platform).await;
            let _ = myself.cast(ConfigurationMsg::HeadRead { head, took_ms });
        });
    }

    pub(super) fn handle_head_read(&mut self, now_ms: u64, head: Option<Stamp>, took_ms: u64) {
        self.reading_head = false;
        self.record_store_read(head.is_some());
        let Some(head) = head else { return };
        self.fetcher.record_store_latency(took_ms);
        self.floor.record_head(head.version);
        if let Some(refresh) = &mut self.refresh {
            refresh.head_read = true;
        }
        self.handle_announced(now_ms, head, None);
        self.send_to_membership(MembershipMsg::SetHead(head));
    }
}
