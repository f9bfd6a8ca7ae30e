//! Who enforces which version: exact inside the data centre, counted beyond it.
//!
//! A report per node and publication that crossed the whole mesh would cost 520 statements at each
//! of 520 nodes. So reports stay in their data centre, where they also are the memory that a
//! restarted node's floor is taken from, and one member of each data centre, its reporter, spreads
//! the count. A summary is informative: two reporters at once only cost bytes.

use std::collections::BTreeMap;

use super::gossip::{Report, Summary};
use crate::core::member::{Member, NodeId, Place};
use crate::core::version::Version;

/// Addresses whose highest version is remembered: several times the nodes of a data centre, so
/// that replaced addresses do not push out living ones.
const TRACKED_ADDRESSES_MAX: usize = 1_024;

/// Between two counts of the own data centre.
const COUNT_INTERVAL_MS: u64 = 500;

/// Reports of the own data centre, floors, and summaries of all data centres.
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
    /// Highest version that a node's address is known to have reported, in any of its lives.
    pub fn highest_reported(&self, node: NodeId) -> Version {
        self.highest_reported
            .get(&node)
            .copied()
            .unwrap_or(Version::NONE)
    }

    /// Remembers a version that a node enforces or is about to.
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

    /// Takes in a report; whether it is news.
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

    /// All reports.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }

    /// All summaries.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.summaries.values()
    }

    /// The report about one node.
    pub fn get(&self, node: NodeId) -> Option<Report> {
        self.reports.get(&node).copied()
    }

    /// Version that a member is known to enforce in its present life.
    pub fn enforced_by(&self, member: &Member) -> Version {
        let report = self.reports.get(&member.node);
        report
            .filter(|report| report.incarnation_us == member.incarnation_us)
            .map_or(Version::NONE, |report| report.version)
    }

    /// Drops reports of nodes that are no longer known. What they had enforced is still remembered.
    pub fn retain(&mut self, known: impl Fn(NodeId) -> bool) {
        self.reports.retain(|node, _| known(*node));
    }

    /// Takes in a summary; whether it is news.
    pub fn merge_summary(&mut self, summary: Summary) -> bool {
        let key = place_key(&summary.place);
        let known = self.summaries.get(&key);
        if known.is_some_and(|known| summary.sequence <= known.sequence) {
            return false;
        }
        self.summaries.insert(key, summary);
        true
    }

    /// The summary of a data centre.
    pub fn summary(&self, key: &str) -> Option<&Summary> {
        self.summaries.get(key)
    }

    /// Counts the own data centre anew, at most twice a second; its key if the count changed. A
    /// summary with a higher sequence from before this node's time is outbid by the next count.
    pub fn recount<'a>(
        &mut self,
        now_ms: u64,
        place: &Place,
        live_members: impl Iterator<Item = &'a Member>,
    ) -> Option<String> {
        let is_recent = |counted| now_ms.saturating_sub(counted) < COUNT_INTERVAL_MS;
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

    /// The count of the own data centre as this node sees it.
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
