//! How far a version has spread, by data centre.
//!
//! [`of_status`] is the one place that reads this out of a node's [`Status`], and [`of_statuses`] puts
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
    fn none_of(place: &Place) -> Self {
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
pub fn of_statuses(statuses: &[Status], version: Version) -> Progress {
    let mut rows: BTreeMap<(String, String), DataCentreProgress> = BTreeMap::new();
    for status in statuses {
        let own_place = place_of(status);
        for row in of_status(status, version).data_centres {
            let (region, data_centre) = key(&row.place);
            let key = (region.to_owned(), data_centre.to_owned());
            if own_place == Some(&row.place) || !rows.contains_key(&key) {
                rows.insert(key, row);
            }
        }
    }
    Progress {
        version,
        data_centres: rows.into_values().collect(),
    }
}

fn place_of(status: &Status) -> Option<&Place> {
    let mut members = status.members.iter();
    let own = members.find(|member| member.node == status.node);
    own.map(|member| &member.place)
}

/// Sums up who enforces `version` or a later one.
///
/// How many nodes live is what the asked node sees; how many enforce which version is each data
/// centre's own count, up to a few seconds old. A data centre that lives and has no count yet, or
/// of which every node is lost, has none that enforces.
pub fn of_status(status: &Status, version: Version) -> Progress {
    let mut rows: BTreeMap<(&str, &str), DataCentreProgress> = BTreeMap::new();
    for member in &status.members {
        let place = &member.place;
        let row = rows
            .entry(key(place))
            .or_insert_with(|| DataCentreProgress::none_of(place));
        match member.liveness {
            Liveness::Alive | Liveness::Suspect => row.nodes += 1,
            Liveness::Dead => row.unreachable += 1,
            Liveness::Left => (),
        }
    }
    for count in &status.data_centres {
        if let Some(row) = rows.get_mut(&key(&count.place)) {
            row.enforcing = enforcing(count, version, row.nodes);
        }
    }
    Progress {
        version,
        data_centres: rows.into_values().filter(|row| !row.is_empty()).collect(),
    }
}

/// How many of `nodes` enforce `version`, by a count that may be older than `nodes`: it can hold
/// nodes that have gone since, which must not stand in for one that is behind.
fn enforcing(count: &DataCentreSummary, version: Version, nodes: usize) -> usize {
    let at_least: usize = count.versions.range(version..).map(|(_, n)| n).sum();
    let behind: usize = count.versions.range(..version).map(|(_, n)| n).sum();
    at_least.min(nodes.saturating_sub(behind))
}

fn key(place: &Place) -> (&str, &str) {
    (place.region.as_str(), place.data_centre.as_str())
}
