//! Time until a draining backend server gets its last new request.

use std::time::{Duration, Instant};

use super::Running;
use crate::convergence::announce;
use crate::error::{Error, Result};
use crate::load::{Arrivals, Caller, Target, open_loop};
use crate::options::Scale;

const WORK_MS: u64 = 100;
const BEFORE_DRAIN: Duration = Duration::from_millis(1_000);
/// Share of capacity offered: three of four endpoints can take it alone.
const LOAD: f64 = 0.5;

/// What a drain under load looked like.
#[derive(Debug)]
pub(crate) struct Drained {
    pub(crate) offered_per_s: f64,
    /// From the announcement's answer to the last request that the backend server began.
    pub(crate) last_new_ms: f64,
    /// Requests that it had begun and did not finish.
    pub(crate) cut: u64,
    pub(crate) answered: u64,
    pub(crate) not_answered: u64,
}

/// Drains the first endpoint in the middle of a steady load, then lets it serve again.
pub(crate) async fn measure(running: &Running, scale: Scale) -> Result<Drained> {
    let time = match scale {
        Scale::Quick => Duration::from_secs(2),
        Scale::Full => Duration::from_secs(4),
    };
    let subject = running.subject;
    let capacity_per_s = (running.serving().count() * subject.slots) as f64 * 1e3 / WORK_MS as f64;
    let arrivals = Arrivals {
        per_s: LOAD * capacity_per_s,
        time,
        seed: 5,
    };
    let addresses = running.callers();
    let caller = Caller::new();
    let load = open_loop(arrivals, move |number| {
        let caller = caller.clone();
        let address = addresses[usize::try_from(number).unwrap_or(0) % addresses.len()];
        let path = format!("{}?work_ms={WORK_MS}", subject.path);
        async move {
            let target = Target {
                address,
                service: subject.service,
                path: &path,
            };
            let patience = Duration::from_millis(subject.timeout_ms);
            caller.call(target, patience).await
        }
    });
    let draining = running.serving().next().expect("the service is deployed");
    let cancelled_before = draining.backend.record().cancelled;
    let drain = async {
        tokio::time::sleep(BEFORE_DRAIN).await;
        announce(draining, "draining").await?;
        Ok::<_, Error>(Instant::now())
    };
    let (outcome, announced) = tokio::join!(load, drain);
    let announced = announced?;
    let record = draining.backend.record();
    let last_new = record
        .last_run_start
        .and_then(|last| last.checked_duration_since(announced))
        .unwrap_or_default();
    announce(draining, "serving").await?;
    Ok(Drained {
        offered_per_s: arrivals.per_s,
        last_new_ms: last_new.as_secs_f64() * 1e3,
        cut: record.cancelled - cancelled_before,
        answered: outcome.answered,
        not_answered: outcome.refused + outcome.given_up + outcome.failed,
    })
}
