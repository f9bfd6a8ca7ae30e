//! What a request requires of its endpoint, and what is estimated of one.

use super::cost::TimeLimits;
use super::version_set::VersionSet;
use crate::core::configuration::Spill;
use crate::core::member::NodeId;
use crate::core::names::ResourceName;
use crate::decide::admission::Priority;

/// Properties of a request that its endpoint is chosen by.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Maximum distance of the endpoint.
    pub spill: Spill,
    /// Assumed number of slots of an endpoint that has not reported it.
    pub default_slots: u32,
    /// Requested resource.
    pub resource: &'a ResourceName,
    /// Target latency and deadline of the response.
    pub limits: TimeLimits,
    /// Priority of the request at the gate.
    pub priority: Priority,
    /// Length of the request body.
    pub body_bytes: u64,
    /// Endpoints at which an earlier attempt of the request failed.
    pub tried: &'a [NodeId],
    /// Software versions of which the endpoint must have one.
    pub versions: VersionSet,
    /// Nodes of which the endpoint must be one; `None` for any.
    pub only: Option<&'a [NodeId]>,
}

/// Estimated state of one endpoint, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEstimate {
    /// Requests running or waiting at the endpoint.
    pub in_flight: f64,
    /// Maximum number of concurrently running requests.
    pub slots: f64,
    /// Reported service time of requests for the same resource, in microseconds, if any. It decreases
    /// with the age of the report.
    pub service_time_us: Option<u64>,
    /// Share of recent requests that failed.
    pub failure_rate: f64,
    /// Age of the last load report in microseconds; `None` if there was none.
    pub report_age_us: Option<u64>,
}
