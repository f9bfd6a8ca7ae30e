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
const DEPARTED_STARTS_MAX: usize = 16;

/// What becomes of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It holds from now on.
    Accepted,
    /// It may be from before this process: the backend server is to be asked before it holds.
    Unconfirmed,
    /// It says nothing new of the backend server that holds.
    Duplicate,
    /// A later announcement, or a later start, is known.
    Outdated,
}

/// Announcements of one start, each later than the one before, after which it is believed that it takes
/// work although it says otherwise when it is asked. One that leaves says so, or nothing any more, and of
/// what was held up on its way hardly ever so many come.
const CONFIRMING_ANNOUNCEMENTS: u32 = 3;

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BackendStart {
    instance: InstanceName,
    started_ms: u64,
}

#[derive(Clone, Debug)]
struct Current {
    start: BackendStart,
    sequence: u64,
    announcement: Announcement,
}

/// The announcements that a node has heard of its own backend server.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    current: Option<Current>,
    departed: VecDeque<BackendStart>,
    /// The first "ready" of this process needs an answer of the backend server itself.
    unconfirmed: bool,
    /// Announcements since, each later than the one before.
    later_announcements: u32,
}

impl Announcements {
    /// None yet, of backend servers that can be asked themselves whether they take work.
    ///
    /// A "ready" from before, held up on its way, may reach a process whose predecessor has acknowledged that the
    /// backend server left. So the first one is believed only once the backend server confirms it.
    pub fn requiring_confirmation() -> Self {
        Self {
            unconfirmed: true,
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
        self.unconfirmed = false;
        self.serving()
    }

    /// Takes in an announcement.
    ///
    /// One that is older than what is known is refused: it may be of a backend server that has left since, or of
    /// one that had the address before. Those that have left are remembered longer than an announcement is
    /// under way.
    pub fn apply(&mut self, announcement: &Announcement) -> AnnouncementOutcome {
        let Some(instance) = &announcement.instance else {
            // Without a name there is nothing to order by: the last word holds.
            self.current = None;
            return AnnouncementOutcome::Accepted;
        };
        let start = BackendStart {
            instance: instance.clone(),
            started_ms: announcement.started_ms.unwrap_or(0),
        };
        let sequence = announcement.sequence.unwrap_or(0);
        if announcement.state == BackendState::Gone {
            return self.apply_departure(start);
        }
        if self.departed.contains(&start) {
            return AnnouncementOutcome::Outdated;
        }
        let outcome = match &self.current {
            None => AnnouncementOutcome::Accepted,
            Some(current) => current.classify(&start, sequence, announcement),
        };
        if outcome == AnnouncementOutcome::Outdated {
            return outcome;
        }
        let previous = self.current.replace(Current {
            start,
            sequence,
            announcement: announcement.clone(),
        });
        match self.unconfirmed && announcement.state == BackendState::Serving {
            true => self.apply_unconfirmed(previous.as_ref(), sequence),
            false => outcome,
        }
    }

    /// What becomes of a "ready" that nobody has confirmed yet, and that came after `previous`.
    fn apply_unconfirmed(
        &mut self,
        previous: Option<&Current>,
        sequence: u64,
    ) -> AnnouncementOutcome {
        let current = self.current.as_ref();
        let same_start =
            previous.filter(|previous| current.is_some_and(|now| now.start == previous.start));
        self.later_announcements = match same_start {
            Some(previous) => self.later_announcements + u32::from(sequence > previous.sequence),
            None => 1,
        };
        self.unconfirmed = self.later_announcements < CONFIRMING_ANNOUNCEMENTS;
        match self.unconfirmed {
            true => AnnouncementOutcome::Unconfirmed,
            false => AnnouncementOutcome::Accepted,
        }
    }

    /// Whether nothing has been heard yet.
    pub fn is_empty(&self) -> bool {
        self.current.is_none() && self.departed.is_empty()
    }

    /// What the backend server said last, if it takes work.
    pub fn serving(&self) -> Option<&Announcement> {
        let current = self.current.as_ref().filter(|_| !self.unconfirmed);
        let announcement = current.map(|current| &current.announcement);
        announcement.filter(|announcement| announcement.state == BackendState::Serving)
    }

    fn apply_departure(&mut self, start: BackendStart) -> AnnouncementOutcome {
        let current = self.current.as_ref();
        // One that leaves need not say when it started.
        let matching = current.filter(|current| current.start.instance == start.instance);
        let departed_start = matching.map_or(start, |current| current.start.clone());
        let outcome = match (matching, current) {
            (Some(_), _) | (None, None) => AnnouncementOutcome::Accepted,
            (None, Some(_)) => AnnouncementOutcome::Outdated,
        };
        let start_unknown = departed_start.started_ms == 0;
        let is_same = |known: &BackendStart| {
            known.instance == departed_start.instance
                && (start_unknown || known.started_ms == departed_start.started_ms)
        };
        if matching.is_none() && self.departed.iter().any(is_same) {
            return AnnouncementOutcome::Duplicate;
        }
        if outcome == AnnouncementOutcome::Accepted {
            self.current = None;
        }
        self.departed.push_back(departed_start);
        if self.departed.len() > DEPARTED_STARTS_MAX {
            self.departed.pop_front();
        }
        outcome
    }
}

impl Current {
    fn classify(
        &self,
        start: &BackendStart,
        sequence: u64,
        announcement: &Announcement,
    ) -> AnnouncementOutcome {
        if start.started_ms < self.start.started_ms {
            return AnnouncementOutcome::Outdated;
        }
        if *start != self.start {
            return AnnouncementOutcome::Accepted;
        }
        if sequence < self.sequence {
            return AnnouncementOutcome::Outdated;
        }
        let without_sequence_change = Announcement {
            sequence: self.announcement.sequence,
            cold_ms: self.announcement.cold_ms,
            ..announcement.clone()
        };
        if without_sequence_change == self.announcement {
            AnnouncementOutcome::Duplicate
        } else {
            AnnouncementOutcome::Accepted
        }
    }
}
