//! The requests of organisations at one entry node, and which more it admits.

use std::collections::HashMap;

use super::grant;
use super::window::WindowCount;
use super::{Grants, QuotaLimits, Usage, UsageByOrganisation};
use crate::core::organisation::{OrganisationId, Quota};

/// Age from which grants are not used. Several reports fit in.
const GRANTS_AGE_MAX_MS: u64 = 1_000;

/// Time between two reports.
const REPORT_INTERVAL_MS: u64 = 300;
/// Shortest time between two reports.
const REPORT_INTERVAL_MIN_MS: u64 = 100;
/// Requests of one organisation since the last report from which another is due early, if they are also this part of the
/// grant.
const EARLY_REPORT_REQUESTS: i64 = 2;
const EARLY_REPORT_GRANT_DIVISOR: i64 = 4;

/// How long a node that is not alive any more counts as one of the mesh: it may be cut off and admit requests.
const NODES_MEMORY_MS: u64 = 60_000;

/// Shortest and longest delay before a caller's retry.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 5_000;

/// A request that was admitted. It is returned to the book if it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    organisation: OrganisationId,
    at_ms: u64,
}

/// The organisation has used up what this node may admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted {
    /// When this node may expect to admit another request.
    pub retry_after_ms: u64,
    /// What a lead had granted; `None` if there was no grant, or too old a one.
    pub used_grant: Option<UsedGrant>,
}

/// A grant that was used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsedGrant {
    /// Requests that this node was allowed to admit since its report.
    pub requests: u32,
    /// Time since that report.
    pub age_ms: u64,
    /// Usage of the mesh that decided; `None` if it was too low to be listed.
    pub mesh_admitted: Option<u32>,
}

/// The use of an organisation's quota, as one node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUse {
    /// Requests at this node within the window.
    pub here: Usage,
    /// Requests that were refused here since the first request within the window.
    pub refused_total: u64,
    /// Requests that all nodes admitted within the window; `None` if that is too little to be listed.
    pub mesh_admitted: Option<u32>,
    /// Requests that this node may still admit before its next report.
    pub granted_left: u64,
}

#[derive(Debug)]
struct Account {
    admitted: WindowCount,
    asked: WindowCount,
    /// Requests admitted in all, less those returned.
    admitted_total: i64,
    /// The same at the last report.
    reported_total: i64,
    /// The same at the report that the current grants answer.
    base_total: i64,
    refused_total: u64,
    /// Without grants: since when the next request has been saved up for.
    saving_since_ms: u64,
}

/// The grants that a node got last; without nodes if there were none.
#[derive(Debug, Default)]
struct ReceivedGrants {
    /// When the report was sent that they answer.
    reported_ms: u64,
    grants: Grants,
}

/// The requests of organisations at one entry node.
#[derive(Debug)]
pub struct QuotaBook {
    limits: QuotaLimits,
    accounts: HashMap<OrganisationId, Account>,
    received: ReceivedGrants,
    started_ms: u64,
    last_report_ms: Option<u64>,
    /// Whether a report is due early.
    is_report_urgent: bool,
    /// Most nodes that were alive at a time, and when that was last so.
    nodes: u32,
    nodes_seen_ms: u64,
}

impl QuotaBook {
    /// Creates the book of a process that has started at `now_ms`.
    pub fn new(limits: QuotaLimits, now_ms: u64) -> Self {
        Self {
            limits,
            accounts: HashMap::new(),
            received: ReceivedGrants::default(),
            started_ms: now_ms,
            last_report_ms: None,
            is_report_urgent: true,
            nodes: 1,
            nodes_seen_ms: now_ms,
        }
    }

    /// Whether this node knows how large the mesh is. A process that has just started knows no other node, which does not
    /// show that there is none; after a quota window it is taken for the only one.
    pub fn knows_mesh(&self, now_ms: u64) -> bool {
        self.nodes > 1 || now_ms >= self.started_ms + self.limits.window_ms
    }

    /// Records how many nodes are alive.
    pub fn set_nodes(&mut self, now_ms: u64, alive: u32) {
        if alive >= self.nodes || now_ms > self.nodes_seen_ms + NODES_MEMORY_MS {
            self.nodes = alive.max(1);
            self.nodes_seen_ms = now_ms;
        }
    }

    /// Admits a request of an organisation, if its quota permits that.
    pub fn admit(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Result<Admitted, Exhausted> {
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        account.asked.add(now_ms);
        let admitted = match self.has_current_grants(now_ms) {
            true => self.admit_by_grant(now_ms, organisation, quota),
            false => self.admit_alone(now_ms, organisation, quota),
        };
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        account.refused_total += u64::from(admitted.is_err());
        admitted?;
        account.admitted.add(now_ms);
        account.admitted_total += 1;
        Ok(Admitted {
            organisation,
            at_ms: now_ms,
        })
    }

    /// Returns a request that was admitted and has not run and never will.
    pub fn put_back(&mut self, now_ms: u64, admitted: Admitted) {
        if let Some(account) = self.accounts.get_mut(&admitted.organisation) {
            account.admitted.remove(now_ms, admitted.at_ms);
            account.admitted_total -= 1;
        }
    }

    fn has_current_grants(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.received.reported_ms);
        self.received.grants.nodes > 0 && age_ms < GRANTS_AGE_MAX_MS
    }

    /// Time since the report that the current grants answer; `None` if there are no current grants.
    pub fn grants_age_ms(&self, now_ms: u64) -> Option<u64> {
        let is_current = self.has_current_grants(now_ms);
        is_current.then(|| now_ms.saturating_sub(self.received.reported_ms))
    }

    /// The use of an organisation's quota; `None` without a request within the window.
    pub fn use_of(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Option<QuotaUse> {
        let requests = self.granted_requests(organisation, quota);
        let grant = self.received.grants.by_organisation.get(&organisation);
        let mesh_admitted = grant.map(|grant| grant.mesh_admitted);
        let account = self.accounts.get_mut(&organisation)?;
        let used = account.admitted_total - account.base_total;
        Some(QuotaUse {
            here: Usage {
                admitted: account.admitted.total(now_ms),
                asked: account.asked.total(now_ms),
            },
            refused_total: account.refused_total,
            mesh_admitted,
            granted_left: u64::try_from(i64::from(requests) - used).unwrap_or(0),
        })
    }

    /// Requests that the node may admit since its report, by the last grants.
    fn granted_requests(&self, organisation: OrganisationId, quota: Quota) -> u32 {
        let grants = &self.received.grants;
        match grants.by_organisation.get(&organisation) {
            Some(grant) => grant.requests,
            None => {
                let known_share = f64::from(grants.known_per_mille) / 1_000.0;
                grant::unlisted_requests(&self.limits, quota, grants.nodes, known_share)
            }
        }
    }

    fn admit_by_grant(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Result<(), Exhausted> {
        let requests = self.granted_requests(organisation, quota);
        let grants = &self.received.grants;
        let grant = grants.by_organisation.get(&organisation);
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        let used = account.admitted_total - account.base_total + 1;
        if used > i64::from(requests) {
            let rate_per_s = quota.rate_per_s() / f64::from(grants.nodes);
            return Err(Exhausted {
                retry_after_ms: retry_after_ms(rate_per_s, requests),
                used_grant: Some(UsedGrant {
                    requests,
                    age_ms: now_ms.saturating_sub(self.received.reported_ms),
                    mesh_admitted: grant.map(|grant| grant.mesh_admitted),
                }),
            });
        }
        let is_large_part = used >= i64::from(requests) / EARLY_REPORT_GRANT_DIVISOR;
        self.is_report_urgent |= used >= EARLY_REPORT_REQUESTS && is_large_part;
        Ok(())
    }

    /// Admits this node's part of the rate, without knowing what other nodes admit.
    fn admit_alone(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Result<(), Exhausted> {
        if !self.knows_mesh(now_ms) {
            return Err(Exhausted {
                retry_after_ms: RETRY_MIN_MS,
                used_grant: None,
            });
        }
        let alone_since_ms = match self.received.grants.nodes {
            0 => self.started_ms,
            _ => self.received.reported_ms + GRANTS_AGE_MAX_MS,
        };
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        let saving_since_ms = account.saving_since_ms.max(alone_since_ms);
        let rate_per_s = quota.rate_per_s() / f64::from(self.nodes);
        let interval_ms = (1_000.0 / rate_per_s) as u64;
        let saved_ms = now_ms.saturating_sub(saving_since_ms);
        if saved_ms < interval_ms {
            let missing_ms = interval_ms - saved_ms;
            return Err(Exhausted {
                retry_after_ms: missing_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS),
                used_grant: None,
            });
        }
        account.saving_since_ms = now_ms;
        Ok(())
    }

    /// Nodes of the mesh, also those that were alive a short time ago.
    pub fn nodes(&self) -> u32 {
        self.nodes
    }

    /// Whether a report is due.
    pub fn is_report_due(&self, now_ms: u64) -> bool {
        let interval_ms = match self.is_report_urgent {
            true => REPORT_INTERVAL_MIN_MS,
            false => REPORT_INTERVAL_MS,
        };
        self.last_report_ms
            .is_none_or(|last_ms| now_ms >= last_ms + interval_ms)
    }

    /// The requests within the window, for a report. Accounts without any are dropped.
    pub fn report(&mut self, now_ms: u64) -> UsageByOrganisation {
        self.last_report_ms = Some(now_ms);
        self.is_report_urgent = false;
        let mut usage = UsageByOrganisation::new();
        self.accounts.retain(|organisation, account| {
            let reported = Usage {
                admitted: account.admitted.total(now_ms),
                asked: account.asked.total(now_ms),
            };
            account.reported_total = account.admitted_total;
            if reported != Usage::default() {
                usage.insert(*organisation, reported);
            }
            reported != Usage::default()
        });
        usage
    }

    /// Records the grants that answered the last report, which was sent at `reported_ms`.
    pub fn set_grants(&mut self, reported_ms: u64, grants: Grants) {
        if self.last_report_ms != Some(reported_ms) {
            // The answer to an earlier report.
            return;
        }
        for account in self.accounts.values_mut() {
            account.base_total = account.reported_total;
        }
        self.received = ReceivedGrants {
            reported_ms,
            grants,
        };
    }
}

fn account_mut<'a>(
    accounts: &'a mut HashMap<OrganisationId, Account>,
    limits: &QuotaLimits,
    organisation: OrganisationId,
) -> &'a mut Account {
    accounts.entry(organisation).or_insert_with(|| Account {
        admitted: WindowCount::new(limits.window_ms),
        asked: WindowCount::new(limits.window_ms),
        admitted_total: 0,
        reported_total: 0,
        base_total: 0,
        refused_total: 0,
        saving_since_ms: 0,
    })
}

/// Delay until this node may expect to admit another request. Its next report may bring that about if it was granted
/// some; else the organisation sends more than its rate.
fn retry_after_ms(rate_per_s: f64, granted_requests: u32) -> u64 {
    match granted_requests {
        0 => ((1_000.0 / rate_per_s) as u64).clamp(REPORT_INTERVAL_MS, RETRY_MAX_MS),
        _ => REPORT_INTERVAL_MS,
    }
}
