//! Ways to compare the versions: the product's, and others that it is measured against.

use std::collections::BTreeMap;

use dragonflywall::core::names::{ResourceName, SoftwareVersion};
use dragonflywall::decide::rollout::comparison::Measure;
use dragonflywall::decide::rollout::tally::{ResourceTally, role_of};
use dragonflywall::decide::rollout::{Comparison, Condemnation, Tallies, VersionRole};

/// Standard errors between the failure rates from which the difference test condemns.
const DEVIATIONS_MIN: f64 = 4.0;
/// Responses of the candidate from which the difference test decides.
const ANSWERS_MIN: u64 = 30;
/// Ratio of the mean service times from which the difference test condemns.
const TIME_RATIO_MAX: f64 = 2.0;

/// A way to compare the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JudgeKind {
    /// The cumulative sums of the product.
    CumulativeSum,
    /// The difference of the rates of all responses since the order, tested at every look.
    Difference,
    /// None: a roll-out ends by its phases alone.
    Nobody,
}

impl JudgeKind {
    pub(crate) const ALL: [Self; 3] = [Self::CumulativeSum, Self::Difference, Self::Nobody];

    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::CumulativeSum => "Cumulative sums, as in the product",
            Self::Difference => "Difference of the rates since the order",
            Self::Nobody => "No comparison",
        }
    }
}

/// The comparison of one lead.
pub(crate) struct Judge {
    kind: JudgeKind,
    comparison: Option<Comparison>,
    condemnation: Option<Condemnation>,
}

impl Judge {
    pub(crate) fn new(kind: JudgeKind) -> Self {
        Self {
            kind,
            comparison: None,
            condemnation: None,
        }
    }

    pub(crate) fn kind(&self) -> JudgeKind {
        self.kind
    }

    /// Includes the newest tallies; returns the evidence if the candidate is bad.
    pub(crate) fn observe(
        &mut self,
        now_ms: u64,
        order_revision: u64,
        candidate: &SoftwareVersion,
        tallies: &Tallies,
    ) -> Option<Condemnation> {
        let found = match self.kind {
            JudgeKind::Nobody => None,
            JudgeKind::Difference => difference(candidate, tallies),
            JudgeKind::CumulativeSum => {
                let comparison = self
                    .comparison
                    .get_or_insert_with(|| Comparison::new(order_revision, candidate.clone()));
                comparison.observe(now_ms, tallies)
            }
        };
        self.condemnation = self.condemnation.take().or(found);
        self.condemnation.clone()
    }

    pub(crate) fn suspicion(&self) -> f64 {
        self.comparison.as_ref().map_or(0.0, Comparison::suspicion)
    }
}

/// Tests the difference of the failure rates and the ratio of the mean times, by resource.
fn difference(candidate: &SoftwareVersion, tallies: &Tallies) -> Option<Condemnation> {
    let mut totals: BTreeMap<&ResourceName, [ResourceTally; 2]> = BTreeMap::new();
    for tally in tallies.iter() {
        let side = usize::from(role_of(tally, candidate) == VersionRole::Candidate);
        for (resource, counts) in &tally.resources {
            totals.entry(resource).or_default()[side].add(counts);
        }
    }
    totals.into_iter().find_map(|(resource, [old, new])| {
        let rate = |tally: &ResourceTally| tally.failures as f64 / tally.answers.max(1) as f64;
        let pooled =
            (old.failures + new.failures + 1) as f64 / (old.answers + new.answers + 2) as f64;
        let share = 1.0 / old.answers.max(1) as f64 + 1.0 / new.answers.max(1) as f64;
        let deviation = (pooled * (1.0 - pooled) * share).sqrt();
        let failing = rate(&new) - rate(&old) > DEVIATIONS_MIN * deviation;
        let slow = mean_bucket(&new) - mean_bucket(&old) > TIME_RATIO_MAX.log2() * 2.0;
        let measure = if failing {
            Measure::Failures
        } else {
            Measure::Time
        };
        let is_bad = new.answers >= ANSWERS_MIN && (failing || slow);
        is_bad.then(|| Condemnation {
            resource: Some(resource.clone()),
            measure,
            answers: new.answers,
            bad: new.failures,
            reference_rate: rate(&old),
        })
    })
}

/// Mean of the logarithmic buckets of the service times; two buckets are a factor of two.
fn mean_bucket(tally: &ResourceTally) -> f64 {
    let weighted = tally.times.iter().enumerate();
    let sum: f64 = weighted
        .map(|(bucket, count)| bucket as f64 * f64::from(*count))
        .sum();
    sum / tally.timed().max(1) as f64
}
