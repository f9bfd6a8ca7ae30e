//! What the established endpoints have answered in the last seconds.

use std::collections::VecDeque;

use super::Responses;
use crate::core::names::ResourceName;
use crate::decide::rollout::tally::ResourceTally;

/// Span of the reference, in milliseconds.
const REFERENCE_SPAN_MS: u64 = 4_000;
/// Responses are kept together for this time, in milliseconds.
const FRAME_MS: u64 = 1_000;
/// Number of responses in the span from which they are used; with fewer, those since the order.
const REFERENCE_ANSWERS_MIN: u64 = 100;

/// Responses of established endpoints, by the time of their observation.
#[derive(Clone, Debug, Default)]
pub(super) struct Reference {
    frames: VecDeque<(u64, Responses)>,
}

impl Reference {
    /// Adds the responses since the previous observation.
    pub(super) fn add(&mut self, now_ms: u64, responses: Responses) {
        let is_open = |(begun_ms, _): &&mut (u64, Responses)| now_ms < *begun_ms + FRAME_MS;
        match self.frames.back_mut().filter(is_open) {
            Some((_, frame)) => {
                for (node, tallies) in responses {
                    let known = frame.entry(node).or_default();
                    for (resource, tally) in tallies {
                        known.entry(resource).or_default().add(&tally);
                    }
                }
            }
            None => self.frames.push_back((now_ms, responses)),
        }
        let is_old = |(begun_ms, _): &(u64, Responses)| begun_ms + REFERENCE_SPAN_MS < now_ms;
        while self.frames.front().is_some_and(is_old) {
            self.frames.pop_front();
        }
    }

    /// Responses by endpoint in the last seconds, or `since_order` if there were few or only some
    /// endpoints have reported them.
    pub(super) fn by_endpoint(
        &self,
        resource: &ResourceName,
        since_order: Vec<ResourceTally>,
    ) -> Vec<ResourceTally> {
        let mut recent = std::collections::BTreeMap::new();
        for (node, tallies) in self.frames.iter().flat_map(|(_, frame)| frame) {
            if let Some(tally) = tallies.get(resource) {
                let total: &mut ResourceTally = recent.entry(*node).or_default();
                total.add(tally);
            }
        }
        let answers: u64 = recent.values().map(|tally| tally.answers).sum();
        // Some endpoints alone may all be slow, or all be fast.
        let most_reported = recent.len() * 2 >= since_order.len();
        match answers >= REFERENCE_ANSWERS_MIN && most_reported {
            true => recent.into_values().collect(),
            false => since_order,
        }
    }
}
