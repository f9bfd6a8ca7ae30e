//! State of the link to one neighbour: updates that are still to be sent, and when the next
//! exchange is due.

use std::collections::BTreeSet;

use super::neighbours::NeighbourKind;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::decide::backoff::Backoff;

/// How long reports and summaries are batched before they start an exchange. They only inform
/// operators, for whom half a second is no delay, and the 87 reports after a publication then
/// travel in a few messages instead of 87.
const BATCH_MS: u64 = 500;

/// Minimum time between an exchange and the next one that is started only for member records or
/// announcements. After a quiet period the first update is sent at once; the rest of a burst, such
/// as many nodes restarting, is batched. Otherwise each of hundreds of records would cause an
/// exchange with each neighbour.
pub const MIN_UPDATE_INTERVAL_MS: u64 = 50;

/// Minimum time between two requests for a neighbour's whole view. Views seldom differ for longer
/// than updates take to cross the mesh, and a whole view of 520 members is about 20 KB.
const FULL_VIEW_REQUEST_INTERVAL_MS: u64 = 5_000;

/// How soon differing views are compared again, if the next heartbeat is later.
const RECOMPARE_DELAY_MS: u64 = 1_000;

/// Comparisons in a row with differing views after which the whole view is requested. A single
/// difference is normal while updates are in transit.
const MISMATCHES_MAX: u32 = 2;

/// Pauses before an exchange is retried with a neighbour that did not answer. Without them, pending
/// updates would retry a refused connection in a hot loop. A restarting process is back within a
/// second or two.
const RETRY_BACKOFF: Backoff = Backoff::new(250, 4_000);

/// This node's state of the link to one neighbour.
#[derive(Debug)]
pub struct Link {
    /// Role of the neighbour.
    pub kind: NeighbourKind,
    /// Nodes whose records are still to be sent to it.
    pub pending_members: BTreeSet<NodeId>,
    /// Nodes whose reports are still to be sent to it.
    pub pending_reports: BTreeSet<NodeId>,
    /// Data centres, by key, whose summaries are still to be sent to it.
    pub pending_summaries: BTreeSet<String>,
    /// Version that it enforces or is about to enforce, as it reported.
    pub peer_version: Version,
    /// Newest version that was received from it or announced to it.
    pub peer_head: Version,
    /// Highest version held by this node whose announcement the neighbour has acknowledged.
    pub acked_version: Version,
    /// Digest of its orders and states of roll-outs, as it reported.
    pub peer_rollouts_digest: u64,
    /// Whether an exchange with it is in flight.
    pub in_flight: bool,
    /// Version held by this node that the exchange in flight announces.
    pub sending_version: Version,
    /// Whether the next exchange requests its whole view.
    pub want_all: bool,
    interval_ms: u64,
    next_heartbeat_ms: u64,
    last_sent_ms: u64,
    mismatches: u32,
    full_view_requested_ms: Option<u64>,
    failures: u32,
    not_before_ms: u64,
}

/// Versions that this node can announce to its neighbours.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// Version that this node holds and that neighbours can fetch from it.
    pub held: Version,
    /// Newest version known to this node, whether or not it holds the content.
    pub head: Version,
    /// Digest of the orders and states of roll-outs that this node has.
    pub rollouts_digest: u64,
}

impl Link {
    /// Creates a link whose first heartbeat is due after `first_delay_ms`, and further ones every
    /// `interval_ms`.
    pub fn new(kind: NeighbourKind, now_ms: u64, first_delay_ms: u64, interval_ms: u64) -> Self {
        Self {
            kind,
            pending_members: BTreeSet::new(),
            pending_reports: BTreeSet::new(),
            pending_summaries: BTreeSet::new(),
            peer_version: Version::NONE,
            peer_head: Version::NONE,
            acked_version: Version::NONE,
            peer_rollouts_digest: 0,
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

    /// Changes the heartbeat interval.
    pub fn set_interval(&mut self, interval_ms: u64) {
        self.interval_ms = interval_ms;
    }

    /// Whether to start an exchange now.
    pub fn is_due(&self, now_ms: u64, announcement: Announcement) -> bool {
        if !self.can_start(now_ms) {
            return false;
        }
        let heartbeat_due = now_ms >= self.next_heartbeat_ms;
        let updates_due = self.has_urgent_updates(announcement)
            || (self.has_updates(announcement) && !self.sent_recently(now_ms));
        match self.kind {
            // Records that crossed by way of the gateway show here as equal view hashes. A new
            // version is sent over this link as well, because the gateway may have failed without
            // being detected yet.
            NeighbourKind::Standby => {
                heartbeat_due
                    || self.has_new_version(announcement)
                    || (self.lacks_rollouts(announcement.rollouts_digest)
                        && !self.sent_recently(now_ms))
            }
            // Summaries wait for a heartbeat, because traffic between regions is billed by volume.
            NeighbourKind::Gateway => heartbeat_due || updates_due,
            NeighbourKind::Ring | NeighbourKind::Bridge => {
                let batch_due = now_ms.saturating_sub(self.last_sent_ms) >= BATCH_MS;
                let has_batched =
                    !self.pending_reports.is_empty() || !self.pending_summaries.is_empty();
                heartbeat_due || updates_due || (batch_due && has_batched)
            }
        }
    }

    /// Whether updates are pending and wait only because the last exchange was too recent.
    pub fn is_deferred(&self, now_ms: u64, announcement: Announcement) -> bool {
        let postponed =
            !self.in_flight && self.kind != NeighbourKind::Standby && self.sent_recently(now_ms);
        postponed && self.has_updates(announcement)
    }

    fn sent_recently(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_sent_ms) < MIN_UPDATE_INTERVAL_MS
    }

    /// Whether there is a new version that the neighbour can fetch from this node, or its whole view
    /// has to be requested. These do not wait for [`MIN_UPDATE_INTERVAL_MS`].
    fn has_urgent_updates(&self, announcement: Announcement) -> bool {
        self.want_all || self.has_new_version(announcement)
    }

    fn has_new_version(&self, announcement: Announcement) -> bool {
        let held = announcement.held;
        held > self.peer_version && held > self.acked_version
    }

    fn has_updates(&self, announcement: Announcement) -> bool {
        // Traffic between regions is billed, so a version is announced to another region only if the
        // neighbour can fetch it from this node.
        let new_head = self.kind != NeighbourKind::Gateway && announcement.head > self.peer_head;
        new_head
            || !self.pending_members.is_empty()
            || self.lacks_rollouts(announcement.rollouts_digest)
    }

    /// Whether the neighbour has other orders and states of roll-outs than this node, whose digest is
    /// `digest`.
    pub fn lacks_rollouts(&self, digest: u64) -> bool {
        digest != 0 && digest != self.peer_rollouts_digest
    }

    /// Makes pending updates due at the next tick.
    pub fn skip_batching(&mut self) {
        self.last_sent_ms = 0;
    }

    /// Whether no exchange is in flight and the pause after a failure is over.
    pub fn can_start(&self, now_ms: u64) -> bool {
        !self.in_flight && now_ms >= self.not_before_ms
    }

    /// Records that an exchange starts, which announces that this node holds `version`.
    pub fn exchange_started(&mut self, now_ms: u64, version: Version) {
        self.in_flight = true;
        self.sending_version = version;
        self.last_sent_ms = now_ms;
        self.next_heartbeat_ms = now_ms + self.interval_ms;
        if std::mem::take(&mut self.want_all) {
            self.full_view_requested_ms = Some(now_ms);
        }
    }

    /// Records that the exchange was answered.
    pub fn exchange_answered(&mut self) {
        self.in_flight = false;
        self.failures = 0;
    }

    /// Records that the exchange failed, and sets the pause before the next one.
    pub fn exchange_failed(&mut self, now_ms: u64) {
        self.in_flight = false;
        self.not_before_ms = now_ms + RETRY_BACKOFF.delay_ms(self.failures);
        self.failures += 1;
    }

    /// Whether exchanges carry member records. A standby gets them only after views were found to
    /// differ.
    pub fn carries_members(&self) -> bool {
        self.kind != NeighbourKind::Standby || self.mismatches > 0
    }

    /// Records whether both views were equal after an exchange. After one that carried updates a
    /// difference is expected and does not count.
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
        // One difference is enough between data centres: the two sides may be groups that started
        // independently, and a bridge is one of only a few links between them.
        let threshold = match self.kind {
            NeighbourKind::Bridge | NeighbourKind::Gateway => 1,
            NeighbourKind::Ring | NeighbourKind::Standby => MISMATCHES_MAX,
        };
        if self.mismatches >= threshold && !requested_recently {
            self.want_all = true;
        }
    }

    /// Stores the versions that a message of the neighbour contained. `announced` is `None` if the
    /// neighbour assumes that this node already has its newest stamp.
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
