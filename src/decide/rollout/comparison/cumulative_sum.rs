//! Cumulative sums of log likelihood ratios.

use std::collections::BTreeMap;

use super::Ratios;
use crate::core::member::NodeId;

/// Cumulative sums of one resource and measure.
#[derive(Clone, Debug, Default)]
pub(super) struct CumulativeSum {
    /// Sum over all endpoints of the candidate.
    all: f64,
    /// Sum over all endpoints but one, by that one.
    without: BTreeMap<NodeId, f64>,
    /// Number of endpoints that the candidate has.
    endpoints: usize,
    /// When the sum over all endpoints was last zero, in milliseconds.
    zero_ms: u64,
}

impl CumulativeSum {
    /// Adds the newest responses of a candidate with this number of endpoints.
    pub(super) fn add(&mut self, now_ms: u64, ratios: &Ratios, endpoints: usize) {
        self.endpoints = endpoints;
        let total: f64 = ratios.values().sum();
        for node in ratios.keys() {
            self.without.entry(*node).or_insert(self.all);
        }
        for (node, sum) in &mut self.without {
            let own = ratios.get(node).copied().unwrap_or(0.0);
            *sum = (*sum + total - own).max(0.0);
        }
        if self.all == 0.0 {
            self.zero_ms = now_ms;
        }
        self.all = (self.all + total).max(0.0);
    }

    /// Since when the responses speak against the candidate, in milliseconds.
    pub(super) fn since_ms(&self) -> u64 {
        self.zero_ms
    }

    /// Limits the sums.
    pub(super) fn limit(&mut self, max: f64) {
        self.all = self.all.min(max);
        self.without
            .values_mut()
            .for_each(|sum| *sum = sum.min(max));
    }

    /// The sum that decides: without the endpoint whose responses are worst, unless the candidate has
    /// only one.
    pub(super) fn level(&self) -> f64 {
        match self.endpoints {
            0 | 1 => self.all,
            _ if self.without.is_empty() => 0.0,
            _ => self.without.values().copied().fold(f64::INFINITY, f64::min),
        }
    }
}
