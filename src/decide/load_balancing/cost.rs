//! What it costs a caller, and the mesh, to send a request to an endpoint.
//!
//! Costs are compared with each other and mean little alone: 1 is a request that is not answered.

use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::member::Distance;

/// A late answer is worth about a third of one in time to the users, who weigh it so themselves.
const LATE_COST: f64 = 0.7;
/// A request whose deadline passes has cost its caller the whole wait, too, and users count what is
/// served at all several times as much as what is served in time.
const LOST_COST: f64 = 3.0;

/// Crossing to another data centre of the region, for each kilobyte of request and answer.
const OTHER_DATA_CENTRE_COST_PER_KB: f64 = 0.015;
/// The same for the link between regions, which costs four times as much.
const OTHER_REGION_COST_PER_KB: f64 = 0.06;
/// Least size that is reckoned with: heads, and packets of their own.
const MIN_SIZE_KB: f64 = 1.0;

/// Waiting for as long as one request holds a slot. It counts more than that one wait, as everyone behind in the
/// queue waits as well.
const WAIT_COST: f64 = 0.25;

/// Slots that are all in use. Requests come in clumps and backend servers slow down when nearly
/// full, so an endpoint with room to spare goes before one that is about to be full.
const BUSY_COST: f64 = 0.02;

/// An endpoint whose answers are all failures. A request there may be tried again elsewhere, which
/// costs another attempt.
const FAILURE_COST: f64 = 0.5;

/// Each request that is outstanding at an endpoint of which nothing is known: it may be cold, so few find out.
const UNMEASURED_COST: f64 = 0.1;

/// Time to an endpoint and back, in microseconds: the users' 1 ms between data centres and 20 ms between
/// regions, each way.
const ROUND_TRIP_US: [u64; 3] = [300, 2_000, 41_000];

/// What is known of one choice. Times are microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) distance: Distance,
    /// Requests that are running or waiting there.
    pub(super) in_flight: f64,
    /// Requests that run there at a time.
    pub(super) slots: f64,
    /// How long a request like this one holds a slot there, on average.
    pub(super) service_time_us: f64,
    /// How long any request does, on average.
    pub(super) mean_service_time_us: f64,
    /// How long the body of the request takes to come in there, with its wait.
    pub(super) upload_time_us: f64,
    /// Part of its requests that failed lately.
    pub(super) failure_rate: f64,
    /// Kilobytes of the request and its answer.
    pub(super) size_kb: f64,
    /// Requests of this entry that are outstanding at an endpoint whose times it does not know.
    pub(super) unmeasured_outstanding: f64,
}

/// Until when an answer is of use. Times are microseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Until then it is worth most.
    pub target_us: u64,
    /// After it nobody waits any more.
    pub deadline_us: u64,
}

/// The cost of a choice; the lowest is best.
///
/// How long work takes scatters like an exponential, so the part that comes too late is taken from one with
/// the endpoint's mean. The nearest endpoint does not go first by itself: a fast one elsewhere may answer sooner.
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
        + queue_rounds * candidate.mean_service_time_us;
    let probability_after = |limit_us: u64| {
        let available_us = limit_us as f64 - delay_us;
        (-available_us.max(0.0) / candidate.service_time_us.max(1.0)).exp()
    };
    let utilisation = (candidate.in_flight / slots).min(1.0);
    // A link that is busy costs those behind this body as much as a queue for a slot does.
    let queue_rounds = queue_rounds + candidate.upload_time_us / candidate.service_time_us.max(1.0);
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
        (Mechanism::CostCrossZone, transfer),
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
