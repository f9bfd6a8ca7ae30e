//! Log likelihood ratios of a candidate's responses, by measure.

use std::collections::BTreeMap;

use super::Ratios;
use super::recent::ByNode;
use crate::core::member::NodeId;
use crate::core::names::ResourceName;
use crate::decide::rollout::tally::{ResourceTally, bucket_ln};

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

/// Standard errors by which the established versions may be worse than their responses in a short time show.
const SHORT_TIME_ERRORS: f64 = 2.0;
/// Ratio of the standard error of a median to that of a mean.
const MEDIAN_ERROR_RATIO: f64 = 1.2533;
/// Number of responses from which those of a short time are compared.
const SHORT_TIMED_MIN: u64 = 10;

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
pub(super) fn failures(reference: &ResourceTally, newest: &ByNode) -> Ratios {
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
/// ones do. `usual_min_ln` is the least logarithm of the time that counts as usual.
pub(super) fn times(
    reference: &[ResourceTally],
    usual_min_ln: f64,
    newest: &ByNode,
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
    let usual = usual.max(usual_min_ln);
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

/// Upper limit of the usual logarithm of the time in a short time, by the responses `in_time` of the established endpoints
/// and by those `since_order`. `None` if there are too few.
pub(super) fn usual_time_ln(since_order: &ByNode, in_time: &ByNode) -> Option<f64> {
    let known = since_order.iter();
    let known = known.filter(|(_, tally)| tally.timed() >= ENDPOINT_TIMED_MIN);
    let usual: BTreeMap<NodeId, (f64, f64)> =
        known.map(|(node, tally)| (*node, moments(tally))).collect();
    let delays = in_time.iter().filter_map(|(node, tally)| {
        let (mean, _) = usual.get(node)?;
        Some((moments(tally).0 - mean, tally.timed())).filter(|(_, count)| *count > 0)
    });
    let delays: Vec<(f64, u64)> = delays.collect();
    let count: u64 = delays.iter().map(|(_, count)| count).sum();
    let variance = median(usual.values().map(|(_, variance)| *variance).collect());
    let deviation = variance.max(TIME_VARIANCE_MIN).sqrt();
    let error = MEDIAN_ERROR_RATIO * deviation / (count as f64).sqrt();
    let delay = weighted_median(delays) + SHORT_TIME_ERRORS * error;
    let mean = median(usual.values().map(|(mean, _)| *mean).collect());
    (count >= SHORT_TIMED_MIN).then_some(mean + delay)
}

fn weighted_median(mut values: Vec<(f64, u64)>) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total: u64 = values.iter().map(|(_, weight)| weight).sum();
    let mut below = 0;
    let middle = values.into_iter().find(|(_, weight)| {
        below += weight;
        below * 2 > total
    });
    middle.map_or(0.0, |(value, _)| value)
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
    let mut above = timed;
    let mut counts = tally.times.iter();
    let reached = counts.position(|count| {
        above -= u64::from(*count);
        above * parts <= timed * (parts - 1)
    });
    reached.unwrap_or(0)
}

/// Responses of one endpoint and outliers among them; `None` if there are too few to tell.
pub(super) fn outliers(tally: &ResourceTally) -> Option<(u64, u64)> {
    let timed = tally.timed();
    let outlier_from = quantile_bucket(tally, 4) + OUTLIER_BUCKETS;
    (timed >= OUTLIER_TIMED_MIN).then(|| (timed, tally.timed_from(outlier_from)))
}

/// The hypotheses for the share of outliers, by the responses of established endpoints. `rate_min` is the least share that
/// counts as usual. `None` if there are too few responses.
pub(super) fn outlier_hypotheses(
    established: &[ResourceTally],
    rate_min: f64,
) -> Option<Hypotheses> {
    let counts = established.iter().filter_map(outliers);
    let (timed, found) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    let rate = (found as f64 / timed.max(1) as f64).max(rate_min);
    let good = (rate * FAILURE_RATE_RATIO).clamp(OUTLIER_SHARE_MIN, 0.8);
    let bad = (good + OUTLIER_SHARE_DIFFERENCE).min(0.95);
    (timed >= TIMED_MIN).then_some(Hypotheses { good, bad })
}

/// Responses and outliers among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OutlierCount {
    timed: u64,
    found: u64,
}

impl OutlierCount {
    pub(super) fn add(&mut self, other: Self) {
        self.timed += other.timed;
        self.found += other.found;
    }

    /// Upper limit of the share of outliers in a short time; `None` if there are too few responses.
    pub(super) fn rate_max(self) -> Option<f64> {
        let timed = self.timed as f64;
        let rate = (self.found as f64 + 0.5) / (timed + 1.0);
        let error = (rate * (1.0 - rate) / (timed + 1.0)).sqrt();
        (self.timed >= SHORT_TIMED_MIN).then_some(rate + SHORT_TIME_ERRORS * error)
    }
}

/// Ratios by the share of outliers.
pub(super) fn outlier_ratios(
    hypotheses: Hypotheses,
    newest: &BTreeMap<NodeId, OutlierCount>,
) -> Ratios {
    let counted = newest.iter().filter(|(_, count)| count.timed > 0);
    counted
        .map(|(node, count)| (*node, hypotheses.ratio(count.timed, count.found)))
        .collect()
}

/// The outliers that are included in the sums. What counts as one becomes known only after some
/// responses of the endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Outliers {
    included: BTreeMap<(NodeId, ResourceName), OutlierCount>,
}

impl Outliers {
    /// Includes the responses of an endpoint since the order, and returns those that were not included yet.
    pub(super) fn include(
        &mut self,
        node: NodeId,
        resource: &ResourceName,
        since_order: &ResourceTally,
    ) -> OutlierCount {
        let Some((timed, found)) = outliers(since_order) else {
            return OutlierCount::default();
        };
        let key = (node, resource.clone());
        let before = self.included.insert(key, OutlierCount { timed, found });
        let before = before.unwrap_or_default();
        let timed = timed.saturating_sub(before.timed);
        let found = found.saturating_sub(before.found).min(timed);
        OutlierCount { timed, found }
    }
}
