//! Service times of one backend server: how long requests hold a slot, per resource.
//!
//! Load balancing compares the speed of endpoints by these times. Endpoints may get different mixes of
//! requests, so only times of the same resource are comparable.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::core::names::ResourceName;

/// Inverse of the weight of the newest sample in a running mean. The standard deviation of service
/// times is about their mean, so a mean over this many samples deviates by about a tenth. At 150
/// requests per second it follows a change within a second.
const RUNNING_MEAN_INVERSE_SAMPLE_WEIGHT: u64 = 64;

/// Number of resources with a mean of their own: above the number that one service has under load.
/// Further resources count in the overall mean alone.
const RESOURCES_MAX: usize = 64;

/// Exponentially weighted mean; the plain mean for the first
/// [`RUNNING_MEAN_INVERSE_SAMPLE_WEIGHT`] samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value_us: u64,
    samples: u64,
}

impl RunningMean {
    /// Returns the mean in microseconds; 0 before the first sample.
    pub(crate) fn mean_us(self) -> u64 {
        self.value_us
    }

    /// Adds a sample, in microseconds.
    pub(crate) fn add(&mut self, sample_us: u64) {
        self.samples = (self.samples + 1).min(RUNNING_MEAN_INVERSE_SAMPLE_WEIGHT);
        let previous = self.value_us.cast_signed();
        let step = (sample_us.cast_signed() - previous) / self.samples.cast_signed();
        self.value_us = self.value_us.saturating_add_signed(step);
    }
}

/// Mean service times, overall and per resource. Times are microseconds, 0 before the first sample.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    overall: RunningMean,
    by_resource: HashMap<ResourceName, ResourceMean>,
}

/// Mean of one resource, and when its last sample was added.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceMean {
    mean: RunningMean,
    updated_us: u64,
}

impl ServiceTimes {
    /// Records a request for `resource` that was answered.
    pub fn record(&mut self, now_us: u64, resource: &ResourceName, service_time_us: u64) {
        self.overall.add(service_time_us);
        if !self.by_resource.contains_key(resource) && self.by_resource.len() < RESOURCES_MAX {
            self.by_resource
                .insert(resource.clone(), ResourceMean::default());
        }
        if let Some(resource_mean) = self.by_resource.get_mut(resource) {
            resource_mean.mean.add(service_time_us);
            resource_mean.updated_us = now_us;
        }
    }

    /// Records a request that was abandoned before its response. It would have held its slot for
    /// longer than `service_time_us`, so it counts only if that already exceeds the mean.
    pub fn record_abandoned(&mut self, now_us: u64, resource: &ResourceName, service_time_us: u64) {
        if service_time_us > self.resource_us(resource).max(1) {
            self.record(now_us, resource, service_time_us);
        }
    }

    /// Returns the `max_count` longest mean times, the longest first, of resources that have a sample
    /// since `since_us`, without `excluded`.
    pub fn longest(
        &self,
        max_count: usize,
        excluded: &ResourceName,
        since_us: u64,
    ) -> Vec<(&ResourceName, u64)> {
        let others = self.by_resource.iter();
        let others = others.filter(|(name, resource_mean)| {
            *name != excluded && resource_mean.updated_us >= since_us
        });
        let mut times: Vec<_> = others
            .map(|(name, resource_mean)| (name, resource_mean.mean.value_us))
            .collect();
        times.sort_by_key(|(resource, service_time_us)| (Reverse(*service_time_us), *resource));
        times.truncate(max_count);
        times
    }

    /// Returns the mean over all requests.
    pub fn overall_us(&self) -> u64 {
        self.overall.value_us
    }

    /// Returns the mean of `resource`, or the overall mean if it has no samples.
    pub fn resource_us(&self, resource: &ResourceName) -> u64 {
        self.by_resource
            .get(resource)
            .map_or(self.overall.value_us, |resource_mean| {
                resource_mean.mean.value_us
            })
    }
}
