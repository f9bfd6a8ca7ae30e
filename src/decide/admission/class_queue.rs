//! One class of work at a gate: what of it runs, and what waits, by urgency and by when it is due.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::{Ticket, Urgency};
use crate::decide::service_times::Mean;

/// Requests of more urgent ranks let in before a waiting one of a lower rank has its turn, so that it is not
/// starved.
const URGENT_STREAK: u32 = 7;

/// Calls let in before a waiting caller's request has its turn, so that it is not starved.
const CALLS_STREAK: u32 = 15;

/// Where a request stands in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) urgency: Urgency,
    /// Until when its answer is worth most; among those as urgent the earliest goes first.
    pub(super) due_us: u64,
}

/// Requests that wait, and how long they will hold a slot together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Queued {
    pub(super) count: u32,
    /// Of those of which it is known.
    held_us: u64,
    unknown: u32,
}

impl Queued {
    fn add(self, held_us: Option<u64>) -> Self {
        Self {
            count: self.count + 1,
            held_us: self.held_us.saturating_add(held_us.unwrap_or(0)),
            unknown: self.unknown + u32::from(held_us.is_none()),
        }
    }

    /// How long they hold a slot together, if those that are not known do for `average_us`.
    pub(super) fn held_us(self, average_us: u64) -> u64 {
        let unknown_us = average_us.saturating_mul(u64::from(self.unknown));
        self.held_us.saturating_add(unknown_us)
    }

    /// A part of them, of average length.
    pub(super) fn at_most(self, count: u32) -> Self {
        if count >= self.count {
            return self;
        }
        let part = |all: u64| all * u64::from(count) / u64::from(self.count);
        Self {
            count,
            held_us: part(self.held_us),
            unknown: u32::try_from(part(self.unknown.into())).unwrap_or(count),
        }
    }

    fn and(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            held_us: self.held_us.saturating_add(other.held_us),
            unknown: self.unknown + other.unknown,
        }
    }
}

/// When a waiting request is due, and the number of its arrival, which parts those due at one moment.
type Order = (u64, u64);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    /// How long it will hold its slot, if that is known.
    held_us: Option<u64>,
}

/// Waiting requests that are as urgent as each other, by when they are due.
type Equals = BTreeMap<Order, Entry>;

/// One class of work.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// The most urgent first; none of them is empty.
    waiting: BTreeMap<Urgency, Equals>,
    count: u32,
    arrivals: u64,
    /// More urgent requests let in since the last one that was not the most urgent waiting.
    streak: u32,
    /// Calls let in since the last request of a caller.
    calls_streak: u32,
    pub(super) in_use: u32,
    /// Time that a request holds its slot.
    pub(super) held: Mean,
    pub(super) last_asked_us: Option<u64>,
}

impl Lane {
    pub(super) fn waiting(&self) -> u32 {
        self.count
    }

    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// All that wait.
    pub(super) fn queued(&self) -> Queued {
        sum(self.waiting.values().flat_map(BTreeMap::values))
    }

    /// Whether a call has the next turn.
    pub(super) fn call_is_next(&self) -> bool {
        self.turn() == Some(Urgency::Call)
    }

    /// Waiting requests that go before a new one at `place`.
    pub(super) fn ahead(&self, place: Place) -> Queued {
        let earlier = |(urgency, equals): (&Urgency, &Equals)| {
            let until_us = match *urgency == place.urgency {
                true => place.due_us,
                false => u64::MAX,
            };
            let before = equals.range(..=(until_us, u64::MAX));
            sum(before.map(|(_, entry)| entry))
        };
        let urgent = self.waiting.range(..=place.urgency).map(earlier);
        let urgent = urgent.fold(Queued::default(), Queued::and);
        let less_urgent = (Bound::Excluded(place.urgency), Bound::Unbounded);
        let less_urgent = self.waiting.range(less_urgent);
        let others = sum(less_urgent.flat_map(|(_, equals)| equals.values()));
        let streak = match place.urgency {
            Urgency::Call => CALLS_STREAK,
            Urgency::Caller { .. } => URGENT_STREAK,
        };
        urgent.and(others.at_most(urgent.count / streak))
    }

    /// Puts a request into its place; returns the number of its arrival.
    pub(super) fn push(&mut self, place: Place, ticket: Ticket, held_us: Option<u64>) -> u64 {
        self.arrivals += 1;
        let equals = self.waiting.entry(place.urgency).or_default();
        equals.insert((place.due_us, self.arrivals), Entry { ticket, held_us });
        self.count += 1;
        self.arrivals
    }

    /// The request whose turn it is among those of this class.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let turn = self.turn()?;
        match turn {
            Urgency::Call => self.calls_streak += 1,
            Urgency::Caller { .. } => {
                self.calls_streak = 0;
                self.streak = match self.least_urgent() == Some(turn) {
                    true => 0,
                    false => self.streak + 1,
                };
            }
        }
        let taken = self.waiting.get_mut(&turn)?.pop_first();
        self.forget(turn);
        taken.map(|(_, entry)| entry.ticket)
    }

    /// Which of the waiting have the next turn.
    fn turn(&self) -> Option<Urgency> {
        let callers = Urgency::Caller { rank: 0 }..;
        let first_caller = self.waiting.range(callers).next();
        let calls_wait = self.waiting.contains_key(&Urgency::Call);
        match first_caller {
            None => calls_wait.then_some(Urgency::Call),
            Some(_) if calls_wait && self.calls_streak < CALLS_STREAK => Some(Urgency::Call),
            Some(_) if self.streak >= URGENT_STREAK => self.least_urgent(),
            Some((first, _)) => Some(*first),
        }
    }

    fn least_urgent(&self) -> Option<Urgency> {
        self.waiting.keys().next_back().copied()
    }

    /// Of the least urgent the one that is due last.
    pub(super) fn pop_last(&mut self) -> Option<Ticket> {
        let last = self.least_urgent()?;
        let taken = self.waiting.get_mut(&last)?.pop_last();
        self.forget(last);
        taken.map(|(_, entry)| entry.ticket)
    }

    pub(super) fn remove(&mut self, place: Place, arrival: u64) {
        if let Some(equals) = self.waiting.get_mut(&place.urgency) {
            equals.remove(&(place.due_us, arrival));
        }
        self.forget(place.urgency);
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.count = 0;
    }

    /// Counts anew after one was taken.
    fn forget(&mut self, urgency: Urgency) {
        if self.waiting.get(&urgency).is_some_and(BTreeMap::is_empty) {
            self.waiting.remove(&urgency);
        }
        let count = self.waiting.values().map(BTreeMap::len).sum::<usize>();
        self.count = u32::try_from(count).unwrap_or(u32::MAX);
    }
}

fn sum<'a>(entries: impl Iterator<Item = &'a Entry>) -> Queued {
    entries.fold(Queued::default(), |queued, entry| queued.add(entry.held_us))
}
