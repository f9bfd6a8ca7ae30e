//! Admission under a rate limit that the backend server has named.

use super::{Admission, RefusalCause, SlotRequest, other_class};
use crate::core::backend_statement::RequestRate;
use crate::core::configuration::Class;
use crate::decide::rate_limit::RatePacer;

impl<W> Admission<W> {
    /// Sets or removes the rate limit. Waiting requests that it leaves no time are refused.
    pub fn set_rate_limit(&mut self, now_us: u64, limit: Option<RequestRate>) {
        match (&mut self.pacer, limit) {
            (Some(pacer), Some(rate)) => pacer.set_rate(now_us, rate),
            (pacer, limit) => *pacer = limit.map(|rate| RatePacer::new(now_us, rate)),
        }
        self.refuse_late(now_us);
    }

    /// Counts a request towards the rate limit that is sent to the backend server without a slot.
    pub fn record_unpaced(&mut self, now_us: u64) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_sent(now_us);
        }
    }

    /// When [`Self::end_next_wait`] is to be called next because the rate limit permits a request; `None` if no
    /// request waits for that.
    pub fn next_permit_us(&self, now_us: u64) -> Option<u64> {
        let pacer = self.pacer.as_ref()?;
        let waits = |class| !self.queue(class).is_empty() && self.has_slot_for(now_us, class);
        let waits = waits(Class::Interactive) || waits(Class::Bulk);
        waits.then(|| pacer.next_permit_us())
    }

    /// Refuses the waiting requests whose deadline passes before the rate limit permits them, even if nothing else
    /// overtakes them.
    pub fn refuse_late(&mut self, now_us: u64) {
        let Some(pacer) = self.pacer else {
            return;
        };
        for class in [Class::Interactive, Class::Bulk] {
            let mut ahead = 0;
            for ticket in self.queue(class).in_order() {
                let request = self.waiting[ticket].request;
                let wait_us = pacer.wait_us(now_us, ahead);
                let response_us = now_us + wait_us + self.service_time_us(&request);
                if response_us <= request.deadline_us {
                    ahead += 1;
                    continue;
                }
                let refusal = self.refusal(now_us, RefusalCause::RateLimited, &request);
                let arrival = self.waiting[ticket].arrival;
                let key = self.queue_key(&request);
                self.queue_mut(class).remove(key, arrival);
                let waiting_request = self.waiting.remove(ticket);
                self.refused
                    .extend(waiting_request.map(|waiting| (waiting.wake, refusal)));
            }
        }
    }

    /// Whether the rate limit permits a request now.
    pub(super) fn rate_permits(&self, now_us: u64) -> bool {
        self.pacer.is_none_or(|pacer| pacer.permits(now_us))
    }

    /// Whether a request of the other class waits only for the rate limit. It has its turn in the order of the queues.
    pub(super) fn other_waits_for_rate(&self, now_us: u64, class: Class) -> bool {
        let other = other_class(class);
        self.pacer.is_some() && !self.queue(other).is_empty() && self.has_slot_for(now_us, other)
    }

    /// Estimates how long a new request would wait for the rate limit: 0 without one.
    pub(super) fn rate_wait_us(&self, now_us: u64, request: &SlotRequest) -> u64 {
        let (own, other) = self.ahead(request);
        self.pacer
            .map_or(0, |pacer| pacer.wait_us(now_us, own.count + other.count))
    }
}
