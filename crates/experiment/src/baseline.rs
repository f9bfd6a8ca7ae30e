//! The plain way to compare with: every proxy polls the store for the whole configuration.
//!
//! The pollers are tasks of this program; each dials from its own data centre through the same
//! counted network as the nodes do, and checks what it reads as a node would.

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

/// "Every few seconds".
pub(crate) const POLL_INTERVAL: Duration = Duration::from_secs(5);
const REGIONS: [u8; 4] = [0, 0, 1, 1];
const LINK_MBIT_PER_S: f64 = 30.0;

/// What polling cost and how soon it brought a change.
#[derive(Clone, Debug, Default)]
pub(crate) struct PollingResults {
    /// From the write's answer to each poller's having the change, all changes together.
    pub(crate) enforced_after: Vec<Duration>,
    /// Between all pollers and the store, both ways, per second.
    pub(crate) bytes_per_s: f64,
    /// Over the regional link, both ways, per second.
    pub(crate) link_bytes_per_s: f64,
    /// Reads of the store per second.
    pub(crate) reads_per_s: f64,
}

/// Runs `nodes` pollers through `changes` changes.
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
        // Spread evenly over the interval, as pollers that started at random would be.
        let initial_delay = POLL_INTERVAL.mul_f64(number as f64 / nodes as f64);
        pollers.spawn(poll(store, initial_delay, sender.clone()));
    }
    wait_for_version(&mut received, nodes, 1).await?;

    let begin = Instant::now();
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
    let seconds = begin.elapsed().as_secs_f64();
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

/// The one object that holds the whole configuration, whatever its content.
fn object_key() -> Digest {
    Digest::of(b"the whole configuration")
}

/// The object is a line with the stamp, then the compressed configuration.
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

/// The version, once the content has been checked against its stamp.
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
                    text: format!("{} of {nodes} pollers have version {version}", times.len()),
                });
            }
        }
    }
    Ok(times)
}
