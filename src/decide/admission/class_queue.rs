//! One class of work at a gate: what of it runs, and what waits, by urgency and by when it is due.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::{Priority, Ticket};
use crate::decide::service_times::RunningMean;

/// Requests of more urgent ranks let in before a waiting one of a lower rank has its turn, so that it is not
/// starved.
const HIGHER_RANK_STREAK_MAX: u32 = 7;

/// Calls let in before a waiting caller's request has its turn, so that it is not starved.
const NESTED_CALL_STREAK_MAX: u32 = 15;

/// Where a request stands in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueKey {
    pub(super) priority: Priority,
    /// Until when its answer is worth most; among those as urgent the earliest goes first.
    pub(super) due_us: u64,
}

/// Requests that wait, and how long they will hold a slot together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct QueuedWork {
    pub(super) count: u32,
    /// Of those of which it is known.
    known_service_time_us: u64,
    unknown_count: u32,
}

impl QueuedWork {
    fn add(self, service_time_us: Option<u64>) -> Self {
        Self {
            count: self.count + 1,
            known_service_time_us: self
                .known_service_time_us
                .saturating_add(service_time_us.unwrap_or(0)),
            unknown_count: self.unknown_count + u32::from(service_time_us.is_none()),
        }
    }

    /// How long they hold a slot together, if those that are not known do for `average_us`.
    pub(super) fn total_service_time_us(self, average_us: u64) -> u64 {
        let unknown_us = average_us.saturating_mul(u64::from(self.unknown_count));
        self.known_service_time_us.saturating_add(unknown_us)
    }

    /// A part of them, of average length.
    pub(super) fn limited_to(self, count: u32) -> Self {
        if count >= self.count {
            return self;
        }
        let scaled = |all: u64| all * u64::from(count) / u64::from(self.count);
        Self {
            count,
            known_service_time_us: scaled(self.known_service_time_us),
            unknown_count: u32::try_from(scaled(self.unknown_count.into())).unwrap_or(count),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            known_service_time_us: self
                .known_service_time_us
                .saturating_add(other.known_service_time_us),
            unknown_count: self.unknown_count + other.unknown_count,
        }
    }
}

/// When a waiting request is due, and the number of its arrival, which parts those due at one moment.
type QueuePosition = (u64, u64);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    ticket: Ticket,
    /// How long it will hold its slot, if that is known.
    service_time_us: Option<u64>,
}

/// Waiting requests that are as urgent as each other, by when they are due.
type SamePriority = BTreeMap<QueuePosition, QueueEntry>;

/// One class of work.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    /// The most urgent first; none of them is empty.
    by_priority: BTreeMap<Priority, SamePriority>,
    count: u32,
    arrivals: u64,
    /// More urgent requests let in since the last one that was not the most urgent waiting.
    higher_rank_streak: u32,
    /// Calls let in since the last request of a caller.
    nested_call_streak: u32,
    pub(super) in_use: u32,
    /// Time that a request holds its slot.
    pub(super) service_time: RunningMean,
    pub(super) last_request_us: Option<u64>,
}

impl ClassQueue {
    pub(super) fn len(&self) -> u32 {
        self.count
    }

    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// All that wait.
    pub(super) fn queued_work(&self) -> QueuedWork {
        sum_work(self.by_priority.values().flat_map(BTreeMap::values))
    }

    /// Whether a call has the next turn.
    pub(super) fn nested_call_is_next(&self) -> bool {
        self.next_priority() == Some(Priority::NestedCall)
    }

    /// Waiting requests that go before a new one at `key`.
    pub(super) fn ahead(&self, key: QueueKey) -> QueuedWork {
        let work_before_key = |(priority, same_priority): (&Priority, &SamePriority)| {
            let latest_due_us = match *priority == key.priority {
                true => key.due_us,
                false => u64::MAX,
            };
            let before = same_priority.range(..=(latest_due_us, u64::MAX));
            sum_work(before.map(|(_, entry)| entry))
        };
        let higher = self.by_priority.range(..=key.priority).map(work_before_key);
        let higher = higher.fold(QueuedWork::default(), QueuedWork::plus);
        let lower_priorities = (Bound::Excluded(key.priority), Bound::Unbounded);
        let lower_priorities = self.by_priority.range(lower_priorities);
        let lower =
            sum_work(lower_priorities.flat_map(|(_, same_priority)| same_priority.values()));
        let streak_max = match key.priority {
            Priority::NestedCall => NESTED_CALL_STREAK_MAX,
            Priority::CallerRequest { .. } => HIGHER_RANK_STREAK_MAX,
        };
        higher.plus(lower.limited_to(higher.count / streak_max))
    }

    /// Puts a request into its place; returns the number of its arrival.
    pub(super) fn push(
        &mut self,
        key: QueueKey,
        ticket: Ticket,
        service_time_us: Option<u64>,
    ) -> u64 {
        self.arrivals += 1;
        let same_priority = self.by_priority.entry(key.priority).or_default();
        same_priority.insert(
            (key.due_us, self.arrivals),
            QueueEntry {
                ticket,
                service_time_us,
            },
        );
        self.count += 1;
        self.arrivals
    }

    /// The request whose turn it is among those of this class.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let priority = self.next_priority()?;
        match priority {
            Priority::NestedCall => self.nested_call_streak += 1,
            Priority::CallerRequest { .. } => {
                self.nested_call_streak = 0;
                self.higher_rank_streak = match self.lowest_priority() == Some(priority) {
                    true => 0,
                    false => self.higher_rank_streak + 1,
                };
            }
        }
        let removed = self.by_priority.get_mut(&priority)?.pop_first();
        self.update_after_removal(priority);
        removed.map(|(_, entry)| entry.ticket)
    }

    /// Which of the waiting have the next turn.
    fn next_priority(&self) -> Option<Priority> {
        let caller_ranks = Priority::CallerRequest { rank: 0 }..;
        let first_caller = self.by_priority.range(caller_ranks).next();
        let nested_calls_wait = self.by_priority.contains_key(&Priority::NestedCall);
        match first_caller {
            None => nested_calls_wait.then_some(Priority::NestedCall),
            Some(_) if nested_calls_wait && self.nested_call_streak < NESTED_CALL_STREAK_MAX => {
                Some(Priority::NestedCall)
            }
            Some(_) if self.higher_rank_streak >= HIGHER_RANK_STREAK_MAX => self.lowest_priority(),
            Some((first, _)) => Some(*first),
        }
    }

    fn lowest_priority(&self) -> Option<Priority> {
        self.by_priority.keys().next_back().copied()
    }

    /// Of the least urgent the one that is due last.
    pub(super) fn pop_last(&mut self) -> Option<Ticket> {
        let last = self.lowest_priority()?;
        let removed = self.by_priority.get_mut(&last)?.pop_last();
        self.update_after_removal(last);
        removed.map(|(_, entry)| entry.ticket)
    }

    pub(super) fn remove(&mut self, key: QueueKey, arrival: u64) {
        if let Some(same_priority) = self.by_priority.get_mut(&key.priority) {
            same_priority.remove(&(key.due_us, arrival));
        }
        self.update_after_removal(key.priority);
    }

    pub(super) fn clear(&mut self) {
        self.by_priority.clear();
        self.count = 0;
    }

    /// Counts anew after one was taken.
    fn update_after_removal(&mut self, priority: Priority) {
        if self
            .by_priority
            .get(&priority)
            .is_some_and(BTreeMap::is_empty)
        {
            self.by_priority.remove(&priority);
        }
        let count = self.by_priority.values().map(BTreeMap::len).sum::<usize>();
        self.count = u32::try_from(count).unwrap_or(u32::MAX);
    }
}

fn sum_work<'a>(entries: impl Iterator<Item = &'a QueueEntry>) -> QueuedWork {
    entries.fold(QueuedWork::default(), |queued, entry| {
        queued.add(entry.service_time_us)
    })
}
