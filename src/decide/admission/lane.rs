//! One class of work at a gate: what of it runs, and what waits in the order of its ranks.

use std::collections::{BTreeMap, VecDeque};

use super::Ticket;
use crate::decide::held::Mean;

/// Requests of more urgent ranks let in before a waiting one of a lower rank has its turn. Load made
/// for: urgent requests that come faster than the slots turn over. Harm prevented: with strict ranks
/// the others are never served, and their callers come again. Reason for the limit: one turn in
/// eight keeps them alive and costs the urgent ones little.
const URGENT_STREAK: u32 = 7;

/// One class of work.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Waiting requests by rank, the most urgent first; none of the queues is empty.
    ranks: BTreeMap<u8, VecDeque<Ticket>>,
    waiting: u32,
    /// More urgent requests let in since the last one that was not the most urgent waiting.
    streak: u32,
    pub(super) in_use: u32,
    /// Time that a request holds its slot.
    pub(super) held: Mean,
    pub(super) last_asked_us: Option<u64>,
}

impl Lane {
    pub(super) fn waiting(&self) -> u32 {
        self.waiting
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Waiting requests that go before a new one of `rank`.
    pub(super) fn ahead(&self, rank: u8) -> u32 {
        let urgent = self.ranks.range(..=rank).map(|(_, queue)| queue.len());
        let urgent = u32::try_from(urgent.sum::<usize>()).unwrap_or(u32::MAX);
        let others = self.waiting - urgent;
        urgent + others.min(urgent / URGENT_STREAK)
    }

    pub(super) fn push(&mut self, rank: u8, ticket: Ticket) {
        self.ranks.entry(rank).or_default().push_back(ticket);
        self.waiting += 1;
    }

    /// The request whose turn it is among those of this class.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let mut ranks = self.ranks.keys();
        let first = *ranks.next()?;
        let last = *ranks.next_back().unwrap_or(&first);
        let turn = match self.streak >= URGENT_STREAK {
            true => last,
            false => first,
        };
        self.streak = match turn == last {
            true => 0,
            false => self.streak + 1,
        };
        let queue = self.ranks.get_mut(&turn)?;
        let ticket = queue.pop_front();
        self.forget(turn);
        ticket
    }

    /// The newest of the least urgent, which has waited least.
    pub(super) fn pop_newest(&mut self) -> Option<Ticket> {
        let last = *self.ranks.keys().next_back()?;
        let ticket = self.ranks.get_mut(&last)?.pop_back();
        self.forget(last);
        ticket
    }

    pub(super) fn remove(&mut self, rank: u8, ticket: Ticket) {
        if let Some(queue) = self.ranks.get_mut(&rank) {
            queue.retain(|queued| *queued != ticket);
        }
        self.forget(rank);
    }

    pub(super) fn clear(&mut self) {
        self.ranks.clear();
        self.waiting = 0;
    }

    /// Counts anew after one was taken from a rank's queue.
    fn forget(&mut self, rank: u8) {
        if self.ranks.get(&rank).is_some_and(VecDeque::is_empty) {
            self.ranks.remove(&rank);
        }
        let waiting = self.ranks.values().map(VecDeque::len).sum::<usize>();
        self.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
    }
}
