//! Adds up the usage that nodes report, and grants requests to them, at a lead.

use std::collections::HashMap;

use super::grant::{self, Nodes, Situation};
use super::{Grant, Grants, QuotaLimits, Usage, UsageByOrganisation, UsageSums};
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
    /// Requests that the answer granted.
    granted: HashMap<OrganisationId, u32>,
}

impl Report {
    fn is_heard(&self, now_ms: u64) -> bool {
        now_ms < self.received_ms + HEARD_AGE_MAX_MS
    }
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
    /// The sums that other leads got last.
    shared: UsageSums,
}

impl UsageTotals {
    /// Creates totals without reports.
    pub fn new(limits: QuotaLimits) -> Self {
        Self {
            limits,
            reports: HashMap::new(),
            peers: HashMap::new(),
            shared: UsageSums::default(),
        }
    }

    /// Records the report of a process that has run for `uptime_ms`, and grants it requests until its next report.
    ///
    /// `quota_of` returns the quota of an organisation, `alive` is the number of nodes of the mesh, and `chance` a source
    /// of random numbers from 0 to 1.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        (reported_by, uptime_ms): (ReportedBy, u64),
        usage: UsageByOrganisation,
        alive: u32,
        quota_of: impl Fn(OrganisationId) -> Option<Quota>,
        mut chance: impl FnMut() -> f64,
    ) -> Grants {
        let report = Report {
            received_ms: now_ms,
            uptime_ms,
            usage,
            granted: HashMap::new(),
        };
        self.reports.insert(reported_by, report);
        let local = self.local_sums(now_ms);
        let granted = self.granted();
        let mesh = self.mesh_sums(now_ms, &local);
        let nodes = Nodes {
            local: local.nodes,
            heard: mesh.nodes,
            all: alive,
            unknown: f64::from(mesh.unknown_per_mille) / 1_000.0,
        };
        let limits = self.limits;
        let mut grants = Grants {
            nodes: alive.max(mesh.nodes),
            known_per_mille: (nodes.known_share() * 1_000.0) as u32,
            by_organisation: HashMap::new(),
        };
        let Some(report) = self.reports.get_mut(&reported_by) else {
            return grants;
        };
        for (organisation, mesh_usage) in mesh.usage {
            let quota = quota_of(organisation);
            let quota = quota.filter(|quota| grant::is_listed(&limits, *quota, mesh_usage));
            let Some(quota) = quota else { continue };
            let usage_in =
                |usage: &UsageByOrganisation| usage.get(&organisation).copied().unwrap_or_default();
            let situation = Situation {
                mesh: mesh_usage,
                shared_asked: usage_in(&self.shared.usage).asked,
                local: usage_in(&local.usage),
                granted: granted.get(&organisation).copied().unwrap_or(0),
                node: usage_in(&report.usage),
                nodes,
            };
            let requests = grant::granted_requests(&limits, quota, &situation, chance());
            report.granted.insert(organisation, requests);
            let grant = Grant {
                requests,
                mesh_admitted: mesh_usage.admitted,
            };
            grants.by_organisation.insert(organisation, grant);
        }
        grants
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
    pub fn share(&mut self, now_ms: u64) -> UsageSums {
        self.shared = self.local_sums(now_ms);
        self.shared.clone()
    }

    fn local_sums(&mut self, now_ms: u64) -> UsageSums {
        let window_ms = self.limits.window_ms;
        self.reports
            .retain(|_, report| now_ms < report.received_ms + window_ms);
        let mut sums = UsageSums::default();
        for (reported_by, report) in &self.reports {
            add_usage(&mut sums.usage, &report.usage);
            if report.is_heard(now_ms) {
                sums.nodes += 1;
                sums.unknown_per_mille += self.unknown_per_mille(*reported_by, report);
            }
        }
        sums
    }

    /// What nodes may have admitted since their reports.
    fn granted(&self) -> HashMap<OrganisationId, u32> {
        let mut granted: HashMap<OrganisationId, u32> = HashMap::new();
        let all = self.reports.values().flat_map(|report| &report.granted);
        for (organisation, requests) in all {
            *granted.entry(*organisation).or_default() += requests;
        }
        granted
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

    /// The sums of the whole mesh, as far as they are known.
    fn mesh_sums(&mut self, now_ms: u64, local: &UsageSums) -> UsageSums {
        let window_ms = self.limits.window_ms;
        let mut sums = local.clone();
        self.peers
            .retain(|_, peer| now_ms < peer.received_ms + window_ms);
        for peer in self.peers.values() {
            add_usage(&mut sums.usage, &peer.sums.usage);
            if now_ms < peer.received_ms + HEARD_AGE_MAX_MS {
                sums.nodes += peer.sums.nodes;
                sums.unknown_per_mille += peer.sums.unknown_per_mille;
            }
        }
        sums
    }
}

fn add_usage(sum: &mut UsageByOrganisation, added: &UsageByOrganisation) {
    for (organisation, usage) in added {
        let entry: &mut Usage = sum.entry(*organisation).or_default();
        *entry = entry.plus(*usage);
    }
}
