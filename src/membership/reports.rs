//! Which node enforces which version: one report per node inside a data centre, and counts per data
//! centre everywhere else.
//!
//! If every report after a publication crossed the whole mesh, each of 520 nodes would receive 520
//! of them. So reports stay in their data centre, where a restarted node also takes its floor from
//! them, and one member of each data centre (its first watcher) distributes a summary. Summaries
//! only inform operators: two members that both count cost some traffic and do no other harm.

use std::collections::BTreeMap;

use super::gossip::{Report, Summary};
use crate::core::member::{Member, NodeId, Place};
use crate::core::version::Version;

/// Number of addresses whose highest version is stored: several times the nodes of a data centre,
/// so that replaced addresses do not displace live ones.
const TRACKED_ADDRESSES_MAX: usize = 1_024;

/// Minimum time between two counts of the versions that the nodes of the own data centre enforce.
const COUNT_INTERVAL_MS: u64 = 500;

/// Reports of the own data centre, the highest version per address, and summaries of all data
/// centres.
#[derive(Debug, Default)]
pub struct Reports {
    reports: BTreeMap<NodeId, Report>,
    highest_reported: BTreeMap<NodeId, Version>,
    summaries: BTreeMap<String, Summary>,
    counted_ms: Option<u64>,
}

/// Key of a data centre in maps and sets.
pub fn place_key(place: &Place) -> String {
    format!("{}/{}", place.region, place.data_centre)
}

impl Reports {
    /// Highest version that any process at the node's address is known to have reported.
    pub fn highest_reported(&self, node: NodeId) -> Version {
        self.highest_reported
            .get(&node)
            .copied()
            .unwrap_or(Version::NONE)
    }

    /// Stores a version that a node enforces or is about to enforce.
    pub fn record_version(&mut self, node: NodeId, version: Version) {
        if version == Version::NONE {
            return;
        }
        let highest = self.highest_reported.entry(node).or_default();
        *highest = version.max(*highest);
        if self.highest_reported.len() > TRACKED_ADDRESSES_MAX {
            let lowest = self
                .highest_reported
                .iter()
                .min_by_key(|(_, version)| **version);
            let lowest = lowest.map(|(node, _)| *node);
            lowest.and_then(|node| self.highest_reported.remove(&node));
        }
    }

    /// Merges a report. Returns whether it was new.
    pub fn merge_report(&mut self, report: Report) -> bool {
        self.record_version(report.node, report.version);
        let order = |report: &Report| (report.incarnation_us, report.version);
        let known = self.reports.get(&report.node);
        if known.is_some_and(|known| order(&report) <= order(known)) {
            return false;
        }
        self.reports.insert(report.node, report);
        true
    }

    /// Reports of all nodes.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }

    /// Summaries of all data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.summaries.values()
    }

    /// Newest report of one node.
    pub fn get(&self, node: NodeId) -> Option<Report> {
        self.reports.get(&node).copied()
    }

    /// Version that the member's current process is known to enforce.
    pub fn enforced_by(&self, member: &Member) -> Version {
        let report = self.reports.get(&member.node);
        report
            .filter(|report| report.incarnation_us == member.incarnation_us)
            .map_or(Version::NONE, |report| report.version)
    }

    /// Drops the reports of nodes that are no longer known. Their highest versions stay.
    pub fn retain(&mut self, known: impl Fn(NodeId) -> bool) {
        self.reports.retain(|node, _| known(*node));
    }

    /// Merges a summary. Returns whether it was new.
    pub fn merge_summary(&mut self, summary: Summary) -> bool {
        let key = place_key(&summary.place);
        let known = self.summaries.get(&key);
        if known.is_some_and(|known| summary.sequence <= known.sequence) {
            return false;
        }
        self.summaries.insert(key, summary);
        true
    }

    /// Newest summary of a data centre.
    pub fn summary(&self, key: &str) -> Option<&Summary> {
        self.summaries.get(key)
    }

    /// Counts again which versions the nodes of the own data centre enforce, at most once per
    /// [`COUNT_INTERVAL_MS`]. Returns the key of the data centre if the count changed. The new
    /// summary's sequence is above that of the known one, also if another process has created that
    /// one before this node started.
    pub fn recount<'a>(
        &mut self,
        now_ms: u64,
        place: &Place,
        live_members: impl Iterator<Item = &'a Member>,
    ) -> Option<String> {
        let is_recent = |counted_ms| now_ms.saturating_sub(counted_ms) < COUNT_INTERVAL_MS;
        if self.counted_ms.is_some_and(is_recent) {
            return None;
        }
        self.counted_ms = Some(now_ms);
        let mut summary = self.current_summary(place, live_members);
        let key = place_key(place);
        if let Some(known) = self.summaries.get(&key) {
            if known.nodes == summary.nodes && known.versions == summary.versions {
                return None;
            }
            summary.sequence = known.sequence + 1;
        }
        self.summaries.insert(key.clone(), summary);
        Some(key)
    }

    /// Counts which versions the nodes of the own data centre enforce, from the reports that this
    /// node has.
    pub fn current_summary<'a>(
        &self,
        place: &Place,
        live_members: impl Iterator<Item = &'a Member>,
    ) -> Summary {
        let mut summary = Summary {
            place: place.clone(),
            nodes: 0,
            versions: BTreeMap::new(),
            sequence: 1,
        };
        for member in live_members {
            summary.nodes += 1;
            let version = self.enforced_by(member);
            *summary.versions.entry(version).or_default() += 1;
        }
        summary
    }
}
