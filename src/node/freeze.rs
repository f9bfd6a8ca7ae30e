//! Notices that the process was frozen, so that it catches up before it admits new work.
//!
//! A freeze shows as a gap between two ticks, by the steady clock or, where that stands still as in a suspended
//! VM, by the clock that counts suspensions. The time of day is not looked at: it may be set at any time. A
//! request that is served before the first tick after the gap is caught by admission, which compares the time of
//! the last tick ([`ProxyState::is_fresh`](crate::proxy::state::ProxyState::is_fresh)).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::ActorRef;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use super::state::NodeState;
use crate::proxy::state::FREEZE_GAP_MS;
use crate::util::clock;

const TICK_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) async fn watch(
    node: Arc<NodeState>,
    configuration: ActorRef<ConfigurationMsg>,
    stop: CancellationToken,
) {
    let mut last_boot_us = clock::boot_us();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(TICK_INTERVAL) => (),
        }
        let now_ms = clock::since_ms(node.proxy.started);
        let boot_us = clock::boot_us();
        let monotonic_gap_ms =
            now_ms.saturating_sub(node.proxy.last_tick_ms.load(Ordering::Acquire));
        let boot_gap_ms = boot_us.saturating_sub(last_boot_us) / 1_000;
        let gap_ms = monotonic_gap_ms.max(boot_gap_ms);
        last_boot_us = boot_us;
        if gap_ms >= FREEZE_GAP_MS {
            log::warn!(gap_ms; "this process was frozen; it catches up before it admits work");
            metrics::counter!("dragonflywall_freezes_total").increment(1);
            // Before the tick is noted, so that admission sees one or the other.
            node.proxy.refreshing.store(true, Ordering::Release);
            let _ = configuration.cast(ConfigurationMsg::Refresh);
        }
        node.proxy.last_tick_ms.store(now_ms, Ordering::Release);
    }
}
