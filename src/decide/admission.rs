//! Whether a backend server's own node lets a request in.
//!
//! The node is the only gate to its backend server, so what is counted here is exact.

/// Counts the slots of one backend server.
#[derive(Debug, Default)]
pub struct Admission {
    slots: u32,
    in_use: u32,
}

/// What became of a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It holds a slot; give it back with [`Admission::release`].
    Slot,
    /// No slot is free.
    Full,
}

impl Admission {
    /// Sets the number of slots; requests already in keep theirs.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Load made for: more requests than slots. Harm prevented: the backend server overcommits and
    /// every request becomes slow. Reason for the limit: the team says how many it runs at once.
    pub fn admit(&mut self) -> Admitted {
        if self.in_use >= self.slots {
            return Admitted::Full;
        }
        self.in_use += 1;
        Admitted::Slot
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Slots in all.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}
