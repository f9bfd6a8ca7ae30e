//! Admission control of one backend server: a request gets a slot, waits in a queue, or is refused.
//!
//! All requests to a backend server pass through the node on its VM, so the node's count of slots
//! in use is exact. A request asks for a slot with [`Admission::admit`] and releases it with
//! [`Admission::release`]. After every change of state the proxy calls
//! [`Admission::end_next_wait`] until it returns `None`, and wakes the requests that it returns. The
//! state does not change in between, so nothing has to poll.
//!
//! A backend server may limit the rate of its requests, see [`super::rate_limit`]. Then a request that waits also needs the
//! limit's permission. The proxy calls [`Admission::end_next_wait`] at the time that [`Admission::next_permit_us`] returns.
//!
//! Requests come from entry nodes, the nodes at which they enter the mesh. Entry nodes choose backend
//! servers by the load that is reported with each response.

mod class_queue;
mod load;
mod pacing;
mod request;

use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

use self::class_queue::{ClassQueue, QueueKey, QueuedWork};
use super::rate_limit::RatePacer;
use super::service_times::ServiceTimes;
use crate::core::configuration::Class;
use crate::core::mechanism::{Mechanism, MechanismSwitches};
use crate::core::names::ResourceName;

pub use self::request::{
    AdmitOutcome, Limits, Priority, Rank, Refusal, RefusalCause, ReleasedSlot, SlotRequest,
    WaitOutcome,
};

new_key_type! {
    /// Identifies a waiting request.
    pub struct Ticket;
}

/// Interactive requests of callers that get a slot in succession before a waiting bulk request goes
/// next, so that bulk work is not starved.
const INTERACTIVE_STREAK_MAX: u32 = 3;

/// One in this many slots is reserved for interactive requests, so that a short request does not
/// wait for a long one to end. With fewer slots than this there is no reserve.
const SLOTS_PER_RESERVED_SLOT: u32 = 4;

/// How long after the last interactive request the reserve stays in force, in microseconds. Later
/// on, a service that has only bulk requests uses all of its slots for them.
const BULK_RESERVE_TIMEOUT_US: u64 = 10_000_000;

#[derive(Debug)]
struct WaitingRequest<W> {
    wake: W,
    request: SlotRequest,
    /// Arrival number in the queue of its class, from [`ClassQueue::push`].
    arrival: u64,
}

/// Slots and queues of one backend server. `W` is a handle that wakes a waiting request. Times are
/// microseconds of any monotonic clock.
#[derive(Debug)]
pub struct Admission<W> {
    switches: MechanismSwitches,
    limits: Limits,
    closed: bool,
    /// Paces requests while the backend server limits their rate.
    pacer: Option<RatePacer>,
    waiting: SlotMap<Ticket, WaitingRequest<W>>,
    interactive: ClassQueue,
    bulk: ClassQueue,
    /// Interactive requests of callers that got a slot since the last bulk request did.
    interactive_streak: u32,
    /// Refused requests that [`Self::end_next_wait`] has not returned yet.
    refused: VecDeque<(W, Refusal)>,
    service_times: ServiceTimes,
    /// Sum of the start times of the running requests, for their mean age.
    slot_start_sum_us: u64,
}

impl<W> Default for Admission<W> {
    fn default() -> Self {
        Self::new(MechanismSwitches::default())
    }
}

impl<W> Admission<W> {
    /// Returns an admission control without slots, which refuses requests until
    /// [`Self::set_limits`].
    pub fn new(switches: MechanismSwitches) -> Self {
        Self {
            switches,
            limits: Limits::default(),
            closed: false,
            pacer: None,
            waiting: SlotMap::with_key(),
            interactive: ClassQueue::default(),
            bulk: ClassQueue::default(),
            interactive_streak: 0,
            refused: VecDeque::new(),
            service_times: ServiceTimes::default(),
            slot_start_sum_us: 0,
        }
    }

    /// Sets the limits. Running requests keep their slots and waiting ones their places in the
    /// queue. With no slots the service is no longer offered here, so waiting requests are refused.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        if limits.slots == 0 {
            self.refuse_waiting();
        }
    }

    /// Stops accepting requests and refuses the waiting ones, which may still run elsewhere.
    pub fn close(&mut self) {
        self.closed = true;
        self.refuse_waiting();
    }

    /// Refuses the waiting requests, which may still run elsewhere.
    pub fn refuse_waiting(&mut self) {
        let refusal = self.refusal_for_slots(
            RefusalCause::Closed,
            &SlotRequest::new(Class::Interactive, 0),
        );
        self.interactive.clear();
        self.bulk.clear();
        let refused = self.waiting.drain();
        self.refused
            .extend(refused.map(|(_, waiting_request)| (waiting_request.wake, refusal)));
    }

    /// Accepts requests again after [`Self::close`].
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Grants a slot to a request, queues it, or refuses it. `wake` is called only if it is queued.
    ///
    /// The request is refused if the queue is full, if the response is expected after the deadline,
    /// or if the estimated wait exceeds the maximum: a longer queue would only make responses late.
    /// Among requests of the same priority the one that is due first goes first.
    pub fn admit(
        &mut self,
        now_us: u64,
        request: &SlotRequest,
        wake: impl FnOnce() -> W,
    ) -> AdmitOutcome {
        if self.closed || self.limits.slots == 0 {
            return AdmitOutcome::Refused(self.refusal_for_slots(RefusalCause::Closed, request));
        }
        let class = request.class;
        self.queue_mut(class).last_request_us = Some(now_us);
        if self.may_start_at_once(now_us, class) {
            self.occupy_slot(now_us, request);
            return AdmitOutcome::Slot;
        }
        if let Some(cause) = self.refusal_cause(now_us, request) {
            return AdmitOutcome::Refused(self.refusal(now_us, cause, request));
        }
        if !self.make_room(class) {
            return AdmitOutcome::Refused(self.refusal(now_us, RefusalCause::QueueFull, request));
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

    /// Returns the refusal that a new request would get because the backend server is closed or the
    /// wait would be too long, without queueing the request. A full queue is not considered. It lets
    /// a node refuse a request before its body is transferred.
    pub fn would_refuse(&self, now_us: u64, request: &SlotRequest) -> Option<Refusal> {
        if self.closed || self.limits.slots == 0 {
            return Some(self.refusal_for_slots(RefusalCause::Closed, request));
        }
        if self.may_start_at_once(now_us, request.class) {
            return None;
        }
        let cause = self.refusal_cause(now_us, request)?;
        Some(self.refusal(now_us, cause, request))
    }

    /// Returns why a request would be refused if it had to wait; `None` if it may wait.
    fn refusal_cause(&self, now_us: u64, request: &SlotRequest) -> Option<RefusalCause> {
        let rate_wait_us = self.rate_wait_us(now_us, request);
        let wait_us = self.estimated_wait_us(request).max(rate_wait_us);
        let response_us = now_us + wait_us + self.service_time_us(request);
        let cause = if response_us > request.deadline_us {
            RefusalCause::DeadlineTooSoon
        } else if request.max_wait_us == 0 || wait_us > request.max_wait_us {
            // The estimate is 0 as long as no service time is known.
            RefusalCause::WaitTooLong
        } else {
            return None;
        };
        match rate_wait_us > 0 && rate_wait_us == wait_us {
            true => Some(RefusalCause::RateLimited),
            false => Some(cause),
        }
    }

    /// Removes a request from the queue. Returns false if its wait has already ended; then
    /// [`Self::end_next_wait`] has returned or will return its outcome, and a slot that it got must
    /// be released.
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

    /// Releases a slot and records how long it was held.
    pub fn release(&mut self, now_us: u64, released: &ReleasedSlot<'_>) {
        self.release_unmeasured(now_us, released);
        let ReleasedSlot {
            class,
            resource,
            service_time_us,
            answered,
        } = *released;
        self.queue_mut(class).service_time.add(service_time_us);
        match answered {
            true => self.service_times.record(now_us, resource, service_time_us),
            false => self
                .service_times
                .record_abandoned(now_us, resource, service_time_us),
        }
    }

    /// Releases a slot whose service time says nothing about the backend server, because the process
    /// was frozen meanwhile.
    pub fn release_unmeasured(&mut self, now_us: u64, released: &ReleasedSlot<'_>) {
        let queue = self.queue_mut(released.class);
        queue.in_use = queue.in_use.saturating_sub(1);
        let slot_start_us = now_us.saturating_sub(released.service_time_us);
        self.slot_start_sum_us = self.slot_start_sum_us.saturating_sub(slot_start_us);
    }

    /// Ends the wait of one request, if one can get a slot or has to be refused.
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
            let cause = RefusalCause::DeadlineTooSoon;
            let refusal = self.refusal(now_us, cause, &waiting_request.request);
            return Some((waiting_request.wake, WaitOutcome::Refused(refusal)));
        }
        self.occupy_slot(now_us, &waiting_request.request);
        Some((waiting_request.wake, WaitOutcome::Slot))
    }

    /// Returns the number of running requests.
    pub fn in_use(&self) -> u32 {
        self.interactive.in_use + self.bulk.in_use
    }

    /// Returns the number of queued requests of both classes.
    pub fn waiting(&self) -> u32 {
        self.interactive.len() + self.bulk.len()
    }

    /// Returns the expected time that a request holds its slot.
    pub fn service_time_us(&self, request: &SlotRequest) -> u64 {
        request
            .service_time_us
            .unwrap_or(self.queue(request.class).service_time.mean_us())
    }

    /// Returns the mean service time for `resource`, or of all requests if it has none of its own;
    /// `None` before the first request has ended.
    pub fn known_service_time_us(&self, resource: &ResourceName) -> Option<u64> {
        Some(self.service_times.resource_us(resource))
            .filter(|service_time_us| *service_time_us > 0)
    }

    /// Returns the waiting work that goes before a new request: of its own class, and of the other.
    fn ahead(&self, request: &SlotRequest) -> (QueuedWork, QueuedWork) {
        let own = self.queue(request.class).ahead(self.queue_key(request));
        let other = self.queue(other_class(request.class)).queued_work();
        let other = other.limited_to(match request.class {
            Class::Interactive => own.count / INTERACTIVE_STREAK_MAX,
            Class::Bulk => (own.count + 1) * INTERACTIVE_STREAK_MAX,
        });
        (own, other)
    }

    /// Estimates how long a new request would wait for a slot, from measured service times: until a
    /// running request has ended and all requests ahead in the queues have got their slots.
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

    fn refusal(&self, now_us: u64, cause: RefusalCause, request: &SlotRequest) -> Refusal {
        let wait_us = self
            .estimated_wait_us(request)
            .max(self.rate_wait_us(now_us, request));
        Refusal {
            cause,
            retry_after_ms: wait_us / 1_000,
        }
    }

    /// A refusal that does not depend on the rate limit.
    fn refusal_for_slots(&self, cause: RefusalCause, request: &SlotRequest) -> Refusal {
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
        if let Some(pacer) = &mut self.pacer {
            pacer.record_sent(now_us);
        }
        self.queue_mut(request.class).in_use += 1;
        self.interactive_streak = match (request.class, request.priority) {
            (Class::Interactive, Priority::NestedCall) => self.interactive_streak,
            (Class::Interactive, Priority::CallerRequest { .. }) => {
                self.interactive_streak.saturating_add(1)
            }
            (Class::Bulk, _) => 0,
        };
    }

    /// Whether a new request may start without waiting.
    fn may_start_at_once(&self, now_us: u64, class: Class) -> bool {
        // A request that waits while a slot is free and the rate limit permits it is excluded by the
        // bulk reserve, so the new request overtakes nothing that could run.
        self.queue(class).is_empty()
            && self.may_start(now_us, class)
            && !self.other_waits_for_rate(now_us, class)
    }

    /// Whether a request may start now as far as slots and the rate limit are concerned.
    fn may_start(&self, now_us: u64, class: Class) -> bool {
        self.has_slot_for(now_us, class) && self.rate_permits(now_us)
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
            slots - slots / SLOTS_PER_RESERVED_SLOT
        } else {
            slots
        }
    }

    fn next_class(&self, now_us: u64) -> Option<Class> {
        let ready = |class| !self.queue(class).is_empty() && self.may_start(now_us, class);
        let bulk_turn = self.interactive_streak >= INTERACTIVE_STREAK_MAX
            && !self.interactive.nested_call_is_next();
        match (ready(Class::Interactive), ready(Class::Bulk)) {
            (true, true) if bulk_turn => Some(Class::Bulk),
            (true, _) => Some(Class::Interactive),
            (false, true) => Some(Class::Bulk),
            (false, false) => None,
        }
    }

    /// Makes room in the queue for one more request of `class`; returns false if there is none. Each
    /// class is entitled to half of the queue and may use more while the other does not need it. If
    /// the queue is full, `class` uses less than its half and the other class more than its own, the
    /// last request of the other class is evicted.
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
        let refusal = self.refusal_for_slots(RefusalCause::QueueFull, &SlotRequest::new(other, 0));
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
