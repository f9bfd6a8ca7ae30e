//! Compares the responses of a candidate with those of the established versions, for the same resources
//! and at the same time.
//!
//! For each resource and [`Measure`] a cumulative sum test (Page, 1954) adds up how much more likely the
//! candidate's responses are if it is worse than if it is as good as the established versions. The sum
//! does not fall below zero, so that a version that turns bad late is found as soon as one that is bad
//! from the start. The sums of all resources are also added up, so that a version that is bad for every
//! resource is found from fewer responses of each. The reference is what the established endpoints have
//! answered in the last seconds, so an hour in which every version fails or is slow condemns none.
//!
//! One endpoint of a good version may be faulty. So each sum is also kept without each endpoint in turn,
//! and the smallest of these sums decides.
//!
//! All endpoints may become slow at once, and few responses of the candidate suffice to see that. So a sum of times condemns only
//! if the responses of the established endpoints since it began to rise confirm it.

mod cumulative_sum;
mod measures;
mod recent;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use self::cumulative_sum::CumulativeSum;
use self::measures::{OutlierCount, Outliers};
use self::recent::{Added, ByNode, Recent};
use super::policy::VersionRole;
use super::tally::{NodeTally, ResourceTally, Tallies, role_of};
use crate::core::member::NodeId;
use crate::core::names::{ResourceName, SoftwareVersion};

/// Sum from which the candidate is condemned. A good version reaches it in fewer than one in 500
/// roll-outs.
const CONDEMNED_FROM: f64 = 12.0;

/// Limit for a sum that would condemn the candidate, while the established endpoints answer too little to confirm it.
const UNCONFIRMED_MAX: f64 = 0.9 * CONDEMNED_FROM;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Share of responses that failed.
    Failures,
    /// Mean of the logarithms of the service times.
    Time,
    /// Share of successful responses that took several times as long as usual at the same endpoint.
    Outliers,
}

impl Measure {
    const ALL: [Self; 3] = [Self::Failures, Self::Time, Self::Outliers];
}

/// The evidence by which a candidate was found to be bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Condemnation {
    /// The resource whose responses are worse; `None` if those of all resources together are.
    pub resource: Option<ResourceName>,
    /// In which way they are worse.
    pub measure: Measure,
    /// Responses of the candidate since the order.
    pub answers: u64,
    /// Bad ones among them; for [`Measure::Time`] those above the usual time.
    pub bad: u64,
    /// Share of bad ones among the responses of the established versions.
    pub reference_rate: f64,
}

impl fmt::Display for Condemnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let measure = match self.measure {
            Measure::Failures => "failed",
            Measure::Time => "took longer than usual",
            Measure::Outliers => "took several times as long as others",
        };
        let resource = self.resource.as_ref();
        write!(
            f,
            "{} of {} responses for {} {measure}, of the established versions {:.1} %",
            self.bad,
            self.answers,
            resource.map_or("all resources", ResourceName::as_str),
            self.reference_rate * 100.0
        )
    }
}

/// Whether a sum is as high for the reason that the candidate is worse than the established versions are at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    Confirmed,
    Refuted,
    /// The established endpoints have answered too little.
    Unknown,
}

/// Responses by node and resource since the previous observation.
type Responses = BTreeMap<NodeId, BTreeMap<ResourceName, ResourceTally>>;

/// Log likelihood ratios of the newest responses, by endpoint of the candidate.
type Ratios = BTreeMap<NodeId, f64>;

/// Comparison of the versions of one service in one roll-out, as one node makes it. Times are
/// milliseconds of any monotonic clock.
#[derive(Clone, Debug)]
pub struct Comparison {
    order_revision: u64,
    candidate: SoftwareVersion,
    /// Newest tally that is included.
    included: BTreeMap<NodeId, NodeTally>,
    /// Nodes whose next tally is not compared, because others may not have reported for the same time.
    uncompared: BTreeSet<NodeId>,
    recent: Recent,
    outliers: Outliers,
    /// The sums of single resources, and of all together.
    sums: BTreeMap<(Option<ResourceName>, Measure), CumulativeSum>,
}

impl Comparison {
    /// Begins to compare for an order.
    pub fn new(order_revision: u64, candidate: SoftwareVersion) -> Self {
        Self {
            order_revision,
            candidate,
            included: BTreeMap::new(),
            uncompared: BTreeSet::new(),
            recent: Recent::default(),
            outliers: Outliers::default(),
            sums: BTreeMap::new(),
        }
    }

    /// Revision of the order for which versions are compared.
    pub fn order_revision(&self) -> u64 {
        self.order_revision
    }

    /// Compares only what is reported from now on: after a freeze of this process, the next reports of
    /// different nodes cover different times. The sums so far are kept.
    pub fn restart(&mut self) {
        self.recent = Recent::default();
        self.uncompared = self.included.keys().copied().collect();
    }

    /// Includes the newest tallies. Returns the evidence if the candidate is bad.
    pub fn observe(&mut self, now_ms: u64, tallies: &Tallies) -> Option<Condemnation> {
        let mut candidate = Added::default();
        let mut established = Added::default();
        for tally in tallies.iter() {
            let added = self.include(tally);
            let of_role = match role_of(tally, &self.candidate) {
                VersionRole::Candidate => &mut candidate,
                VersionRole::Established | VersionRole::Barred => &mut established,
            };
            for resource in added.keys() {
                let since_order = &tally.resources[resource];
                let outliers = self.outliers.include(tally.node, resource, since_order);
                let key = (tally.node, resource.clone());
                of_role.outliers.insert(key, outliers);
            }
            of_role.responses.insert(tally.node, added);
        }
        let endpoints = candidate.responses.len();
        let resources = resources_of(&candidate.responses);
        self.recent.add(now_ms, established, candidate);
        let references = resources.into_iter().map(|resource| {
            let reference = self.reference(&resource);
            (resource, reference)
        });
        let references: Vec<_> = references.collect();
        for measure in Measure::ALL {
            let mut ratios_of_all = Ratios::new();
            for (resource, reference) in &references {
                let ratios = self.ratios(measure, resource, reference, now_ms, endpoints);
                for (node, ratio) in &ratios {
                    *ratios_of_all.entry(*node).or_default() += ratio;
                }
                let key = (Some(resource.clone()), measure);
                let sum = self.sums.entry(key).or_default();
                sum.add(now_ms, &ratios, endpoints);
            }
            let sum = self.sums.entry((None, measure)).or_default();
            sum.add(now_ms, &ratios_of_all, endpoints);
        }
        self.limit_unconfirmed(endpoints);
        self.condemnation()
    }

    /// The highest of the sums that decide, relative to the one that condemns.
    pub fn suspicion(&self) -> f64 {
        let levels = self.sums.values().map(CumulativeSum::level);
        levels.fold(0.0, f64::max) / CONDEMNED_FROM
    }

    /// Stores a tally and returns the responses that it adds.
    fn include(&mut self, tally: &NodeTally) -> BTreeMap<ResourceName, ResourceTally> {
        if self.uncompared.remove(&tally.node) {
            self.included.insert(tally.node, tally.clone());
            return BTreeMap::new();
        }
        let earlier = self.included.get(&tally.node);
        let earlier = earlier.filter(|earlier| earlier.incarnation_us == tally.incarnation_us);
        let since = |(resource, total): (&ResourceName, &ResourceTally)| {
            let before = earlier.and_then(|earlier| earlier.resources.get(resource));
            let added = before.map_or_else(|| total.clone(), |before| total.since(before));
            (resource.clone(), added)
        };
        let added = tally.resources.iter().map(since).collect();
        self.included.insert(tally.node, tally.clone());
        added
    }

    /// Ratios of the responses that were observed at `now_ms`.
    fn ratios(
        &self,
        measure: Measure,
        resource: &ResourceName,
        reference: &[ResourceTally],
        now_ms: u64,
        endpoints: usize,
    ) -> Ratios {
        let newest = || {
            let role = VersionRole::Candidate;
            self.recent.responses(role, resource, now_ms)
        };
        match measure {
            Measure::Failures => measures::failures(&total_of(reference), &newest()),
            Measure::Time => measures::times(reference, f64::NEG_INFINITY, &newest(), endpoints),
            Measure::Outliers => self.outlier_ratios(resource, now_ms, 0.0),
        }
    }

    fn outlier_ratios(&self, resource: &ResourceName, since_ms: u64, rate_min: f64) -> Ratios {
        let established = self.tallies_of(resource, VersionRole::Established);
        let hypotheses = measures::outlier_hypotheses(&established, rate_min);
        let role = VersionRole::Candidate;
        let outliers = self.recent.outliers(role, resource, since_ms);
        hypotheses.map_or_else(Ratios::new, |hypotheses| {
            measures::outlier_ratios(hypotheses, &outliers)
        })
    }

    /// Limits the sums that would condemn the candidate for what all endpoints do at present.
    fn limit_unconfirmed(&mut self, endpoints: usize) {
        let mut limits = Vec::new();
        for ((resource, measure), sum) in &self.sums {
            let is_of_time = matches!(measure, Measure::Time | Measure::Outliers);
            if is_of_time && sum.level() >= CONDEMNED_FROM {
                let key = (resource.clone(), *measure);
                match self.confirm(resource.as_ref(), *measure, sum.since_ms(), endpoints) {
                    Confirmation::Confirmed => (),
                    Confirmation::Refuted => limits.push((key, 0.0)),
                    Confirmation::Unknown => limits.push((key, UNCONFIRMED_MAX)),
                }
            }
        }
        for (key, max) in limits {
            if let Some(sum) = self.sums.get_mut(&key) {
                sum.limit(max);
            }
        }
    }

    /// Compares the responses of both roles since `since_ms`.
    fn confirm(
        &self,
        resource: Option<&ResourceName>,
        measure: Measure,
        since_ms: u64,
        endpoints: usize,
    ) -> Confirmation {
        let resources = resource.map_or_else(|| self.resources(), |one| vec![one.clone()]);
        let mut ratios = Ratios::new();
        let mut is_comparable = false;
        for resource in resources {
            if let Some(of_resource) =
                self.confirming_ratios(&resource, measure, since_ms, endpoints)
            {
                is_comparable = true;
                for (node, ratio) in of_resource {
                    *ratios.entry(node).or_default() += ratio;
                }
            }
        }
        let mut sum = CumulativeSum::default();
        sum.add(since_ms, &ratios, endpoints);
        match is_comparable {
            true if sum.level() > 0.0 => Confirmation::Confirmed,
            true => Confirmation::Refuted,
            // With little traffic at both roles nothing better is available than the responses since the order.
            false if self.recent.is_load_comparable(since_ms) => Confirmation::Confirmed,
            false => Confirmation::Unknown,
        }
    }

    /// Ratios of the candidate's responses since `since_ms`, if what the established endpoints have answered since then is
    /// usual. `None` if that is too little.
    fn confirming_ratios(
        &self,
        resource: &ResourceName,
        measure: Measure,
        since_ms: u64,
        endpoints: usize,
    ) -> Option<Ratios> {
        let role = VersionRole::Established;
        if measure == Measure::Outliers {
            let mut total = OutlierCount::default();
            let outliers = self.recent.outliers(role, resource, since_ms);
            outliers.into_values().for_each(|count| total.add(count));
            return Some(self.outlier_ratios(resource, since_ms, total.rate_max()?));
        }
        let since_order = self.established_by_node(resource);
        let responses = self.recent.responses(role, resource, since_ms);
        let usual_ln = measures::usual_time_ln(&since_order, &responses)?;
        let candidate = VersionRole::Candidate;
        let responses = self.recent.responses(candidate, resource, since_ms);
        let reference = self.reference(resource);
        Some(measures::times(&reference, usual_ln, &responses, endpoints))
    }

    /// Responses of the established endpoints since the order.
    fn established_by_node(&self, resource: &ResourceName) -> ByNode {
        let tallies = self.included.values();
        let tallies = tallies
            .filter(|tally| role_of(tally, &self.candidate) != VersionRole::Candidate)
            .filter_map(|tally| Some((tally.node, tally.resources.get(resource)?.clone())));
        tallies.collect()
    }

    /// Responses by established endpoint in the last seconds, or since the order if there were few.
    fn reference(&self, resource: &ResourceName) -> Vec<ResourceTally> {
        let since_order = self.tallies_of(resource, VersionRole::Established);
        self.recent.reference(resource, since_order)
    }

    /// Responses since the order, by endpoint of `role`.
    fn tallies_of(&self, resource: &ResourceName, role: VersionRole) -> Vec<ResourceTally> {
        let of_role = self.included.values();
        let of_role = of_role.filter(|tally| role_of(tally, &self.candidate) == role);
        let tallies = of_role.filter_map(|tally| tally.resources.get(resource));
        tallies.cloned().collect()
    }

    fn condemnation(&self) -> Option<Condemnation> {
        let mut sums = self.sums.iter();
        let ((resource, measure), _) = sums.find(|(_, sum)| sum.level() >= CONDEMNED_FROM)?;
        let (answers, bad) = self.totals(resource.as_ref(), *measure, VersionRole::Candidate);
        let reference = self.totals(resource.as_ref(), *measure, VersionRole::Established);
        Some(Condemnation {
            resource: resource.clone(),
            measure: *measure,
            answers,
            bad,
            reference_rate: reference.1 as f64 / reference.0.max(1) as f64,
        })
    }

    /// Responses since the order and bad ones among them, of the endpoints of `role`.
    fn totals(
        &self,
        resource: Option<&ResourceName>,
        measure: Measure,
        role: VersionRole,
    ) -> (u64, u64) {
        let resources = match resource {
            Some(resource) => vec![resource.clone()],
            None => self.resources(),
        };
        let mut totals = (0, 0);
        for resource in resources {
            let usual = measures::median_bucket(&total_of(&self.reference(&resource)));
            for tally in self.tallies_of(&resource, role) {
                let (answers, bad) = match measure {
                    Measure::Failures => (tally.answers, tally.failures),
                    Measure::Time => (tally.timed(), tally.timed_from(usual + 1)),
                    Measure::Outliers => measures::outliers(&tally).unwrap_or_default(),
                };
                totals = (totals.0 + answers, totals.1 + bad);
            }
        }
        totals
    }

    fn resources(&self) -> Vec<ResourceName> {
        let names = self.included.values().flat_map(|t| t.resources.keys());
        let mut names: Vec<ResourceName> = names.cloned().collect();
        names.sort();
        names.dedup();
        names
    }
}

fn total_of(tallies: &[ResourceTally]) -> ResourceTally {
    let mut total = ResourceTally::default();
    tallies.iter().for_each(|tally| total.add(tally));
    total
}

fn resources_of(responses: &Responses) -> Vec<ResourceName> {
    let names = responses.values().flat_map(BTreeMap::keys);
    let mut names: Vec<ResourceName> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}
