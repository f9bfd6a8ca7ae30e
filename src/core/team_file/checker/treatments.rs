//! Checks of treatments: inheritance, and settings that contradict each other.

use std::collections::BTreeSet;

use toml::Spanned;

use super::super::raw::RawTreatment;
use super::super::{
    ATTEMPTS_MAX, BULK_TIMEOUT_MIN_MS, INTERACTIVE_TIMEOUT_MAX_MS, MESH_TIMEOUT_MIN_MS,
    PRIORITY_MAX, TIMEOUT_MAX_MS,
};
use super::Checker;
use crate::core::configuration::{Class, PRIORITY_DEFAULT, Spill, Treatment};

/// Timeout of a treatment that sets none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 2_000;
/// Maximum number of attempts of a treatment that sets none, the first one included.
const DEFAULT_ATTEMPTS: u32 = 2;

impl Checker<'_> {
    /// Reports settings of a treatment that contradict each other or the queue of its service.
    pub(super) fn check_contradictions(
        &mut self,
        name: &str,
        offset: usize,
        treatment: &Treatment,
        queue_len: u32,
    ) {
        let timeout_ms = treatment.timeout_ms;
        if treatment.class == Class::Interactive && timeout_ms > INTERACTIVE_TIMEOUT_MAX_MS {
            self.add_finding(
                offset,
                format!("resource `{name}` is interactive, but its timeout is {timeout_ms} ms"),
                format!(
                    "set class = \"bulk\", or timeout_ms to {INTERACTIVE_TIMEOUT_MAX_MS} or less"
                ),
            );
        }
        if let Some(target_ms) = treatment.target_latency_ms
            && target_ms > timeout_ms
        {
            self.add_finding(
                offset,
                format!(
                    "target latency of resource `{name}` is {target_ms} ms, but its timeout is \
                     {timeout_ms} ms"
                ),
                "set target_latency_ms to at most the timeout",
            );
        }
        if treatment.class == Class::Bulk && timeout_ms < BULK_TIMEOUT_MIN_MS {
            self.add_finding(
                offset,
                format!("resource `{name}` is bulk, but its timeout is only {timeout_ms} ms"),
                format!(
                    "set class = \"interactive\", or timeout_ms to {BULK_TIMEOUT_MIN_MS} or more"
                ),
            );
        }
        if treatment.class == Class::Bulk && queue_len == 0 {
            self.add_finding(
                offset,
                format!("resource `{name}` is bulk, but its service has no queue"),
                "set queue_len of the service to 1 or more",
            );
        }
        if treatment.spill == Spill::Mesh && timeout_ms < MESH_TIMEOUT_MIN_MS {
            self.add_finding(
                offset,
                format!(
                    "resource `{name}` may be served in another region, but its timeout is only \
                     {timeout_ms} ms"
                ),
                format!("set spill = \"region\", or timeout_ms to {MESH_TIMEOUT_MIN_MS} or more"),
            );
        }
    }

    pub(super) fn treatment(&mut self, name: &str, raw: &Spanned<RawTreatment>) -> Treatment {
        let offset = raw.span().start;
        let merged = self.inherit(raw.get_ref().clone());
        let class = merged.class.unwrap_or(Class::Interactive);
        let timeout_ms = match &merged.timeout_ms {
            Some(value) => self.check_range("timeout_ms", value, 1, TIMEOUT_MAX_MS),
            None => DEFAULT_TIMEOUT_MS,
        };
        let attempts = match &merged.attempts {
            Some(value) => self.check_range("attempts", value, 1, ATTEMPTS_MAX),
            None => DEFAULT_ATTEMPTS,
        };
        let priority = match &merged.priority {
            Some(value) => self.check_range("priority", value, 0, PRIORITY_MAX),
            None => u32::from(PRIORITY_DEFAULT),
        };
        let target_latency_ms = merged
            .target_latency_ms
            .as_ref()
            .map(|value| self.check_range("target_latency_ms", value, 1, TIMEOUT_MAX_MS));
        // There is no default: a wrong one would execute a payment twice, or would never retry a
        // query.
        let Some(idempotent) = merged.idempotent else {
            self.add_finding(
                offset,
                format!("resource `{name}` does not say whether it is idempotent"),
                "add idempotent = false if executing a request twice does harm, otherwise true",
            );
            return Treatment {
                class,
                idempotent: false,
                timeout_ms,
                attempts,
                spill: Spill::Region,
                priority: PRIORITY_DEFAULT,
                target_latency_ms,
            };
        };
        Treatment {
            class,
            idempotent,
            timeout_ms,
            attempts,
            spill: merged.spill.unwrap_or(Spill::Region),
            priority: u8::try_from(priority).unwrap_or(PRIORITY_DEFAULT),
            target_latency_ms,
        }
    }

    /// Fills the settings that `raw` leaves out with those of the treatments that it extends.
    pub(super) fn inherit(&mut self, mut raw: RawTreatment) -> RawTreatment {
        let mut seen = BTreeSet::new();
        let mut next = raw.extends.clone();
        while let Some(base) = next {
            let base_name = base.get_ref();
            if !seen.insert(base_name.clone()) {
                self.add_finding(
                    base.span().start,
                    format!("treatment `{base_name}` extends itself in a cycle"),
                    "remove one `extends` of the cycle",
                );
                break;
            }
            let Some(treatment) = self.shared_treatments.get(base_name) else {
                self.add_finding(
                    base.span().start,
                    format!("treatment `{base_name}` does not exist"),
                    format!("add [treatment.{base_name}], or correct the name"),
                );
                break;
            };
            let treatment = treatment.get_ref();
            raw.class = raw.class.or(treatment.class);
            raw.idempotent = raw.idempotent.or(treatment.idempotent);
            raw.timeout_ms = raw.timeout_ms.or(treatment.timeout_ms.clone());
            raw.attempts = raw.attempts.or(treatment.attempts.clone());
            raw.spill = raw.spill.or(treatment.spill);
            raw.priority = raw.priority.or(treatment.priority.clone());
            raw.target_latency_ms = raw
                .target_latency_ms
                .or(treatment.target_latency_ms.clone());
            next = treatment.extends.clone();
        }
        raw
    }
}
