//! Counts events within a sliding span.

/// Slots that the span is divided into.
const SLOTS: usize = 20;

/// Number of events within a sliding span, rounded up by up to one slot.
#[derive(Clone, Debug)]
pub(super) struct WindowCount {
    slot_ms: u64,
    /// One more than the span needs, because the newest one has just begun.
    counts: [u32; SLOTS + 1],
    /// Number of the newest slot since time 0.
    newest_slot: u64,
}

impl WindowCount {
    pub(super) fn new(window_ms: u64) -> Self {
        Self {
            slot_ms: (window_ms / SLOTS as u64).max(1),
            counts: [0; SLOTS + 1],
            newest_slot: 0,
        }
    }

    pub(super) fn add(&mut self, now_ms: u64) {
        self.advance(now_ms);
        let index = self.index(self.newest_slot);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Takes back an event that was added at `at_ms`, if it is still within the span.
    pub(super) fn remove(&mut self, now_ms: u64, at_ms: u64) {
        self.advance(now_ms);
        let slot = at_ms / self.slot_ms;
        if slot + SLOTS as u64 >= self.newest_slot {
            let index = self.index(slot);
            self.counts[index] = self.counts[index].saturating_sub(1);
        }
    }

    pub(super) fn total(&mut self, now_ms: u64) -> u32 {
        self.advance(now_ms);
        self.counts.iter().sum()
    }

    fn advance(&mut self, now_ms: u64) {
        let slot = now_ms / self.slot_ms;
        let passed = slot.saturating_sub(self.newest_slot);
        if passed > SLOTS as u64 {
            self.counts = [0; SLOTS + 1];
        } else {
            for skipped in 1..=passed {
                let index = self.index(self.newest_slot + skipped);
                self.counts[index] = 0;
            }
        }
        self.newest_slot = self.newest_slot.max(slot);
    }

    fn index(&self, slot: u64) -> usize {
        (slot % self.counts.len() as u64) as usize
    }
}
