//! Quotas of organisations, which all entry nodes keep together.
//!
//! [`QuotaBook`] is the state of an entry node: it counts the requests of each organisation, and admits as many as its last
//! grant permits. [`UsageTotals`] is the state of a lead: it adds up the reports of the nodes of its data centre and the
//! sums of the other leads, and grants requests in answer to each report. Reports and sums hold what was counted within the quota
//! window, so a message that is lost, late or doubled is made up for by the next. See `docs/design/quotas.md`.
//!
//! Times are arguments, in milliseconds of a clock that includes the time in which the VM was suspended.

mod book;
mod grant;
mod totals;
mod window;

use std::collections::HashMap;

use crate::core::organisation::{OrganisationId, Quota};

pub use self::book::{Admitted, Exhausted, QuotaBook, QuotaUse, UsedGrant};
pub use self::totals::{ProcessId, UsageTotals};

/// What is tolerated beyond a quota, and over which span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Span over which quotas are measured.
    pub window_ms: u64,
    /// By how much the requests in a span may exceed the quota, in percent.
    pub overage_percent: u32,
    /// Requests in a span that are tolerated in addition.
    pub slack_requests: u32,
}

impl QuotaLimits {
    /// Number of requests in a span up to which requests are admitted. The other half of what is tolerated is for
    /// requests of other nodes that a node does not know of yet.
    fn target_requests(&self, quota: Quota) -> f64 {
        let overage = f64::from(self.overage_percent) / 100.0;
        quota.window_requests(self.window_ms) * (1.0 + overage / 2.0)
            + f64::from(self.slack_requests) / 2.0
    }

    /// Number of requests in a span that nobody may exceed.
    pub fn bound_requests(&self, quota: Quota) -> f64 {
        let overage = f64::from(self.overage_percent) / 100.0;
        quota.window_requests(self.window_ms) * (1.0 + overage) + f64::from(self.slack_requests)
    }
}

/// Requests of one organisation within the quota window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that were admitted.
    pub admitted: u32,
    /// Requests that callers sent, whether or not they were admitted.
    pub asked: u32,
}

impl Usage {
    fn plus(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.saturating_add(other.admitted),
            asked: self.asked.saturating_add(other.asked),
        }
    }
}

/// Requests of each organisation that has sent any.
pub type UsageByOrganisation = HashMap<OrganisationId, Usage>;

/// Requests of one organisation that a node may admit until its next report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// How many.
    pub requests: u32,
    /// Usage of the whole mesh that decided.
    pub mesh_admitted: u32,
}

/// The answer of a lead to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// Nodes of the mesh.
    pub nodes: u32,
    /// Part of each quota that falls to nodes whose usage is known, in thousandths.
    pub known_per_mille: u32,
    /// Grants for the organisations that have used a part of their quotas. Of the others every node may admit some.
    pub by_organisation: HashMap<OrganisationId, Grant>,
}

/// Sums of the reports of several nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageSums {
    /// Nodes that reported lately.
    pub nodes: u32,
    /// How much of the quota window these nodes have not run for, summed over them, in thousandths of the window. What
    /// was admitted there before is not known.
    pub unknown_per_mille: u32,
    /// Requests of each organisation, also those of nodes that reported within the window but not lately.
    pub usage: UsageByOrganisation,
    /// The last sums of other leads that are not heard any more.
    pub ended: Vec<EndedSums>,
}

/// The last sums of a process that was a lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedSums {
    /// The process.
    pub process: ProcessId,
    /// Time since they were received from it.
    pub age_ms: u64,
    /// Nodes that had reported to it lately.
    pub nodes: u32,
    /// Requests of each organisation.
    pub usage: UsageByOrganisation,
}
