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
    /// It may be from before this process: the backend server is to be asked before it holds.
    Unconfirmed,
    /// It says nothing new of the backend server that holds.
    Repeated,
    /// A later announcement, or a later start, is known.
    Outdated,
}

/// Announcements of one start, each later than the one before, after which it is believed that it takes
/// work although it says otherwise when it is asked. One that leaves says so, or nothing any more, and of
/// what was held up on its way hardly ever so many come.
const LATER_ENOUGH: u32 = 3;

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
    /// The first "ready" of this process needs an answer of the backend server itself.
    doubtful: bool,
    /// Announcements since, each later than the one before.
    later: u32,
}

impl Announcements {
    /// None yet, of backend servers that can be asked themselves whether they take work.
    ///
    /// A "ready" from before, held up on its way, may reach a process whose predecessor has acknowledged that the
    /// backend server left. So the first one is believed only once the backend server confirms it.
    pub fn doubtful() -> Self {
        Self {
            doubtful: true,
            ..Self::default()
        }
    }

    /// The backend server said itself that it takes work; what it has announced, if that was said by
    /// the same one.
    pub fn confirm(&mut self, instance: &InstanceName) -> Option<&Announcement> {
        let current = self.current.as_ref()?;
        if current.start.instance != *instance {
            return None;
        }
        self.doubtful = false;
        self.serving()
    }

    /// Takes in an announcement.
    ///
    /// One that is older than what is known is refused: it may be of a backend server that has left since, or of
    /// one that had the address before. Those that have left are remembered longer than an announcement is
    /// under way.
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
        if heard == Heard::Outdated {
            return heard;
        }
        let before = self.current.replace(Current {
            start,
            sequence,
            announcement: announcement.clone(),
        });
        match self.doubtful && announcement.state == BackendState::Serving {
            true => self.doubt(before.as_ref(), sequence),
            false => heard,
        }
    }

    /// What becomes of a "ready" that nobody has confirmed yet, and that came after `before`.
    fn doubt(&mut self, before: Option<&Current>, sequence: u64) -> Heard {
        let current = self.current.as_ref();
        let same = before.filter(|before| current.is_some_and(|now| now.start == before.start));
        self.later = match same {
            Some(before) => self.later + u32::from(sequence > before.sequence),
            None => 1,
        };
        self.doubtful = self.later < LATER_ENOUGH;
        match self.doubtful {
            true => Heard::Unconfirmed,
            false => Heard::Taken,
        }
    }

    /// Whether nothing has been heard yet.
    pub fn is_silent(&self) -> bool {
        self.current.is_none() && self.left.is_empty()
    }

    /// What the backend server said last, if it takes work.
    pub fn serving(&self) -> Option<&Announcement> {
        let current = self.current.as_ref().filter(|_| !self.doubtful);
        let announcement = current.map(|current| &current.announcement);
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
