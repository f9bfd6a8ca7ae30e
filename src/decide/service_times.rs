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
pub(crate) struct Mean {
    value_us: u64,
    samples: u64,
}

impl Mean {
    /// The mean in microseconds; 0 before the first value.
    pub(crate) fn us(self) -> u64 {
        self.value_us
    }

    /// Takes in a value.
    pub(crate) fn learn(&mut self, us: u64) {
        self.samples = (self.samples + 1).min(MEAN_DIVISOR);
        let known = self.value_us.cast_signed();
        let step = (us.cast_signed() - known) / self.samples.cast_signed();
        self.value_us = self.value_us.saturating_add_signed(step);
    }
}

/// Mean times in microseconds, 0 before the first.
#[derive(Clone, Debug, Default)]
pub struct HeldTimes {
    any: Mean,
    of: HashMap<ResourceName, Timed>,
}

/// The mean of one resource, and when it last learnt a value.
#[derive(Clone, Copy, Debug, Default)]
struct Timed {
    mean: Mean,
    at_us: u64,
}

impl HeldTimes {
    /// A request for `resource` was answered after it had held its slot for `held_us`.
    pub fn answered(&mut self, now_us: u64, resource: &ResourceName, held_us: u64) {
        self.any.learn(held_us);
        if !self.of.contains_key(resource) && self.of.len() < RESOURCES_MAX {
            self.of.insert(resource.clone(), Timed::default());
        }
        if let Some(timed) = self.of.get_mut(resource) {
            timed.mean.learn(held_us);
            timed.at_us = now_us;
        }
    }

    /// A request was given up before its answer: it would have held its slot for longer, which
    /// tells something only if it was long already.
    pub fn given_up(&mut self, now_us: u64, resource: &ResourceName, held_us: u64) {
        if held_us > self.of_resource(resource).max(1) {
            self.answered(now_us, resource, held_us);
        }
    }

    /// The longest times of up to `most` resources other than `besides` that were learnt since `since_us`, the
    /// longest first.
    pub fn longest(
        &self,
        most: usize,
        besides: &ResourceName,
        since_us: u64,
    ) -> Vec<(&ResourceName, u64)> {
        let others = self.of.iter();
        let others = others.filter(|(name, timed)| *name != besides && timed.at_us >= since_us);
        let mut times: Vec<_> = others
            .map(|(name, timed)| (name, timed.mean.value_us))
            .collect();
        times.sort_by_key(|(resource, held_us)| (Reverse(*held_us), *resource));
        times.truncate(most);
        times
    }

    /// Of any request.
    pub fn of_any(&self) -> u64 {
        self.any.value_us
    }

    /// Of requests for `resource`; of any request if none for it was answered yet.
    pub fn of_resource(&self, resource: &ResourceName) -> u64 {
        self.of
            .get(resource)
            .map_or(self.any.value_us, |timed| timed.mean.value_us)
    }
}
