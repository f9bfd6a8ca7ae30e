//! Queue of one class of work, ordered by priority and then by due time.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::{Priority, Rank, Ticket};
use crate::decide::service_times::RunningMean;

/// Requests of higher ranks that get a slot in succession before a waiting one of the lowest rank
/// goes next, so that the lowest rank is not starved.
const HIGHER_RANK_STREAK_MAX: u32 = 7;

/// Nested calls that get a slot in succession before a waiting request of a caller goes next, so that
/// callers are not starved.
const NESTED_CALL_STREAK_MAX: u32 = 15;

/// Priority and due time of a request, by which its queue is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueKey {
    pub(super) priority: Priority,
    /// When the target latency ends; orders requests of the same priority.
    pub(super) due_us: u64,
}

/// A number of waiting requests and their total service time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct QueuedWork {
    pub(super) count: u32,
    /// Sum over the requests whose service time is known.
    known_service_time_us: u64,
    /// Number of requests whose service time is unknown.
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

    /// Returns the total service time, with `average_us` for each request of unknown service time.
    pub(super) fn total_service_time_us(self, average_us: u64) -> u64 {
        let unknown_us = average_us.saturating_mul(u64::from(self.unknown_count));
        self.known_service_time_us.saturating_add(unknown_us)
    }

    /// Returns the share of this work that `count` requests of average length make up, at most all
    /// of it.
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

/// Due time and arrival number. The arrival number orders requests that are due at the same time.
type QueuePosition = (u64, u64);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    ticket: Ticket,
    /// Expected time that the request holds its slot, if known.
    service_time_us: Option<u64>,
}

/// Waiting requests of the same priority, in the order in which they get slots.
type SamePriority = BTreeMap<QueuePosition, QueueEntry>;

/// Waiting requests of one class, and statistics of its running requests.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    /// Waiting requests by priority, the highest first. Empty entries are removed.
    by_priority: BTreeMap<Priority, SamePriority>,
    /// Number of waiting requests.
    count: u32,
    /// Number of requests that were added so far, which is the arrival number of the last one.
    arrivals: u64,
    /// Requests of callers that got a slot since the last one that had the lowest waiting priority.
    higher_rank_streak: u32,
    /// Nested calls that got a slot since the last request of a caller did.
    nested_call_streak: u32,
    /// Slots that requests of this class hold.
    pub(super) in_use: u32,
    /// Mean time that requests of this class hold a slot.
    pub(super) service_time: RunningMean,
    /// When the last request of this class arrived.
    pub(super) last_request_us: Option<u64>,
}

impl ClassQueue {
    pub(super) fn len(&self) -> u32 {
        self.count
    }

    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns all waiting work.
    pub(super) fn queued_work(&self) -> QueuedWork {
        sum_work(self.by_priority.values().flat_map(BTreeMap::values))
    }

    /// Whether [`Self::pop`] would return a nested call.
    pub(super) fn nested_call_is_next(&self) -> bool {
        self.next_priority() == Some(Priority::NestedCall)
    }

    /// Returns the waiting work that goes before a new request with `key`: all work of higher priority,
    /// the work of the same priority that is not due later, and the work of lower priority that goes
    /// first so that it is not starved.
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

    /// Adds a request and returns its arrival number, which [`Self::remove`] needs.
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

    /// Removes and returns the request that gets the next slot of this class.
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

    /// Returns the priority from which the next request is taken.
    fn next_priority(&self) -> Option<Priority> {
        let caller_ranks = Priority::CallerRequest {
            rank: Rank::HIGHEST,
        }..;
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

    /// Returns the waiting requests, by priority and then by due time.
    pub(super) fn in_order(&self) -> Vec<Ticket> {
        let entries = self.by_priority.values().flat_map(BTreeMap::values);
        entries.map(|entry| entry.ticket).collect()
    }

    /// Removes and returns the request that is due last among those of the lowest priority.
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

    /// Removes the entry of `priority` if no request is left in it, and updates the count.
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
