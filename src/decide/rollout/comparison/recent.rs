//! What the endpoints of both roles have answered in the last seconds.

use std::collections::{BTreeMap, VecDeque};

use super::Responses;
use super::measures::OutlierCount;
use crate::core::member::NodeId;
use crate::core::names::ResourceName;
use crate::decide::rollout::policy::VersionRole;
use crate::decide::rollout::tally::ResourceTally;

/// How long responses are kept, in milliseconds.
const RECENT_SPAN_MS: u64 = 4_000;
/// Number of responses of established endpoints in that time from which they are the reference; with fewer, those since the
/// order are.
const REFERENCE_ANSWERS_MIN: u64 = 100;
/// Largest number of responses of the candidate for each of the established endpoints with which these carry a comparable load.
/// With less load they may be faster than usual.
const CANDIDATE_RATIO_MAX: u64 = 3;

/// Responses for one resource, by endpoint.
pub(super) type ByNode = BTreeMap<NodeId, ResourceTally>;
/// Outliers by endpoint and resource.
pub(super) type OutlierCounts = BTreeMap<(NodeId, ResourceName), OutlierCount>;

/// Responses of the endpoints of one role.
#[derive(Clone, Debug, Default)]
pub(super) struct Added {
    pub(super) responses: Responses,
    pub(super) outliers: OutlierCounts,
}

/// What one observation adds.
#[derive(Clone, Debug)]
struct Frame {
    observed_ms: u64,
    established: Added,
    candidate: Added,
}

impl Frame {
    fn of(&self, role: VersionRole) -> &Added {
        match role {
            VersionRole::Candidate => &self.candidate,
            VersionRole::Established | VersionRole::Barred => &self.established,
        }
    }
}

/// Responses of the last seconds, by the time of their observation.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    frames: VecDeque<Frame>,
}

impl Recent {
    /// Adds what has come since the previous observation.
    pub(super) fn add(&mut self, observed_ms: u64, established: Added, candidate: Added) {
        self.frames.push_back(Frame {
            observed_ms,
            established,
            candidate,
        });
        let is_old = |frame: &Frame| frame.observed_ms + RECENT_SPAN_MS < observed_ms;
        while self.frames.front().is_some_and(is_old) {
            self.frames.pop_front();
        }
    }

    /// Responses of the established endpoints in the last seconds, or `since_order` if there were few, if only some endpoints
    /// have reported them, or if most responses were the candidate's.
    pub(super) fn reference(
        &self,
        resource: &ResourceName,
        since_order: Vec<ResourceTally>,
    ) -> Vec<ResourceTally> {
        let recent = self.responses(VersionRole::Established, resource, 0);
        let answers: u64 = recent.values().map(|tally| tally.answers).sum();
        // Some endpoints alone may all be slow, or all be fast.
        let most_reported = recent.len() * 2 >= since_order.len();
        match answers >= REFERENCE_ANSWERS_MIN && most_reported && self.is_load_comparable(0) {
            true => recent.into_values().collect(),
            false => since_order,
        }
    }

    /// Responses of one role that were observed since `since_ms`.
    pub(super) fn responses(
        &self,
        role: VersionRole,
        resource: &ResourceName,
        since_ms: u64,
    ) -> ByNode {
        let mut totals = ByNode::new();
        for added in self.added_since(role, since_ms) {
            for (node, tallies) in &added.responses {
                if let Some(tally) = tallies.get(resource) {
                    totals.entry(*node).or_default().add(tally);
                }
            }
        }
        totals
    }

    /// Outliers of one role that were observed since `since_ms`.
    pub(super) fn outliers(
        &self,
        role: VersionRole,
        resource: &ResourceName,
        since_ms: u64,
    ) -> BTreeMap<NodeId, OutlierCount> {
        let mut totals: BTreeMap<NodeId, OutlierCount> = BTreeMap::new();
        for added in self.added_since(role, since_ms) {
            for ((node, of), count) in &added.outliers {
                if of == resource {
                    totals.entry(*node).or_default().add(*count);
                }
            }
        }
        totals
    }

    fn added_since(&self, role: VersionRole, since_ms: u64) -> impl Iterator<Item = &Added> {
        let frames = self.frames.iter();
        let frames = frames.filter(move |frame| frame.observed_ms >= since_ms);
        frames.map(move |frame| frame.of(role))
    }

    /// Whether the established endpoints have answered enough since `since_ms`, next to the candidate, to be as fast as usual.
    pub(super) fn is_load_comparable(&self, since_ms: u64) -> bool {
        let answers = |role| -> u64 {
            let added = self.added_since(role, since_ms);
            let responses = added.flat_map(|added| added.responses.values());
            let tallies = responses.flat_map(BTreeMap::values);
            tallies.map(|tally| tally.answers).sum()
        };
        answers(VersionRole::Candidate) <= CANDIDATE_RATIO_MAX * answers(VersionRole::Established)
    }
}
