//! Whether a backend server's own node lets a request in, makes it wait, or refuses it.
//!
//! The node is the only gate to its backend server, so what is counted here is exact. A request
//! asks with [`Admission::admit`]; whoever holds a slot gives it back with
//! [`Admission::release`]. After every change the driver takes from [`Admission::next`] what
//! became of waiting requests and wakes them; between two changes nothing can have happened, so
//! no one polls.

use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

use crate::core::configuration::Class;

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

/// Why a request was refused. Each is proof that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The queue has no room.
    Full,
    /// Its deadline would pass before its answer.
    TooLate,
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

/// Interactive requests let in before a waiting bulk request has its turn. Load made for: both
/// classes saturate the slots. Harm prevented: with strict priority a busy day of price reads
/// would keep every archive look-up out. Reason for the limit: three of four keeps short reads
/// short, and the fourth is more than overnight work needs.
const INTERACTIVE_STREAK: u32 = 3;

/// One of so many slots is kept free of bulk work. Load made for: long bulk work that holds each
/// slot for seconds. Harm prevented: a short read waits for the end of an upload although it
/// would itself take a millisecond. Reason for the limit: a quarter of 20 or of 6 slots turns
/// over short reads far faster than they come; fewer than four slots are too few to divide.
const RESERVE_DIVISOR: u32 = 4;

/// How long after the last interactive request the reserve is kept. Reason for the limit: a
/// service that only does bulk work at night is to have all of its slots then.
const RESERVE_MEMORY_US: u64 = 10_000_000;

/// Gain of the running mean of service times is one in so many: settles within a queue's worth
/// of requests, and one outlier moves it by an eighth.
const MEAN_DIVISOR: i64 = 8;

#[derive(Debug)]
struct Waiter<W> {
    wake: W,
    class: Class,
    deadline_us: u64,
}

/// One class of work.
#[derive(Debug, Default)]
struct Lane {
    queue: VecDeque<Ticket>,
    in_use: u32,
    /// Running mean of the time that a request holds its slot; 0 before the first.
    mean_held_us: u64,
    last_asked_us: Option<u64>,
}

impl Lane {
    fn waiting(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn learn(&mut self, held_us: u64) {
        if self.mean_held_us == 0 {
            self.mean_held_us = held_us;
            return;
        }
        let difference = held_us.cast_signed() - self.mean_held_us.cast_signed();
        let step = difference / MEAN_DIVISOR;
        self.mean_held_us = self.mean_held_us.saturating_add_signed(step);
    }
}

/// Slots and queues of one backend server. `W` is what wakes a waiting request. Times are
/// microseconds of any steady clock.
#[derive(Debug)]
pub struct Admission<W> {
    limits: Limits,
    closed: bool,
    waiting: SlotMap<Ticket, Waiter<W>>,
    interactive: Lane,
    bulk: Lane,
    /// Interactive requests let in since the last bulk one.
    streak: u32,
    /// Waiting requests that were refused and have not been told yet.
    refused: VecDeque<(W, Refusal)>,
}

impl<W> Default for Admission<W> {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            closed: false,
            waiting: SlotMap::with_key(),
            interactive: Lane::default(),
            bulk: Lane::default(),
            streak: 0,
            refused: VecDeque::new(),
        }
    }
}

impl<W> Admission<W> {
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
        let refusal = self.refusal(Cause::Closed, Class::Interactive);
        self.interactive.queue.clear();
        self.bulk.queue.clear();
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
    /// Load made for: more requests than slots. Harm prevented: the backend server overcommits
    /// and every request becomes slow, or a queue grows in which each one times out. Reason for
    /// the limits: the team says how many it runs at once and how many may wait; a request whose
    /// deadline passes before its turn would take a slot for an answer that nobody reads.
    pub fn admit(
        &mut self,
        now_us: u64,
        class: Class,
        deadline_us: u64,
        wake: impl FnOnce() -> W,
    ) -> Admitted {
        if self.closed || self.limits.slots == 0 {
            return Admitted::Refused(self.refusal(Cause::Closed, class));
        }
        self.lane_mut(class).last_asked_us = Some(now_us);
        // Whoever waits while a slot is free may not take it (the reserve), so nobody is overtaken.
        if self.lane(class).queue.is_empty() && self.may_take(now_us, class) {
            self.take(class);
            return Admitted::Slot;
        }
        let answer_us = now_us + self.wait_us(class) + self.lane(class).mean_held_us;
        if answer_us > deadline_us {
            return Admitted::Refused(self.refusal(Cause::TooLate, class));
        }
        if !self.make_room(class) {
            return Admitted::Refused(self.refusal(Cause::Full, class));
        }
        let ticket = self.waiting.insert(Waiter {
            wake: wake(),
            class,
            deadline_us,
        });
        self.lane_mut(class).queue.push_back(ticket);
        Admitted::Queued(ticket)
    }

    /// Takes a request out of the queue. False if its turn has come before; then [`Self::next`]
    /// has given its answer, and a slot that it got is to be released.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiter) = self.waiting.remove(ticket) else {
            return false;
        };
        let lane = self.lane_mut(waiter.class);
        lane.queue.retain(|queued| *queued != ticket);
        true
    }

    /// Gives a slot back after it was held for `held_us`.
    pub fn release(&mut self, class: Class, held_us: u64) {
        let lane = self.lane_mut(class);
        lane.in_use = lane.in_use.saturating_sub(1);
        lane.learn(held_us);
    }

    /// A waiting request whose wait is over, if there is one.
    pub fn next(&mut self, now_us: u64) -> Option<(W, Turn)> {
        if let Some((wake, refusal)) = self.refused.pop_front() {
            return Some((wake, Turn::Refused(refusal)));
        }
        let class = self.next_class(now_us)?;
        let ticket = self.lane_mut(class).queue.pop_front()?;
        let waiter = self.waiting.remove(ticket)?;
        if now_us + self.lane(class).mean_held_us > waiter.deadline_us {
            let refusal = self.refusal(Cause::TooLate, class);
            return Some((waiter.wake, Turn::Refused(refusal)));
        }
        self.take(class);
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

    /// Requests in hand in percent of the slots; above 100 some wait.
    pub fn load_percent(&self) -> u32 {
        let in_hand = self.in_use() + self.waiting();
        match self.limits.slots {
            0 => 100,
            slots => in_hand.saturating_mul(100) / slots,
        }
    }

    /// Estimated wait of a request that came now, from the service times seen.
    pub fn wait_us(&self, class: Class) -> u64 {
        let own = self.lane(class);
        let other = self.lane(other(class));
        let ahead = own.waiting();
        let other_ahead = match class {
            Class::Interactive => other.waiting().min(ahead / INTERACTIVE_STREAK),
            Class::Bulk => other.waiting().min((ahead + 1) * INTERACTIVE_STREAK),
        };
        let own_us = u64::from(ahead + 1).saturating_mul(own.mean_held_us);
        let other_us = u64::from(other_ahead).saturating_mul(other.mean_held_us);
        own_us.saturating_add(other_us) / u64::from(self.limits.slots.max(1))
    }

    fn refusal(&self, cause: Cause, class: Class) -> Refusal {
        Refusal {
            cause,
            retry_after_ms: self.wait_us(class) / 1_000,
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

    fn take(&mut self, class: Class) {
        self.lane_mut(class).in_use += 1;
        self.streak = match class {
            Class::Interactive => self.streak.saturating_add(1),
            Class::Bulk => 0,
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
        if self.interactive.last_asked_us.is_some_and(asked_lately) {
            slots - slots / RESERVE_DIVISOR
        } else {
            slots
        }
    }

    fn next_class(&self, now_us: u64) -> Option<Class> {
        let ready = |class| !self.lane(class).queue.is_empty() && self.may_take(now_us, class);
        let bulk_turn = self.streak >= INTERACTIVE_STREAK;
        match (ready(Class::Interactive), ready(Class::Bulk)) {
            (true, true) if bulk_turn => Some(Class::Bulk),
            (true, _) => Some(Class::Interactive),
            (false, true) => Some(Class::Bulk),
            (false, false) => None,
        }
    }

    /// Finds room in the queue for one more of `class`.
    ///
    /// Load made for: one class floods the queue. Harm prevented: the other class is refused
    /// although it asks for little. Reason for the limit: half of the queue is each class's own;
    /// what the other has borrowed of it is given back newest first, as that one has waited least.
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
        let refusal = self.refusal(Cause::Full, other);
        let newest = self.lane_mut(other).queue.pop_back();
        let evicted = newest.and_then(|ticket| self.waiting.remove(ticket));
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
