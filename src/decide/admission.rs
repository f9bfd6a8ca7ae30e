//! Whether a backend server's own node lets a request in, makes it wait, or refuses it.
//!
//! The node is the only gate to its backend server, so what is counted here is exact. A request
//! asks with [`Admission::admit`]; whoever holds a slot gives it back with
//! [`Admission::release`]. After every change the driver takes from [`Admission::next`] what
//! became of waiting requests and wakes them; between two changes nothing can have happened, so
//! no one polls.

mod lane;

use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

use self::lane::{Lane, Place, Queued};
use super::held::HeldTimes;
use super::placement::LoadReport;
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
pub enum Urgency {
    /// A call that a running request waits for.
    Call,
    /// A caller's request.
    Caller {
        /// 0 first.
        rank: u8,
    },
}

/// What a request asks of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Which queue it waits in.
    pub class: Class,
    /// How urgent it is among the requests of that queue.
    pub urgency: Urgency,
    /// Until when its answer is worth most; among those as urgent the earliest goes first.
    pub due_us: u64,
    /// How long it will hold its slot, if that is known; else it is taken for average.
    pub held_us: Option<u64>,
    /// When it is to have been answered, by the clock of the gate's calls.
    pub deadline_us: u64,
    /// How long it is willing to wait for its slot; a longer wait is refused at once.
    pub patience_us: u64,
}

impl Ask {
    /// A request of the default rank, of average length, that waits as long as its deadline allows.
    pub fn new(class: Class, deadline_us: u64) -> Self {
        Self {
            class,
            urgency: Urgency::Caller {
                rank: PRIORITY_DEFAULT,
            },
            due_us: deadline_us,
            held_us: None,
            deadline_us,
            patience_us: u64::MAX,
        }
    }

    fn place(&self, without: MechanismSwitches) -> Place {
        let urgency = match self.urgency {
            Urgency::Call if without.is_enabled(Mechanism::NestedCallsFirst) => Urgency::Call,
            Urgency::Caller { rank } if without.is_enabled(Mechanism::PriorityOrder) => {
                Urgency::Caller { rank }
            }
            _ => Urgency::Caller {
                rank: PRIORITY_DEFAULT,
            },
        };
        let due_us = match without.is_enabled(Mechanism::DeadlineOrder) {
            true => self.due_us,
            false => 0,
        };
        Place { urgency, due_us }
    }
}

/// Why a request was refused. Each is proof that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The queue has no room.
    Full,
    /// Its deadline would pass before its answer.
    TooLate,
    /// It would wait for longer than it is willing to.
    TooLong,
    /// The backend server takes no new work.
    Closed,
}

/// A refusal, and when asking again may help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Estimated wait of a request that came now, in milliseconds.
    pub retry_after_ms: u64,
}

/// What became of a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It holds a slot; give it back with [`Admission::release`].
    Slot,
    /// It waits; [`Admission::next`] will bring its turn unless [`Admission::cancel`] is first.
    Queued(Ticket),
    /// It is refused.
    Refused(Refusal),
}

/// How the wait of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It holds a slot now.
    Slot,
    /// It is refused after all.
    Refused(Refusal),
}

/// Interactive requests let in before a waiting bulk request has its turn, so that bulk work is not starved.
const INTERACTIVE_STREAK: u32 = 3;

/// One of so many slots is kept free of bulk work, so that a short read need not wait for the end of a long
/// one. Fewer slots than this are not divided.
const RESERVE_DIVISOR: u32 = 4;

/// How long after the last interactive request the reserve is kept; a service that only does bulk work has all
/// of its slots then.
const RESERVE_MEMORY_US: u64 = 10_000_000;

#[derive(Debug)]
struct Waiter<W> {
    wake: W,
    ask: Ask,
    /// Number of its arrival in its lane.
    arrival: u64,
}

/// Slots and queues of one backend server. `W` is what wakes a waiting request. Times are
/// microseconds of any steady clock.
#[derive(Debug)]
pub struct Admission<W> {
    without: MechanismSwitches,
    limits: Limits,
    closed: bool,
    waiting: SlotMap<Ticket, Waiter<W>>,
    interactive: Lane,
    bulk: Lane,
    /// Interactive requests of callers let in since the last bulk one.
    streak: u32,
    /// Waiting requests that were refused and have not been told yet.
    refused: VecDeque<(W, Refusal)>,
    held: HeldTimes,
    /// Sum of the times at which the requests that hold a slot got it.
    since_sum_us: u64,
}

/// A slot that is given back.
#[derive(Clone, Copy, Debug)]
pub struct Released<'a> {
    /// Class of the request that held it.
    pub class: Class,
    /// What the request asked for.
    pub resource: &'a ResourceName,
    /// For how long it held the slot.
    pub held_us: u64,
    /// Whether it was answered, or given up before.
    pub answered: bool,
}

/// Resources whose times go with the answer to a request for another one. Long work differs most between endpoints,
/// and is asked for least.
const OTHER_HELD_MAX: usize = 3;
/// Times that were learnt longer ago are not told: a backend server that was slow would never be tried again.
const OTHER_HELD_AGE_MAX_US: u64 = 1_000_000;

/// Requests that must have been running for long before the times of finished ones are taken for
/// out of date: half of the slots. A single long request is no slow backend server.
const AGED_DIVISOR: u32 = 2;
/// How much longer than finished ones those must have been running on average. In a steady state
/// both are about equal, as work scatters like an exponential; a few long requests among nine running
/// ones easily double the average.
const AGED_FACTOR: u64 = 4;

impl<W> Default for Admission<W> {
    fn default() -> Self {
        Self::new(MechanismSwitches::default())
    }
}

impl<W> Admission<W> {
    /// No slots yet.
    pub fn new(without: MechanismSwitches) -> Self {
        Self {
            without,
            limits: Limits::default(),
            closed: false,
            waiting: SlotMap::with_key(),
            interactive: Lane::default(),
            bulk: Lane::default(),
            streak: 0,
            refused: VecDeque::new(),
            held: HeldTimes::default(),
            since_sum_us: 0,
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
        let refusal = self.refusal(Cause::Closed, &Ask::new(Class::Interactive, 0));
        self.interactive.clear();
        self.bulk.clear();
        let refused = self.waiting.drain();
        self.refused
            .extend(refused.map(|(_, waiter)| (waiter.wake, refusal)));
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
    pub fn admit(&mut self, now_us: u64, ask: &Ask, wake: impl FnOnce() -> W) -> Admitted {
        if self.closed || self.limits.slots == 0 {
            return Admitted::Refused(self.refusal(Cause::Closed, ask));
        }
        let class = ask.class;
        self.lane_mut(class).last_asked_us = Some(now_us);
        // Whoever waits while a slot is free may not take it (the reserve), so nobody is overtaken.
        if self.lane(class).is_empty() && self.may_take(now_us, class) {
            self.take(now_us, ask);
            return Admitted::Slot;
        }
        if let Some(cause) = self.hopeless(now_us, ask) {
            return Admitted::Refused(self.refusal(cause, ask));
        }
        if !self.make_room(class) {
            return Admitted::Refused(self.refusal(Cause::Full, ask));
        }
        let waiter = Waiter {
            wake: wake(),
            ask: *ask,
            arrival: 0,
        };
        let place = self.place(ask);
        let ticket = self.waiting.insert(waiter);
        let lane = self.lane_mut(class);
        let arrival = lane.push(place, ticket, ask.held_us);
        self.waiting[ticket].arrival = arrival;
        Admitted::Queued(ticket)
    }

    /// Whether a request that came now would be refused: its body is not worth its way.
    pub fn would_refuse(&self, now_us: u64, ask: &Ask) -> Option<Refusal> {
        if self.closed || self.limits.slots == 0 {
            return Some(self.refusal(Cause::Closed, ask));
        }
        if self.lane(ask.class).is_empty() && self.may_take(now_us, ask.class) {
            return None;
        }
        let cause = self.hopeless(now_us, ask)?;
        Some(self.refusal(cause, ask))
    }

    /// Why it is of no use to wait, if it is not.
    fn hopeless(&self, now_us: u64, ask: &Ask) -> Option<Cause> {
        let wait_us = self.wait_us(ask);
        let answer_us = now_us + wait_us + self.held_us(ask);
        if answer_us > ask.deadline_us {
            return Some(Cause::TooLate);
        }
        (wait_us > ask.patience_us).then_some(Cause::TooLong)
    }

    /// Takes a request out of the queue. False if its turn has come before; then [`Self::next`]
    /// has given its answer, and a slot that it got is to be released.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiter) = self.waiting.remove(ticket) else {
            return false;
        };
        let Waiter { ask, arrival, .. } = waiter;
        let place = self.place(&ask);
        self.lane_mut(ask.class).remove(place, arrival);
        true
    }

    /// Gives a slot back.
    pub fn release(&mut self, now_us: u64, released: &Released<'_>) {
        let Released {
            class,
            resource,
            held_us,
            answered,
        } = *released;
        let lane = self.lane_mut(class);
        lane.in_use = lane.in_use.saturating_sub(1);
        lane.held.learn(held_us);
        let since_us = now_us.saturating_sub(held_us);
        self.since_sum_us = self.since_sum_us.saturating_sub(since_us);
        match answered {
            true => self.held.answered(now_us, resource, held_us),
            false => self.held.given_up(now_us, resource, held_us),
        }
    }

    /// What entries are told with the answer to a request that asked for `resource`.
    pub fn load(&self, now_us: u64, ask: &Ask, resource: &ResourceName) -> LoadReport {
        let slowed = self.slowed(now_us);
        let (own, other) = self.ahead(ask);
        LoadReport {
            in_use: self.in_use(),
            ahead: own.count + other.count,
            slots: self.limits.slots,
            mean_held_us: self.held.of_any().max(slowed),
            resource_held_us: self.held.of_resource(resource).max(slowed),
            intake_us: 0,
        }
    }

    /// How long requests for other resources than `resource` hold a slot, the longest first: entries that ask
    /// for them seldom learn it with answers to others.
    pub fn other_held(&self, now_us: u64, resource: &ResourceName) -> Vec<(&ResourceName, u64)> {
        let since_us = now_us.saturating_sub(OTHER_HELD_AGE_MAX_US);
        self.held.longest(OTHER_HELD_MAX, resource, since_us)
    }

    /// How long the requests that run now have been running on average, if that shows that the backend server has
    /// become slow; else 0. Without it entries would go by the answers of before until the first slow one.
    fn slowed(&self, now_us: u64) -> u64 {
        let running = self.in_use();
        if running == 0 || running * AGED_DIVISOR < self.limits.slots {
            return 0;
        }
        let age_us = now_us.saturating_sub(self.since_sum_us / u64::from(running));
        match age_us > AGED_FACTOR * self.held.of_any() {
            true => age_us,
            false => 0,
        }
    }

    /// A waiting request whose wait is over, if there is one.
    pub fn next(&mut self, now_us: u64) -> Option<(W, Turn)> {
        if let Some((wake, refusal)) = self.refused.pop_front() {
            return Some((wake, Turn::Refused(refusal)));
        }
        let class = self.next_class(now_us)?;
        let ticket = self.lane_mut(class).pop()?;
        let waiter = self.waiting.remove(ticket)?;
        if now_us + self.held_us(&waiter.ask) > waiter.ask.deadline_us {
            let refusal = self.refusal(Cause::TooLate, &waiter.ask);
            return Some((waiter.wake, Turn::Refused(refusal)));
        }
        self.take(now_us, &waiter.ask);
        Some((waiter.wake, Turn::Slot))
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.interactive.in_use + self.bulk.in_use
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u32 {
        self.interactive.waiting() + self.bulk.waiting()
    }

    /// How long a request will hold its slot.
    pub fn held_us(&self, ask: &Ask) -> u64 {
        ask.held_us.unwrap_or(self.lane(ask.class).held.us())
    }

    /// How long requests for `resource` hold their slots; none if that is not known.
    pub fn held_of(&self, resource: &ResourceName) -> Option<u64> {
        Some(self.held.of_resource(resource)).filter(|held_us| *held_us > 0)
    }

    /// Waiting requests that would go before one that came now, of its class and of the other.
    fn ahead(&self, ask: &Ask) -> (Queued, Queued) {
        let own = self.lane(ask.class).ahead(self.place(ask));
        let other = self.lane(other(ask.class)).queued();
        let other = other.at_most(match ask.class {
            Class::Interactive => own.count / INTERACTIVE_STREAK,
            Class::Bulk => (own.count + 1) * INTERACTIVE_STREAK,
        });
        (own, other)
    }

    /// Estimated wait of a request that came now, from the service times seen: until one of those
    /// that run ends, and all that go before it have had their turn.
    pub fn wait_us(&self, ask: &Ask) -> u64 {
        let (own, other_ahead) = self.ahead(ask);
        let average_us = self.lane(ask.class).held.us();
        let own_us = own.held_us(average_us).saturating_add(average_us);
        let other_us = other_ahead.held_us(self.lane(other(ask.class)).held.us());
        own_us.saturating_add(other_us) / u64::from(self.limits.slots.max(1))
    }

    fn place(&self, ask: &Ask) -> Place {
        ask.place(self.without)
    }

    fn refusal(&self, cause: Cause, ask: &Ask) -> Refusal {
        Refusal {
            cause,
            retry_after_ms: self.wait_us(ask) / 1_000,
        }
    }

    fn lane(&self, class: Class) -> &Lane {
        match class {
            Class::Interactive => &self.interactive,
            Class::Bulk => &self.bulk,
        }
    }

    fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Bulk => &mut self.bulk,
        }
    }

    fn take(&mut self, now_us: u64, ask: &Ask) {
        self.since_sum_us += now_us;
        self.lane_mut(ask.class).in_use += 1;
        self.streak = match (ask.class, ask.urgency) {
            (Class::Interactive, Urgency::Call) => self.streak,
            (Class::Interactive, Urgency::Caller { .. }) => self.streak.saturating_add(1),
            (Class::Bulk, _) => 0,
        };
    }

    fn may_take(&self, now_us: u64, class: Class) -> bool {
        let free = self.in_use() < self.limits.slots;
        match class {
            Class::Interactive => free,
            Class::Bulk => free && self.bulk.in_use < self.bulk_ceiling(now_us),
        }
    }

    fn bulk_ceiling(&self, now_us: u64) -> u32 {
        let slots = self.limits.slots;
        let asked_lately = |asked_us| now_us.saturating_sub(asked_us) < RESERVE_MEMORY_US;
        let reserves = self.without.is_enabled(Mechanism::BulkReserve);
        if reserves && self.interactive.last_asked_us.is_some_and(asked_lately) {
            slots - slots / RESERVE_DIVISOR
        } else {
            slots
        }
    }

    fn next_class(&self, now_us: u64) -> Option<Class> {
        let ready = |class| !self.lane(class).is_empty() && self.may_take(now_us, class);
        let bulk_turn = self.streak >= INTERACTIVE_STREAK && !self.interactive.call_is_next();
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
        let other = other(class);
        let entitled = self.lane(class).waiting() < self.share(class);
        let borrowed = self.lane(other).waiting() > self.share(other);
        if !entitled || !borrowed {
            return false;
        }
        let refusal = self.refusal(Cause::Full, &Ask::new(other, 0));
        let last = self.lane_mut(other).pop_last();
        let evicted = last.and_then(|ticket| self.waiting.remove(ticket));
        self.refused
            .extend(evicted.map(|waiter| (waiter.wake, refusal)));
        self.waiting() < self.limits.queue_len
    }

    fn share(&self, class: Class) -> u32 {
        match class {
            Class::Interactive => self.limits.queue_len.div_ceil(2),
            Class::Bulk => self.limits.queue_len / 2,
        }
    }
}

fn other(class: Class) -> Class {
    match class {
        Class::Interactive => Class::Bulk,
        Class::Bulk => Class::Interactive,
    }
}
