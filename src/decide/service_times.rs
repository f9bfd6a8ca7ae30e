//! How long requests hold a slot of one backend server, by what they ask for.
//!
//! It is what tells endpoints apart that differ in speed: they get the same mix of requests, so only
//! the times of one resource can be compared between them.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::core::names::ResourceName;

/// Gain of a running mean: one in so many. Work scatters by as much as its mean, so the mean of so
/// many strays by about a tenth; at 150 requests a second it follows a change within a second.
const MEAN_DIVISOR: u64 = 64;

/// Resources that are told apart: above those that one service has under load. The times of all
/// others count for the mean of any request alone.
const RESOURCES_MAX: usize = 64;

/// A running mean that starts as the plain mean of the first values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value_us: u64,
    samples: u64,
}

impl RunningMean {
    /// The mean in microseconds; 0 before the first value.
    pub(crate) fn mean_us(self) -> u64 {
        self.value_us
    }

    /// Takes in a value.
    pub(crate) fn add(&mut self, sample_us: u64) {
        self.samples = (self.samples + 1).min(MEAN_DIVISOR);
        let mean = self.value_us.cast_signed();
        let step = (sample_us.cast_signed() - mean) / self.samples.cast_signed();
        self.value_us = self.value_us.saturating_add_signed(step);
    }
}

/// Mean times in microseconds, 0 before the first.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    overall: RunningMean,
    by_resource: HashMap<ResourceName, ResourceMean>,
}

/// The mean of one resource, and when it last learnt a value.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceMean {
    mean: RunningMean,
    updated_us: u64,
}

impl ServiceTimes {
    /// A request for `resource` was answered after it had held its slot for `service_time_us`.
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

    /// A request was given up before its answer: it would have held its slot for longer, which
    /// tells something only if it was long already.
    pub fn record_abandoned(&mut self, now_us: u64, resource: &ResourceName, service_time_us: u64) {
        if service_time_us > self.resource_us(resource).max(1) {
            self.record(now_us, resource, service_time_us);
        }
    }

    /// The longest times of up to `max_count` resources other than `excluded` that were learnt since `since_us`, the
    /// longest first.
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

    /// Of any request.
    pub fn overall_us(&self) -> u64 {
        self.overall.value_us
    }

    /// Of requests for `resource`; of any request if none for it was answered yet.
    pub fn resource_us(&self, resource: &ResourceName) -> u64 {
        self.by_resource
            .get(resource)
            .map_or(self.overall.value_us, |resource_mean| {
                resource_mean.mean.value_us
            })
    }
}
