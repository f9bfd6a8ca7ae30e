//! Requests for a slot, and what becomes of them.

use super::Ticket;
use super::class_queue::QueueKey;
use crate::core::configuration::{Class, PRIORITY_DEFAULT};
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::names::ResourceName;

/// Capacity of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of waiting requests, all classes together.
    pub queue_len: u32,
}

/// Rank of a request; the smallest value goes first. The priority of the organisation decides, then that of the
/// route, and then nested calls go before requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    organisation: u8,
    route: u8,
    sender: RankedSender,
}

/// Who sends a ranked request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RankedSender {
    /// A running request of this rank.
    RunningRequest,
    Caller,
}

/// Set in the number of a rank with an organisation's priority. Numbers below are priorities of routes.
const NUMBER_HAS_ORGANISATION: u32 = 1 << 24;

impl Rank {
    /// The highest rank.
    pub const HIGHEST: Self = Self {
        organisation: 0,
        route: 0,
        sender: RankedSender::RunningRequest,
    };

    /// Rank of a request of an organisation.
    pub const fn new(organisation: u8, route: u8) -> Self {
        Self {
            organisation,
            route,
            sender: RankedSender::Caller,
        }
    }

    /// Rank of a request where requests belong to no organisation.
    pub const fn of_route(route: u8) -> Self {
        Self::new(0, route)
    }

    /// Rank of the nested calls of a request, if they are ranked like that request.
    pub const fn of_nested_calls(self) -> Self {
        Self {
            sender: RankedSender::RunningRequest,
            ..self
        }
    }

    /// Whether this is the rank of a nested call.
    pub const fn is_nested(self) -> bool {
        matches!(self.sender, RankedSender::RunningRequest)
    }

    /// The rank as one number, for other nodes.
    pub const fn number(self) -> u32 {
        let sender = match self.sender {
            RankedSender::RunningRequest => 0,
            RankedSender::Caller => 1,
        };
        match (self.organisation, self.sender) {
            (0, RankedSender::Caller) => self.route as u32,
            _ => {
                NUMBER_HAS_ORGANISATION
                    + u32::from_be_bytes([0, self.organisation, self.route, sender])
            }
        }
    }

    /// The rank that has this number.
    pub const fn from_number(number: u32) -> Self {
        let [_, organisation, route, sender] = number.to_be_bytes();
        if number < NUMBER_HAS_ORGANISATION {
            return Self::of_route(if number > 255 { u8::MAX } else { number as u8 });
        }
        let rank = Self::new(organisation, route);
        match sender {
            0 => rank.of_nested_calls(),
            _ => rank,
        }
    }
}

/// Priority of a request among those of its class; the smallest value goes first.
///
/// A nested call goes before requests of callers, because the request that made it occupies a slot
/// of its own service until the call returns, and its work is lost if the call is refused. Where requests belong to
/// organisations, it has the rank of that request instead, so that an urgent request does not wait for the calls of a
/// less urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A call without a rank, made by a request that is running at a backend server.
    NestedCall,
    /// A request that no other request in the mesh waits for, or a call with a rank.
    CallerRequest {
        /// Configured rank.
        rank: Rank,
    },
}

/// A request for a slot. Times are microseconds of the clock that [`super::Admission`] is called with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Class of work, which selects the queue.
    pub class: Class,
    /// Priority within that queue.
    pub priority: Priority,
    /// When the target latency ends. Among requests of the same priority the earliest goes first.
    pub due_us: u64,
    /// Expected time that the request holds its slot; the mean of its class if unknown.
    pub service_time_us: Option<u64>,
    /// When the response is no longer of use to the caller.
    pub deadline_us: u64,
    /// Maximum wait for a slot. The request is refused at once if the estimated wait is longer.
    pub max_wait_us: u64,
}

impl SlotRequest {
    /// Returns a caller's request of default rank and unknown service time, whose wait is limited
    /// by its deadline alone.
    pub fn new(class: Class, deadline_us: u64) -> Self {
        Self {
            class,
            priority: Priority::CallerRequest {
                rank: Rank::of_route(PRIORITY_DEFAULT),
            },
            due_us: deadline_us,
            service_time_us: None,
            deadline_us,
            max_wait_us: u64::MAX,
        }
    }

    pub(super) fn queue_key(&self, switches: MechanismSwitches) -> QueueKey {
        let priority = match self.priority {
            Priority::NestedCall if switches.is_enabled(Mechanism::NestedCallsFirst) => {
                Priority::NestedCall
            }
            Priority::CallerRequest { rank } if switches.is_enabled(Mechanism::PriorityOrder) => {
                Priority::CallerRequest { rank }
            }
            _ => Priority::CallerRequest {
                rank: Rank::of_route(PRIORITY_DEFAULT),
            },
        };
        let due_us = match switches.is_enabled(Mechanism::DueTimeOrder) {
            true => self.due_us,
            false => 0,
        };
        QueueKey { priority, due_us }
    }
}

/// Why a request was refused. Each cause proves that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The queue is full.
    QueueFull,
    /// The response is expected after the deadline.
    DeadlineTooSoon,
    /// The estimated wait exceeds [`SlotRequest::max_wait_us`].
    WaitTooLong,
    /// The rate limit of the backend server leaves the request no time, or makes it wait too long.
    RateLimited,
    /// The backend server accepts no new requests.
    Closed,
}

/// A refusal, with advice on when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Estimated wait of a new request, in milliseconds.
    pub retry_after_ms: u64,
}

/// Result of [`super::Admission::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// The request holds a slot until [`super::Admission::release`].
    Slot,
    /// The request waits until [`super::Admission::end_next_wait`] returns it or [`super::Admission::cancel`]
    /// removes it.
    Queued(Ticket),
    /// The request does not run here.
    Refused(Refusal),
}

/// How the wait of a queued request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The request holds a slot until [`super::Admission::release`].
    Slot,
    /// The request was refused while it waited.
    Refused(Refusal),
}

/// A slot that is released, and the request that held it.
#[derive(Clone, Copy, Debug)]
pub struct ReleasedSlot<'a> {
    /// Class of the request that held the slot.
    pub class: Class,
    /// Resource that the request asked for.
    pub resource: &'a ResourceName,
    /// How long the request held the slot, in microseconds.
    pub service_time_us: u64,
    /// Whether the backend server responded; false if the request was abandoned before.
    pub answered: bool,
}
