//! Tells a few nodes of one region that a version has been accepted.
//!
//! A hint saves the wait for the next look at the head; nothing depends on it. The region that
//! hears it tells the other one by gossip, which costs the link less than hints across it.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use crate::core::names::RegionName;
use crate::core::version::Stamp;
use crate::peer::client::{DialOptions, PeerClient};
use crate::store::rows::{NODE_PREFIX, NodeRow};
use crate::store::{Row, Table};

/// Hints per data centre. Two, since one of them may have gone since it registered.
const HINTS_PER_DATA_CENTRE: usize = 2;
const PAGE_ROWS: u32 = 1_000;

type ByRegion = BTreeMap<RegionName, Vec<NodeRow>>;

/// What to tell, and how.
#[derive(Clone, Debug)]
pub struct HintOptions {
    /// The accepted version.
    pub head: Stamp,
    /// How nodes are dialled.
    pub dial: DialOptions,
    /// The region that the operator is in. Without it one node of each region is asked, and the
    /// region that answers first counts as the near one.
    pub region: Option<RegionName>,
}

/// Sends hints; returns how many nodes took one. Failures are left to the backstop.
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
    // Nobody of the near region took one: it may be cut off from here, or all of it replaced.
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

/// The region of which one node answers first; the hints to the others are given up.
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
