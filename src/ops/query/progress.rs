//! How many nodes of each data centre enforce a version.
//!
//! [`from_status`] computes this from one node's [`Status`], and [`from_statuses`] combines several.
//! `watch` and `publish --wait` use only the result, so they do not depend on how nodes exchange
//! their state.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::core::member::{Liveness, Place};
use crate::core::status::{DataCentreSummary, Status};
use crate::core::version::Version;

/// How many nodes of one data centre enforce a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentreProgress {
    /// The data centre whose nodes are counted.
    pub place: Place,
    /// Number of live nodes.
    pub nodes: usize,
    /// Number of live nodes that enforce the version or a later one.
    pub enforcing: usize,
    /// Number of nodes that the queried node considers dead. They may have failed, or a network
    /// partition may separate them from it.
    pub unreachable: usize,
}

impl DataCentreProgress {
    fn empty(place: &Place) -> Self {
        Self {
            place: place.clone(),
            nodes: 0,
            enforcing: 0,
            unreachable: 0,
        }
    }

    fn is_empty(&self) -> bool {
        self.nodes == 0 && self.unreachable == 0
    }

    /// Whether all live nodes enforce the version and there is at least one. A single unreachable
    /// node is most likely a replaced VM and is ignored. A data centre of which all nodes are
    /// unreachable is most likely partitioned and still serves an older version, so it is not
    /// complete.
    fn is_complete(&self) -> bool {
        self.nodes > 0 && self.enforcing == self.nodes
    }
}

/// How many nodes of the mesh enforce a version or a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The version that is followed.
    pub version: Version,
    /// Progress of each data centre.
    pub data_centres: Vec<DataCentreProgress>,
}

impl Progress {
    /// Whether every live node enforces the version, and every data centre has a live node.
    pub fn is_complete(&self) -> bool {
        let any = !self.data_centres.is_empty();
        any && self.data_centres.iter().all(|dc| dc.is_complete())
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}:", self.version)?;
        for (position, dc) in self.data_centres.iter().enumerate() {
            let separator = if position == 0 { " " } else { ", " };
            let Place {
                region,
                data_centre,
            } = &dc.place;
            write!(
                f,
                "{separator}{region}/{data_centre} {} of {}",
                dc.enforcing, dc.nodes
            )?;
            if dc.unreachable > 0 {
                write!(f, " ({} unreachable)", dc.unreachable)?;
            }
        }
        Ok(())
    }
}

/// Combines the statuses of several nodes. The numbers of a data centre come from a node in that
/// data centre if one was queried, because nodes of other data centres receive them seconds later.
pub fn from_statuses(statuses: &[Status], version: Version) -> Progress {
    let mut progress_by_place: BTreeMap<(String, String), DataCentreProgress> = BTreeMap::new();
    for status in statuses {
        let own_place = place_of_node(status);
        for progress in from_status(status, version).data_centres {
            let (region, data_centre) = place_key(&progress.place);
            let place_key = (region.to_owned(), data_centre.to_owned());
            if own_place == Some(&progress.place) || !progress_by_place.contains_key(&place_key) {
                progress_by_place.insert(place_key, progress);
            }
        }
    }
    Progress {
        version,
        data_centres: progress_by_place.into_values().collect(),
    }
}

fn place_of_node(status: &Status) -> Option<&Place> {
    let mut members = status.members.iter();
    let own_member = members.find(|member| member.node == status.node);
    own_member.map(|member| &member.place)
}

/// Computes how many nodes enforce `version` or a later one, according to one node.
///
/// The number of live nodes is the queried node's own view. The numbers by version are those that
/// each data centre counts for itself, and may be a few seconds old. In a data centre that has sent
/// no numbers yet, or whose nodes are all unreachable, no node counts as enforcing.
pub fn from_status(status: &Status, version: Version) -> Progress {
    let mut progress_by_place: BTreeMap<(&str, &str), DataCentreProgress> = BTreeMap::new();
    for member in &status.members {
        let place = &member.place;
        let progress = progress_by_place
            .entry(place_key(place))
            .or_insert_with(|| DataCentreProgress::empty(place));
        match member.liveness {
            Liveness::Alive | Liveness::Suspect => progress.nodes += 1,
            Liveness::Dead => progress.unreachable += 1,
            Liveness::Left => (),
        }
    }
    for summary in &status.data_centres {
        if let Some(progress) = progress_by_place.get_mut(&place_key(&summary.place)) {
            progress.enforcing = enforcing(summary, version, progress.nodes);
        }
    }
    Progress {
        version,
        data_centres: progress_by_place
            .into_values()
            .filter(|progress| !progress.is_empty())
            .collect(),
    }
}

/// How many of `nodes` live nodes enforce `version` or a later one. `summary` may be older than
/// `nodes` and still count nodes that have left since. Those must not replace a live node that
/// enforces an older version, so nodes with an older version are subtracted from `nodes`.
fn enforcing(summary: &DataCentreSummary, version: Version, nodes: usize) -> usize {
    let enforcing_nodes: usize = summary.versions.range(version..).map(|(_, n)| n).sum();
    let nodes_behind: usize = summary.versions.range(..version).map(|(_, n)| n).sum();
    enforcing_nodes.min(nodes.saturating_sub(nodes_behind))
}

fn place_key(place: &Place) -> (&str, &str) {
    (place.region.as_str(), place.data_centre.as_str())
}
