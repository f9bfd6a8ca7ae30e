//! Detects that the process was frozen, so that it catches up before it admits new requests.
//!
//! A freeze is a gap between two ticks of a timer. The gap is measured by the boot clock, because the monotonic
//! clock stands still while a VM is suspended and the wall clock can be set at any time. A request that arrives
//! before the first tick after a freeze is refused by admission, which checks the time of the last tick
//! ([`ProxyState::current_configuration`](crate::proxy::state::ProxyState::current_configuration)).

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use super::state::NodeState;

/// Time between two ticks. A freeze is detected at the first tick after it.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the ticks until `stop` is cancelled. After a freeze it blocks admission and starts a configuration refresh.
pub(crate) async fn watch(
    node: Arc<NodeState>,
    configuration: ActorRef<ConfigurationMsg>,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(TICK_INTERVAL) => (),
        }
        if let Some(gap_ms) = node.proxy.freezes.tick(node.proxy.uptime_ms()) {
            log::warn!(gap_ms; "the process was frozen; it refreshes its configuration before it admits requests");
            metrics::counter!("dragonflywall_freezes_total").increment(1);
            let _ = configuration.cast(ConfigurationMsg::Refresh);
        }
    }
}
