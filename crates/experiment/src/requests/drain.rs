//! Measures how long a draining backend server still receives new requests.

use std::time::{Duration, Instant};

use super::RunningDeployment;
use crate::convergence::announce;
use crate::error::{Error, Result};
use crate::load::{Arrivals, Caller, Target, run_open_loop};
use crate::options::Scale;

const WORK_MS: u64 = 100;
const TIME_BEFORE_DRAIN: Duration = Duration::from_millis(1_000);
/// Offered load as a share of capacity. Three of the four endpoints can handle it without the one
/// that drains.
const OFFERED_LOAD: f64 = 0.5;

/// Results of a drain under load.
#[derive(Debug)]
pub(crate) struct DrainResults {
    pub(crate) offered_per_s: f64,
    /// From the answer to the announcement until the backend server starts its last new request; 0
    /// if it starts none after the answer.
    pub(crate) last_new_request_ms: f64,
    /// Requests that the backend server started and that were cancelled before it finished them.
    pub(crate) unfinished_requests: u64,
    pub(crate) answered_calls: u64,
    pub(crate) unanswered_calls: u64,
}

/// Announces under a steady load that the first endpoint drains, and after the load that it serves
/// again.
pub(crate) async fn measure(deployment: &RunningDeployment, scale: Scale) -> Result<DrainResults> {
    let duration = match scale {
        Scale::Quick => Duration::from_secs(2),
        Scale::Full => Duration::from_secs(4),
    };
    let route = deployment.route;
    let capacity_per_s =
        (deployment.serving_vms().count() * route.slots) as f64 * 1e3 / WORK_MS as f64;
    let arrivals = Arrivals {
        rate_per_s: OFFERED_LOAD * capacity_per_s,
        duration,
        seed: 5,
    };
    let addresses = deployment.caller_addresses();
    let caller = Caller::new();
    let load = run_open_loop(arrivals, move |number| {
        let caller = caller.clone();
        let address = addresses[usize::try_from(number).unwrap_or(0) % addresses.len()];
        let path = format!("{}?work_ms={WORK_MS}", route.path);
        async move {
            let target = Target {
                address,
                service: route.service,
                path: &path,
            };
            let timeout = Duration::from_millis(route.timeout_ms);
            caller.call(target, timeout).await
        }
    });
    let drained_vm = deployment
        .serving_vms()
        .next()
        .expect("the service is deployed");
    let cancelled_before = drained_vm.backend.record().cancelled;
    let drain = async {
        tokio::time::sleep(TIME_BEFORE_DRAIN).await;
        announce(drained_vm, "draining").await?;
        Ok::<_, Error>(Instant::now())
    };
    let (summary, announced_at) = tokio::join!(load, drain);
    let announced_at = announced_at?;
    let record = drained_vm.backend.record();
    let last_new_request = record
        .last_run_start
        .and_then(|last| last.checked_duration_since(announced_at))
        .unwrap_or_default();
    announce(drained_vm, "serving").await?;
    Ok(DrainResults {
        offered_per_s: arrivals.rate_per_s,
        last_new_request_ms: last_new_request.as_secs_f64() * 1e3,
        unfinished_requests: record.cancelled - cancelled_before,
        answered_calls: summary.answered,
        unanswered_calls: summary.refused + summary.timed_out + summary.failed,
    })
}
