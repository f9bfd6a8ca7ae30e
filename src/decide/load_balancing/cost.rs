//! Cost function that compares the endpoints a request may be sent to.
//!
//! A cost has no unit and is only compared with other costs. The base is the harm to the caller of a
//! late or missing response, see [`LATE_COST`] and [`LOST_COST`].

use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::Distance;

/// Cost of a response after the target latency. Users value a late response at about a third of a
/// timely one.
const LATE_COST: f64 = 0.7;
/// Additional cost of a response after the deadline. The caller has then waited for nothing, and users
/// weigh whether a request is served at all several times as much as whether it is served in time.
const LOST_COST: f64 = 3.0;

/// Cost of a transfer to another data centre of the region, per kilobyte of request and response.
const OTHER_DATA_CENTRE_COST_PER_KB: f64 = 0.015;
/// Cost of a transfer to another region, per kilobyte. The link between regions costs four times as
/// much as the one between data centres.
const OTHER_REGION_COST_PER_KB: f64 = 0.06;
/// Minimum size of a transfer, which covers headers and packet overhead.
const MIN_SIZE_KB: f64 = 1.0;

/// Cost of a wait of one service time. It exceeds the delay of the request itself, because requests
/// behind it in the queue wait as well.
const WAIT_COST: f64 = 0.25;

/// Cost of an endpoint whose slots are all in use. Requests arrive in bursts and backend servers slow
/// down when nearly full, so an endpoint with spare capacity is preferred to one that is nearly full.
const BUSY_COST: f64 = 0.02;

/// Cost of an endpoint at which all requests fail. A failed request may be retried at another endpoint,
/// which costs another attempt.
const FAILURE_COST: f64 = 0.5;

/// Cost per outstanding request at an endpoint without measurements. The endpoint may be cold, so only
/// few requests at a time are sent there to measure it.
const UNMEASURED_COST: f64 = 0.1;

/// Network round trip by distance, in microseconds. It is based on the users' networks: 1 ms between data
/// centres and 20 ms between regions, each way.
const ROUND_TRIP_US: [u64; 3] = [300, 2_000, 41_000];

/// An endpoint to which a request may be sent. Times are microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) distance: Distance,
    /// Requests running or waiting at the endpoint.
    pub(super) in_flight: f64,
    /// Maximum number of concurrently running requests.
    pub(super) slots: f64,
    /// Mean service time of requests for the same resource.
    pub(super) service_time_us: f64,
    /// Mean service time of all requests.
    pub(super) mean_service_time_us: f64,
    /// Expected time to upload the request body, including the wait for the upload to start.
    pub(super) upload_time_us: f64,
    /// Expected wait until the rate limit of the backend server permits the request; 0 without one.
    pub(super) rate_wait_us: f64,
    /// Share of recent requests that failed.
    pub(super) failure_rate: f64,
    /// Expected size of the request and its response, in kilobytes.
    pub(super) size_kb: f64,
    /// Requests of this entry node that are outstanding at the endpoint if its service time is unknown,
    /// else 0.
    pub(super) unmeasured_outstanding: f64,
}

/// Remaining time of a request, in microseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Time until the target latency ends; a later response is late.
    pub target_us: u64,
    /// Time until the deadline, after which the response is of no use.
    pub deadline_us: u64,
}

/// Returns the cost of sending a request to `candidate`; the lowest cost is best.
///
/// Service times are roughly exponential, so the probability of a late response is that of an
/// exponential distribution with the endpoint's mean. The nearest endpoint has no precedence as such,
/// since a faster one further away may respond sooner.
pub(super) fn of_candidate(
    candidate: &Candidate,
    limits: TimeLimits,
    switches: MechanismSwitches,
) -> f64 {
    let slots = candidate.slots.max(1.0);
    let queued = (candidate.in_flight + 1.0 - slots).max(0.0);
    let queue_rounds = queued / slots;
    let delay_us = ROUND_TRIP_US[candidate.distance as usize] as f64
        + candidate.upload_time_us
        + candidate.rate_wait_us
        + queue_rounds * candidate.mean_service_time_us;
    let probability_after = |limit_us: u64| {
        let available_us = limit_us as f64 - delay_us;
        (-available_us.max(0.0) / candidate.service_time_us.max(1.0)).exp()
    };
    let utilisation = (candidate.in_flight / slots).min(1.0);
    // A busy link delays the uploads behind this one just as a queue for a slot delays requests, and so
    // does a rate limit.
    let other_waits_us = candidate.upload_time_us + candidate.rate_wait_us;
    let queue_rounds = queue_rounds + other_waits_us / candidate.service_time_us.max(1.0);
    let transfer = transfer_cost_per_kb(candidate.distance) * candidate.size_kb.max(MIN_SIZE_KB);
    let terms = [
        (Mechanism::CostQueued, WAIT_COST * queue_rounds),
        (Mechanism::CostSlotsInUse, BUSY_COST * utilisation.powi(3)),
        (
            Mechanism::CostFailures,
            FAILURE_COST * candidate.failure_rate,
        ),
        (
            Mechanism::CostOutstanding,
            UNMEASURED_COST * candidate.unmeasured_outstanding,
        ),
        (Mechanism::CostCrossDataCentre, transfer),
    ];
    let enabled = terms
        .into_iter()
        .filter(|(term, _)| switches.is_enabled(*term));
    let enabled: f64 = enabled.map(|(_, cost)| cost).sum();
    LATE_COST * probability_after(limits.target_us)
        + LOST_COST * probability_after(limits.deadline_us)
        + enabled
}

fn transfer_cost_per_kb(distance: Distance) -> f64 {
    match distance {
        Distance::DataCentre => 0.0,
        Distance::Region => OTHER_DATA_CENTRE_COST_PER_KB,
        Distance::Mesh => OTHER_REGION_COST_PER_KB,
    }
}
