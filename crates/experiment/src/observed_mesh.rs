//! A mesh of a given size, watched from outside: when each node enforces, what it sends and uses.
//!
//! Nodes log "enforced a configuration" with their own time stamp; the lines are read here, so
//! watching costs the nodes nothing. Traffic is counted by the fronts that every connection of
//! the mesh passes, inside data centres too.

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

/// Services of the design size.
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
const DATA_CENTRES: [(&str, &str, u8); 4] = [
    ("north-a", "north", 0),
    ("north-b", "north", 0),
    ("south-a", "south", 1),
    ("south-b", "south", 1),
];
/// A publication that is not in force everywhere by then has failed.
const ENFORCE_TIMEOUT: Duration = Duration::from_secs(30);
const US_PER_DAY: u64 = 86_400_000_000;
const ENFORCED_MESSAGE: &str = "enforced a configuration";

/// The team file of one service: three resources, four routes, a call to the next service. Paths
/// hold digits of a hash, so that one file does not compress to a copy of another.
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

/// Records of all services, with the given timeouts.
pub(crate) fn team_records(services: usize, timeout_ms: u32) -> Result<Vec<TeamRecord>> {
    let mut files: Vec<String> = (0..services.min(SERVICES.len()))
        .map(|service_index| team_file(service_index, timeout_ms))
        .collect();
    if services < SERVICES.len()
        && let Some(last) = files.last_mut()
    {
        // The chain of calls must close inside a smaller set.
        let next = format!("{} =", SERVICES[services]);
        *last = last.replace(&next, &format!("{} =", SERVICES[0]));
    }
    publication::parse_team_files(&files)
}

/// The deployment of `nodes` nodes in 2 regions with 2 data centres each.
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

/// What was counted up to a moment.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    taken_at: Instant,
    total_between_nodes_bytes: u64,
    total_between_regions_bytes: u64,
    total_platform_bytes: u64,
    platform_requests: RequestCounts,
    processor_times: HashMap<u32, Duration>,
}

/// What happened between two samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Interval {
    pub(crate) seconds: f64,
    /// Bytes between nodes, both ways.
    pub(crate) between_nodes_bytes: f64,
    /// Bytes over the regional link, both ways, those to and from the platform included.
    pub(crate) link_bytes: f64,
    /// Bytes between nodes and the platform, both ways.
    pub(crate) platform_bytes: f64,
    pub(crate) platform_reads: f64,
    pub(crate) platform_writes: f64,
    pub(crate) platform_refused: f64,
    /// Processor time of all nodes that lived through the interval.
    pub(crate) processor_s: f64,
}

impl Sample {
    /// What happened from `self` to `later`.
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
    /// Control bytes that one node sends and receives in a second. Traffic between nodes is seen
    /// by two of them.
    pub(crate) fn node_bytes_per_s(&self, nodes: usize) -> f64 {
        let bytes = 2.0 * self.between_nodes_bytes + self.platform_bytes;
        bytes / self.seconds / nodes as f64
    }

    /// Share of a core that one node uses, in percent.
    pub(crate) fn node_core_percent(&self, nodes: usize) -> f64 {
        100.0 * self.processor_s / self.seconds / nodes as f64
    }
}

/// A running mesh of node processes.
#[derive(Debug)]
pub(crate) struct ObservedMesh {
    pub(crate) mesh: Mesh,
    pub(crate) store: HttpStore,
    pub(crate) version: u64,
    log_lines: mpsc::UnboundedReceiver<LogLine>,
}

impl ObservedMesh {
    /// Starts `nodes` nodes, publishes the whole configuration, waits until all enforce it.
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

    /// Publishes `records`; how long after acceptance each node enforced them.
    pub(crate) async fn publish(&mut self, records: Vec<TeamRecord>) -> Result<Vec<Duration>> {
        let version = self.version + 1;
        let store = self.store.clone();
        // The operator is where the platform is: in the first data centre's region.
        let region = self.mesh.deployment.data_centres[0].region;
        let publishing =
            publication::publish_and_hint(&store, "experiment", Some(region), records, version);
        let publication = publishing.await?;
        self.version = version;
        self.wait_enforced(publication.committed_unix_us).await
    }

    /// Kills every node, starts all again, and waits until each enforces what it did before.
    /// Gives the time from the kill until each enforced.
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

    /// Reads log lines until every node has enforced the published version.
    async fn wait_enforced(&mut self, start_us: u64) -> Result<Vec<Duration>> {
        let nodes = self.mesh.vms.len();
        let deadline = tokio::time::Instant::now() + ENFORCE_TIMEOUT;
        let mut times: HashMap<usize, Duration> = HashMap::new();
        while times.len() < nodes {
            let line = tokio::time::timeout_at(deadline, self.log_lines.recv()).await;
            let Ok(Some(line)) = line else {
                return Err(Error::Unexpected {
                    text: format!(
                        "{} of {nodes} nodes enforce version {} after {} s",
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

    /// Counts up to now.
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

    /// What happens while nothing is done, for `time`.
    pub(crate) async fn sample_idle(&self, time: Duration) -> Interval {
        let before = self.sample();
        tokio::time::sleep(time).await;
        before.interval_to(&self.sample())
    }

    /// Memory of every node.
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

/// From one moment to a time of day, which may be a little before it: then 0.
fn elapsed_us(start_us: u64, time_of_day_us: u64) -> u64 {
    let after = (time_of_day_us + US_PER_DAY - start_us % US_PER_DAY) % US_PER_DAY;
    if after > US_PER_DAY / 2 { 0 } else { after }
}

/// Version and time of day (UTC, microseconds) of a log line that says "enforced".
fn parse_enforced_line(line: &str) -> Option<(u64, u64)> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    if line["message"] != ENFORCED_MESSAGE {
        return None;
    }
    let version = line["kvs"]["version"].as_u64()?;
    Some((version, time_of_day_us(line["timestamp"].as_str()?)?))
}

/// Reads `2026-01-31T22:44:57.172051+02:00`.
fn time_of_day_us(timestamp: &str) -> Option<u64> {
    let (_, time) = timestamp.split_once('T')?;
    let zone_start = time.find(['+', '-', 'Z', '['])?;
    let (clock, zone) = time.split_at(zone_start);
    let local_us = clock_seconds(clock)? * 1e6;
    let offset_us = match zone.get(1..6).and_then(|zone| zone.split_once(':')) {
        Some((hours, minutes)) => {
            let abs_offset_s =
                hours.parse::<f64>().ok()? * 3600.0 + minutes.parse::<f64>().ok()? * 60.0;
            if zone.starts_with('-') {
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
