//! The current membership of the mesh, as the request path and operators read it.

use std::collections::HashMap;

use crate::core::member::{Liveness, Member, NodeId, Place};
use crate::core::names::ServiceName;
use crate::core::status::DataCentreSummary;
use crate::decide::load_balancing::RankedEndpoints;

/// Snapshot of the members, replaced as a whole when the membership changes.
#[derive(Debug, Default)]
pub(crate) struct MembershipView {
    pub(crate) members: Vec<Member>,
    pub(crate) endpoints: HashMap<ServiceName, RankedEndpoints>,
    pub(crate) data_centres: Vec<DataCentreSummary>,
}

impl MembershipView {
    pub(crate) fn new(members: Vec<Member>, local_id: NodeId, local_place: &Place) -> Self {
        let mut by_service: HashMap<&ServiceName, Vec<&Member>> = HashMap::new();
        for member in members.iter().filter(|member| member.accepts_requests()) {
            if let Some(service) = &member.service {
                by_service.entry(service).or_default().push(member);
            }
        }
        let rank = |(service, members): (&ServiceName, Vec<&Member>)| {
            let ranked = RankedEndpoints::rank(local_id, local_place, members);
            (service.clone(), ranked)
        };
        let endpoints = by_service.into_iter().map(rank).collect();
        Self {
            members,
            endpoints,
            data_centres: Vec::new(),
        }
    }

    /// Whether a node is an endpoint of a service.
    pub(crate) fn has_endpoint(&self, node: NodeId) -> bool {
        let mut endpoints = self.endpoints.values().flat_map(RankedEndpoints::iter);
        endpoints.any(|endpoint| endpoint.node == node)
    }

    pub(crate) fn alive_count(&self) -> usize {
        let is_alive = |member: &&Member| member.liveness == Liveness::Alive;
        self.members.iter().filter(is_alive).count()
    }
}
