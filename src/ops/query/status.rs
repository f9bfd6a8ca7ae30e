//! Asks a node what it knows of the mesh.

use std::collections::BTreeMap;

use hyper::Method;

use crate::core::member::{Liveness, Place};
use crate::core::status::Status;
use crate::core::version::Version;
use crate::ops::operator::{NodeAccess, ask};

pub use crate::ops::operator::{Error, Result};

/// What the nodes of one data centre enforce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreRow {
    /// The data centre.
    pub place: Place,
    /// Nodes that are alive.
    pub nodes: usize,
    /// How many of them enforce each version.
    pub versions: BTreeMap<Version, usize>,
}

impl DataCentreRow {
    /// Such as `3 (4 nodes), 2 (1 nodes)`.
    pub fn versions_text(&self) -> String {
        let newest_first = self.versions.iter().rev();
        let parts: Vec<String> = newest_first
            .map(|(version, nodes)| format!("{version} ({nodes} nodes)"))
            .collect();
        parts.join(", ")
    }
}

/// Asks a node.
pub async fn fetch(node: &NodeAccess) -> Result<Status> {
    ask(node, Method::GET, "/status").await
}

/// Sums up the living members by data centre.
pub fn by_data_centre(status: &Status) -> Vec<DataCentreRow> {
    let mut rows: BTreeMap<(&str, &str), DataCentreRow> = BTreeMap::new();
    let living = status
        .members
        .iter()
        .filter(|member| member.liveness <= Liveness::Suspect);
    for member in living {
        let place = &member.place;
        let row = rows
            .entry((place.region.as_str(), place.data_centre.as_str()))
            .or_insert_with(|| DataCentreRow {
                place: place.clone(),
                nodes: 0,
                versions: BTreeMap::new(),
            });
        row.nodes += 1;
        *row.versions.entry(member.enforced.version).or_default() += 1;
    }
    rows.into_values().collect()
}
