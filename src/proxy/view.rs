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
        let mut endpoints: HashMap<ServiceName, RankedEndpoints> = HashMap::new();
        for member in members.iter().filter(|member| member.accepts_requests()) {
            let service = member
                .service
                .clone()
                .expect("accepts_requests is true only with a service");
            endpoints
                .entry(service)
                .or_default()
                .add(local_id, local_place, member);
        }
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
