//! Sums of the usage that nodes report, at a lead.

use std::collections::HashMap;

use super::{QuotaLimits, Usage, UsageByOrganisation, UsageSums, allowance};
use crate::core::member::NodeId;
use crate::core::organisation::{OrganisationId, Quota};

/// Age from which a report or a sum does not show that its sender is heard.
const HEARD_AGE_MAX_MS: u64 = 1_000;

/// The process that a report is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReportedBy {
    /// Its node.
    pub node: NodeId,
    /// Its start time in microseconds since the epoch.
    pub incarnation_us: u64,
}

#[derive(Debug)]
struct Report {
    received_ms: u64,
    uptime_ms: u64,
    usage: UsageByOrganisation,
}

#[derive(Debug)]
struct PeerSums {
    received_ms: u64,
    sums: UsageSums,
}

/// The newest reports of nodes, and the newest sums of other leads.
#[derive(Debug)]
pub struct UsageTotals {
    limits: QuotaLimits,
    /// Also of processes that have ended, until what they admitted has left the window.
    reports: HashMap<ReportedBy, Report>,
    peers: HashMap<NodeId, PeerSums>,
}

impl UsageTotals {
    /// Creates totals without reports.
    pub fn new(limits: QuotaLimits) -> Self {
        Self {
            limits,
            reports: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Records the report of a process that has run for `uptime_ms`.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        reported_by: ReportedBy,
        uptime_ms: u64,
        usage: UsageByOrganisation,
    ) {
        let report = Report {
            received_ms: now_ms,
            uptime_ms,
            usage,
        };
        self.reports.insert(reported_by, report);
    }

    /// Records the sums of another lead.
    pub fn record_peer(&mut self, now_ms: u64, lead: NodeId, sums: UsageSums) {
        let sums = PeerSums {
            received_ms: now_ms,
            sums,
        };
        self.peers.insert(lead, sums);
    }

    /// Whether the sums of `lead` are younger than `age_ms`.
    pub fn has_recent_sums(&self, now_ms: u64, lead: NodeId, age_ms: u64) -> bool {
        let sums = self.peers.get(&lead);
        sums.is_some_and(|sums| now_ms < sums.received_ms + age_ms)
    }

    /// The sums of the reports that this node has received, for other leads.
    pub fn own_sums(&mut self, now_ms: u64) -> UsageSums {
        let window_ms = self.limits.window_ms;
        self.reports
            .retain(|_, report| now_ms < report.received_ms + window_ms);
        let mut sums = UsageSums::default();
        for (reported_by, report) in &self.reports {
            add_usage(&mut sums.usage, &report.usage);
            if now_ms < report.received_ms + HEARD_AGE_MAX_MS {
                sums.nodes += 1;
                sums.unknown_per_mille += self.unknown_per_mille(*reported_by, report);
            }
        }
        sums
    }

    /// How much of the window a node has not run for, unless the reports of its earlier process are known.
    fn unknown_per_mille(&self, reported_by: ReportedBy, report: &Report) -> u32 {
        let mut others = self.reports.keys();
        let is_known = others.any(|other| other.node == reported_by.node && *other != reported_by);
        let missing_ms = self.limits.window_ms.saturating_sub(report.uptime_ms);
        match is_known {
            true => 0,
            false => u32::try_from(missing_ms * 1_000 / self.limits.window_ms).unwrap_or(1_000),
        }
    }

    /// The sums of the whole mesh, as far as they are known. `quota_of` returns the quota of an organisation; those that
    /// have none or have used little of it are left out.
    pub fn totals(
        &mut self,
        now_ms: u64,
        quota_of: impl Fn(OrganisationId) -> Option<Quota>,
    ) -> UsageSums {
        let window_ms = self.limits.window_ms;
        let mut totals = self.own_sums(now_ms);
        self.peers
            .retain(|_, peer| now_ms < peer.received_ms + window_ms);
        for peer in self.peers.values() {
            add_usage(&mut totals.usage, &peer.sums.usage);
            if now_ms < peer.received_ms + HEARD_AGE_MAX_MS {
                totals.nodes += peer.sums.nodes;
                totals.unknown_per_mille += peer.sums.unknown_per_mille;
            }
        }
        let limits = self.limits;
        totals.usage.retain(|organisation, usage| {
            let quota = quota_of(*organisation);
            quota.is_some_and(|quota| allowance::is_listed(&limits, quota, *usage))
        });
        totals
    }
}

fn add_usage(sum: &mut UsageByOrganisation, added: &UsageByOrganisation) {
    for (organisation, usage) in added {
        let entry: &mut Usage = sum.entry(*organisation).or_default();
        *entry = entry.plus(*usage);
    }
}
