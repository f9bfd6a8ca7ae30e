//! Orders the announcements that a node receives from its own backend server.
//!
//! An announcement may arrive late: it was delayed in the network, or its sender has crashed and
//! another backend server has its address now. Announcements with an instance name are ordered by
//! the start time of the instance, and then by sequence number; the newest one is in effect.
//!
//! Start times and sequence numbers are the sender's word, and an announcement may have another sender than the backend
//! server. So where the backend server can be asked, a health check decides on announcements that contradict the one in effect
//! ([`contender`]): those of another start, and those of a start that goes on to announce itself though it is outdated.

use std::collections::VecDeque;

use self::contender::{Contender, Contradiction};
use crate::core::member::BackendState;
use crate::core::names::InstanceName;
use crate::core::status::{Announcement, BackendStart};

mod contender;

/// Number of departed instances that are retained: enough for several that follow each other at one
/// address, as long as their delayed announcements may still arrive.
const DEPARTED_STARTS_MAX: usize = 16;

/// How far ahead of the own time of day a backend server may say it was started. No two clocks differ by more.
const START_AHEAD_MAX_MS: u64 = 3_600_000;

/// Whether an announcement can be one of a backend server that runs at `unix_ms`. One that says it was started long after
/// that would outdate all others for good.
pub fn is_plausible(announcement: &Announcement, unix_ms: u64) -> bool {
    let started_ms = announcement.started_ms.unwrap_or(0);
    started_ms <= unix_ms.saturating_add(START_AHEAD_MAX_MS)
}

/// What the node does with an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announcement is now in effect.
    Accepted,
    /// The announcement may date from before this process started, or be of another sender. The backend server must
    /// confirm it first.
    Unconfirmed,
    /// The announcement repeats the one in effect.
    Duplicate,
    /// A later announcement or a later instance is known.
    Outdated,
}

/// Number of announcements of one start, each with a higher sequence than the one before, that
/// replace the confirmation by the backend server, as long as no health check refutes it. A backend server without
/// capacity answers no health check.
const CONFIRMING_ANNOUNCEMENTS: u32 = 3;

/// The latest announcement of the latest start, with its order.
#[derive(Clone, Debug)]
struct LatestAnnouncement {
    start: BackendStart,
    sequence: u64,
    announcement: Announcement,
}

/// Announcements that a node has received from its own backend server.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    current: Option<LatestAnnouncement>,
    /// An announcement that contradicts the current one.
    contender: Option<Contender>,
    /// Starts of backend servers that have left, the latest last.
    departed: VecDeque<BackendStart>,
    /// The latest start that has said in a response that it leaves.
    leaving: Option<BackendStart>,
    confirmation: Confirmation,
    /// Whether backend servers can be asked whether they accept requests.
    can_ask: bool,
}

/// Whether ready announcements are in effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Confirmation {
    /// They are: the backend server has confirmed one, or none needs to be confirmed.
    #[default]
    Given,
    /// They are: several have arrived, and no health check has given a result.
    Assumed,
    /// The backend server must confirm one first.
    Pending {
        /// Ready announcements of the current start, each with a higher sequence.
        later_announcements: u32,
        proof: NeededProof,
    },
    /// A health check has shown that the current start accepts no requests.
    Refuted,
}

/// What the response to a health check has to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NeededProof {
    /// That the backend server accepts requests: it may have left before this process started.
    Serving,
    /// That it is the announced instance.
    Identity,
}

impl Confirmation {
    fn is_missing(self) -> bool {
        matches!(self, Self::Pending { .. } | Self::Refuted)
    }

    /// What holds for another start than before.
    fn of_next_start(self) -> Self {
        match self {
            Self::Given | Self::Assumed => Self::Pending {
                later_announcements: 0,
                proof: NeededProof::Identity,
            },
            Self::Pending { .. } | Self::Refuted => self,
        }
    }
}

impl Announcements {
    /// Returns an empty state in which the ready announcements of each start need confirmation. It is for
    /// backend servers that can be asked whether they accept requests.
    ///
    /// A delayed ready announcement may reach this process after the process before it has
    /// acknowledged that the backend server left.
    pub fn requiring_confirmation() -> Self {
        Self {
            confirmation: Confirmation::Pending {
                later_announcements: 0,
                proof: NeededProof::Serving,
            },
            can_ask: true,
            ..Self::default()
        }
    }

    /// Records that `instance` has confirmed that it accepts requests. Returns its announcement if
    /// the latest one is of that instance and announces that it is ready.
    pub fn confirm(&mut self, instance: &InstanceName) -> Option<&Announcement> {
        let contender = self.contender.take_if(|c| c.is_answered_by(instance));
        if let Some(contender) = contender.filter(Contender::is_confirmed_by_health) {
            self.set_current(contender.latest);
        }
        let current = self.current.as_ref()?;
        if current.start.instance != *instance {
            return None;
        }
        self.contender = None;
        self.confirmation = Confirmation::Given;
        self.serving()
    }

    /// Makes an announcement the current one, against the order.
    fn set_current(&mut self, latest: LatestAnnouncement) {
        self.departed
            .retain(|departed| !departed.ends(&latest.start));
        self.current = Some(latest);
    }

    /// Records that a health check of `start` has shown that `instance`, if the response names it, accepts no requests.
    /// Returns the announcement that takes effect now: that of a new start, if the response is its, or the current one as
    /// one that it is draining, if a further health check must confirm it.
    pub fn refute(
        &mut self,
        start: &BackendStart,
        instance: Option<&InstanceName>,
    ) -> Option<Announcement> {
        if let Some(contender) = self.contender.take_if(|c| c.latest.start == *start) {
            return self.settle_contender(contender, instance);
        }
        let current = self.current.as_ref()?;
        if current.start != *start || self.confirmation == Confirmation::Given {
            return None;
        }
        let needs_identity = matches!(
            self.confirmation,
            Confirmation::Pending {
                proof: NeededProof::Identity,
                ..
            }
        );
        if needs_identity && instance == Some(&current.start.instance) {
            self.confirmation = Confirmation::Given;
            return self.serving().cloned();
        }
        let serving = self.serving().cloned();
        self.confirmation = Confirmation::Refuted;
        serving.map(|announcement| Announcement {
            state: BackendState::Draining,
            ..announcement
        })
    }

    /// Applies an announcement, unless a newer one is known.
    ///
    /// An older announcement may be of a backend server that has left, or of one that had the address
    /// before. Departed instances are retained for longer than an announcement can be delayed.
    pub fn apply(&mut self, announcement: &Announcement) -> AnnouncementOutcome {
        let Some(start) = announcement.start() else {
            // Announcements without an instance name cannot be ordered: the last one is in effect.
            self.current = None;
            return AnnouncementOutcome::Accepted;
        };
        let sequence = announcement.sequence.unwrap_or(0);
        if announcement.state == BackendState::Gone {
            return self.apply_departure(start);
        }
        let is_serving = announcement.state == BackendState::Serving;
        let is_leaving = self.leaving.as_ref() == Some(&start);
        if is_serving && is_leaving {
            return AnnouncementOutcome::Outdated;
        }
        let outcome = match &self.current {
            _ if self.has_left(&start) => AnnouncementOutcome::Outdated,
            None => AnnouncementOutcome::Accepted,
            Some(current) => current.classify(&start, sequence, announcement),
        };
        let is_new_start = self.current.as_ref().is_none_or(|c| c.start != start);
        let latest = LatestAnnouncement {
            start,
            sequence,
            announcement: announcement.clone(),
        };
        if self.can_ask && outcome == AnnouncementOutcome::Outdated {
            return self.contend(latest, Contradiction::Outdated);
        }
        let is_in_effect = self.current.is_some() && !self.confirmation.is_missing();
        if self.can_ask && is_new_start && is_in_effect {
            return self.contend(latest, Contradiction::OtherStart);
        }
        if outcome == AnnouncementOutcome::Outdated {
            return outcome;
        }
        if is_new_start && self.can_ask {
            self.confirmation = self.confirmation.of_next_start();
        }
        let previous = self.current.replace(latest);
        if previous.as_ref().is_none_or(|p| p.sequence < sequence) {
            self.contender = None;
        }
        match self.confirmation.is_missing() && is_serving {
            true => self.apply_unconfirmed(previous.as_ref(), sequence),
            false => outcome,
        }
    }

    /// Decides on an unconfirmed ready announcement that replaced `previous`.
    fn apply_unconfirmed(
        &mut self,
        previous: Option<&LatestAnnouncement>,
        sequence: u64,
    ) -> AnnouncementOutcome {
        let current = self.current.as_ref();
        let same_start =
            previous.filter(|previous| current.is_some_and(|now| now.start == previous.start));
        let (later_announcements, proof) = match (same_start, self.confirmation) {
            (Some(_), Confirmation::Refuted) => return AnnouncementOutcome::Unconfirmed,
            (
                Some(previous),
                Confirmation::Pending {
                    later_announcements,
                    proof,
                },
            ) => {
                let is_later = sequence > previous.sequence;
                (later_announcements + u32::from(is_later), proof)
            }
            (None, Confirmation::Pending { proof, .. }) => (1, proof),
            _ => (1, NeededProof::Serving),
        };
        if later_announcements >= CONFIRMING_ANNOUNCEMENTS {
            self.confirmation = Confirmation::Assumed;
            return AnnouncementOutcome::Accepted;
        }
        self.confirmation = Confirmation::Pending {
            later_announcements,
            proof,
        };
        AnnouncementOutcome::Unconfirmed
    }

    /// Records that a backend server has said in a response that it leaves, which it never takes back. Returns its
    /// latest announcement as one that it is draining, unless it has announced that itself.
    pub fn record_leaving(&mut self, start: &BackendStart) -> Option<Announcement> {
        self.leaving = Some(start.clone());
        let current = self.current.as_mut()?;
        let announcement = &mut current.announcement;
        if current.start != *start || announcement.state != BackendState::Serving {
            return None;
        }
        announcement.state = BackendState::Draining;
        Some(announcement.clone())
    }

    /// Whether an announcement is the latest one in the order, in effect or not.
    pub fn is_latest(&self, announcement: &Announcement) -> bool {
        let current = self.current.as_ref();
        let sequence = announcement.sequence.unwrap_or(0);
        current.is_some_and(|current| {
            current.sequence == sequence && Some(&current.start) == announcement.start().as_ref()
        })
    }

    /// Whether no instance is known, neither current nor departed.
    pub fn is_empty(&self) -> bool {
        self.current.is_none() && self.departed.is_empty()
    }

    /// Returns the announcement in effect if the backend server accepts requests.
    pub fn serving(&self) -> Option<&Announcement> {
        let current = self.current.as_ref();
        let current = current.filter(|_| !self.confirmation.is_missing());
        let announcement = current.map(|current| &current.announcement);
        announcement.filter(|announcement| announcement.state == BackendState::Serving)
    }

    /// Whether a start has left, or is an earlier one under the name of one that has.
    fn has_left(&self, start: &BackendStart) -> bool {
        self.departed.iter().any(|departed| departed.ends(start))
    }

    fn apply_departure(&mut self, start: BackendStart) -> AnnouncementOutcome {
        let current = self.current.as_ref();
        // A departure announcement may lack the start time. That of an earlier start under the same name is late.
        let matching = current.filter(|current| {
            let is_later = start.started_ms >= current.start.started_ms;
            current.start.instance == start.instance && (start.started_ms == 0 || is_later)
        });
        let departed_start = match matching {
            Some(current) if start.started_ms == 0 => current.start.clone(),
            _ => start,
        };
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

impl LatestAnnouncement {
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
        // The sequence and the remaining warm-up time change with each repetition.
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
