//! `convergence`: measures the time from the commit of a version until every node enforces it, and
//! the cost of the control traffic.
//!
//! For each size a mesh of node processes runs idle, then receives publications, then endpoint
//! announcements, and then all nodes are killed and restarted at once. For comparison, a baseline of
//! proxies that poll the store for the whole configuration goes through changes as well.

mod pages;

use std::ffi::OsString;
use std::time::{Duration, Instant};

use dragonflywall::core::version::Version;
use dragonflywall::ops::query::accepted;
use hdrhistogram::Histogram;
use http::Method;
use testkit::http::request;
use testkit::platform::PeakRates;

use crate::baseline::{self, PollingResults};
use crate::error::{Error, Result};
use crate::observed_mesh::{Interval, ObservedMesh, SERVICES, team_file};
use crate::options::{Options, Scale};
use crate::publication;
use crate::report::Report;

pub(crate) use pages::write;

/// Upper bound of the time histograms. The timeouts of a run are far shorter.
const MAX_RECORDED_MS: u64 = 600_000;

/// Sizes to measure, and the load and duration of each phase.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Numbers of nodes in groups. The sizes of a group run at the same time, so only small sizes
    /// share a group.
    pub(crate) size_groups: Vec<Vec<usize>>,
    pub(crate) publications: usize,
    pub(crate) baseline_changes: usize,
    /// From the start of the mesh to the first sample. At full scale it is long enough for the traffic
    /// of joining to end: a node registers a second time within 15 s of its start.
    pub(crate) settle_time: Duration,
    /// From the time when all restarted nodes enforce the configuration to the last sample. The
    /// traffic of this time is part of the result.
    pub(crate) settle_time_after_restart: Duration,
    pub(crate) idle_time: Duration,
    /// Total number of endpoint announcements, which are spread over `announcement_time`.
    pub(crate) announcements: usize,
    pub(crate) announcement_time: Duration,
}

impl Plan {
    pub(crate) fn for_scale(scale: Scale) -> Self {
        match scale {
            Scale::Quick => Self {
                size_groups: vec![vec![8, 16]],
                publications: 3,
                baseline_changes: 1,
                settle_time: Duration::from_secs(4),
                settle_time_after_restart: Duration::from_secs(2),
                idle_time: Duration::from_secs(3),
                announcements: 8,
                announcement_time: Duration::from_secs(2),
            },
            Scale::Full => Self {
                size_groups: vec![vec![8, 16, 32], vec![64], vec![128], vec![256]],
                publications: 8,
                baseline_changes: 2,
                settle_time: Duration::from_secs(17),
                settle_time_after_restart: Duration::from_secs(4),
                idle_time: Duration::from_secs(10),
                announcements: 40,
                announcement_time: Duration::from_secs(4),
            },
        }
    }
}

/// Results at one size. Each interval covers one phase.
#[derive(Debug)]
pub(crate) struct SizeResults {
    pub(crate) nodes: usize,
    pub(crate) idle_interval: Interval,
    /// Time from the commit of a version until a node enforces it, in milliseconds; one value for
    /// each node and publication.
    pub(crate) enforced_after_ms: Histogram<u64>,
    pub(crate) publish_interval: Interval,
    pub(crate) publication_count: usize,
    /// Mean size of the published deltas, which are compressed.
    pub(crate) delta_bytes: f64,
    pub(crate) announce_interval: Interval,
    pub(crate) announcement_count: usize,
    /// Time from the kill of all nodes until a node enforces the configuration again, in
    /// milliseconds; one value for each node.
    pub(crate) full_restart_ms: Histogram<u64>,
    pub(crate) full_restart_interval: Interval,
    pub(crate) full_restart_peaks: PeakRates,
    /// Anonymous memory of the node that has most of it, in mebibytes.
    pub(crate) anonymous_mb: f64,
    /// Resident memory of the node that has most of it, in mebibytes.
    pub(crate) resident_mb: f64,
    pub(crate) baseline: PollingResults,
}

impl SizeResults {
    /// Bytes over the link between the regions for one change, without the idle traffic.
    pub(crate) fn link_bytes_per_change(&self) -> f64 {
        let idle_cost = self.idle_interval.link_bytes / self.idle_interval.seconds
            * self.publish_interval.seconds;
        (self.publish_interval.link_bytes - idle_cost) / self.publication_count as f64
    }

    /// Bytes between all nodes for one change, without the idle traffic.
    pub(crate) fn bytes_per_change(&self) -> f64 {
        let idle_cost = self.idle_interval.between_nodes_bytes / self.idle_interval.seconds
            * self.publish_interval.seconds;
        (self.publish_interval.between_nodes_bytes - idle_cost) / self.publication_count as f64
    }

    /// Bytes between all nodes for one endpoint announcement, without the idle traffic.
    pub(crate) fn bytes_per_announcement(&self) -> f64 {
        let idle_cost = self.idle_interval.between_nodes_bytes / self.idle_interval.seconds
            * self.announce_interval.seconds;
        (self.announce_interval.between_nodes_bytes - idle_cost) / self.announcement_count as f64
    }

    /// Reads from the platform for one change, without those of idle nodes.
    pub(crate) fn reads_per_change(&self) -> f64 {
        let idle_cost = self.idle_interval.platform_reads / self.idle_interval.seconds
            * self.publish_interval.seconds;
        (self.publish_interval.platform_reads - idle_cost) / self.publication_count as f64
    }

    /// Writes to the platform for one change, without those of idle nodes.
    pub(crate) fn writes_per_change(&self) -> f64 {
        let idle_cost = self.idle_interval.platform_writes / self.idle_interval.seconds
            * self.publish_interval.seconds;
        (self.publish_interval.platform_writes - idle_cost) / self.publication_count as f64
    }

    /// CPU time of all nodes for one change, without the idle cost, in milliseconds.
    pub(crate) fn processor_ms_per_change(&self) -> f64 {
        let idle_cost = self.idle_interval.processor_s / self.idle_interval.seconds
            * self.publish_interval.seconds;
        (self.publish_interval.processor_s - idle_cost) * 1e3 / self.publication_count as f64
    }
}

/// Runs the command. `--nodes` replaces all sizes of the plan. The results of the other sizes are
/// written even if one size fails.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let report = Report::new(&options.docs)?;
    let mut plan = Plan::for_scale(options.scale);
    if let Some(nodes) = options.nodes {
        plan.size_groups = vec![vec![nodes]];
    }
    let sizes = measure(&plan).await?;
    write(&report, &sizes, options.scale)?;
    sizes.ensure_all_measured()
}

/// Results of the sizes that were measured, and errors of those that failed.
#[derive(Debug, Default)]
pub(crate) struct MeasuredSizes {
    pub(crate) measured: Vec<SizeResults>,
    failed: Vec<(usize, String)>,
}

impl MeasuredSizes {
    /// Returns an error if any size failed. The page lists the failures as well.
    pub(crate) fn ensure_all_measured(&self) -> Result {
        if self.failed.is_empty() {
            return Ok(());
        }
        Err(Error::Unexpected {
            text: self.failure_text(),
        })
    }

    fn failure_text(&self) -> String {
        let failed = self.failed.iter();
        let lines =
            failed.map(|(nodes, error)| format!("{nodes} nodes could not be measured: {error}"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Measures every size, and then the polling baseline at all sizes at the same time. If a size
/// fails, its error is recorded and the others are still measured.
pub(crate) async fn measure(plan: &Plan) -> Result<MeasuredSizes> {
    let mut sizes = MeasuredSizes::default();
    for group in &plan.size_groups {
        let started = Instant::now();
        // Each size has its own task, so that a panic in the test kit ends only that size.
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
                    print_size(&measured, started);
                    sizes.measured.push(measured);
                }
                Err(error) => {
                    println!("Failed at {nodes} nodes: {error}");
                    sizes.failed.push((nodes, error.to_string()));
                }
            }
        }
    }
    // Pollers sleep most of the time and need little CPU, so all sizes can run at the same time.
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

fn print_size(measured: &SizeResults, started: Instant) {
    let enforced_after = &measured.enforced_after_ms;
    println!(
        "Measured {} nodes in {:.1} s: enforced after p50 {} ms, p99 {} ms, max {} ms",
        measured.nodes,
        started.elapsed().as_secs_f64(),
        enforced_after.value_at_quantile(0.5),
        enforced_after.value_at_quantile(0.99),
        enforced_after.max()
    );
}

async fn measure_size(plan: &Plan, nodes: usize) -> Result<SizeResults> {
    let started = Instant::now();
    let mut observed = ObservedMesh::start(nodes).await?;
    tokio::time::sleep(plan.settle_time.saturating_sub(started.elapsed())).await;
    let idle_interval = observed.sample_idle(plan.idle_time).await;
    let (enforced_after_ms, publish_interval) =
        publish_repeatedly(&mut observed, plan.publications).await?;
    let delta_bytes = mean_delta_bytes(&observed).await?;
    let announce_interval = announce_in_turn(&observed, plan).await?;
    // Memory is sampled after the busiest phases, so it includes what a node allocated for them.
    let node_memory = observed.memory();
    let largest_mb = |kb: &dyn Fn(usize) -> u64| {
        (0..node_memory.len()).map(kb).max().unwrap_or(0) as f64 / 1024.0
    };
    let anonymous_mb = largest_mb(&|node| node_memory[node].anonymous_kb);
    let resident_mb = largest_mb(&|node| node_memory[node].resident_kb);

    observed.mesh.platform.take_peak_rates();
    let before = observed.sample();
    let restart_times = observed.restart_all().await?;
    tokio::time::sleep(plan.settle_time_after_restart).await;
    let full_restart_interval = before.interval_to(&observed.sample());
    let full_restart_peaks = observed.mesh.platform.take_peak_rates();
    Ok(SizeResults {
        nodes,
        idle_interval,
        enforced_after_ms,
        publish_interval,
        publication_count: plan.publications,
        delta_bytes,
        announce_interval,
        announcement_count: plan.announcements,
        full_restart_ms: time_histogram(&restart_times),
        full_restart_interval,
        full_restart_peaks,
        anonymous_mb,
        resident_mb,
        baseline: PollingResults::default(),
    })
}

/// Publishes `publications` versions, each of which changes the timeout of one team's reads.
async fn publish_repeatedly(
    observed: &mut ObservedMesh,
    publications: usize,
) -> Result<(Histogram<u64>, Interval)> {
    let mut enforced_after_ms = empty_histogram();
    let before = observed.sample();
    for index in 0..publications {
        let timeout_ms = 1_000 + u32::try_from(index).unwrap_or(0);
        let file = team_file(index % SERVICES.len(), timeout_ms);
        let times = observed
            .publish(publication::parse_team_files(&[file])?)
            .await?;
        record_times(&mut enforced_after_ms, &times);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    Ok((enforced_after_ms, before.interval_to(&observed.sample())))
}

/// Mean size of the deltas of all versions except the first, which publishes the whole
/// configuration.
async fn mean_delta_bytes(observed: &ObservedMesh) -> Result<f64> {
    let read_error = |error: accepted::Error| Error::Unexpected {
        text: error.to_string(),
    };
    let mut bytes = 0;
    for version in 2..=observed.version {
        let row = accepted::version_row(&observed.store, Version(version)).await;
        let row = row.map_err(read_error)?;
        let delta = accepted::object(&observed.store, &row.delta_object).await;
        bytes += delta.map_err(read_error)?.len();
    }
    Ok(bytes as f64 / observed.version.saturating_sub(1).max(1) as f64)
}

/// Sends announcements at a constant rate: one backend server after the other announces that it
/// drains, and then that it serves again.
async fn announce_in_turn(observed: &ObservedMesh, plan: &Plan) -> Result<Interval> {
    let before = observed.sample();
    let time_between = plan.announcement_time / u32::try_from(plan.announcements).unwrap_or(1);
    let mut announcement_ticks = tokio::time::interval(time_between);
    for announcement_number in 0..plan.announcements {
        announcement_ticks.tick().await;
        // Even announcements are `draining`; the odd one that follows is `serving`, of the same VM.
        let vm = &observed.mesh.vms[announcement_number / 2 % observed.mesh.vms.len()];
        let state = if announcement_number % 2 == 0 {
            "draining"
        } else {
            "serving"
        };
        announce(vm, state).await?;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(before.interval_to(&observed.sample()))
}

/// Announces `state` to the node of a VM in place of its backend server.
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
            text: format!("the node did not accept the announcement: {other:?}"),
        }),
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("the histogram bounds are valid")
}

fn record_times(histogram: &mut Histogram<u64>, times: &[Duration]) {
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }
}

pub(crate) fn time_histogram(times: &[Duration]) -> Histogram<u64> {
    let mut histogram = empty_histogram();
    record_times(&mut histogram, times);
    histogram
}
