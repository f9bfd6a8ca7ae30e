//! How far a version has spread, by data centre.
//!
//! [`of_status`] is the one place that reads this out of a node's [`Status`]; `watch` and
//! `publish --wait` know nothing of how nodes learn of each other.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::core::member::{Liveness, Place};
use crate::core::status::Status;
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

/// Sums up who enforces `version` or a later one. Who lives comes from the members, what they
/// enforce from each data centre's own count, which lags by its bounded rate and so never runs ahead.
pub fn of_status(status: &Status, version: Version) -> Progress {
    let mut rows: BTreeMap<(&str, &str), DataCentreProgress> = BTreeMap::new();
    for member in &status.members {
        let place = &member.place;
        let row = rows
            .entry((place.region.as_str(), place.data_centre.as_str()))
            .or_insert_with(|| DataCentreProgress::none_of(place));
        match member.liveness {
            Liveness::Alive | Liveness::Suspect => row.nodes += 1,
            Liveness::Dead => row.unreachable += 1,
            Liveness::Left => (),
        }
    }
    for summary in &status.data_centres {
        let place = &summary.place;
        if let Some(row) = rows.get_mut(&(place.region.as_str(), place.data_centre.as_str())) {
            let enforcing: usize = summary.versions.range(version..).map(|(_, n)| n).sum();
            // A count from before the data centre was lost must not read as more than live.
            row.enforcing = enforcing.min(row.nodes);
        }
    }
    Progress {
        version,
        data_centres: rows.into_values().filter(|row| !row.is_empty()).collect(),
    }
}
