//! Adds up the usage that nodes report, and grants requests to them, at a lead.

use std::collections::HashMap;

use super::grant::{self, Nodes, Situation};
use super::{EndedSums, Grant, Grants, QuotaLimits, Usage, UsageByOrganisation, UsageSums};
use crate::core::member::NodeId;
use crate::core::organisation::{OrganisationId, Quota};

/// Age from which a report or a sum does not show that its sender is heard.
const HEARD_AGE_MAX_MS: u64 = 1_000;

/// One process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessId {
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
    nodes: u32,
    unknown_per_mille: u32,
    usage: UsageByOrganisation,
}

impl PeerSums {
    fn is_heard(&self, now_ms: u64) -> bool {
        now_ms < self.received_ms + HEARD_AGE_MAX_MS
    }
}

/// The newest reports of nodes, and the newest sums of other leads.
#[derive(Debug)]
pub struct UsageTotals {
    limits: QuotaLimits,
    /// The process that adds up.
    process: ProcessId,
    /// Also of processes that have ended, until what they admitted has left the window.
    reports: HashMap<ProcessId, Report>,
    /// Also of processes that have ended, like the reports.
    peers: HashMap<ProcessId, PeerSums>,
    /// The sums that other leads got last.
    shared: UsageSums,
}

impl UsageTotals {
    /// Creates the totals of a process, without reports.
    pub fn new(limits: QuotaLimits, process: ProcessId) -> Self {
        Self {
            limits,
            process,
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
        (process, uptime_ms): (ProcessId, u64),
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
        self.reports.insert(process, report);
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
        let Some(report) = self.reports.get_mut(&process) else {
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

    /// Records the sums of another lead, and those that it has of leads that have ended. Those of an earlier process of
    /// its node stay.
    pub fn record_peer(&mut self, now_ms: u64, lead: ProcessId, sums: UsageSums) {
        let UsageSums {
            nodes,
            unknown_per_mille,
            usage,
            ended,
        } = sums;
        let sums = PeerSums {
            received_ms: now_ms,
            nodes,
            unknown_per_mille,
            usage,
        };
        self.peers.insert(lead, sums);
        for ended in ended {
            self.record_ended(now_ms, ended);
        }
    }

    fn record_ended(&mut self, now_ms: u64, ended: EndedSums) {
        if ended.process == self.process || ended.age_ms >= self.limits.window_ms {
            return;
        }
        // What was received from the process itself has the right age.
        self.peers.entry(ended.process).or_insert(PeerSums {
            received_ms: now_ms.saturating_sub(ended.age_ms),
            nodes: ended.nodes,
            unknown_per_mille: 0,
            usage: ended.usage,
        });
    }

    /// Whether the sums of `lead` are younger than `age_ms`.
    pub fn has_recent_sums(&self, now_ms: u64, lead: NodeId, age_ms: u64) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|(from, sums)| from.node == lead && now_ms < sums.received_ms + age_ms)
    }

    /// The sums of the reports that this node has received, for other leads.
    pub fn share(&mut self, now_ms: u64) -> UsageSums {
        self.remove_old_peers(now_ms);
        self.shared = self.local_sums(now_ms);
        let ended = self.peers.iter();
        let ended = ended.filter(|(process, sums)| self.has_ended(now_ms, process, sums));
        let ended = ended.map(|(process, sums)| EndedSums {
            process: *process,
            age_ms: now_ms.saturating_sub(sums.received_ms),
            nodes: sums.nodes,
            usage: sums.usage.clone(),
        });
        UsageSums {
            ended: ended.collect(),
            ..self.shared.clone()
        }
    }

    fn remove_old_peers(&mut self, now_ms: u64) {
        let window_ms = self.limits.window_ms;
        self.peers
            .retain(|_, peer| now_ms < peer.received_ms + window_ms);
    }

    /// Whether a lead is not heard any more, or has been replaced by another process.
    fn has_ended(&self, now_ms: u64, process: &ProcessId, sums: &PeerSums) -> bool {
        let is_replaced = |other: &ProcessId| {
            other.node == process.node && other.incarnation_us > process.incarnation_us
        };
        let mut others = self.peers.keys().chain([&self.process]);
        !sums.is_heard(now_ms) || others.any(is_replaced)
    }

    fn local_sums(&mut self, now_ms: u64) -> UsageSums {
        let window_ms = self.limits.window_ms;
        self.reports
            .retain(|_, report| now_ms < report.received_ms + window_ms);
        let mut sums = UsageSums::default();
        for (process, report) in &self.reports {
            add_usage(&mut sums.usage, &report.usage);
            if report.is_heard(now_ms) {
                sums.nodes += 1;
                sums.unknown_per_mille += self.unknown_per_mille(*process, report);
            }
        }
        sums
    }

    /// What nodes may have admitted since their reports.
    fn granted(&self) -> HashMap<OrganisationId, u32> {
        let mut granted: HashMap<OrganisationId, u32> = HashMap::new();
        let all = self.reports.values().flat_map(|report| &report.granted);
        for (organisation, requests) in all {
            let sum = granted.entry(*organisation).or_default();
            *sum = sum.saturating_add(*requests);
        }
        granted
    }

    /// How much of the window a node has not run for, unless the reports of its earlier process are known.
    fn unknown_per_mille(&self, process: ProcessId, report: &Report) -> u32 {
        let mut others = self.reports.keys();
        let is_known = others.any(|other| other.node == process.node && *other != process);
        let missing_ms = self.limits.window_ms.saturating_sub(report.uptime_ms);
        match is_known {
            true => 0,
            false => u32::try_from(missing_ms * 1_000 / self.limits.window_ms).unwrap_or(1_000),
        }
    }

    /// The sums of the whole mesh, as far as they are known.
    fn mesh_sums(&mut self, now_ms: u64, local: &UsageSums) -> UsageSums {
        self.remove_old_peers(now_ms);
        let mut sums = local.clone();
        // Nodes whose usage before they started is in the last sums of a lead that has ended.
        let mut known_nodes = 0;
        for (process, peer) in &self.peers {
            add_usage(&mut sums.usage, &peer.usage);
            if self.has_ended(now_ms, process, peer) {
                known_nodes = u32::saturating_add(known_nodes, peer.nodes);
            } else {
                sums.nodes = sums.nodes.saturating_add(peer.nodes);
                sums.unknown_per_mille = sums
                    .unknown_per_mille
                    .saturating_add(peer.unknown_per_mille);
            }
        }
        let known_per_mille = known_nodes.saturating_mul(1_000);
        sums.unknown_per_mille = sums.unknown_per_mille.saturating_sub(known_per_mille);
        sums
    }
}

fn add_usage(sum: &mut UsageByOrganisation, added: &UsageByOrganisation) {
    for (organisation, usage) in added {
        let entry: &mut Usage = sum.entry(*organisation).or_default();
        *entry = entry.plus(*usage);
    }
}
