//! How far a version has spread, by data centre.
//!
//! [`of_status`] is the one place that reads this out of a node's [`Status`]; `watch` and
//! `publish --wait` know nothing of how nodes learn of each other.

use std::fmt;

use serde::Serialize;

use crate::core::member::Place;
use crate::core::status::Status;
use crate::core::version::Version;
use crate::ops::query::status::by_data_centre;

/// How many nodes of one data centre enforce a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentreProgress {
    /// The data centre.
    pub place: Place,
    /// Nodes that are alive.
    pub nodes: usize,
    /// Those that enforce the version or a later one.
    pub enforcing: usize,
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
    /// Whether every node that is known to live enforces it.
    pub fn is_complete(&self) -> bool {
        let any = !self.data_centres.is_empty();
        any && self.data_centres.iter().all(|dc| dc.enforcing == dc.nodes)
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
        }
        Ok(())
    }
}

/// Sums up who enforces `version` or a later one.
pub fn of_status(status: &Status, version: Version) -> Progress {
    let rows = by_data_centre(status).into_iter();
    let data_centres = rows.map(|row| DataCentreProgress {
        enforcing: row.versions.range(version..).map(|(_, nodes)| nodes).sum(),
        nodes: row.nodes,
        place: row.place,
    });
    Progress {
        version,
        data_centres: data_centres.collect(),
    }
}
