//! Charges requests to the quotas of their organisations.

use std::sync::Arc;

use crate::core::organisation::Organisation;
use crate::core::verdict::Verdict;
use crate::decide::quota::{Admitted, Exhausted};
use crate::proxy::failure::{Failure, Reason, Refusal};
use crate::proxy::log_limiter::LogClass;
use crate::proxy::promise::OpenAttempts;
use crate::proxy::state::ProxyState;

/// A request that was charged to a quota. The charge is returned when this is dropped, unless the request may have run.
#[derive(Debug)]
pub(super) struct Charge {
    node: Arc<ProxyState>,
    admitted: Option<Admitted>,
    open_attempts: OpenAttempts,
}

impl Charge {
    /// Charges a request of `organisation`. Fails if its quota is used up.
    pub(super) fn take(
        node: &Arc<ProxyState>,
        organisation: Option<&Organisation>,
        open_attempts: &OpenAttempts,
    ) -> Result<Self, Refusal> {
        let mut charge = Self {
            node: Arc::clone(node),
            admitted: None,
            open_attempts: open_attempts.clone(),
        };
        let limited = organisation.and_then(|limited| Some((limited, limited.quota?)));
        let Some((organisation, quota)) = limited else {
            return Ok(charge);
        };
        let now_ms = node.uptime_ms();
        let admitted = node.quotas().admit(now_ms, organisation.id, quota);
        match admitted {
            Ok(admitted) => {
                charge.admitted = Some(admitted);
                Ok(charge)
            }
            Err(exhausted) => Err(refuse(node, organisation, exhausted)),
        }
    }

    /// Keeps the charge if the request has run or may have run, else returns it.
    pub(super) fn settle<T>(mut self, result: &Result<T, Failure>) {
        if let Err(failure) = result
            && failure.verdict() == Verdict::NotRun
        {
            self.put_back();
        }
        self.admitted = None;
    }

    fn put_back(&mut self) {
        if let Some(admitted) = self.admitted.take() {
            let now_ms = self.node.uptime_ms();
            self.node.quotas().put_back(now_ms, admitted);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.open_attempts.is_empty() {
            self.put_back();
        }
    }
}

fn refuse(node: &ProxyState, organisation: &Organisation, exhausted: Exhausted) -> Refusal {
    let basis = match exhausted.used_grant {
        Some(_) => "grant",
        None => "alone",
    };
    metrics::counter!("dragonflywall_quota_refusals_total", "basis" => basis).increment(1);
    if node.log_limiter.may_log(LogClass::Routine) {
        log::info!(
            organisation:% = organisation.name,
            quota:? = organisation.quota,
            used_grant:? = exhausted.used_grant,
            retry_after_ms = exhausted.retry_after_ms;
            "the organisation has used up its quota"
        );
    }
    Refusal::from(Reason::QuotaExceeded).with_retry_after_ms(exhausted.retry_after_ms)
}
