//! Log likelihood ratios of a candidate's responses, by measure.

use std::collections::BTreeMap;

use super::Ratios;
use crate::core::member::NodeId;
use crate::core::names::ResourceName;
use crate::decide::rollout::tally::{BUCKET_COUNT, ResourceTally, bucket_ln};

/// Failure rate that a good version may have even if the established versions fail less.
const FAILURE_RATE_MIN: f64 = 0.01;
/// Ratio of the failure rate that a good version may have to the reference rate.
const FAILURE_RATE_RATIO: f64 = 1.5;
/// Difference of failure rates from which a version is bad.
const FAILURE_RATE_DIFFERENCE: f64 = 0.06;

/// Number of reference responses from which times are compared.
const TIMED_MIN: u64 = 100;
/// Number of responses of one endpoint from which their mean time is used.
const ENDPOINT_TIMED_MIN: u64 = 5;
/// Standard errors of the mean endpoint by which a good version may be slower than the usual endpoint.
const ENDPOINT_DEVIATIONS: f64 = 2.5;
/// Further logarithm of the ratio of times that a good version may have.
const TIME_TOLERANCE_LN: f64 = 0.1;
/// Difference of the logarithms of the times from which a version is bad, beyond that.
const TIME_DIFFERENCE_LN: f64 = 0.5;
/// Largest difference from the usual time that one response counts with, as a logarithm.
const TIME_SPAN_LN: f64 = 2.2;
/// Ratio of the standard deviation to the median deviation of a normal distribution.
const MEDIAN_TO_STANDARD_DEVIATION: f64 = 1.4826;
/// Smallest variance of the logarithms of the times at one endpoint.
const TIME_VARIANCE_MIN: f64 = 0.05;

/// A response is an outlier if it took this many buckets longer than the fastest quarter of the responses
/// of its endpoint, about six times as long.
const OUTLIER_BUCKETS: usize = 5;
/// Number of responses of one endpoint from which outliers are told.
const OUTLIER_TIMED_MIN: u64 = 5;
/// Share of outliers that a good version may have even if the established versions have fewer.
const OUTLIER_SHARE_MIN: f64 = 0.03;
/// Difference of the shares of outliers from which a version is bad.
const OUTLIER_SHARE_DIFFERENCE: f64 = 0.12;

/// Rates of bad responses between which the test decides.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hypotheses {
    good: f64,
    bad: f64,
}

impl Hypotheses {
    fn ratio(self, answers: u64, bad: u64) -> f64 {
        let good_answers = answers.saturating_sub(bad) as f64;
        bad as f64 * (self.bad / self.good).ln()
            + good_answers * ((1.0 - self.bad) / (1.0 - self.good)).ln()
    }
}

/// Ratios by the share of failed responses.
pub(super) fn failures(
    reference: &ResourceTally,
    newest: &BTreeMap<NodeId, &ResourceTally>,
) -> Ratios {
    let answers = reference.answers as f64;
    let rate = (reference.failures as f64 + 0.5) / (answers + 50.0);
    let error = (rate * (1.0 - rate) / (answers + 1.0)).sqrt();
    let good = (rate * FAILURE_RATE_RATIO + 2.0 * error).clamp(FAILURE_RATE_MIN, 0.8);
    let bad = (good + FAILURE_RATE_DIFFERENCE.max(good / 2.0)).min(0.95);
    let hypotheses = Hypotheses { good, bad };
    let with_answers = newest.iter().filter(|(_, tally)| tally.answers > 0);
    with_answers
        .map(|(node, tally)| (*node, hypotheses.ratio(tally.answers, tally.failures)))
        .collect()
}

/// Ratios by the logarithms of the service times, which are taken as normally distributed at each
/// endpoint. The `candidates` endpoints of the candidate differ in speed by as much as the established
/// ones do.
pub(super) fn times(
    reference: &[ResourceTally],
    newest: &BTreeMap<NodeId, &ResourceTally>,
    candidates: usize,
) -> Ratios {
    let timed: u64 = reference.iter().map(ResourceTally::timed).sum();
    let endpoints = reference.iter();
    let endpoints = endpoints.filter(|tally| tally.timed() >= ENDPOINT_TIMED_MIN);
    let means: Vec<f64> = endpoints.clone().map(|tally| moments(tally).0).collect();
    if timed < TIMED_MIN || means.is_empty() {
        return Ratios::new();
    }
    let usual = median(means.clone());
    let between = deviation(&means, usual);
    let variance = median(endpoints.map(|tally| moments(tally).1).collect());
    let variance = variance.max(TIME_VARIANCE_MIN);
    let candidates = candidates.max(1) as f64;
    let good = ENDPOINT_DEVIATIONS * between / candidates.sqrt() + TIME_TOLERANCE_LN;
    let middle = good + TIME_DIFFERENCE_LN / 2.0;
    let ratio = |tally: &ResourceTally| {
        let buckets = tally.times.iter().enumerate();
        let excess = buckets.map(|(bucket, count)| {
            let difference = bucket_ln(bucket) - usual;
            f64::from(*count) * (difference.clamp(-TIME_SPAN_LN, TIME_SPAN_LN) - middle)
        });
        excess.sum::<f64>() * TIME_DIFFERENCE_LN / variance
    };
    let with_times = newest.iter().filter(|(_, tally)| tally.timed() > 0);
    with_times
        .map(|(node, tally)| (*node, ratio(tally)))
        .collect()
}

/// Mean and variance of the logarithms of the service times.
fn moments(tally: &ResourceTally) -> (f64, f64) {
    let count = tally.timed().max(1) as f64;
    let sum = |value: &dyn Fn(f64) -> f64| {
        let buckets = tally.times.iter().enumerate();
        let values = buckets.map(|(bucket, count)| f64::from(*count) * value(bucket_ln(bucket)));
        values.sum::<f64>() / count
    };
    let mean = sum(&|ln| ln);
    (mean, sum(&|ln| (ln - mean).powi(2)))
}

/// Standard deviation of the endpoints, or the one that the median deviation implies if that is smaller:
/// some faulty endpoints must not make a slow candidate acceptable.
fn deviation(means: &[f64], usual: f64) -> f64 {
    let square_sum: f64 = means.iter().map(|mean| (mean - usual).powi(2)).sum();
    let standard = (square_sum / means.len().max(1) as f64).sqrt();
    let deviations = means.iter().map(|mean| (mean - usual).abs()).collect();
    standard.min(median(deviations) * MEDIAN_TO_STANDARD_DEVIATION)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The bucket that contains the median.
pub(super) fn median_bucket(tally: &ResourceTally) -> usize {
    quantile_bucket(tally, 2)
}

/// The bucket below whose end one in `parts` responses are.
fn quantile_bucket(tally: &ResourceTally, parts: u64) -> usize {
    let timed = tally.timed();
    let reaches = |bucket: &usize| tally.timed_from(*bucket + 1) * parts <= timed * (parts - 1);
    (0..BUCKET_COUNT).find(reaches).unwrap_or(0)
}

/// Responses of one endpoint and outliers among them; `None` if there are too few to tell.
pub(super) fn outliers(tally: &ResourceTally) -> Option<(u64, u64)> {
    let timed = tally.timed();
    let outlier_from = quantile_bucket(tally, 4) + OUTLIER_BUCKETS;
    (timed >= OUTLIER_TIMED_MIN).then(|| (timed, tally.timed_from(outlier_from)))
}

/// The hypotheses for the share of outliers, by the responses of established endpoints. `None` if there
/// are too few.
pub(super) fn outlier_hypotheses(established: &[ResourceTally]) -> Option<Hypotheses> {
    let counts = established.iter().filter_map(outliers);
    let (timed, found) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    let rate = found as f64 / timed.max(1) as f64;
    let good = (rate * FAILURE_RATE_RATIO).clamp(OUTLIER_SHARE_MIN, 0.8);
    let bad = (good + OUTLIER_SHARE_DIFFERENCE).min(0.95);
    (timed >= TIMED_MIN).then_some(Hypotheses { good, bad })
}

/// The outliers that are included in the sums. What counts as one becomes known only after some
/// responses of the endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Outliers {
    included: BTreeMap<(NodeId, ResourceName), (u64, u64)>,
}

impl Outliers {
    /// Ratios by the share of outliers, of responses that are not included yet.
    pub(super) fn ratios(
        &mut self,
        resource: &ResourceName,
        hypotheses: Hypotheses,
        totals: &BTreeMap<NodeId, ResourceTally>,
    ) -> Ratios {
        let mut ratios = Ratios::new();
        for (node, total) in totals {
            let Some(now) = outliers(total) else {
                continue;
            };
            let key = (*node, resource.clone());
            let (timed, found) = self.included.insert(key, now).unwrap_or_default();
            let added = now.0.saturating_sub(timed);
            let added_outliers = now.1.saturating_sub(found).min(added);
            if added > 0 {
                ratios.insert(*node, hypotheses.ratio(added, added_outliers));
            }
        }
        ratios
    }
}
