//! Measures the latency that the entry and gate nodes add to a call, and the CPU time of a call.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{DeploymentResults, RunningDeployment};
use crate::error::{Error, Result};
use crate::fit::LinearFit;
use crate::load::{Arrivals, CallOutcome, Caller, LoadSummary, Target, run_open_loop};
use crate::options::Scale;
use crate::process_stats::processor_time;
use crate::report::{Table, format_number};

/// Timeout of each call; a call that takes longer counts as not answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const WARM_UP_TIME: Duration = Duration::from_millis(500);

/// Latencies of direct calls to a backend server and of calls through the mesh in one run.
#[derive(Debug)]
pub(crate) struct AddedLatency {
    /// Direct calls a second; as many go through the mesh.
    pub(crate) calls_per_s: f64,
    pub(crate) direct_p50_ms: f64,
    pub(crate) direct_p99_ms: f64,
    pub(crate) mesh_p50_ms: f64,
    pub(crate) mesh_p99_ms: f64,
    /// Answered calls through the mesh.
    pub(crate) answered_calls: u64,
    /// Other calls through the mesh: refused, timed out or failed.
    pub(crate) unanswered_calls: u64,
}

impl AddedLatency {
    /// Latency that the mesh adds for 99 of 100 calls: the difference between the 99th percentiles of
    /// calls through the mesh and of direct calls.
    pub(crate) fn p99_ms(&self) -> f64 {
        self.mesh_p99_ms - self.direct_p99_ms
    }
}

/// Measures the added latency at several rates. Half of the calls of each rate are direct.
pub(crate) async fn added_latency(
    deployment: &RunningDeployment,
    scale: Scale,
) -> Vec<AddedLatency> {
    let (rates, seconds): (&[f64], u64) = match scale {
        Scale::Quick => (&[400.0], 2),
        Scale::Full => (&[200.0, 1_000.0, 2_000.0], 3),
    };
    let mut results = Vec::new();
    for &per_s in rates {
        let warm_up_results = measure_direct_and_mesh(deployment, per_s, WARM_UP_TIME).await;
        drop(warm_up_results);
        let [direct, mesh] =
            measure_direct_and_mesh(deployment, per_s, Duration::from_secs(seconds)).await;
        results.push(AddedLatency {
            calls_per_s: per_s / 2.0,
            direct_p50_ms: direct.latency_ms(0.5),
            direct_p99_ms: direct.latency_ms(0.99),
            mesh_p50_ms: mesh.latency_ms(0.5),
            mesh_p99_ms: mesh.latency_ms(0.99),
            answered_calls: mesh.answered,
            unanswered_calls: mesh.refused + mesh.timed_out + mesh.failed,
        });
    }
    results
}

/// Sends half of `per_s` calls a second directly to a backend server and half through the mesh.
async fn measure_direct_and_mesh(
    deployment: &RunningDeployment,
    per_s: f64,
    duration: Duration,
) -> [LoadSummary; 2] {
    let direct = deployment
        .serving_vms()
        .next()
        .expect("the service is deployed");
    let direct = direct.backend.address;
    let entry = deployment.entry_vm().node().addresses.caller;
    // Each half has its own open loop. Both run at the same time, so that the load of the machine
    // affects them equally.
    let run_load = |address, seed| {
        let caller = Caller::new();
        let route = deployment.route;
        let arrivals = Arrivals {
            rate_per_s: per_s / 2.0,
            duration,
            seed,
        };
        run_open_loop(arrivals, move |_| {
            let caller = caller.clone();
            async move {
                let target = Target {
                    address,
                    service: route.service,
                    path: route.path,
                };
                caller.call(target, CALL_TIMEOUT).await
            }
        })
    };
    let (direct, mesh) = tokio::join!(run_load(direct, 1), run_load(entry, 2));
    [direct, mesh]
}

/// CPU time of a call at the entry node and at the gate nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallCost {
    /// CPU time of the entry node in microseconds a second, over calls a second: the slope is the CPU
    /// time of a call in microseconds.
    pub(crate) entry_fit: LinearFit,
    /// The same for all gate nodes of the service together.
    pub(crate) gate_fit: LinearFit,
    /// Calls a second through the mesh at saturation; see [`saturate`].
    pub(crate) saturated_per_s: f64,
    /// CPU time of a call at the entry node at saturation, in microseconds.
    pub(crate) entry_us: f64,
    /// CPU time of a call at the gate nodes at saturation, in microseconds.
    pub(crate) gate_us: f64,
    /// CPU time of a direct call at saturation, in microseconds, of caller and backend server
    /// together.
    pub(crate) direct_us: f64,
    /// Direct calls a second at saturation, with the same number of callers.
    pub(crate) direct_per_s: f64,
}

/// Measures the CPU time of entry and gate nodes at several rates and at saturation.
pub(crate) async fn call_cost(deployment: &RunningDeployment, scale: Scale) -> Result<CallCost> {
    let (rates, duration): (&[f64], Duration) = match scale {
        Scale::Quick => (&[200.0, 800.0], Duration::from_secs(1)),
        Scale::Full => (&[250.0, 500.0, 1_000.0, 2_000.0], Duration::from_secs(2)),
    };
    let mut entry_points = Vec::new();
    let mut gate_points = Vec::new();
    for &per_s in rates {
        let (calls, entry_s, gate_s) = processor_time_at_rate(deployment, per_s, duration).await;
        let seconds = duration.as_secs_f64();
        entry_points.push((calls / seconds, 1e6 * entry_s / seconds));
        gate_points.push((calls / seconds, 1e6 * gate_s / seconds));
    }
    let no_fit = || Error::Unexpected {
        text: "no line can be fitted to the measured rates".to_owned(),
    };
    let direct_address = deployment.serving_vms().next().map(|vm| vm.backend.address);
    let direct_address = direct_address.expect("the service is deployed");
    let own_process = std::process::id();
    let direct = saturate(deployment, direct_address, duration, &[own_process]).await;
    let entry_address = deployment.entry_vm().node().addresses.caller;
    let nodes = process_ids(deployment);
    let mesh = saturate(deployment, entry_address, duration, &nodes).await;
    Ok(CallCost {
        entry_fit: LinearFit::least_squares(&entry_points).ok_or_else(no_fit)?,
        gate_fit: LinearFit::least_squares(&gate_points).ok_or_else(no_fit)?,
        saturated_per_s: mesh.calls_per_s,
        entry_us: mesh.processor_us[0],
        gate_us: mesh.processor_us[1..].iter().sum(),
        direct_us: direct.processor_us[0],
        direct_per_s: direct.calls_per_s,
    })
}

/// Process id of the entry node, followed by those of all gate nodes of the service.
fn process_ids(deployment: &RunningDeployment) -> Vec<u32> {
    let entry = deployment.entry_vm().node().id();
    let gates = deployment.serving_vms().filter_map(|vm| vm.node().id());
    entry.into_iter().chain(gates).collect()
}

fn processor_seconds(processes: &[u32]) -> Vec<f64> {
    let time = |id: &u32| processor_time(*id).unwrap_or_default().as_secs_f64();
    processes.iter().map(time).collect()
}

async fn processor_time_at_rate(
    deployment: &RunningDeployment,
    per_s: f64,
    duration: Duration,
) -> (f64, f64, f64) {
    let processes = process_ids(deployment);
    let address = deployment.entry_vm().node().addresses.caller;
    let route = deployment.route;
    let caller = Caller::new();
    let before = processor_seconds(&processes);
    let arrivals = Arrivals {
        rate_per_s: per_s,
        duration,
        seed: 3,
    };
    let summary = run_open_loop(arrivals, move |_| {
        let caller = caller.clone();
        async move {
            let target = Target {
                address,
                service: route.service,
                path: route.path,
            };
            caller.call(target, CALL_TIMEOUT).await
        }
    })
    .await;
    let after = processor_seconds(&processes);
    let spent: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after - before)
        .collect();
    (
        summary.answered as f64,
        spent[0],
        spent[1..].iter().sum::<f64>(),
    )
}

struct Saturated {
    calls_per_s: f64,
    /// CPU time of each process for one call, in microseconds.
    processor_us: Vec<f64>,
}

/// Sends calls to `address` in a closed loop for `duration`, with one caller fewer than a backend
/// server has slots. Each caller sends its next call as soon as the previous one has ended.
async fn saturate(
    deployment: &RunningDeployment,
    address: std::net::SocketAddr,
    duration: Duration,
    processes: &[u32],
) -> Saturated {
    let answered = Arc::new(Mutex::new(0_u64));
    let route = deployment.route;
    let before = processor_seconds(processes);
    let started = Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..route.slots - 1 {
        let caller = Caller::new();
        let answered = Arc::clone(&answered);
        callers.spawn(async move {
            let target = Target {
                address,
                service: route.service,
                path: route.path,
            };
            while started.elapsed() < duration {
                if caller.call(target, CALL_TIMEOUT).await == CallOutcome::Answered {
                    *answered.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                }
            }
        });
    }
    callers.join_all().await;
    let seconds = started.elapsed().as_secs_f64();
    let answered = *answered.lock().unwrap_or_else(PoisonError::into_inner);
    let after = processor_seconds(processes);
    let per_call = |(before, after): (&f64, &f64)| 1e6 * (after - before) / answered.max(1) as f64;
    Saturated {
        calls_per_s: answered as f64 / seconds,
        processor_us: before.iter().zip(&after).map(per_call).collect(),
    }
}

pub(super) fn added_latency_table(measured: &[DeploymentResults], command: &str) -> Table {
    let row = |name: &str, added: &AddedLatency| {
        vec![
            name.to_owned(),
            format_number(added.calls_per_s),
            format_number(added.direct_p50_ms),
            format_number(added.mesh_p50_ms),
            format_number(added.mesh_p50_ms - added.direct_p50_ms),
            format_number(added.direct_p99_ms),
            format_number(added.mesh_p99_ms),
            format_number(added.p99_ms()),
            added.answered_calls.to_string(),
            added.unanswered_calls.to_string(),
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
            .flat_map(|deployment_results| {
                deployment_results
                    .added_latency
                    .iter()
                    .map(|added| row(deployment_results.name, added))
            })
            .collect(),
    }
}

pub(super) fn cost_table(measured: &[DeploymentResults], command: &str) -> Table {
    let row = |deployment_results: &DeploymentResults| {
        let cost = &deployment_results.cost;
        vec![
            deployment_results.name.to_owned(),
            format_number(cost.saturated_per_s),
            format_number(cost.direct_per_s),
            format_number(cost.entry_us),
            format_number(cost.gate_us),
            format_number(1e6 / (cost.entry_us + cost.gate_us)),
            format_number(cost.direct_us),
            format_number(1e6 / cost.direct_us),
            format!(
                "{} ± {}",
                format_number(cost.entry_fit.slope),
                format_number(cost.entry_fit.residual_std)
            ),
            format!(
                "{} ± {}",
                format_number(cost.gate_fit.slope),
                format_number(cost.gate_fit.residual_std)
            ),
            format!(
                "{} ± {}",
                format_number(deployment_results.connection_kb.slope),
                format_number(deployment_results.connection_kb.residual_std)
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
