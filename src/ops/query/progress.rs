//! How far a version has spread, by data centre.
//!
//! [`from_status`] is the one place that reads this out of a node's [`Status`], and [`from_statuses`] puts
//! several together; `watch` and
//! `publish --wait` know nothing of how nodes learn of each other.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::core::member::{Liveness, Place};
use crate::core::status::{DataCentreSummary, Status};
use crate::core::version::Version;

/// How many nodes of one data centre enforce a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentreProgress {
    /// The data centre.
    pub place: Place,
    /// Nodes that are alive.
    pub nodes: usize,
    /// Those that enforce the version or a later one.
    pub enforcing: usize,
    /// Nodes that the asked one has lost: dead, or cut off from it.
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

    /// A single lost node is most likely a replaced VM and holds nothing up. A data centre that is
    /// lost as a whole is most likely cut off and goes on serving an older version: calling that
    /// "in force everywhere" would be a guess.
    fn is_complete(&self) -> bool {
        self.nodes > 0 && self.enforcing == self.nodes
    }
}

/// How many nodes enforce a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The version, or a later one.
    pub version: Version,
    /// By data centre.
    pub data_centres: Vec<DataCentreProgress>,
}

impl Progress {
    /// Whether every node that is known to live enforces it, and no data centre is out of sight.
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

/// Sums up what several nodes know. A data centre's figures come from a node that stands in it, if
/// one was asked: that node counts at once, while its count reaches the others seconds later.
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

/// Sums up who enforces `version` or a later one.
///
/// How many nodes live is what the asked node sees; how many enforce which version is each data
/// centre's own count, up to a few seconds old. A data centre that lives and has no count yet, or
/// of which every node is lost, has none that enforces.
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

/// How many of `nodes` enforce `version`, by a count that may be older than `nodes`: it can hold
/// nodes that have gone since, which must not stand in for one that is behind.
fn enforcing(summary: &DataCentreSummary, version: Version, nodes: usize) -> usize {
    let enforcing_nodes: usize = summary.versions.range(version..).map(|(_, n)| n).sum();
    let nodes_behind: usize = summary.versions.range(..version).map(|(_, n)| n).sum();
    enforcing_nodes.min(nodes.saturating_sub(nodes_behind))
}

fn place_key(place: &Place) -> (&str, &str) {
    (place.region.as_str(), place.data_centre.as_str())
}
