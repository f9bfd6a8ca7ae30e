//! What one neighbour still has to be told, and when it is next due.

use std::collections::BTreeSet;

use super::neighbours::Kind;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::decide::backoff::Backoff;

/// How long reports and summaries are gathered before they cause an exchange of their own. They
/// inform operators; half a second is no delay to a person, and a publication's 87 reports then
/// travel in a few messages instead of 87.
const GATHER_MS: u64 = 500;

/// Least time between two exchanges for the sake of statements. The first news of a quiet time goes
/// out at once; of a burst, as when a herd restarts, the rest is gathered, or each of hundreds of
/// statements would cause an exchange with each neighbour.
pub const NEWS_PAUSE_MS: u64 = 50;

/// After how long a neighbour may be asked for its whole view again. Views that differ for longer than
/// news needs to cross the mesh are rare; a whole view of 520 members is about 20 KB.
const ASK_ALL_AGAIN_MS: u64 = 5_000;

/// Views that differ are compared again after this, rather than with the next heartbeat.
const COMPARE_AGAIN_MS: u64 = 1_000;

/// Differences in a row until the whole view is asked for. One alone is usual while
/// news is on its way.
const MISMATCHES_MAX: u32 = 2;

/// Pauses before a neighbour that gave no answer is tried again. News must not turn a refused
/// connection into a hot loop; a process that restarts is back within a second or two.
const RETRY: Backoff = Backoff::new(250, 4_000);

/// The own side of the connection to one neighbour.
#[derive(Debug)]
pub struct Link {
    /// What the neighbour is for.
    pub kind: Kind,
    /// Statements not yet sent to it.
    pub members: BTreeSet<NodeId>,
    /// Reports not yet sent to it.
    pub reports: BTreeSet<NodeId>,
    /// Summaries not yet sent to it, by data centre.
    pub summaries: BTreeSet<String>,
    /// Version that it enforces or is about to, as it says.
    pub peer_version: Version,
    /// Newest version that it has heard of, as it says or was told.
    pub peer_knows: Version,
    /// The own version that it has confirmed to have heard.
    pub told: Version,
    /// Whether an exchange is under way.
    pub in_flight: bool,
    /// The own version that the exchange under way tells.
    pub telling: Version,
    /// Whether to ask it for its whole view.
    pub want_all: bool,
    interval_ms: u64,
    next_heartbeat_ms: u64,
    last_sent_ms: u64,
    mismatches: u32,
    asked_all_ms: Option<u64>,
    failures: u32,
    not_before_ms: u64,
}

/// What there is to announce.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// Own version, whose content is here.
    pub held: Version,
    /// Newest version heard of.
    pub head: Version,
}

impl Link {
    /// A link that is first due after `first_ms`, then every `interval_ms`.
    pub fn new(kind: Kind, now_ms: u64, first_ms: u64, interval_ms: u64) -> Self {
        Self {
            kind,
            members: BTreeSet::new(),
            reports: BTreeSet::new(),
            summaries: BTreeSet::new(),
            peer_version: Version::NONE,
            peer_knows: Version::NONE,
            told: Version::NONE,
            in_flight: false,
            telling: Version::NONE,
            want_all: false,
            interval_ms,
            next_heartbeat_ms: now_ms + first_ms,
            last_sent_ms: now_ms,
            mismatches: 0,
            asked_all_ms: None,
            failures: 0,
            not_before_ms: now_ms,
        }
    }

    /// Changes how often a heartbeat is due.
    pub fn set_interval(&mut self, interval_ms: u64) {
        self.interval_ms = interval_ms;
    }

    /// Whether an exchange is to be started now.
    pub fn is_due(&self, now_ms: u64, announcement: Announcement) -> bool {
        if !self.is_free(now_ms) {
            return false;
        }
        let heartbeat = now_ms >= self.next_heartbeat_ms;
        let may_tell = self.has_urgent_news(announcement)
            || (self.has_news(announcement) && !self.is_young(now_ms));
        match self.kind {
            // News that crosses at the gateway is seen here by equal hashes; a version is told here too,
            // as the gateway may be gone without anybody's having noticed.
            Kind::Standby => heartbeat || self.has_version(announcement),
            // Summaries wait for a heartbeat: the link is billed by volume.
            Kind::Gateway => heartbeat || may_tell,
            Kind::Ring | Kind::Bridge => {
                let gathered = now_ms.saturating_sub(self.last_sent_ms) >= GATHER_MS;
                let slow_news = !self.reports.is_empty() || !self.summaries.is_empty();
                heartbeat || may_tell || (gathered && slow_news)
            }
        }
    }

    /// Whether news waits here only because the last exchange is too young.
    pub fn is_deferred(&self, now_ms: u64, announcement: Announcement) -> bool {
        let waits = !self.in_flight && self.kind != Kind::Standby && self.is_young(now_ms);
        waits && self.has_news(announcement)
    }

    fn is_young(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_sent_ms) < NEWS_PAUSE_MS
    }

    /// Content that can be fetched here, or a comparison that is due.
    fn has_urgent_news(&self, announcement: Announcement) -> bool {
        self.want_all || self.has_version(announcement)
    }

    fn has_version(&self, announcement: Announcement) -> bool {
        let held = announcement.held;
        held > self.peer_version && held > self.told
    }

    fn has_news(&self, announcement: Announcement) -> bool {
        // Across the billed link only what can be fetched there is worth a message.
        let head = self.kind != Kind::Gateway && announcement.head > self.peer_knows;
        head || !self.members.is_empty()
    }

    /// Lets what is gathered go out with the next look.
    pub fn hurry(&mut self) {
        self.last_sent_ms = 0;
    }

    /// Whether an exchange could be started now.
    pub fn is_free(&self, now_ms: u64) -> bool {
        !self.in_flight && now_ms >= self.not_before_ms
    }

    /// Notes that an exchange starts.
    pub fn start(&mut self, now_ms: u64, version: Version) {
        self.in_flight = true;
        self.telling = version;
        self.last_sent_ms = now_ms;
        self.next_heartbeat_ms = now_ms + self.interval_ms;
        if std::mem::take(&mut self.want_all) {
            self.asked_all_ms = Some(now_ms);
        }
    }

    /// Notes that the exchange was answered.
    pub fn answered(&mut self) {
        self.in_flight = false;
        self.failures = 0;
    }

    /// Notes that the exchange was not answered.
    pub fn failed(&mut self, now_ms: u64) {
        self.in_flight = false;
        self.not_before_ms = now_ms + RETRY.delay_ms(self.failures);
        self.failures += 1;
    }

    /// Whether statements go along. At a standby only once views have been seen to differ.
    pub fn carries_members(&self) -> bool {
        self.kind != Kind::Standby || self.mismatches > 0
    }

    /// Notes whether views were equal after an exchange that brought news or not.
    pub fn compared(&mut self, now_ms: u64, equal: bool, brought_news: bool) {
        if equal {
            self.mismatches = 0;
            if self.kind == Kind::Standby {
                self.members.clear();
            }
            return;
        }
        if brought_news || !self.members.is_empty() && self.kind != Kind::Standby {
            return;
        }
        self.mismatches += 1;
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms + COMPARE_AGAIN_MS);
        let asked_lately = self
            .asked_all_ms
            .is_some_and(|asked| now_ms.saturating_sub(asked) < ASK_ALL_AGAIN_MS);
        // A bridge joins groups that may have started apart; there is one for each pair, so it need
        // not wait to see whether the difference passes.
        let max = match self.kind {
            Kind::Bridge | Kind::Gateway => 1,
            Kind::Ring | Kind::Standby => MISMATCHES_MAX,
        };
        if self.mismatches >= max && !asked_lately {
            self.want_all = true;
        }
    }

    /// Takes in what the neighbour says of itself: its version, and what it announces, unless it
    /// takes that for known here.
    pub fn heard(&mut self, version: Version, announces: Option<Version>) {
        let came_back_empty = version < self.peer_version;
        if came_back_empty {
            self.peer_knows = version;
            self.told = Version::NONE;
        }
        self.peer_version = version;
        let knows = announces.unwrap_or(Version::NONE).max(version);
        self.peer_knows = self.peer_knows.max(knows);
    }
}
