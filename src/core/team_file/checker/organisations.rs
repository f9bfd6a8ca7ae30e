//! Checks of the organisations in a team file.

use std::collections::{BTreeMap, BTreeSet};

use toml::Spanned;

use super::super::raw::RawOrganisation;
use super::super::{BURST_MAX, PRIORITY_MAX, RATE_PER_S_MAX};
use super::Checker;
use crate::core::configuration::PRIORITY_DEFAULT;
use crate::core::names::OrganisationName;
use crate::core::organisation::{KeyDigest, OrganisationRecord, Quota};

impl Checker<'_> {
    pub(super) fn organisations(
        &mut self,
        raw: &BTreeMap<String, Spanned<RawOrganisation>>,
    ) -> BTreeMap<OrganisationName, OrganisationRecord> {
        let mut records = BTreeMap::new();
        for (name, organisation) in raw {
            self.check_name("organisation", name, organisation.span().start);
            let record = self.organisation(organisation.get_ref());
            records.insert(OrganisationName::new(name), record);
        }
        records
    }

    fn organisation(&mut self, raw: &RawOrganisation) -> OrganisationRecord {
        let priority = raw.priority.as_ref();
        let priority = priority.map(|raw| self.check_range("priority", raw, 0, PRIORITY_MAX));
        OrganisationRecord {
            keys: self.key_digests(&raw.key_digests),
            priority: priority
                .and_then(|priority| u8::try_from(priority).ok())
                .unwrap_or(PRIORITY_DEFAULT),
            quota: self.quota(raw),
        }
    }

    /// The finding does not repeat the value, which may be a key that was written in place of its digest.
    fn key_digests(&mut self, raw: &[Spanned<String>]) -> BTreeSet<KeyDigest> {
        let mut digests = BTreeSet::new();
        for text in raw {
            match KeyDigest::try_from(text.get_ref().clone()) {
                Ok(digest) => {
                    digests.insert(digest);
                }
                Err(_) => self.add_finding(
                    text.span().start,
                    "key_digests contains a value that is not a BLAKE3 digest",
                    "write the 64 hexadecimal digits of the key's digest, never the key itself",
                ),
            }
        }
        digests
    }

    fn quota(&mut self, raw: &RawOrganisation) -> Option<Quota> {
        let burst_requests = raw.burst.as_ref().map_or(0, |burst| {
            if *burst.get_ref() > BURST_MAX {
                self.add_finding(
                    burst.span().start,
                    format!("burst = {} is out of range", burst.get_ref()),
                    format!("use a whole number from 0 to {BURST_MAX}"),
                );
            }
            *burst.get_ref()
        });
        let rate = raw.rate_per_s.as_ref()?;
        let rate_per_s = *rate.get_ref();
        if !(0.0..=RATE_PER_S_MAX).contains(&rate_per_s) {
            self.add_finding(
                rate.span().start,
                format!("rate_per_s = {rate_per_s} is out of range"),
                format!("use a number from 0, for no limit, to {RATE_PER_S_MAX}"),
            );
        }
        Quota::from_rate(rate_per_s, burst_requests)
    }
}
