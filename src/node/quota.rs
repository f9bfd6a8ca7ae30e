//! Reports the requests of organisations to a lead, and adds up the reports of other nodes while this node is one.
//!
//! Does nothing while the configuration has no quotas.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::core::member::NodeId;
use crate::core::organisation::OrganisationId;
use crate::decide::quota::{Grants, ProcessId, UsageByOrganisation, UsageSums};
use crate::distribution::fetch::Peer;
use crate::membership::neighbours;
use crate::node::state::NodeState;
use crate::peer::client::PeerClient;

/// Interval at which is checked whether a report is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The same while the configuration has no quotas.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which leads exchange their sums.
const SHARE_INTERVAL_MS: u64 = 200;
/// Age of another lead's sums up to which they are not asked for, because that lead sends them by itself.
const RECENT_SUMS_MS: u64 = 150;
/// Time within which a lead has to answer a report. Another lead is asked then.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a lead that did not answer gets no reports.
const LEAD_SKIP_MS: u64 = 1_000;

/// A report of one node's requests.
#[derive(Clone, Debug)]
pub(crate) struct UsageReport {
    pub(crate) process: ProcessId,
    /// Time since the process started.
    pub(crate) uptime_ms: u64,
    pub(crate) usage: UsageByOrganisation,
}

/// Adds a report to the sums of this node, and grants the node requests until its next one.
pub(crate) fn add_report(node: &NodeState, report: UsageReport) -> Grants {
    let now_ms = node.proxy.uptime_ms();
    let compiled = node.proxy.last_configuration();
    let table = compiled.as_ref().and_then(|c| c.routes.organisations());
    let quota_of = |id: OrganisationId| table?.find_id(id)?.quota;
    let nodes = node.proxy.quotas().nodes();
    node.usage_totals().record_report(
        now_ms,
        (report.process, report.uptime_ms),
        report.usage,
        nodes,
        quota_of,
        rand::random,
    )
}

/// Records the sums of another lead, and returns those of this node.
pub(crate) fn exchange_sums(node: &NodeState, from: ProcessId, sums: UsageSums) -> UsageSums {
    let now_ms = node.proxy.uptime_ms();
    let mut totals = node.usage_totals();
    totals.record_peer(now_ms, from, sums);
    totals.share(now_ms)
}

/// Reports until `stop` is cancelled.
pub(crate) async fn run(node: Arc<NodeState>, stop: CancellationToken) {
    let reporter = Reporter {
        node,
        skipped_until_ms: HashMap::new(),
        last_share_ms: 0,
    };
    stop.run_until_cancelled(reporter.report_always()).await;
}

struct Reporter {
    node: Arc<NodeState>,
    /// Leads that did not answer, and until when they get no reports.
    skipped_until_ms: HashMap<NodeId, u64>,
    last_share_ms: u64,
}

impl Reporter {
    async fn report_always(mut self) {
        loop {
            if !self.has_quotas() {
                tokio::time::sleep(IDLE_TICK_INTERVAL).await;
                continue;
            }
            tokio::time::sleep(TICK_INTERVAL).await;
            let now_ms = self.node.proxy.uptime_ms();
            self.share(now_ms);
            if self.is_report_due(now_ms) {
                self.report(now_ms).await;
            }
        }
    }

    fn has_quotas(&self) -> bool {
        let compiled = self.node.proxy.last_configuration();
        let organisations = compiled.as_ref().and_then(|c| c.routes.organisations());
        organisations.is_some_and(|table| table.iter().any(|org| org.quota.is_some()))
    }

    fn is_report_due(&self, now_ms: u64) -> bool {
        let alive = self.node.proxy.view.load().alive_count();
        let mut book = self.node.proxy.quotas();
        book.set_nodes(now_ms, u32::try_from(alive).unwrap_or(u32::MAX));
        book.is_report_due(now_ms)
    }

    /// Sends a report to the lead of this data centre, or adds it up here if no lead is ranked above this node.
    async fn report(&mut self, now_ms: u64) {
        let report = UsageReport {
            process: self.node.process,
            uptime_ms: now_ms,
            usage: self.node.proxy.quotas().report(now_ms),
        };
        let knows_mesh = self.node.proxy.quotas().knows_mesh(now_ms);
        let grants = match self.lead(now_ms) {
            None => knows_mesh.then(|| add_report(&self.node, report)),
            Some((lead, client)) => self.send(lead, client, &report).await,
        };
        if let Some(grants) = grants {
            self.node.proxy.quotas().set_grants(now_ms, grants);
        }
    }

    fn lead(&self, now_ms: u64) -> Option<(Peer, PeerClient)> {
        let is_skipped = |lead: &&Peer| {
            let until_ms = self.skipped_until_ms.get(&lead.node);
            until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        };
        let leads = self.node.leads.borrow().clone();
        let lead = *leads.higher_ranked.iter().find(|lead| !is_skipped(lead))?;
        Some((lead, self.node.control_pool.client(lead.address)?))
    }

    async fn send(
        &mut self,
        lead: Peer,
        mut client: PeerClient,
        report: &UsageReport,
    ) -> Option<Grants> {
        let answer = client.report_usage(report, REPORT_TIMEOUT).await;
        let result = if answer.is_ok() { "answered" } else { "failed" };
        metrics::counter!("dragonflywall_quota_reports_total", "result" => result).increment(1);
        match answer {
            Ok(grants) => Some(grants),
            Err(error) => {
                log::info!(lead:% = lead.node, error:%; "the lead did not answer a report of requests");
                self.node.control_pool.discard(lead.address);
                let until_ms = self.node.proxy.uptime_ms() + LEAD_SKIP_MS;
                self.skipped_until_ms.insert(lead.node, until_ms);
                None
            }
        }
    }

    /// Exchanges sums with the leads of other data centres and with the first lead of this one, while this node adds up
    /// reports.
    fn share(&mut self, now_ms: u64) {
        if now_ms < self.last_share_ms + SHARE_INTERVAL_MS {
            return;
        }
        self.last_share_ms = now_ms;
        let sums = self.node.usage_totals().share(now_ms);
        if sums.nodes == 0 {
            return;
        }
        let sums = Arc::new(sums);
        for (lead, client) in self.other_leads() {
            let totals = self.node.usage_totals();
            if totals.has_recent_sums(now_ms, lead, RECENT_SUMS_MS) {
                continue;
            }
            tokio::spawn(share_with(
                Arc::clone(&self.node),
                lead,
                client,
                Arc::clone(&sums),
            ));
        }
    }

    fn other_leads(&self) -> Vec<(NodeId, PeerClient)> {
        let proxy = &self.node.proxy;
        let view = proxy.view.load();
        let mut members = view.members.iter();
        let Some(local) = members.find(|member| member.node == proxy.local_id) else {
            return Vec::new();
        };
        let (elsewhere, _) = neighbours::leads_elsewhere(local, view.members.iter());
        let elsewhere = elsewhere.into_iter().filter_map(|node| {
            let member = view.members.iter().find(|member| member.node == node)?;
            Some((node, member.dial_address(&proxy.settings.place)))
        });
        let first_here = self.node.leads.borrow().higher_ranked.first().copied();
        let here = first_here.map(|lead| (lead.node, lead.address));
        let leads: Vec<_> = elsewhere.chain(here).collect();
        let addresses = leads.iter().map(|(_, address)| *address);
        self.node.set_quota_peers(addresses.collect());
        let leads = leads.into_iter();
        leads
            .filter_map(|(node, address)| Some((node, self.node.control_pool.client(address)?)))
            .collect()
    }
}

async fn share_with(
    node: Arc<NodeState>,
    lead: NodeId,
    mut client: PeerClient,
    sums: Arc<UsageSums>,
) {
    match client.share_usage(node.process, &sums).await {
        Ok((lead, sums)) => {
            let now_ms = node.proxy.uptime_ms();
            node.usage_totals().record_peer(now_ms, lead, sums);
        }
        Err(error) => log::debug!(lead:%, error:%; "a lead did not answer with its sums"),
    }
}
