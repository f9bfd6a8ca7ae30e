//! Which announcement of a backend server holds at its own node.
//!
//! Announcements may come late: delayed on the way, or from a backend server that has crashed since
//! and whose address another one has. Those that carry a name are ordered here; the newest start
//! holds, and of one start the highest sequence.

use std::collections::VecDeque;

use crate::core::member::BackendState;
use crate::core::names::InstanceName;
use crate::core::status::Announcement;

/// Instances that have left and are remembered: a few that follow each other at one address, for as
/// long as their late announcements may be under way.
const LEFT_REMEMBERED: usize = 16;

/// What becomes of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It holds from now on.
    Taken,
    /// It says nothing new of the backend server that holds.
    Repeated,
    /// A later announcement, or a later start, is known.
    Outdated,
}

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Start {
    instance: InstanceName,
    started_ms: u64,
}

#[derive(Clone, Debug)]
struct Current {
    start: Start,
    sequence: u64,
    announcement: Announcement,
}

/// The announcements that a node has heard of its own backend server.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    current: Option<Current>,
    left: VecDeque<Start>,
}

impl Announcements {
    /// Takes in an announcement.
    ///
    /// Failure guarded against: "ready" of a backend server that has left since, or of one that had
    /// the address before, opens the gate to something that is draining or another service's. It
    /// shows as requests at a backend server after it was told that none would come. The guard
    /// holds as only the backend server itself raises its sequence, and one that has left is
    /// remembered longer than an announcement is under way.
    pub fn hear(&mut self, announcement: &Announcement) -> Heard {
        let Some(instance) = &announcement.instance else {
            // Without a name there is nothing to order by: the last word holds.
            self.current = None;
            return Heard::Taken;
        };
        let start = Start {
            instance: instance.clone(),
            started_ms: announcement.started_ms.unwrap_or(0),
        };
        let sequence = announcement.sequence.unwrap_or(0);
        if announcement.state == BackendState::Gone {
            return self.leave(start);
        }
        if self.left.contains(&start) {
            return Heard::Outdated;
        }
        let heard = match &self.current {
            None => Heard::Taken,
            Some(current) => current.compare(&start, sequence, announcement),
        };
        if heard != Heard::Outdated {
            self.current = Some(Current {
                start,
                sequence,
                announcement: announcement.clone(),
            });
        }
        heard
    }

    /// Whether nothing has been heard yet.
    pub fn is_silent(&self) -> bool {
        self.current.is_none() && self.left.is_empty()
    }

    /// What the backend server said last, if it takes work.
    pub fn serving(&self) -> Option<&Announcement> {
        let announcement = self.current.as_ref().map(|current| &current.announcement);
        announcement.filter(|announcement| announcement.state == BackendState::Serving)
    }

    fn leave(&mut self, start: Start) -> Heard {
        let current = self.current.as_ref();
        // One that leaves need not say when it started.
        let holds = current.filter(|current| current.start.instance == start.instance);
        let left = holds.map_or(start, |current| current.start.clone());
        let heard = match (holds, current) {
            (Some(_), _) | (None, None) => Heard::Taken,
            (None, Some(_)) => Heard::Outdated,
        };
        let unknown = left.started_ms == 0;
        let is_same = |known: &Start| {
            known.instance == left.instance && (unknown || known.started_ms == left.started_ms)
        };
        if holds.is_none() && self.left.iter().any(is_same) {
            return Heard::Repeated;
        }
        if heard == Heard::Taken {
            self.current = None;
        }
        self.left.push_back(left);
        if self.left.len() > LEFT_REMEMBERED {
            self.left.pop_front();
        }
        heard
    }
}

impl Current {
    fn compare(&self, start: &Start, sequence: u64, announcement: &Announcement) -> Heard {
        if start.started_ms < self.start.started_ms {
            return Heard::Outdated;
        }
        if *start != self.start {
            return Heard::Taken;
        }
        if sequence < self.sequence {
            return Heard::Outdated;
        }
        let same = Announcement {
            sequence: self.announcement.sequence,
            cold_ms: self.announcement.cold_ms,
            ..announcement.clone()
        };
        if same == self.announcement {
            Heard::Repeated
        } else {
            Heard::Taken
        }
    }
}
