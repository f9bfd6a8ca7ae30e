//! Baseline for the convergence benchmark: every proxy polls the store for the whole configuration.
//!
//! The pollers are tasks of this program. Each belongs to a data centre and connects to the store
//! through a simulated network like that of the nodes, which counts bytes and limits the bandwidth
//! between regions. Like a node, a poller verifies the configuration that it reads.

use std::time::{Duration, Instant};

use dragonflywall::core::configuration::Configuration;
use dragonflywall::core::version::{Digest, Stamp, Version};
use dragonflywall::store::ObjectStore;
use dragonflywall::store::http::HttpStore;
use testkit::network::{Forwarder, Network, Site};
use testkit::platform::Platform;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::error::{Error, Result};
use crate::observed_mesh::{SERVICES, team_records};

/// Time between two reads of a poller.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Region number of each data centre.
const REGIONS: [u8; 4] = [0, 0, 1, 1];
/// Capacity of the link between the regions, in each direction.
const LINK_MBIT_PER_S: f64 = 30.0;

/// Cost of polling, and how long changes take to reach the pollers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PollingResults {
    /// From the completed write until a poller has verified the new version; one entry for each
    /// poller and change.
    pub(crate) enforced_after: Vec<Duration>,
    /// Bytes between all pollers and the store, in both directions, per second.
    pub(crate) bytes_per_s: f64,
    /// Bytes over the link between the regions, in both directions, per second.
    pub(crate) link_bytes_per_s: f64,
    /// Reads of the store per second.
    pub(crate) reads_per_s: f64,
}

/// Starts `nodes` pollers and publishes `changes` changes. Waits after each change until all
/// pollers have it.
pub(crate) async fn run(nodes: usize, changes: usize) -> Result<PollingResults> {
    let network = Network::new(REGIONS.into(), LINK_MBIT_PER_S);
    network.set_delays(Duration::from_millis(1), Duration::from_millis(20));
    let address = std::net::SocketAddr::new(network.site_ip(0), 0);
    let platform = Platform::start(address).await.map_err(start_error)?;
    let forwarder = Forwarder::open(&network, 0).await.map_err(start_error)?;
    forwarder.set_target(platform.address);
    let publisher = HttpStore::new(&platform.url(), None);
    put_configuration(&publisher, 1).await?;

    let (sender, mut received) = mpsc::unbounded_channel();
    let mut pollers = JoinSet::new();
    for number in 0..nodes {
        let site = Site::try_from(number % REGIONS.len()).unwrap_or(0);
        let url = format!("http://{}", forwarder.address);
        let store = HttpStore::new(&url, Some(network.site_ip(site)));
        // Spreads the first reads evenly over the polling interval, as if the pollers had started
        // at random times.
        let initial_delay = POLL_INTERVAL.mul_f64(number as f64 / nodes as f64);
        pollers.spawn(poll(store, initial_delay, sender.clone()));
    }
    wait_for_version(&mut received, nodes, 1).await?;

    let started = Instant::now();
    let bytes = forwarder.bytes();
    let link_bytes = network.bytes_between_regions();
    let reads = platform.counts().reads;
    let mut results = PollingResults::default();
    for change in 0..changes {
        let version = change as u64 + 2;
        put_configuration(&publisher, version).await?;
        let committed_at = Instant::now();
        for received_at in wait_for_version(&mut received, nodes, version).await? {
            results
                .enforced_after
                .push(received_at.duration_since(committed_at));
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    results.bytes_per_s = (forwarder.bytes() - bytes) as f64 / seconds;
    results.link_bytes_per_s = (network.bytes_between_regions() - link_bytes) as f64 / seconds;
    results.reads_per_s = (platform.counts().reads - reads) as f64 / seconds;
    Ok(results)
}

fn start_error(error: impl std::fmt::Display) -> Error {
    Error::Start {
        text: error.to_string(),
    }
}

/// Key of the object that holds the current configuration. It does not depend on the content, so
/// that each version overwrites the previous one.
fn object_key() -> Digest {
    Digest::compute(b"the whole configuration")
}

/// Stores the configuration as one object: a line with its stamp (version and digest), then the
/// compressed content.
async fn put_configuration(store: &HttpStore, version: u64) -> Result {
    let mut configuration = Configuration {
        version: Version(version),
        ..Configuration::default()
    };
    for record in team_records(SERVICES.len(), 2_000)? {
        configuration.teams.insert(record.team.clone(), record);
    }
    let mut object = serde_json::to_vec(&configuration.stamp()).map_err(start_error)?;
    object.push(b'\n');
    object.extend(configuration.to_snapshot());
    store
        .put_object(&object_key(), &object)
        .await
        .map_err(start_error)
}

async fn poll(
    store: HttpStore,
    initial_delay: Duration,
    received: mpsc::UnboundedSender<(u64, Instant)>,
) {
    tokio::time::sleep(initial_delay).await;
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    let mut newest_version = 0;
    loop {
        ticks.tick().await;
        let Ok(Some(bytes)) = store.object(&object_key()).await else {
            continue;
        };
        let Some(version) = verified_version(&bytes) else {
            continue;
        };
        if version > newest_version {
            newest_version = version;
            let _ = received.send((version, Instant::now()));
        }
    }
}

/// Version of the configuration in `object`, or `None` if its content does not match its stamp.
fn verified_version(object: &[u8]) -> Option<u64> {
    let end = object.iter().position(|byte| *byte == b'\n')?;
    let (stamp, snapshot) = object.split_at(end);
    let stamp: Stamp = serde_json::from_slice(stamp).ok()?;
    let configuration = Configuration::from_snapshot(&snapshot[1..], stamp).ok()?;
    Some(configuration.version.0)
}

async fn wait_for_version(
    received: &mut mpsc::UnboundedReceiver<(u64, Instant)>,
    nodes: usize,
    version: u64,
) -> Result<Vec<Instant>> {
    let limit = POLL_INTERVAL * 4;
    let mut times = Vec::with_capacity(nodes);
    while times.len() < nodes {
        match tokio::time::timeout(limit, received.recv()).await {
            Ok(Some((received_version, received_at))) if received_version == version => {
                times.push(received_at)
            }
            Ok(Some(_)) => (),
            Ok(None) | Err(_) => {
                return Err(Error::Unexpected {
                    text: format!(
                        "only {} of {nodes} pollers received version {version} in time",
                        times.len()
                    ),
                });
            }
        }
    }
    Ok(times)
}
