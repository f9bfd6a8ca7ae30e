//! `convergence`: from acceptance to every node enforcing, and what the control traffic costs.
//!
//! For each size a mesh of node processes goes through idling, publications, endpoint churn and a
//! restart of all nodes at once; the baseline of polling pollers goes through the same changes.

mod pages;

use std::ffi::OsString;
use std::time::{Duration, Instant};

use dragonflywall::core::version::Version;
use dragonflywall::ops::query::accepted;
use hdrhistogram::Histogram;
use http::Method;
use testkit::http::request;
use testkit::platform::PeakRates;

use crate::baseline::{self, Polled};
use crate::error::{Error, Result};
use crate::fleet::{Fleet, Interval, SERVICES, team_file};
use crate::options::{Options, Scale};
use crate::publication;
use crate::report::Report;

pub(crate) use pages::write;

/// Times are counted up to this; each run is bounded far below it.
const TIME_MAX_MS: u64 = 600_000;

/// How much is run at each size.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Sizes in groups; those of a group run side by side, so only small ones share a group.
    pub(crate) sizes: Vec<Vec<usize>>,
    pub(crate) publications: usize,
    pub(crate) baseline_changes: usize,
    /// From the start to the first count, until the traffic of joining has ended. A node registers
    /// again within 15 s of its start.
    pub(crate) settle: Duration,
    /// After a restart of all, still counted.
    pub(crate) settle_herd: Duration,
    pub(crate) idle: Duration,
    /// Endpoint announcements in all, and the time over which they come.
    pub(crate) churn_events: usize,
    pub(crate) churn: Duration,
}

impl Plan {
    pub(crate) fn of(scale: Scale) -> Self {
        match scale {
            Scale::Quick => Self {
                sizes: vec![vec![8, 16]],
                publications: 3,
                baseline_changes: 1,
                settle: Duration::from_secs(4),
                settle_herd: Duration::from_secs(2),
                idle: Duration::from_secs(3),
                churn_events: 8,
                churn: Duration::from_secs(2),
            },
            Scale::Full => Self {
                sizes: vec![vec![8, 16, 32], vec![64], vec![128], vec![256]],
                publications: 8,
                baseline_changes: 2,
                settle: Duration::from_secs(17),
                settle_herd: Duration::from_secs(4),
                idle: Duration::from_secs(10),
                churn_events: 40,
                churn: Duration::from_secs(4),
            },
        }
    }
}

/// What was measured at one size.
#[derive(Debug)]
pub(crate) struct Measured {
    pub(crate) nodes: usize,
    pub(crate) idle: Interval,
    /// One for each node and publication, in milliseconds.
    pub(crate) spread_ms: Histogram<u64>,
    pub(crate) changes: Interval,
    pub(crate) publications: usize,
    /// Mean size of the compressed deltas published.
    pub(crate) delta_bytes: f64,
    pub(crate) churn: Interval,
    pub(crate) churn_events: usize,
    pub(crate) herd_ms: Histogram<u64>,
    pub(crate) herd: Interval,
    pub(crate) herd_peaks: PeakRates,
    /// Largest anonymous and resident memory of a node, in megabytes.
    pub(crate) anonymous_mb: f64,
    pub(crate) resident_mb: f64,
    pub(crate) baseline: Polled,
}

impl Measured {
    /// Bytes over the link for one change, beyond what idling costs.
    pub(crate) fn link_bytes_per_change(&self) -> f64 {
        let idle = self.idle.link_bytes / self.idle.seconds * self.changes.seconds;
        (self.changes.link_bytes - idle) / self.publications as f64
    }

    /// Bytes between nodes for one change, beyond what idling costs.
    pub(crate) fn bytes_per_change(&self) -> f64 {
        let idle = self.idle.between_nodes_bytes / self.idle.seconds * self.changes.seconds;
        (self.changes.between_nodes_bytes - idle) / self.publications as f64
    }

    /// Bytes between nodes for one endpoint announcement, beyond what idling costs.
    pub(crate) fn bytes_per_event(&self) -> f64 {
        let idle = self.idle.between_nodes_bytes / self.idle.seconds * self.churn.seconds;
        (self.churn.between_nodes_bytes - idle) / self.churn_events as f64
    }

    /// Platform reads for one change, beyond idling.
    pub(crate) fn reads_per_change(&self) -> f64 {
        let idle = self.idle.platform_reads / self.idle.seconds * self.changes.seconds;
        (self.changes.platform_reads - idle) / self.publications as f64
    }

    /// Platform writes for one change, beyond idling.
    pub(crate) fn writes_per_change(&self) -> f64 {
        let idle = self.idle.platform_writes / self.idle.seconds * self.changes.seconds;
        (self.changes.platform_writes - idle) / self.publications as f64
    }

    /// Processor time of all nodes for one change, beyond idling, in milliseconds.
    pub(crate) fn processor_ms_per_change(&self) -> f64 {
        let idle = self.idle.processor_s / self.idle.seconds * self.changes.seconds;
        (self.changes.processor_s - idle) * 1e3 / self.publications as f64
    }
}

/// Runs the command.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let report = Report::new(&options.docs)?;
    let mut plan = Plan::of(options.scale);
    if let Some(nodes) = options.nodes {
        plan.sizes = vec![vec![nodes]];
    }
    let sizes = measure(&plan).await?;
    write(&report, &sizes, options.scale)?;
    sizes.checked()
}

/// The sizes that were measured, and those that could not be.
#[derive(Debug, Default)]
pub(crate) struct Sizes {
    pub(crate) measured: Vec<Measured>,
    failed: Vec<(usize, String)>,
}

impl Sizes {
    /// An error if any size failed; its page says so as well.
    pub(crate) fn checked(&self) -> Result {
        if self.failed.is_empty() {
            return Ok(());
        }
        Err(Error::Unexpected {
            text: self.failures(),
        })
    }

    fn failures(&self) -> String {
        let failures = self.failed.iter();
        let lines =
            failures.map(|(nodes, why)| format!("{nodes} nodes could not be measured: {why}"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Measures every size, and the baseline at all sizes side by side. A size that fails is noted
/// and the others go on.
pub(crate) async fn measure(plan: &Plan) -> Result<Sizes> {
    let mut sizes = Sizes::default();
    for group in &plan.sizes {
        let begin = Instant::now();
        // Tasks of their own, so that a panic inside the test kit ends one size alone.
        let runs: Vec<_> = group
            .iter()
            .map(|&nodes| {
                let plan = plan.clone();
                let run = tokio::spawn(async move { measure_size(&plan, nodes).await });
                (nodes, run)
            })
            .collect();
        for (nodes, run) in runs {
            let measured = run.await.unwrap_or_else(|error| {
                Err(Error::Unexpected {
                    text: error.to_string(),
                })
            });
            match measured {
                Ok(measured) => {
                    print_size(&measured, begin);
                    sizes.measured.push(measured);
                }
                Err(error) => {
                    println!("Failed at {nodes} nodes: {error}");
                    sizes.failed.push((nodes, error.to_string()));
                }
            }
        }
    }
    // Pollers are few tasks that mostly sleep, so their sizes can run at the same time.
    let baselines: Vec<_> = sizes
        .measured
        .iter()
        .map(|measured| tokio::spawn(baseline::run(measured.nodes, plan.baseline_changes)))
        .collect();
    for (measured, baseline) in sizes.measured.iter_mut().zip(baselines) {
        measured.baseline = baseline.await.map_err(|error| Error::Unexpected {
            text: error.to_string(),
        })??;
    }
    println!("Measured the polling baseline");
    Ok(sizes)
}

fn print_size(measured: &Measured, begin: Instant) {
    let spread = &measured.spread_ms;
    println!(
        "Measured {} nodes in {:.1} s: enforced after p50 {} ms, p99 {} ms, max {} ms",
        measured.nodes,
        begin.elapsed().as_secs_f64(),
        spread.value_at_quantile(0.5),
        spread.value_at_quantile(0.99),
        spread.max()
    );
}

async fn measure_size(plan: &Plan, nodes: usize) -> Result<Measured> {
    let begin = Instant::now();
    let mut fleet = Fleet::start(nodes).await?;
    tokio::time::sleep(plan.settle.saturating_sub(begin.elapsed())).await;
    let idle = fleet.idle(plan.idle).await;
    let (spread_ms, changes) = publish_all(&mut fleet, plan.publications).await?;
    let delta_bytes = mean_delta_bytes(&fleet).await?;
    let churn = churn(&fleet, plan).await?;
    // The busiest minute is over; what is resident now is what a node needs.
    let memory = fleet.memory();
    let largest =
        |kb: &dyn Fn(usize) -> u64| (0..memory.len()).map(kb).max().unwrap_or(0) as f64 / 1024.0;
    let anonymous_mb = largest(&|node| memory[node].anonymous_kb);
    let resident_mb = largest(&|node| memory[node].resident_kb);

    fleet.mesh.platform.take_peak_rates();
    let before = fleet.sample();
    let herd = fleet.restart_all().await?;
    tokio::time::sleep(plan.settle_herd).await;
    let herd_interval = before.until(&fleet.sample());
    let herd_peaks = fleet.mesh.platform.take_peak_rates();
    Ok(Measured {
        nodes,
        idle,
        spread_ms,
        changes,
        publications: plan.publications,
        delta_bytes,
        churn,
        churn_events: plan.churn_events,
        herd_ms: histogram(&herd),
        herd: herd_interval,
        herd_peaks,
        anonymous_mb,
        resident_mb,
        baseline: Polled::default(),
    })
}

/// Publishes a change of one team's treatment again and again.
async fn publish_all(fleet: &mut Fleet, publications: usize) -> Result<(Histogram<u64>, Interval)> {
    let mut spread_ms = empty_histogram();
    let before = fleet.sample();
    for number in 0..publications {
        let timeout_ms = 1_000 + u32::try_from(number).unwrap_or(0);
        let file = team_file(number % SERVICES.len(), timeout_ms);
        let times = fleet.publish(publication::records(&[file])?).await?;
        record(&mut spread_ms, &times);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    Ok((spread_ms, before.until(&fleet.sample())))
}

/// Mean size of the deltas of all versions but the first.
async fn mean_delta_bytes(fleet: &Fleet) -> Result<f64> {
    let read_error = |error: accepted::Error| Error::Unexpected {
        text: error.to_string(),
    };
    let mut bytes = 0;
    for version in 2..=fleet.version {
        let row = accepted::version_row(&fleet.platform, Version(version)).await;
        let row = row.map_err(read_error)?;
        let delta = accepted::object(&fleet.platform, &row.delta_object).await;
        bytes += delta.map_err(read_error)?.len();
    }
    Ok(bytes as f64 / fleet.version.saturating_sub(1).max(1) as f64)
}

/// Backend servers announce in turn that they drain and that they serve again.
async fn churn(fleet: &Fleet, plan: &Plan) -> Result<Interval> {
    let before = fleet.sample();
    let pause = plan.churn / u32::try_from(plan.churn_events).unwrap_or(1);
    let mut ticks = tokio::time::interval(pause);
    for event in 0..plan.churn_events {
        ticks.tick().await;
        // Each drains at an even event and serves again at the odd one after it.
        let vm = &fleet.mesh.vms[event / 2 % fleet.mesh.vms.len()];
        let state = if event % 2 == 0 {
            "draining"
        } else {
            "serving"
        };
        announce(vm, state).await?;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(before.until(&fleet.sample()))
}

/// The backend server of a VM announces its state to its node.
pub(crate) async fn announce(vm: &testkit::mesh::Vm, state: &str) -> Result {
    let announcement = serde_json::json!({
        "service": vm.service,
        "address": vm.backend.address,
        "state": state,
    });
    let operator = vm.node().addresses.operator;
    let body = announcement.to_string();
    let reply = request(operator, Method::POST, "node", "/backend-server", &[], body).await;
    match reply {
        Ok(reply) if reply.status == 200 => Ok(()),
        other => Err(Error::Unexpected {
            text: format!("the announcement was not taken: {other:?}"),
        }),
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, TIME_MAX_MS, 3).expect("three digits are in range")
}

fn record(histogram: &mut Histogram<u64>, times: &[Duration]) {
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }
}

pub(crate) fn histogram(times: &[Duration]) -> Histogram<u64> {
    let mut histogram = empty_histogram();
    record(&mut histogram, times);
    histogram
}
