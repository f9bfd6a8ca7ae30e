//! Tells a few nodes of each data centre that a version has been accepted.
//!
//! A hint saves the wait for the next look at the head; nothing depends on it.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;

use crate::core::version::Stamp;
use crate::peer::client::{DialOptions, PeerClient};
use crate::platform::rows::{NODE_PREFIX, NodeRow};
use crate::platform::{Row, Table};

/// Hints per data centre. Two, since one of them may have gone since it registered.
const HINTS_PER_DATA_CENTRE: usize = 2;
const PAGE_ROWS: u32 = 1_000;

/// Sends hints; returns how many nodes took one. Failures are left to the backstop.
pub async fn send_hints(table: &impl Table, head: Stamp, options: &DialOptions) -> usize {
    let rows = table.rows(NODE_PREFIX, "", PAGE_ROWS).await;
    let nodes = rows.map(|rows| registered(&rows)).unwrap_or_default();
    let mut by_place: BTreeMap<String, Vec<NodeRow>> = BTreeMap::new();
    for node in nodes {
        let place = format!("{}/{}", node.place.region, node.place.data_centre);
        by_place.entry(place).or_default().push(node);
    }
    let mut hints = tokio::task::JoinSet::new();
    for nodes in by_place.values() {
        for node in nodes.sample(&mut rand::rng(), HINTS_PER_DATA_CENTRE) {
            let address = node.external;
            let options = options.clone();
            hints.spawn(async move {
                let mut client = PeerClient::new(address, &options).ok()?;
                client.hint(head).await.ok()
            });
        }
    }
    let answers = hints.join_all().await;
    answers.into_iter().flatten().count()
}

fn registered(rows: &BTreeMap<String, Row>) -> Vec<NodeRow> {
    rows.values()
        .filter_map(|row| serde_json::from_str(&row.value).ok())
        .collect()
}
