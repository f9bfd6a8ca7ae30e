//! Latency that both hops add, and processor time of a call.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{Measured, Running};
use crate::error::{Error, Result};
use crate::fit::Fit;
use crate::load::{Arrivals, Caller, Ending, Outcome, Target, open_loop};
use crate::options::Scale;
use crate::report::{Table, figure};
use crate::usage::processor_time;

const PATIENCE: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_millis(500);

/// Direct and meshed calls of one run.
#[derive(Debug)]
pub(crate) struct Added {
    pub(crate) per_s: f64,
    pub(crate) direct_p50_ms: f64,
    pub(crate) direct_p99_ms: f64,
    pub(crate) mesh_p50_ms: f64,
    pub(crate) mesh_p99_ms: f64,
    pub(crate) calls: u64,
    pub(crate) not_answered: u64,
}

impl Added {
    /// What the mesh adds for 99 in 100.
    pub(crate) fn p99_ms(&self) -> f64 {
        self.mesh_p99_ms - self.direct_p99_ms
    }
}

/// Measures at several rates; every other arrival is a direct call.
pub(crate) async fn added(running: &Running, scale: Scale) -> Vec<Added> {
    let (rates, seconds): (&[f64], u64) = match scale {
        Scale::Quick => (&[400.0], 2),
        Scale::Full => (&[200.0, 1_000.0, 2_000.0], 3),
    };
    let mut all = Vec::new();
    for &per_s in rates {
        let warm = alternate(running, per_s, WARM_UP).await;
        drop(warm);
        let [direct, mesh] = alternate(running, per_s, Duration::from_secs(seconds)).await;
        all.push(Added {
            per_s: per_s / 2.0,
            direct_p50_ms: direct.latency_ms(0.5),
            direct_p99_ms: direct.latency_ms(0.99),
            mesh_p50_ms: mesh.latency_ms(0.5),
            mesh_p99_ms: mesh.latency_ms(0.99),
            calls: mesh.answered,
            not_answered: mesh.refused + mesh.given_up + mesh.failed,
        });
    }
    all
}

/// Sends even arrivals directly and odd ones through the mesh.
async fn alternate(running: &Running, per_s: f64, time: Duration) -> [Outcome; 2] {
    let direct = running.serving().next().expect("the service is deployed");
    let direct = direct.backend.address;
    let entry = running.entry().node().addresses.caller;
    // Each way is an open loop of its own, both at the same time in the same process.
    let one = |address, seed| {
        let caller = Caller::new();
        let subject = running.subject;
        let arrivals = Arrivals {
            per_s: per_s / 2.0,
            time,
            seed,
        };
        open_loop(arrivals, move |_| {
            let caller = caller.clone();
            async move {
                let target = Target {
                    address,
                    service: subject.service,
                    path: subject.path,
                };
                caller.call(target, PATIENCE).await
            }
        })
    };
    let (direct, mesh) = tokio::join!(one(direct, 1), one(entry, 2));
    [direct, mesh]
}

/// Processor time of one call at each node that it passes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallCost {
    /// Calls a second for each core of the entry.
    pub(crate) entry: Fit,
    pub(crate) gate: Fit,
    /// Calls a second at saturation, and the processor time per call there, in microseconds.
    pub(crate) saturated_per_s: f64,
    pub(crate) entry_us: f64,
    pub(crate) gate_us: f64,
    /// Caller and backend server together, for a direct call, in microseconds.
    pub(crate) direct_us: f64,
    /// Direct calls a second by the same number of callers.
    pub(crate) direct_per_s: f64,
}

/// Processor time of entry and gate against the rate, and at saturation.
pub(crate) async fn call_cost(running: &Running, scale: Scale) -> Result<CallCost> {
    let (rates, time): (&[f64], Duration) = match scale {
        Scale::Quick => (&[200.0, 800.0], Duration::from_secs(1)),
        Scale::Full => (&[250.0, 500.0, 1_000.0, 2_000.0], Duration::from_secs(2)),
    };
    let mut entry_points = Vec::new();
    let mut gate_points = Vec::new();
    for &per_s in rates {
        let (calls, entry_s, gate_s) = at_rate(running, per_s, time).await;
        let seconds = time.as_secs_f64();
        entry_points.push((calls / seconds, 1e6 * entry_s / seconds));
        gate_points.push((calls / seconds, 1e6 * gate_s / seconds));
    }
    let no_fit = || Error::Unexpected {
        text: "the rates give no slope".to_owned(),
    };
    let direct_address = running.serving().next().map(|vm| vm.backend.address);
    let direct_address = direct_address.expect("the service is deployed");
    let own = std::process::id();
    let direct = saturate(running, direct_address, time, &[own]).await;
    let entry_address = running.entry().node().addresses.caller;
    let nodes = node_ids(running);
    let mesh = saturate(running, entry_address, time, &nodes).await;
    Ok(CallCost {
        entry: Fit::of(&entry_points).ok_or_else(no_fit)?,
        gate: Fit::of(&gate_points).ok_or_else(no_fit)?,
        saturated_per_s: mesh.per_s,
        entry_us: mesh.processor_us[0],
        gate_us: mesh.processor_us[1..].iter().sum(),
        direct_us: direct.processor_us[0],
        direct_per_s: direct.per_s,
    })
}

/// The entry's process, then those of all gates of the service.
fn node_ids(running: &Running) -> Vec<u32> {
    let entry = running.entry().node().id();
    let gates = running.serving().filter_map(|vm| vm.node().id());
    entry.into_iter().chain(gates).collect()
}

fn times(ids: &[u32]) -> Vec<f64> {
    let time = |id: &u32| processor_time(*id).unwrap_or_default().as_secs_f64();
    ids.iter().map(time).collect()
}

async fn at_rate(running: &Running, per_s: f64, time: Duration) -> (f64, f64, f64) {
    let ids = node_ids(running);
    let address = running.entry().node().addresses.caller;
    let subject = running.subject;
    let caller = Caller::new();
    let before = times(&ids);
    let arrivals = Arrivals {
        per_s,
        time,
        seed: 3,
    };
    let outcome = open_loop(arrivals, move |_| {
        let caller = caller.clone();
        async move {
            let target = Target {
                address,
                service: subject.service,
                path: subject.path,
            };
            caller.call(target, PATIENCE).await
        }
    })
    .await;
    let after = times(&ids);
    let spent: Vec<f64> = before.iter().zip(&after).map(|(b, a)| a - b).collect();
    (
        outcome.answered as f64,
        spent[0],
        spent[1..].iter().sum::<f64>(),
    )
}

struct Saturated {
    per_s: f64,
    processor_us: Vec<f64>,
}

/// As many callers as the service has slots, each calling again as soon as it is answered.
async fn saturate(
    running: &Running,
    address: std::net::SocketAddr,
    time: Duration,
    ids: &[u32],
) -> Saturated {
    let answered = Arc::new(Mutex::new(0_u64));
    let subject = running.subject;
    let before = times(ids);
    let begin = Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..subject.slots - 1 {
        let caller = Caller::new();
        let answered = Arc::clone(&answered);
        callers.spawn(async move {
            let target = Target {
                address,
                service: subject.service,
                path: subject.path,
            };
            while begin.elapsed() < time {
                if caller.call(target, PATIENCE).await == Ending::Answered {
                    *answered.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                }
            }
        });
    }
    callers.join_all().await;
    let seconds = begin.elapsed().as_secs_f64();
    let answered = *answered.lock().unwrap_or_else(PoisonError::into_inner);
    let spent = times(ids);
    let per_call = |(before, after): (&f64, &f64)| 1e6 * (after - before) / answered.max(1) as f64;
    Saturated {
        per_s: answered as f64 / seconds,
        processor_us: before.iter().zip(&spent).map(per_call).collect(),
    }
}

pub(super) fn added_table(measured: &[Measured], command: &str) -> Table {
    let row = |name: &str, a: &Added| {
        vec![
            name.to_owned(),
            figure(a.per_s),
            figure(a.direct_p50_ms),
            figure(a.mesh_p50_ms),
            figure(a.mesh_p50_ms - a.direct_p50_ms),
            figure(a.direct_p99_ms),
            figure(a.mesh_p99_ms),
            figure(a.p99_ms()),
            a.calls.to_string(),
            a.not_answered.to_string(),
        ]
    };
    Table {
        title: "Latency added by both hops",
        command: command.to_owned(),
        columns: vec![
            "deployment",
            "calls/s each way",
            "direct p50 ms",
            "mesh p50 ms",
            "added p50 ms",
            "direct p99 ms",
            "mesh p99 ms",
            "added p99 ms",
            "calls answered",
            "not answered",
        ],
        rows: measured
            .iter()
            .flat_map(|m| m.added.iter().map(|a| row(m.name, a)))
            .collect(),
    }
}

pub(super) fn cost_table(measured: &[Measured], command: &str) -> Table {
    let row = |m: &Measured| {
        let cost = &m.cost;
        vec![
            m.name.to_owned(),
            figure(cost.saturated_per_s),
            figure(cost.direct_per_s),
            figure(cost.entry_us),
            figure(cost.gate_us),
            figure(1e6 / (cost.entry_us + cost.gate_us)),
            figure(cost.direct_us),
            figure(1e6 / cost.direct_us),
            format!(
                "{} ± {}",
                figure(cost.entry.slope),
                figure(cost.entry.spread)
            ),
            format!("{} ± {}", figure(cost.gate.slope), figure(cost.gate.spread)),
            format!(
                "{} ± {}",
                figure(m.connection_kb.slope),
                figure(m.connection_kb.spread)
            ),
        ]
    };
    Table {
        title: "Processor time of a call, memory of a connection",
        command: command.to_owned(),
        columns: vec![
            "deployment",
            "calls/s, callers as many as slots",
            "the same, direct",
            "entry µs/call",
            "gate µs/call",
            "calls/s per core of both nodes",
            "direct µs/call (caller and backend server)",
            "direct calls/s per core",
            "entry slope µs/call ± spread µs/s",
            "gate slope µs/call ± spread µs/s",
            "KB per kept connection ± spread KB",
        ],
        rows: measured.iter().map(row).collect(),
    }
}
