//! Whether a backend server's own node lets a request in, makes it wait, or refuses it.
//!
//! The node is the only gate to its backend server, so what is counted here is exact. A request
//! asks with [`Admission::admit`]; whoever holds a slot gives it back with
//! [`Admission::release`]. After every change the driver takes from [`Admission::end_next_wait`] what
//! became of waiting requests and wakes them; between two changes nothing can have happened, so
//! no one polls.

mod class_queue;

use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

use self::class_queue::{ClassQueue, QueueKey, QueuedWork};
use super::load_balancing::LoadReport;
use super::service_times::ServiceTimes;
use crate::core::configuration::{Class, PRIORITY_DEFAULT};
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::names::ResourceName;

new_key_type! {
    /// Names a waiting request.
    pub struct Ticket;
}

/// How much one backend server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Requests that run at a time.
    pub slots: u32,
    /// Requests that wait, all classes together.
    pub queue_len: u32,
}

/// Which requests of a class go first.
///
/// A call goes before callers' requests: whoever made it holds a slot of its own service meanwhile, and what
/// it has done is lost if the call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A call that a running request waits for.
    NestedCall,
    /// A caller's request.
    CallerRequest {
        /// 0 first.
        rank: u8,
    },
}

/// What a request asks of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Which queue it waits in.
    pub class: Class,
    /// How urgent it is among the requests of that queue.
    pub priority: Priority,
    /// Until when its answer is worth most; among those as urgent the earliest goes first.
    pub due_us: u64,
    /// How long it will hold its slot, if that is known; else it is taken for average.
    pub service_time_us: Option<u64>,
    /// When it is to have been answered, by the clock of the gate's calls.
    pub deadline_us: u64,
    /// How long it is willing to wait for its slot; a longer wait is refused at once.
    pub max_wait_us: u64,
}

impl SlotRequest {
    /// A request of the default rank, of average length, that waits as long as its deadline allows.
    pub fn new(class: Class, deadline_us: u64) -> Self {
        Self {
            class,
            priority: Priority::CallerRequest {
                rank: PRIORITY_DEFAULT,
            },
            due_us: deadline_us,
            service_time_us: None,
            deadline_us,
            max_wait_us: u64::MAX,
        }
    }

    fn queue_key(&self, switches: MechanismSwitches) -> QueueKey {
        let priority = match self.priority {
            Priority::NestedCall if switches.is_enabled(Mechanism::NestedCallsFirst) => {
                Priority::NestedCall
            }
            Priority::CallerRequest { rank } if switches.is_enabled(Mechanism::PriorityOrder) => {
                Priority::CallerRequest { rank }
            }
            _ => Priority::CallerRequest {
                rank: PRIORITY_DEFAULT,
            },
        };
        let due_us = match switches.is_enabled(Mechanism::DeadlineOrder) {
            true => self.due_us,
            false => 0,
        };
        QueueKey { priority, due_us }
    }
}

/// Why a request was refused. Each is proof that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The queue has no room.
    QueueFull,
    /// Its deadline would pass before its answer.
    DeadlineTooSoon,
    /// It would wait for longer than it is willing to.
    WaitTooLong,
    /// The backend server takes no new work.
    Closed,
}

/// A refusal, and when asking again may help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// Estimated wait of a request that came now, in milliseconds.
    pub retry_after_ms: u64,
}

/// What became of a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// It holds a slot; give it back with [`Admission::release`].
    Slot,
    /// It waits; [`Admission::end_next_wait`] will bring its turn unless [`Admission::cancel`] is first.
    Queued(Ticket),
    /// It is refused.
    Refused(Refusal),
}

/// How the wait of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It holds a slot now.
    Slot,
    /// It is refused after all.
    Refused(Refusal),
}

/// Interactive requests let in before a waiting bulk request has its turn, so that bulk work is not starved.
const INTERACTIVE_STREAK_MAX: u32 = 3;

/// One of so many slots is kept free of bulk work, so that a short read need not wait for the end of a long
/// one. Fewer slots than this are not divided.
const BULK_RESERVE_DIVISOR: u32 = 4;

/// How long after the last interactive request the reserve is kept; a service that only does bulk work has all
/// of its slots then.
const BULK_RESERVE_TIMEOUT_US: u64 = 10_000_000;

#[derive(Debug)]
struct WaitingRequest<W> {
    wake: W,
    request: SlotRequest,
    /// Number of its arrival in its lane.
    arrival: u64,
}

/// Slots and queues of one backend server. `W` is what wakes a waiting request. Times are
/// microseconds of any steady clock.
#[derive(Debug)]
pub struct Admission<W> {
    switches: MechanismSwitches,
    limits: Limits,
    closed: bool,
    waiting: SlotMap<Ticket, WaitingRequest<W>>,
    interactive: ClassQueue,
    bulk: ClassQueue,
    /// Interactive requests of callers let in since the last bulk one.
    interactive_streak: u32,
    /// Waiting requests that were refused and have not been told yet.
    refused: VecDeque<(W, Refusal)>,
    service_times: ServiceTimes,
    /// Sum of the times at which the requests that hold a slot got it.
    slot_start_sum_us: u64,
}

/// A slot that is given back.
#[derive(Clone, Copy, Debug)]
pub struct ReleasedSlot<'a> {
    /// Class of the request that held it.
    pub class: Class,
    /// What the request asked for.
    pub resource: &'a ResourceName,
    /// For how long it held the slot.
    pub service_time_us: u64,
    /// Whether it was answered, or given up before.
    pub answered: bool,
}

/// Resources whose times go with the answer to a request for another one. Long work differs most between endpoints,
/// and is asked for least.
const OTHER_SERVICE_TIMES_MAX: usize = 3;
/// Times that were learnt longer ago are not told: a backend server that was slow would never be tried again.
const OTHER_SERVICE_TIMES_AGE_MAX_US: u64 = 1_000_000;

/// Requests that must have been running for long before the times of finished ones are taken for
/// out of date: half of the slots. A single long request is no slow backend server.
const SLOWDOWN_RUNNING_DIVISOR: u32 = 2;
/// How much longer than finished ones those must have been running on average. In a steady state
/// both are about equal, as work scatters like an exponential; a few long requests among nine running
/// ones easily double the average.
const SLOWDOWN_FACTOR: u64 = 4;

impl<W> Default for Admission<W> {
    fn default() -> Self {
        Self::new(MechanismSwitches::default())
    }
}

impl<W> Admission<W> {
    /// No slots yet.
    pub fn new(switches: MechanismSwitches) -> Self {
        Self {
            switches,
            limits: Limits::default(),
            closed: false,
            waiting: SlotMap::with_key(),
            interactive: ClassQueue::default(),
            bulk: ClassQueue::default(),
            interactive_streak: 0,
            refused: VecDeque::new(),
            service_times: ServiceTimes::default(),
            slot_start_sum_us: 0,
        }
    }

    /// Sets the limits; requests already in keep their slots and places. Without slots the
    /// service is not offered here any more, and what waits is refused.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        if limits.slots == 0 {
            self.refuse_waiting();
        }
    }

    /// Takes no new work, and refuses what waits: it may still run elsewhere.
    pub fn close(&mut self) {
        self.closed = true;
        self.refuse_waiting();
    }

    fn refuse_waiting(&mut self) {
        let refusal = self.refusal(
            RefusalCause::Closed,
            &SlotRequest::new(Class::Interactive, 0),
        );
        self.interactive.clear();
        self.bulk.clear();
        let refused = self.waiting.drain();
        self.refused
            .extend(refused.map(|(_, waiting_request)| (waiting_request.wake, refusal)));
    }

    /// Takes new work again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// A request asks for a slot; `wake` is called only if it has to wait.
    ///
    /// It is refused if the queue is full or if its deadline or its patience passes before its turn: a longer
    /// queue would only make answers late. Among requests that are as urgent the one whose answer is due first
    /// goes first.
    pub fn admit(
        &mut self,
        now_us: u64,
        request: &SlotRequest,
        wake: impl FnOnce() -> W,
    ) -> AdmitOutcome {
        if self.closed || self.limits.slots == 0 {
            return AdmitOutcome::Refused(self.refusal(RefusalCause::Closed, request));
        }
        let class = request.class;
        self.queue_mut(class).last_request_us = Some(now_us);
        // Whoever waits while a slot is free may not take it (the reserve), so nobody is overtaken.
        if self.queue(class).is_empty() && self.has_slot_for(now_us, class) {
            self.occupy_slot(now_us, request);
            return AdmitOutcome::Slot;
        }
        if let Some(cause) = self.refusal_cause(now_us, request) {
            return AdmitOutcome::Refused(self.refusal(cause, request));
        }
        if !self.make_room(class) {
            return AdmitOutcome::Refused(self.refusal(RefusalCause::QueueFull, request));
        }
        let waiting_request = WaitingRequest {
            wake: wake(),
            request: *request,
            arrival: 0,
        };
        let key = self.queue_key(request);
        let ticket = self.waiting.insert(waiting_request);
        let queue = self.queue_mut(class);
        let arrival = queue.push(key, ticket, request.service_time_us);
        self.waiting[ticket].arrival = arrival;
        AdmitOutcome::Queued(ticket)
    }

    /// Whether a request that came now would be refused: its body is not worth its way.
    pub fn would_refuse(&self, now_us: u64, request: &SlotRequest) -> Option<Refusal> {
        if self.closed || self.limits.slots == 0 {
            return Some(self.refusal(RefusalCause::Closed, request));
        }
        if self.queue(request.class).is_empty() && self.has_slot_for(now_us, request.class) {
            return None;
        }
        let cause = self.refusal_cause(now_us, request)?;
        Some(self.refusal(cause, request))
    }

    /// Why it is of no use to wait, if it is not.
    fn refusal_cause(&self, now_us: u64, request: &SlotRequest) -> Option<RefusalCause> {
        let wait_us = self.estimated_wait_us(request);
        let response_us = now_us + wait_us + self.service_time_us(request);
        if response_us > request.deadline_us {
            return Some(RefusalCause::DeadlineTooSoon);
        }
        (wait_us > request.max_wait_us).then_some(RefusalCause::WaitTooLong)
    }

    /// Takes a request out of the queue. False if its turn has come before; then [`Self::end_next_wait`]
    /// has given its answer, and a slot that it got is to be released.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiting_request) = self.waiting.remove(ticket) else {
            return false;
        };
        let WaitingRequest {
            request, arrival, ..
        } = waiting_request;
        let key = self.queue_key(&request);
        self.queue_mut(request.class).remove(key, arrival);
        true
    }

    /// Gives a slot back.
    pub fn release(&mut self, now_us: u64, released: &ReleasedSlot<'_>) {
        let ReleasedSlot {
            class,
            resource,
            service_time_us,
            answered,
        } = *released;
        let queue = self.queue_mut(class);
        queue.in_use = queue.in_use.saturating_sub(1);
        queue.service_time.add(service_time_us);
        let slot_start_us = now_us.saturating_sub(service_time_us);
        self.slot_start_sum_us = self.slot_start_sum_us.saturating_sub(slot_start_us);
        match answered {
            true => self.service_times.record(now_us, resource, service_time_us),
            false => self
                .service_times
                .record_abandoned(now_us, resource, service_time_us),
        }
    }

    /// What entries are told with the answer to a request that asked for `resource`.
    pub fn load_report(
        &self,
        now_us: u64,
        request: &SlotRequest,
        resource: &ResourceName,
    ) -> LoadReport {
        let slowdown_age_us = self.slowdown_age_us(now_us);
        let (own, other) = self.ahead(request);
        LoadReport {
            in_use: self.in_use(),
            ahead: own.count + other.count,
            slots: self.limits.slots,
            mean_service_time_us: self.service_times.overall_us().max(slowdown_age_us),
            resource_service_time_us: self
                .service_times
                .resource_us(resource)
                .max(slowdown_age_us),
            upload_time_us: 0,
        }
    }

    /// How long requests for other resources than `resource` hold a slot, the longest first: entries that ask
    /// for them seldom learn it with answers to others.
    pub fn other_service_times(
        &self,
        now_us: u64,
        resource: &ResourceName,
    ) -> Vec<(&ResourceName, u64)> {
        let since_us = now_us.saturating_sub(OTHER_SERVICE_TIMES_AGE_MAX_US);
        self.service_times
            .longest(OTHER_SERVICE_TIMES_MAX, resource, since_us)
    }

    /// How long the requests that run now have been running on average, if that shows that the backend server has
    /// become slow; else 0. Without it entries would go by the answers of before until the first slow one.
    fn slowdown_age_us(&self, now_us: u64) -> u64 {
        let running = self.in_use();
        if running == 0 || running * SLOWDOWN_RUNNING_DIVISOR < self.limits.slots {
            return 0;
        }
        let age_us = now_us.saturating_sub(self.slot_start_sum_us / u64::from(running));
        match age_us > SLOWDOWN_FACTOR * self.service_times.overall_us() {
            true => age_us,
            false => 0,
        }
    }

    /// A waiting request whose wait is over, if there is one.
    pub fn end_next_wait(&mut self, now_us: u64) -> Option<(W, WaitOutcome)> {
        if let Some((wake, refusal)) = self.refused.pop_front() {
            return Some((wake, WaitOutcome::Refused(refusal)));
        }
        let class = self.next_class(now_us)?;
        let ticket = self.queue_mut(class).pop()?;
        let waiting_request = self.waiting.remove(ticket)?;
        if now_us + self.service_time_us(&waiting_request.request)
            > waiting_request.request.deadline_us
        {
            let refusal = self.refusal(RefusalCause::DeadlineTooSoon, &waiting_request.request);
            return Some((waiting_request.wake, WaitOutcome::Refused(refusal)));
        }
        self.occupy_slot(now_us, &waiting_request.request);
        Some((waiting_request.wake, WaitOutcome::Slot))
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.interactive.in_use + self.bulk.in_use
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u32 {
        self.interactive.len() + self.bulk.len()
    }

    /// How long a request will hold its slot.
    pub fn service_time_us(&self, request: &SlotRequest) -> u64 {
        request
            .service_time_us
            .unwrap_or(self.queue(request.class).service_time.mean_us())
    }

    /// How long requests for `resource` hold their slots; none if that is not known.
    pub fn known_service_time_us(&self, resource: &ResourceName) -> Option<u64> {
        Some(self.service_times.resource_us(resource))
            .filter(|service_time_us| *service_time_us > 0)
    }

    /// Waiting requests that would go before one that came now, of its class and of the other.
    fn ahead(&self, request: &SlotRequest) -> (QueuedWork, QueuedWork) {
        let own = self.queue(request.class).ahead(self.queue_key(request));
        let other = self.queue(other_class(request.class)).queued_work();
        let other = other.limited_to(match request.class {
            Class::Interactive => own.count / INTERACTIVE_STREAK_MAX,
            Class::Bulk => (own.count + 1) * INTERACTIVE_STREAK_MAX,
        });
        (own, other)
    }

    /// Estimated wait of a request that came now, from the service times seen: until one of those
    /// that run ends, and all that go before it have had their turn.
    pub fn estimated_wait_us(&self, request: &SlotRequest) -> u64 {
        let (own, other_ahead) = self.ahead(request);
        let average_us = self.queue(request.class).service_time.mean_us();
        let own_us = own
            .total_service_time_us(average_us)
            .saturating_add(average_us);
        let other_us = other_ahead.total_service_time_us(
            self.queue(other_class(request.class))
                .service_time
                .mean_us(),
        );
        own_us.saturating_add(other_us) / u64::from(self.limits.slots.max(1))
    }

    fn queue_key(&self, request: &SlotRequest) -> QueueKey {
        request.queue_key(self.switches)
    }

    fn refusal(&self, cause: RefusalCause, request: &SlotRequest) -> Refusal {
        Refusal {
            cause,
            retry_after_ms: self.estimated_wait_us(request) / 1_000,
        }
    }

    fn queue(&self, class: Class) -> &ClassQueue {
        match class {
            Class::Interactive => &self.interactive,
            Class::Bulk => &self.bulk,
        }
    }

    fn queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Bulk => &mut self.bulk,
        }
    }

    fn occupy_slot(&mut self, now_us: u64, request: &SlotRequest) {
        self.slot_start_sum_us += now_us;
        self.queue_mut(request.class).in_use += 1;
        self.interactive_streak = match (request.class, request.priority) {
            (Class::Interactive, Priority::NestedCall) => self.interactive_streak,
            (Class::Interactive, Priority::CallerRequest { .. }) => {
                self.interactive_streak.saturating_add(1)
            }
            (Class::Bulk, _) => 0,
        };
    }

    fn has_slot_for(&self, now_us: u64, class: Class) -> bool {
        let free = self.in_use() < self.limits.slots;
        match class {
            Class::Interactive => free,
            Class::Bulk => free && self.bulk.in_use < self.bulk_slots_max(now_us),
        }
    }

    fn bulk_slots_max(&self, now_us: u64) -> u32 {
        let slots = self.limits.slots;
        let requested_recently =
            |request_us| now_us.saturating_sub(request_us) < BULK_RESERVE_TIMEOUT_US;
        let reserve_enabled = self.switches.is_enabled(Mechanism::BulkReserve);
        if reserve_enabled
            && self
                .interactive
                .last_request_us
                .is_some_and(requested_recently)
        {
            slots - slots / BULK_RESERVE_DIVISOR
        } else {
            slots
        }
    }

    fn next_class(&self, now_us: u64) -> Option<Class> {
        let ready = |class| !self.queue(class).is_empty() && self.has_slot_for(now_us, class);
        let bulk_turn = self.interactive_streak >= INTERACTIVE_STREAK_MAX
            && !self.interactive.nested_call_is_next();
        match (ready(Class::Interactive), ready(Class::Bulk)) {
            (true, true) if bulk_turn => Some(Class::Bulk),
            (true, _) => Some(Class::Interactive),
            (false, true) => Some(Class::Bulk),
            (false, false) => None,
        }
    }

    /// Finds room in the queue for one more of `class`. Half of the queue is each class's own; what the other has
    /// borrowed of it is given back from its end.
    fn make_room(&mut self, class: Class) -> bool {
        if self.waiting() < self.limits.queue_len {
            return true;
        }
        let other = other_class(class);
        let entitled = self.queue(class).len() < self.queue_share(class);
        let borrowed = self.queue(other).len() > self.queue_share(other);
        if !entitled || !borrowed {
            return false;
        }
        let refusal = self.refusal(RefusalCause::QueueFull, &SlotRequest::new(other, 0));
        let last = self.queue_mut(other).pop_last();
        let evicted = last.and_then(|ticket| self.waiting.remove(ticket));
        self.refused
            .extend(evicted.map(|waiting_request| (waiting_request.wake, refusal)));
        self.waiting() < self.limits.queue_len
    }

    fn queue_share(&self, class: Class) -> u32 {
        match class {
            Class::Interactive => self.limits.queue_len.div_ceil(2),
            Class::Bulk => self.limits.queue_len / 2,
        }
    }
}

fn other_class(class: Class) -> Class {
    match class {
        Class::Interactive => Class::Bulk,
        Class::Bulk => Class::Interactive,
    }
}
