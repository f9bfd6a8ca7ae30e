//! A mesh of node processes that is measured from outside: when each node starts to enforce a
//! version, how many bytes it sends and receives, and how much CPU time and memory it uses.
//!
//! Nodes log "enforced a configuration" with a time stamp when they start to apply a version to
//! requests. This module reads those log lines, so the measurement adds no requests to the nodes.
//! Traffic is counted by the TCP forwarders of the test kit, through which every connection passes,
//! also inside a data centre.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dragonflywall::core::configuration::TeamRecord;
use dragonflywall::store::http::HttpStore;
use testkit::backend::Behaviour;
use testkit::mesh::{DataCentre, Deployment, Mesh};
use testkit::platform::RequestCounts;
use testkit::process::{LogLine, Signal};
use tokio::sync::mpsc;

use crate::error::{Error, Result};
use crate::process_stats::{self, Memory};
use crate::publication;
use crate::wall_clock::unix_time_us;

/// Names of all services that the design size has.
pub(crate) const SERVICES: [&str; 14] = [
    "service-a",
    "service-b",
    "service-c",
    "service-d",
    "service-e",
    "service-f",
    "service-g",
    "service-h",
    "service-i",
    "service-j",
    "service-k",
    "service-l",
    "service-m",
    "service-n",
];
/// Name, region and region number of each data centre.
const DATA_CENTRES: [(&str, &str, u8); 4] = [
    ("north-a", "north", 0),
    ("north-b", "north", 0),
    ("south-a", "south", 1),
    ("south-b", "south", 1),
];
/// A publication or a restart fails if any node does not enforce the version after this time.
const ENFORCE_TIMEOUT: Duration = Duration::from_secs(30);
const US_PER_DAY: u64 = 86_400_000_000;
/// Message that a node logs when it starts to enforce a version.
const ENFORCED_MESSAGE: &str = "enforced a configuration";

/// Returns the team file of one service, with three resources, four routes and calls to the next
/// service. Paths contain digits of a hash, so that compression does not reduce each file to a
/// copy of another.
pub(crate) fn team_file(service_index: usize, timeout_ms: u32) -> String {
    let service = SERVICES[service_index % SERVICES.len()];
    let hash_hex = blake3::hash(service.as_bytes()).to_hex();
    let (items, reports) = (&hash_hex[..12], &hash_hex[12..24]);
    let next = SERVICES[(service_index + 1) % SERVICES.len()];
    format!(
        r#"team = "team-{service}"

[service.{service}]
slots_per_endpoint = 20
connections_per_endpoint = 110
queue_len = 40

[service.{service}.resource.read]
class = "interactive"
idempotent = true
timeout_ms = {timeout_ms}
attempts = 3
spill = "mesh"

[service.{service}.resource.write]
class = "interactive"
idempotent = false
timeout_ms = 8000
attempts = 2
spill = "region"

[service.{service}.resource.report]
class = "bulk"
idempotent = true
timeout_ms = 60000
attempts = 2
spill = "region"

[[service.{service}.route]]
methods = ["GET", "HEAD"]
path = "/items-{items}"
resource = "read"

[[service.{service}.route]]
methods = ["POST", "PUT"]
path = "/items-{items}"
resource = "write"

[[service.{service}.route]]
methods = ["DELETE"]
path = "/items-{items}"
resource = "write"

[[service.{service}.route]]
methods = ["GET"]
path = "/reports-{reports}"
resource = "report"

[calls]
{next} = ["read", "write"]
"#
    )
}

/// Returns the team records of the first `services` services. `timeout_ms` is the timeout of their
/// reads.
pub(crate) fn team_records(services: usize, timeout_ms: u32) -> Result<Vec<TeamRecord>> {
    let mut files: Vec<String> = (0..services.min(SERVICES.len()))
        .map(|service_index| team_file(service_index, timeout_ms))
        .collect();
    if services < SERVICES.len()
        && let Some(last) = files.last_mut()
    {
        // The last service calls the first one, because the next one is not part of this set.
        let next = format!("{} =", SERVICES[services]);
        *last = last.replace(&next, &format!("{} =", SERVICES[0]));
    }
    publication::parse_team_files(&files)
}

/// Returns a deployment of `nodes` nodes in 2 regions with 2 data centres each.
fn deployment(nodes: usize, log_lines: mpsc::UnboundedSender<LogLine>) -> Deployment {
    let per_data_centre = (nodes / DATA_CENTRES.len()).max(1);
    let services = per_data_centre.min(4);
    let data_centre = |(name, region, region_number)| DataCentre {
        name,
        region,
        region_number,
    };
    Deployment {
        data_centres: DATA_CENTRES.map(data_centre).into(),
        services: SERVICES[..services].to_vec(),
        endpoints_per_data_centre: per_data_centre / services,
        behaviour: Behaviour::default(),
        forwards_local_traffic: true,
        log_lines: Some(log_lines),
    }
}

/// Counters of the mesh at one time; they grow from its start on.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    taken_at: Instant,
    total_between_nodes_bytes: u64,
    total_between_regions_bytes: u64,
    total_platform_bytes: u64,
    platform_requests: RequestCounts,
    /// CPU time of each running node, by process id.
    processor_times: HashMap<u32, Duration>,
}

/// Traffic, platform requests and CPU time between two samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Interval {
    pub(crate) seconds: f64,
    /// Bytes between nodes, in both directions.
    pub(crate) between_nodes_bytes: f64,
    /// Bytes over the link between the regions, in both directions, including those to and from the
    /// platform.
    pub(crate) link_bytes: f64,
    /// Bytes between nodes and the platform, in both directions.
    pub(crate) platform_bytes: f64,
    pub(crate) platform_reads: f64,
    pub(crate) platform_writes: f64,
    pub(crate) platform_refused: f64,
    /// CPU time of all nodes that ran during the whole interval.
    pub(crate) processor_s: f64,
}

impl Sample {
    /// Returns the differences between this sample and a later one.
    pub(crate) fn interval_to(&self, later: &Self) -> Interval {
        let processor_s = later.processor_times.iter().filter_map(|(id, time)| {
            let before = self.processor_times.get(id)?;
            Some(time.saturating_sub(*before).as_secs_f64())
        });
        let increase = |before: u64, after: u64| after.saturating_sub(before) as f64;
        Interval {
            seconds: later.taken_at.duration_since(self.taken_at).as_secs_f64(),
            between_nodes_bytes: increase(
                self.total_between_nodes_bytes,
                later.total_between_nodes_bytes,
            ),
            link_bytes: increase(
                self.total_between_regions_bytes,
                later.total_between_regions_bytes,
            ),
            platform_bytes: increase(self.total_platform_bytes, later.total_platform_bytes),
            platform_reads: increase(self.platform_requests.reads, later.platform_requests.reads),
            platform_writes: increase(
                self.platform_requests.writes,
                later.platform_requests.writes,
            ),
            platform_refused: increase(
                self.platform_requests.refused,
                later.platform_requests.refused,
            ),
            processor_s: processor_s.sum(),
        }
    }
}

impl Interval {
    /// Control bytes that one node sends and receives a second, on average over all nodes. Bytes
    /// between nodes count twice, because one node sends them and another receives them.
    pub(crate) fn node_bytes_per_s(&self, nodes: usize) -> f64 {
        let bytes = 2.0 * self.between_nodes_bytes + self.platform_bytes;
        bytes / self.seconds / nodes as f64
    }

    /// Share of a core that one node uses, in percent, on average over all nodes.
    pub(crate) fn node_core_percent(&self, nodes: usize) -> f64 {
        100.0 * self.processor_s / self.seconds / nodes as f64
    }
}

/// A running mesh of node processes, with the log lines that they write.
#[derive(Debug)]
pub(crate) struct ObservedMesh {
    pub(crate) mesh: Mesh,
    pub(crate) store: HttpStore,
    pub(crate) version: u64,
    log_lines: mpsc::UnboundedReceiver<LogLine>,
}

impl ObservedMesh {
    /// Starts `nodes` nodes, publishes the whole configuration, and waits until all nodes enforce it
    /// and have all others as members.
    pub(crate) async fn start(nodes: usize) -> Result<Self> {
        let (sender, log_lines) = mpsc::unbounded_channel();
        let program = std::env::current_exe().map_err(|error| Error::Start {
            text: error.to_string(),
        })?;
        let mesh = Mesh::start(&program, &["node"], deployment(nodes, sender)).await;
        let mesh = mesh.map_err(|text| Error::Start { text })?;
        let store = HttpStore::new(&mesh.platform.url(), None);
        let mut observed = Self {
            mesh,
            store,
            version: 0,
            log_lines,
        };
        observed
            .publish(team_records(SERVICES.len(), 2_000)?)
            .await?;
        observed.mesh.wait_joined().await;
        Ok(observed)
    }

    /// Publishes `records` and waits until all nodes enforce them. Returns the time from the commit
    /// for each node.
    pub(crate) async fn publish(&mut self, records: Vec<TeamRecord>) -> Result<Vec<Duration>> {
        let version = self.version + 1;
        let store = self.store.clone();
        // The operator is in the region of the platform, which is that of the first data centre.
        let region = self.mesh.deployment.data_centres[0].region;
        let publishing =
            publication::publish_and_hint(&store, "experiment", Some(region), records, version);
        let publication = publishing.await?;
        self.version = version;
        self.wait_enforced(publication.committed_unix_us).await
    }

    /// Kills all nodes, starts them again, and waits until each enforces the published version.
    /// Returns the time from the kill for each node.
    pub(crate) async fn restart_all(&mut self) -> Result<Vec<Duration>> {
        while self.log_lines.try_recv().is_ok() {}
        let start_us = unix_time_us();
        for vm in &mut self.mesh.vms {
            if let Some(mut node) = vm.node.take() {
                node.signal(Signal::Kill);
                let _ = node.wait_exit().await;
            }
        }
        let positions = (0..self.mesh.vms.len()).collect();
        let started = self.mesh.start_nodes(positions).await;
        started.map_err(|text| Error::Start { text })?;
        self.wait_enforced(start_us).await
    }

    /// Reads log lines until every node has logged that it enforces the published version. Returns
    /// the time from `start_us` (Unix time) for each node.
    async fn wait_enforced(&mut self, start_us: u64) -> Result<Vec<Duration>> {
        let nodes = self.mesh.vms.len();
        let deadline = tokio::time::Instant::now() + ENFORCE_TIMEOUT;
        let mut times: HashMap<usize, Duration> = HashMap::new();
        while times.len() < nodes {
            let line = tokio::time::timeout_at(deadline, self.log_lines.recv()).await;
            let Ok(Some(line)) = line else {
                return Err(Error::Unexpected {
                    text: format!(
                        "only {} of {nodes} nodes enforce version {} after {} s",
                        times.len(),
                        self.version,
                        ENFORCE_TIMEOUT.as_secs()
                    ),
                });
            };
            let Some((version, logged_at_us)) = parse_enforced_line(&line.text) else {
                continue;
            };
            if version >= self.version {
                let delay = Duration::from_micros(elapsed_us(start_us, logged_at_us));
                times.entry(line.position).or_insert(delay);
            }
        }
        Ok(times.into_values().collect())
    }

    /// Reads all counters.
    pub(crate) fn sample(&self) -> Sample {
        let processes = self.process_ids();
        Sample {
            taken_at: Instant::now(),
            total_between_nodes_bytes: self.mesh.bytes_between_nodes(),
            total_between_regions_bytes: self.mesh.network.bytes_between_regions(),
            total_platform_bytes: self.mesh.bytes_with_platform(),
            platform_requests: self.mesh.platform.counts(),
            processor_times: processes
                .filter_map(|id| Some((id, process_stats::processor_time(id)?)))
                .collect(),
        }
    }

    /// Measures the mesh for `time`, without publications or announcements.
    pub(crate) async fn sample_idle(&self, time: Duration) -> Interval {
        let before = self.sample();
        tokio::time::sleep(time).await;
        before.interval_to(&self.sample())
    }

    /// Memory of each running node.
    pub(crate) fn memory(&self) -> Vec<Memory> {
        self.process_ids()
            .filter_map(process_stats::memory)
            .collect()
    }

    fn process_ids(&self) -> impl Iterator<Item = u32> + '_ {
        let nodes = self.mesh.vms.iter().filter_map(|vm| vm.node.as_ref());
        nodes.filter_map(|node| node.id())
    }
}

/// Microseconds from `start_us` (Unix time) until the clock next shows `time_of_day_us`. A node may
/// enforce a version shortly before the answer to the commit arrives here, which is `start_us`. A
/// time of day shortly before `start_us` therefore gives 0 rather than almost a day.
fn elapsed_us(start_us: u64, time_of_day_us: u64) -> u64 {
    let after = (time_of_day_us + US_PER_DAY - start_us % US_PER_DAY) % US_PER_DAY;
    if after > US_PER_DAY / 2 { 0 } else { after }
}

/// Parses a log line in JSON. Returns version and time of day (UTC, in microseconds) if the line has
/// [`ENFORCED_MESSAGE`].
fn parse_enforced_line(line: &str) -> Option<(u64, u64)> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    if line["message"] != ENFORCED_MESSAGE {
        return None;
    }
    let version = line["kvs"]["version"].as_u64()?;
    Some((version, time_of_day_us(line["timestamp"].as_str()?)?))
}

/// Parses a time stamp such as `2026-01-31T22:44:57.172051+02:00`. Returns the time of day in UTC.
fn time_of_day_us(timestamp: &str) -> Option<u64> {
    let (_, time) = timestamp.split_once('T')?;
    let offset_start = time.find(['+', '-', 'Z', '['])?;
    let (clock, utc_offset) = time.split_at(offset_start);
    let local_us = clock_seconds(clock)? * 1e6;
    let offset_us = match utc_offset
        .get(1..6)
        .and_then(|offset| offset.split_once(':'))
    {
        Some((hours, minutes)) => {
            let abs_offset_s =
                hours.parse::<f64>().ok()? * 3600.0 + minutes.parse::<f64>().ok()? * 60.0;
            if utc_offset.starts_with('-') {
                -abs_offset_s
            } else {
                abs_offset_s
            }
        }
        None => 0.0,
    };
    let utc_us = local_us - offset_us * 1e6;
    Some(utc_us.rem_euclid(US_PER_DAY as f64).round() as u64)
}

fn clock_seconds(clock: &str) -> Option<f64> {
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    Some(parts.next()?? * 3600.0 + parts.next()?? * 60.0 + parts.next()??)
}

#[cfg(test)]
mod tests;
