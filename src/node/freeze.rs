//! Detects that the process was frozen, so that it catches up before it admits new requests.
//!
//! A freeze is a gap between two ticks of a timer. The gap is measured by the monotonic clock and, because that
//! clock stands still while a VM is suspended, by the boot clock, which includes suspensions. The wall clock is
//! not used since it can be set at any time. A request that arrives before the first tick after a freeze is
//! refused by admission, which checks the time of the last tick
//! ([`ProxyState::is_fresh`](crate::proxy::state::ProxyState::is_fresh)).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::ActorRef;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use super::state::NodeState;
use crate::proxy::state::FREEZE_GAP_MS;
use crate::util::clock;

/// Time between two ticks. A freeze is detected at the first tick after it.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the ticks until `stop` is cancelled. After a freeze it blocks admission and starts a configuration refresh.
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
            log::warn!(gap_ms; "the process was frozen; it refreshes its configuration before it admits requests");
            metrics::counter!("dragonflywall_freezes_total").increment(1);
            // Set before `last_tick_ms`, so that admission sees either the flag or the old tick.
            node.proxy.refreshing.store(true, Ordering::Release);
            let _ = configuration.cast(ConfigurationMsg::Refresh);
        }
        node.proxy.last_tick_ms.store(now_ms, Ordering::Release);
    }
}
