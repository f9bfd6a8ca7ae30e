//! Reads the roll-outs of all services from one node.

use hyper::Method;

use crate::core::names::SoftwareVersion;
use crate::core::status::{RolloutStatus, VersionStatus};
use crate::ops::operator_client::{OperatorEndpoint, request_json};

pub use crate::ops::operator_client::{Error, Result};

/// Requests the roll-outs from `node`.
pub async fn fetch(node: &OperatorEndpoint) -> Result<Vec<RolloutStatus>> {
    request_json(node, Method::GET, "/rollouts").await
}

/// Totals of all endpoints of one software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionTotal {
    /// The version; `None` if the endpoints announced none.
    pub version: Option<SoftwareVersion>,
    /// Whether it is the candidate.
    pub candidate: bool,
    /// Endpoints whose gates have reported.
    pub endpoints: usize,
    /// Endpoints whose gates refuse new requests because of the roll-out.
    pub closed: usize,
    /// Responses since the order.
    pub answers: u64,
    /// Failed ones among them.
    pub failures: u64,
    /// Requests that run.
    pub in_flight: u32,
}

/// Sums what the gates have reported by version, in the order of the versions.
pub fn by_version(status: &RolloutStatus) -> Vec<VersionTotal> {
    let mut totals: Vec<VersionTotal> = Vec::new();
    for gate in &status.versions {
        match totals
            .iter_mut()
            .find(|total| total.version == gate.version)
        {
            Some(total) => total.add(gate),
            None => {
                let mut total = VersionTotal {
                    version: gate.version.clone(),
                    candidate: gate.candidate,
                    endpoints: 0,
                    closed: 0,
                    answers: 0,
                    failures: 0,
                    in_flight: 0,
                };
                total.add(gate);
                totals.push(total);
            }
        }
    }
    totals.sort_by(|a, b| a.version.cmp(&b.version));
    totals
}

impl VersionTotal {
    fn add(&mut self, gate: &VersionStatus) {
        self.endpoints += 1;
        self.closed += usize::from(gate.closed);
        self.answers += gate.answers;
        self.failures += gate.failures;
        self.in_flight += gate.in_flight;
    }
}
