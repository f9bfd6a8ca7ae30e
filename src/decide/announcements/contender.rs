//! Announcements that contradict the one in effect, until a health check decides on them.

use super::{
    AnnouncementOutcome, Announcements, CONFIRMING_ANNOUNCEMENTS, Confirmation, LatestAnnouncement,
};
use crate::core::member::BackendState;
use crate::core::names::InstanceName;
use crate::core::status::Announcement;

/// How an announcement contradicts the one in effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contradiction {
    /// It is of another start, that would replace the one in effect.
    OtherStart,
    /// The order of announcements outdates it. It may be late, or the one in effect may be of another sender or have a wrong
    /// start time or sequence.
    Outdated,
}

/// The latest of the announcements that contradict the one in effect.
#[derive(Clone, Debug)]
pub(super) struct Contender {
    pub(super) latest: LatestAnnouncement,
    contradiction: Contradiction,
    /// Announcements of its start, each with a higher sequence, while the one in effect was not repeated.
    announcements: u32,
}

impl Contender {
    /// Whether a backend server that names itself `instance` decides on it.
    pub(super) fn is_answered_by(&self, instance: &InstanceName) -> bool {
        self.latest.start.instance == *instance && self.may_take_effect()
    }

    /// Whether it takes effect when its instance has confirmed that it accepts requests.
    pub(super) fn is_confirmed_by_health(&self) -> bool {
        self.latest.announcement.state == BackendState::Serving
    }

    fn may_take_effect(&self) -> bool {
        match self.contradiction {
            Contradiction::OtherStart => true,
            Contradiction::Outdated => self.announcements >= CONFIRMING_ANNOUNCEMENTS,
        }
    }

    /// Counts the announcements that go before `latest`, of the same start.
    fn after(
        previous: Option<Self>,
        latest: LatestAnnouncement,
        contradiction: Contradiction,
    ) -> Self {
        let same_start = previous.filter(|previous| previous.latest.start == latest.start);
        let announcements = match same_start {
            Some(previous) => {
                previous.announcements + u32::from(latest.sequence > previous.latest.sequence)
            }
            None => 1,
        };
        Self {
            latest,
            contradiction,
            announcements,
        }
    }
}

impl Announcements {
    /// Decides on an announcement that contradicts the one in effect, as far as that can be done without a health check.
    pub(super) fn contend(
        &mut self,
        latest: LatestAnnouncement,
        contradiction: Contradiction,
    ) -> AnnouncementOutcome {
        let contender = Contender::after(self.contender.take(), latest, contradiction);
        let is_continued = contender.announcements >= CONFIRMING_ANNOUNCEMENTS;
        match contradiction {
            Contradiction::Outdated if !is_continued => {
                self.contender = Some(contender);
                AnnouncementOutcome::Outdated
            }
            Contradiction::OtherStart if is_continued => {
                self.set_current(contender.latest);
                self.confirmation = Confirmation::Assumed;
                AnnouncementOutcome::Accepted
            }
            Contradiction::Outdated | Contradiction::OtherStart => {
                self.contender = Some(contender);
                AnnouncementOutcome::Unconfirmed
            }
        }
    }

    /// Decides on a contender after a health check that was answered by `instance`, which accepts no requests. Returns its
    /// announcement if it takes effect.
    pub(super) fn settle_contender(
        &mut self,
        contender: Contender,
        instance: Option<&InstanceName>,
    ) -> Option<Announcement> {
        let is_other_start = contender.contradiction == Contradiction::OtherStart;
        match instance {
            // Who is at the address is known, whatever the health check says about it.
            Some(instance) if is_other_start && contender.latest.start.instance == *instance => {
                let announcement = contender.latest.announcement.clone();
                self.set_current(contender.latest);
                self.confirmation = Confirmation::Given;
                Some(announcement)
            }
            None if is_other_start => {
                self.contender = Some(contender);
                None
            }
            Some(_) | None => None,
        }
    }
}
