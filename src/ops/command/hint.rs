//! Notifies a few nodes of one region that a new version has been accepted.
//!
//! Such a hint only shortens the time until nodes read the new head from the store, so it may fail.
//! Gossip forwards the notification to the other region, which loads the link between regions less
//! than further hints.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use crate::core::names::RegionName;
use crate::core::version::Stamp;
use crate::peer::client::{DialOptions, PeerClient};
use crate::store::rows::{NODE_PREFIX, NodeRow};
use crate::store::{Row, Table};

/// Number of nodes that receive a hint in each data centre. There are two because a registered node
/// may have stopped since.
const HINTS_PER_DATA_CENTRE: usize = 2;
/// Maximum number of node rows that are read.
const PAGE_ROWS: u32 = 1_000;

type ByRegion = BTreeMap<RegionName, Vec<NodeRow>>;

/// Options of [`send_hints`].
#[derive(Clone, Debug)]
pub struct HintOptions {
    /// The accepted version.
    pub head: Stamp,
    /// How to connect to nodes.
    pub dial: DialOptions,
    /// Region of the operator. Without it, one node of each region receives a hint, and the region
    /// that answers first is taken as the nearest.
    pub region: Option<RegionName>,
}

/// Sends hints and returns how many nodes accepted one. Failures are ignored, because nodes also
/// read the head from the store periodically.
pub async fn send_hints(table: &impl Table, options: &HintOptions) -> usize {
    let rows = table.rows(NODE_PREFIX, "", PAGE_ROWS).await;
    let mut regions = rows.map(|rows| by_region(&rows)).unwrap_or_default();
    let nearest = match &options.region {
        Some(region) if regions.contains_key(region) => Some(region.clone()),
        _ => first_to_answer(&regions, options).await,
    };
    let nearest = nearest.and_then(|region| regions.remove(&region));
    let hinted = hint_all(sample_per_data_centre(nearest.unwrap_or_default()), options).await;
    if hinted > 0 {
        return hinted;
    }
    // No node of the nearest region accepted a hint: the region may be unreachable from here, or all
    // of its registered nodes may have been replaced.
    let others = regions.into_values().flatten().collect();
    hint_all(sample_per_data_centre(others), options).await
}

fn by_region(rows: &BTreeMap<String, Row>) -> ByRegion {
    let nodes = rows
        .values()
        .filter_map(|row| serde_json::from_str::<NodeRow>(&row.value).ok());
    let mut regions = ByRegion::new();
    for node in nodes {
        let region = node.place.region.clone();
        regions.entry(region).or_default().push(node);
    }
    regions
}

/// Sends a hint to one node of each region and returns the region that answers first. The remaining
/// hints are cancelled.
async fn first_to_answer(regions: &ByRegion, options: &HintOptions) -> Option<RegionName> {
    let mut requests = JoinSet::new();
    for (region, nodes) in regions {
        let Some(node) = nodes.choose(&mut rand::rng()) else {
            continue;
        };
        let (region, node, options) = (region.clone(), node.clone(), options.clone());
        requests.spawn(async move { hint(&node, &options).await.then_some(region) });
    }
    while let Some(answer) = requests.join_next().await {
        if let Ok(Some(region)) = answer {
            return Some(region);
        }
    }
    None
}

fn sample_per_data_centre(nodes: Vec<NodeRow>) -> Vec<NodeRow> {
    let mut data_centres: BTreeMap<String, Vec<NodeRow>> = BTreeMap::new();
    for node in nodes {
        let name = node.place.data_centre.to_string();
        data_centres.entry(name).or_default().push(node);
    }
    let sample_nodes = |nodes: Vec<NodeRow>| -> Vec<NodeRow> {
        let sample = nodes.sample(&mut rand::rng(), HINTS_PER_DATA_CENTRE);
        sample.cloned().collect()
    };
    data_centres.into_values().flat_map(sample_nodes).collect()
}

async fn hint_all(nodes: Vec<NodeRow>, options: &HintOptions) -> usize {
    let mut hints = JoinSet::new();
    for node in nodes {
        let options = options.clone();
        hints.spawn(async move { hint(&node, &options).await });
    }
    let answers = hints.join_all().await;
    answers.into_iter().filter(|accepted| *accepted).count()
}

async fn hint(node: &NodeRow, options: &HintOptions) -> bool {
    let Ok(mut client) = PeerClient::new(node.external, &options.dial) else {
        return false;
    };
    client.hint(options.head).await.is_ok()
}
