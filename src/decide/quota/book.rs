//! The requests of organisations at one entry node, and which more it admits.

use std::collections::HashMap;

use super::allowance::{self, Allowance, Situation};
use super::window::WindowCount;
use super::{QuotaLimits, Usage, UsageByOrganisation, UsageSums};
use crate::core::organisation::{OrganisationId, Quota};

/// Age from which totals are not used, since other nodes may have used up what was left. Several reports fit in.
const TOTALS_AGE_MAX_MS: u64 = 1_000;

/// Time between two reports.
const REPORT_INTERVAL_MS: u64 = 300;
/// Shortest time between two reports.
const REPORT_INTERVAL_MIN_MS: u64 = 100;
/// Requests of one organisation since the last report from which another is due early, if they are also this part of the
/// allowance.
const EARLY_REPORT_REQUESTS: f64 = 2.0;
const EARLY_REPORT_ALLOWANCE_DIVISOR: f64 = 4.0;

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
    /// What the totals of the mesh permitted; `None` if there were none, or too old ones.
    pub by_totals: Option<UsedAllowance>,
}

/// An allowance that was used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsedAllowance {
    /// Requests that this node was allowed to admit since its report.
    pub allowed_requests: u64,
    /// Age of the totals.
    pub totals_age_ms: u64,
    /// Nodes that were part of the totals.
    pub heard_nodes: u32,
    /// Usage of the mesh by the totals; `None` if it was low.
    pub mesh: Option<Usage>,
}

#[derive(Debug)]
struct Account {
    admitted: WindowCount,
    asked: WindowCount,
    /// Requests admitted in all, less those returned.
    admitted_total: i64,
    /// [`Self::admitted_total`] and usage at the last report.
    reported_total: i64,
    reported: Usage,
    /// The same at the report that the current totals answer.
    base_total: i64,
    base: Usage,
    /// Allowance by the current totals, for the quota that it was computed with.
    allowance: Option<(Quota, Allowance)>,
    /// Without totals: since when the next request has been saved up for.
    saving_since_ms: u64,
}

/// The totals of the mesh that a node got last; without nodes if there were none.
#[derive(Debug, Default)]
struct Totals {
    /// When the report was sent that they answer.
    reported_ms: u64,
    sums: UsageSums,
}

/// The requests of organisations at one entry node.
#[derive(Debug)]
pub struct QuotaBook {
    limits: QuotaLimits,
    accounts: HashMap<OrganisationId, Account>,
    totals: Totals,
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
            totals: Totals::default(),
            started_ms: now_ms,
            last_report_ms: None,
            is_report_urgent: true,
            nodes: 1,
            nodes_seen_ms: now_ms,
        }
    }

    /// Records how many nodes are alive.
    pub fn set_nodes(&mut self, now_ms: u64, alive: u32) {
        if alive >= self.nodes || now_ms > self.nodes_seen_ms + NODES_MEMORY_MS {
            self.nodes = alive.max(1);
            self.nodes_seen_ms = now_ms;
        }
    }

    /// Admits a request of an organisation, if its quota permits that. `chance` is a random number from 0 to 1, by which
    /// fractions of a request are rounded.
    pub fn admit(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
        chance: f64,
    ) -> Result<Admitted, Exhausted> {
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        account.asked.add(now_ms);
        match self.has_current_totals(now_ms) {
            true => self.admit_by_totals(now_ms, organisation, quota, chance)?,
            false => self.admit_alone(now_ms, organisation, quota)?,
        }
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
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

    fn has_current_totals(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.totals.reported_ms);
        self.totals.sums.nodes > 0 && age_ms < TOTALS_AGE_MAX_MS
    }

    fn admit_by_totals(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
        chance: f64,
    ) -> Result<(), Exhausted> {
        let allowance = self.allowance(organisation, quota, chance);
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        let used = (account.admitted_total - account.base_total + 1) as f64;
        if used > allowance.requests {
            return Err(Exhausted {
                retry_after_ms: retry_after_ms(quota.rate_per_s() * allowance.share),
                by_totals: Some(UsedAllowance {
                    allowed_requests: allowance.requests as u64,
                    totals_age_ms: now_ms.saturating_sub(self.totals.reported_ms),
                    heard_nodes: self.totals.sums.nodes,
                    mesh: self.totals.sums.usage.get(&organisation).copied(),
                }),
            });
        }
        let is_large_part = used >= allowance.requests / EARLY_REPORT_ALLOWANCE_DIVISOR;
        self.is_report_urgent |= used >= EARLY_REPORT_REQUESTS && is_large_part;
        Ok(())
    }

    /// The allowance by the current totals, in whole requests.
    fn allowance(&mut self, organisation: OrganisationId, quota: Quota, chance: f64) -> Allowance {
        let sums = &self.totals.sums;
        let account = account_mut(&mut self.accounts, &self.limits, organisation);
        if let Some((known_quota, allowance)) = account.allowance
            && known_quota == quota
        {
            return allowance;
        }
        let situation = Situation {
            mesh: sums.usage.get(&organisation).copied(),
            own: account.base,
            nodes: self.nodes.max(sums.nodes),
            heard_nodes: sums.nodes,
            unknown_windows: f64::from(sums.unknown_per_mille) / 1_000.0,
        };
        let Allowance { requests, share } = allowance::allowance(&self.limits, quota, &situation);
        let is_rounded_up = requests.fract() > chance;
        let allowance = Allowance {
            requests: requests.floor() + f64::from(u8::from(is_rounded_up)),
            share,
        };
        account.allowance = Some((quota, allowance));
        allowance
    }

    /// Admits this node's part of the rate, without knowing what other nodes admit.
    fn admit_alone(
        &mut self,
        now_ms: u64,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Result<(), Exhausted> {
        let alone_since_ms = match self.totals.sums.nodes {
            0 => self.started_ms,
            _ => self.totals.reported_ms + TOTALS_AGE_MAX_MS,
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
                by_totals: None,
            });
        }
        account.saving_since_ms = now_ms;
        Ok(())
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
        self.accounts.retain(|_, account| {
            account.reported = Usage {
                admitted: account.admitted.total(now_ms),
                asked: account.asked.total(now_ms),
            };
            account.reported_total = account.admitted_total;
            account.reported != Usage::default()
        });
        let accounts = self.accounts.iter();
        accounts
            .map(|(organisation, account)| (*organisation, account.reported))
            .collect()
    }

    /// Records the totals that answered the last report, which was sent at `reported_ms`.
    pub fn set_totals(&mut self, reported_ms: u64, sums: UsageSums) {
        if self.last_report_ms != Some(reported_ms) {
            // The answer to an earlier report.
            return;
        }
        for account in self.accounts.values_mut() {
            account.base_total = account.reported_total;
            account.base = account.reported;
            account.allowance = None;
        }
        self.totals = Totals { reported_ms, sums };
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
        reported: Usage::default(),
        base_total: 0,
        base: Usage::default(),
        allowance: None,
        saving_since_ms: 0,
    })
}

/// Delay until credit for one request returns at `rate_per_s`.
fn retry_after_ms(rate_per_s: f64) -> u64 {
    // The conversion saturates for a rate of 0.
    ((1_000.0 / rate_per_s) as u64).clamp(RETRY_MIN_MS, RETRY_MAX_MS)
}
