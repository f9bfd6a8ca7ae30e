//! What one neighbour still has to be told, and when it is next due.

use std::collections::BTreeSet;

use super::neighbours::NeighbourKind;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::decide::pacing::Backoff;

/// How long reports and summaries are gathered before they cause an exchange of their own. They
/// inform operators; half a second is no delay to a person, and a publication's 87 reports then
/// travel in a few messages instead of 87.
const BATCH_MS: u64 = 500;

/// Least time between two exchanges for the sake of statements. The first news of a quiet time goes
/// out at once; of a burst, as when a herd restarts, the rest is gathered, or each of hundreds of
/// statements would cause an exchange with each neighbour.
pub const MIN_UPDATE_INTERVAL_MS: u64 = 50;

/// After how long a neighbour may be asked for its whole view again. Views that differ for longer than
/// news needs to cross the mesh are rare; a whole view of 520 members is about 20 KB.
const FULL_VIEW_REQUEST_INTERVAL_MS: u64 = 5_000;

/// Views that differ are compared again after this, rather than with the next heartbeat.
const RECOMPARE_DELAY_MS: u64 = 1_000;

/// Differences in a row until the whole view is asked for. One alone is usual while
/// news is on its way.
const MISMATCHES_MAX: u32 = 2;

/// Pauses before a neighbour that gave no answer is tried again. News must not turn a refused
/// connection into a hot loop; a process that restarts is back within a second or two.
const RETRY_BACKOFF: Backoff = Backoff::new(250, 4_000);

/// The own side of the connection to one neighbour.
#[derive(Debug)]
pub struct Link {
    /// What the neighbour is for.
    pub kind: NeighbourKind,
    /// Statements not yet sent to it.
    pub pending_members: BTreeSet<NodeId>,
    /// Reports not yet sent to it.
    pub pending_reports: BTreeSet<NodeId>,
    /// Summaries not yet sent to it, by data centre.
    pub pending_summaries: BTreeSet<String>,
    /// Version that it enforces or is about to, as it says.
    pub peer_version: Version,
    /// Newest version that it has heard of, as it says or was told.
    pub peer_head: Version,
    /// The own version that it has confirmed to have heard.
    pub acked_version: Version,
    /// Whether an exchange is under way.
    pub in_flight: bool,
    /// The own version that the exchange under way tells.
    pub sending_version: Version,
    /// Whether to ask it for its whole view.
    pub want_all: bool,
    interval_ms: u64,
    next_heartbeat_ms: u64,
    last_sent_ms: u64,
    mismatches: u32,
    full_view_requested_ms: Option<u64>,
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
    /// A link that is first due after `first_delay_ms`, then every `interval_ms`.
    pub fn new(kind: NeighbourKind, now_ms: u64, first_delay_ms: u64, interval_ms: u64) -> Self {
        Self {
            kind,
            pending_members: BTreeSet::new(),
            pending_reports: BTreeSet::new(),
            pending_summaries: BTreeSet::new(),
            peer_version: Version::NONE,
            peer_head: Version::NONE,
            acked_version: Version::NONE,
            in_flight: false,
            sending_version: Version::NONE,
            want_all: false,
            interval_ms,
            next_heartbeat_ms: now_ms + first_delay_ms,
            last_sent_ms: now_ms,
            mismatches: 0,
            full_view_requested_ms: None,
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
        if !self.can_start(now_ms) {
            return false;
        }
        let heartbeat_due = now_ms >= self.next_heartbeat_ms;
        let updates_due = self.has_urgent_updates(announcement)
            || (self.has_updates(announcement) && !self.sent_recently(now_ms));
        match self.kind {
            // News that crosses at the gateway is seen here by equal hashes; a version is told here too,
            // as the gateway may be gone without anybody's having noticed.
            NeighbourKind::Standby => heartbeat_due || self.has_new_version(announcement),
            // Summaries wait for a heartbeat: the link is billed by volume.
            NeighbourKind::Gateway => heartbeat_due || updates_due,
            NeighbourKind::Ring | NeighbourKind::Bridge => {
                let batch_due = now_ms.saturating_sub(self.last_sent_ms) >= BATCH_MS;
                let has_batched =
                    !self.pending_reports.is_empty() || !self.pending_summaries.is_empty();
                heartbeat_due || updates_due || (batch_due && has_batched)
            }
        }
    }

    /// Whether news waits here only because the last exchange is too young.
    pub fn is_deferred(&self, now_ms: u64, announcement: Announcement) -> bool {
        let postponed =
            !self.in_flight && self.kind != NeighbourKind::Standby && self.sent_recently(now_ms);
        postponed && self.has_updates(announcement)
    }

    fn sent_recently(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_sent_ms) < MIN_UPDATE_INTERVAL_MS
    }

    /// Content that can be fetched here, or a comparison that is due.
    fn has_urgent_updates(&self, announcement: Announcement) -> bool {
        self.want_all || self.has_new_version(announcement)
    }

    fn has_new_version(&self, announcement: Announcement) -> bool {
        let held = announcement.held;
        held > self.peer_version && held > self.acked_version
    }

    fn has_updates(&self, announcement: Announcement) -> bool {
        // Across the billed link only what can be fetched there is worth a message.
        let new_head = self.kind != NeighbourKind::Gateway && announcement.head > self.peer_head;
        new_head || !self.pending_members.is_empty()
    }

    /// Lets what is gathered go out with the next look.
    pub fn skip_batching(&mut self) {
        self.last_sent_ms = 0;
    }

    /// Whether an exchange could be started now.
    pub fn can_start(&self, now_ms: u64) -> bool {
        !self.in_flight && now_ms >= self.not_before_ms
    }

    /// Notes that an exchange starts.
    pub fn exchange_started(&mut self, now_ms: u64, version: Version) {
        self.in_flight = true;
        self.sending_version = version;
        self.last_sent_ms = now_ms;
        self.next_heartbeat_ms = now_ms + self.interval_ms;
        if std::mem::take(&mut self.want_all) {
            self.full_view_requested_ms = Some(now_ms);
        }
    }

    /// Notes that the exchange was answered.
    pub fn exchange_answered(&mut self) {
        self.in_flight = false;
        self.failures = 0;
    }

    /// Notes that the exchange was not answered.
    pub fn exchange_failed(&mut self, now_ms: u64) {
        self.in_flight = false;
        self.not_before_ms = now_ms + RETRY_BACKOFF.pause_ms(self.failures);
        self.failures += 1;
    }

    /// Whether statements go along. At a standby only once views have been seen to differ.
    pub fn carries_members(&self) -> bool {
        self.kind != NeighbourKind::Standby || self.mismatches > 0
    }

    /// Notes whether views were equal after an exchange that brought news or not.
    pub fn record_comparison(&mut self, now_ms: u64, views_equal: bool, carried_updates: bool) {
        if views_equal {
            self.mismatches = 0;
            if self.kind == NeighbourKind::Standby {
                self.pending_members.clear();
            }
            return;
        }
        if carried_updates
            || !self.pending_members.is_empty() && self.kind != NeighbourKind::Standby
        {
            return;
        }
        self.mismatches += 1;
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms + RECOMPARE_DELAY_MS);
        let requested_recently = self.full_view_requested_ms.is_some_and(|requested_ms| {
            now_ms.saturating_sub(requested_ms) < FULL_VIEW_REQUEST_INTERVAL_MS
        });
        // A bridge joins groups that may have started apart; there is one for each pair, so it need
        // not wait to see whether the difference passes.
        let threshold = match self.kind {
            NeighbourKind::Bridge | NeighbourKind::Gateway => 1,
            NeighbourKind::Ring | NeighbourKind::Standby => MISMATCHES_MAX,
        };
        if self.mismatches >= threshold && !requested_recently {
            self.want_all = true;
        }
    }

    /// Takes in what the neighbour says of itself: its version, and what it announces, unless it
    /// takes that for known here.
    pub fn record_peer_versions(&mut self, version: Version, announced: Option<Version>) {
        let peer_lost_state = version < self.peer_version;
        if peer_lost_state {
            self.peer_head = version;
            self.acked_version = Version::NONE;
        }
        self.peer_version = version;
        let peer_head = announced.unwrap_or(Version::NONE).max(version);
        self.peer_head = self.peer_head.max(peer_head);
    }
}
