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

mod cumulative_sum;
mod measures;
mod reference;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use self::cumulative_sum::CumulativeSum;
use self::measures::Outliers;
use self::reference::Reference;
use super::policy::VersionRole;
use super::tally::{NodeTally, ResourceTally, Tallies, role_of};
use crate::core::member::NodeId;
use crate::core::names::{ResourceName, SoftwareVersion};

/// Sum from which the candidate is condemned. A good version reaches it in fewer than one in 500
/// roll-outs.
const CONDEMNED_FROM: f64 = 12.0;

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
    reference: Reference,
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
            reference: Reference::default(),
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
        self.reference = Reference::default();
        self.uncompared = self.included.keys().copied().collect();
    }

    /// Includes the newest tallies. Returns the evidence if the candidate is bad.
    pub fn observe(&mut self, now_ms: u64, tallies: &Tallies) -> Option<Condemnation> {
        let mut candidate = Responses::new();
        let mut established = Responses::new();
        for tally in tallies.iter() {
            let added = self.include(tally);
            match role_of(tally, &self.candidate) {
                VersionRole::Candidate => candidate.insert(tally.node, added),
                _ => established.insert(tally.node, added),
            };
        }
        let endpoints = candidate.len();
        self.reference.add(now_ms, established);
        for measure in Measure::ALL {
            let mut ratios_of_all = Ratios::new();
            for resource in resources_of(&candidate) {
                let ratios = self.ratios(measure, &resource, &candidate);
                for (node, ratio) in &ratios {
                    *ratios_of_all.entry(*node).or_default() += ratio;
                }
                let sum = self.sums.entry((Some(resource), measure)).or_default();
                sum.add(&ratios, endpoints);
            }
            let sum = self.sums.entry((None, measure)).or_default();
            sum.add(&ratios_of_all, endpoints);
        }
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

    fn ratios(
        &mut self,
        measure: Measure,
        resource: &ResourceName,
        candidate: &Responses,
    ) -> Ratios {
        let newest = candidate.iter();
        let newest: BTreeMap<NodeId, &ResourceTally> = newest
            .filter_map(|(node, tallies)| Some((*node, tallies.get(resource)?)))
            .collect();
        match measure {
            Measure::Failures => {
                let reference = self.reference_total(resource);
                measures::failures(&reference, &newest)
            }
            Measure::Time => {
                let since_order = self.tallies_of(resource, VersionRole::Established);
                let reference = self.reference.by_endpoint(resource, since_order);
                measures::times(&reference, &newest, candidate.len())
            }
            Measure::Outliers => {
                let established = self.tallies_of(resource, VersionRole::Established);
                let hypotheses = measures::outlier_hypotheses(&established);
                let nodes = newest.keys().copied().collect();
                let totals = self.totals_by_node(resource, nodes);
                hypotheses.map_or_else(Ratios::new, |hypotheses| {
                    self.outliers.ratios(resource, hypotheses, &totals)
                })
            }
        }
    }

    /// Responses of the established endpoints in the last seconds, or since the order if there were few.
    fn reference_total(&self, resource: &ResourceName) -> ResourceTally {
        let since_order = self.tallies_of(resource, VersionRole::Established);
        let by_endpoint = self.reference.by_endpoint(resource, since_order);
        let mut total = ResourceTally::default();
        by_endpoint.iter().for_each(|tally| total.add(tally));
        total
    }

    /// Responses since the order, by endpoint of `role`.
    fn tallies_of(&self, resource: &ResourceName, role: VersionRole) -> Vec<ResourceTally> {
        let of_role = self.included.values();
        let of_role = of_role.filter(|tally| role_of(tally, &self.candidate) == role);
        let tallies = of_role.filter_map(|tally| tally.resources.get(resource));
        tallies.cloned().collect()
    }

    fn totals_by_node(
        &self,
        resource: &ResourceName,
        nodes: Vec<NodeId>,
    ) -> BTreeMap<NodeId, ResourceTally> {
        let total = |node: NodeId| Some((node, self.included.get(&node)?.resources.get(resource)?));
        let totals = nodes.into_iter().filter_map(total);
        totals.map(|(node, tally)| (node, tally.clone())).collect()
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
            let usual = measures::median_bucket(&self.reference_total(&resource));
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

fn resources_of(responses: &Responses) -> Vec<ResourceName> {
    let names = responses.values().flat_map(BTreeMap::keys);
    let mut names: Vec<ResourceName> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}
