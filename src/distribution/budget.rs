//! Timeouts and delays, as shares of the time within which an accepted version has to be enforced
//! everywhere.
//!
//! Each wait on a version's path to a node is one of these shares. Along each path their sum stays
//! below the whole, also when something fails: `docs/design/spread.md` lists the paths and their
//! sums.

/// The time from a version's acceptance until every node enforces it, and its shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyBudget {
    apply_ms: u64,
    /// Longest time since the enforced configuration was known to be the newest.
    freshness_ms: Option<u64>,
}

/// A share of the budget in thousandths, with an upper limit in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Share {
    per_mille: u64,
    max_ms: u64,
}

const fn share(per_mille: u64, max_ms: u64) -> Share {
    Share { per_mille, max_ms }
}

const FOLLOW_WAIT: Share = share(400, 1_000);
const FOLLOW_ANSWER_TIMEOUT: Share = share(200, 700);
const PROBE_ANSWER_TIMEOUT: Share = share(120, 500);
const SHORT_STORE_WAIT: Share = share(440, 1_500);
const LONG_STORE_WAIT: Share = share(800, 2_000);
const STORE_ANSWER_TIMEOUT: Share = share(200, 1_000);
const PEER_FETCH_DELAY: Share = share(120, 300);
const REGION_FETCH_TIMEOUT: Share = share(200, 1_500);
const CROSS_REGION_FETCH_TIMEOUT: Share = share(400, 5_000);
const NON_LEAD_STORE_PAUSE: Share = share(500, 2_000);
const START_LEAD_WAIT: Share = share(200, 1_000);
const HEAD_POLL_INTERVAL: Share = share(500, 120_000);

/// Longest age of the configuration as a multiple of the wait of a read of the store, if that age is limited.
const FRESHNESS_PER_STORE_WAIT: u64 = 5;
/// The same as a multiple of the wait of a follower's request.
const FRESHNESS_PER_FOLLOW_WAIT: u64 = 10;

impl ApplyBudget {
    /// Creates a budget of `apply_ms` milliseconds.
    pub const fn new(apply_ms: u64) -> Self {
        Self {
            apply_ms,
            freshness_ms: None,
        }
    }

    /// Limits the waits for newer versions, so that each node knows at least every `freshness_ms` that
    /// its configuration is the newest, also while a lead is replaced.
    pub const fn with_freshness(self, freshness_ms: Option<u64>) -> Self {
        Self {
            freshness_ms,
            ..self
        }
    }

    /// The whole budget in milliseconds.
    pub const fn apply_ms(self) -> u64 {
        self.apply_ms
    }

    /// How long a lead may hold a follower's request while it has no newer version.
    pub fn follow_wait_ms(self) -> u64 {
        self.wait_ms(FOLLOW_WAIT, FRESHNESS_PER_FOLLOW_WAIT)
    }

    /// How long a lead's answer may take in addition to [`Self::follow_wait_ms`].
    pub fn follow_answer_timeout_ms(self) -> u64 {
        self.share_ms(FOLLOW_ANSWER_TIMEOUT)
    }

    /// How long a lead's answer may take if it is asked only for what it holds now.
    pub fn probe_answer_timeout_ms(self) -> u64 {
        self.share_ms(PROBE_ANSWER_TIMEOUT)
    }

    /// How long a read of the store waits for a newer version if no other source would deliver that
    /// version in time when the connection to the store stalls.
    pub fn short_store_wait_ms(self) -> u64 {
        self.wait_ms(SHORT_STORE_WAIT, FRESHNESS_PER_STORE_WAIT)
    }

    /// How long a read of the store waits for a newer version if other data centres read it too and
    /// versions are rare.
    pub fn long_store_wait_ms(self) -> u64 {
        self.wait_ms(LONG_STORE_WAIT, FRESHNESS_PER_STORE_WAIT)
    }

    /// How long the store may take to begin its answer, in addition to the wait for a newer version.
    pub fn store_answer_timeout_ms(self) -> u64 {
        self.share_ms(STORE_ANSWER_TIMEOUT)
    }

    /// Maximum time since a lead's last answer from the store; a lead with older data is not used.
    pub fn store_age_max_ms(self) -> u64 {
        self.long_store_wait_ms() + self.store_answer_timeout_ms()
    }

    /// How long a node that received a version's announcement by gossip leaves the version to its
    /// lead or its own read of the store, before it asks peers for it.
    pub fn peer_fetch_delay_ms(self) -> u64 {
        self.share_ms(PEER_FETCH_DELAY)
    }

    /// Timeout for fetching content from a peer of the region.
    pub fn region_fetch_timeout_ms(self) -> u64 {
        self.share_ms(REGION_FETCH_TIMEOUT)
    }

    /// Timeout for fetching content from a peer of another region.
    pub fn cross_region_fetch_timeout_ms(self) -> u64 {
        self.share_ms(CROSS_REGION_FETCH_TIMEOUT)
    }

    /// Pause between two reads of the store by a node that is not a lead, while neither the leads
    /// nor the store answer it.
    pub fn non_lead_store_pause_ms(self) -> u64 {
        self.share_ms(NON_LEAD_STORE_PAUSE)
    }

    /// How long a node that starts leaves its first version to a lead, before it reads the store itself.
    pub const fn start_lead_wait_ms(self) -> u64 {
        self.share_ms(START_LEAD_WAIT)
    }

    /// Longest pause between two reads of the head row by the nodes that poll it for the others.
    pub fn head_poll_interval_ms(self) -> u64 {
        self.share_ms(HEAD_POLL_INTERVAL)
    }

    /// Longest pause between two reads by which a node learns that its configuration is the newest.
    pub fn freshness_poll_ms(self) -> u64 {
        let poll_ms = self.freshness_ms.map(|ms| ms / FRESHNESS_PER_STORE_WAIT);
        poll_ms.unwrap_or(u64::MAX)
    }

    fn wait_ms(self, share: Share, freshness_ratio: u64) -> u64 {
        let limit_ms = self.freshness_ms.map(|ms| ms / freshness_ratio);
        self.share_ms(share).min(limit_ms.unwrap_or(u64::MAX))
    }

    const fn share_ms(self, share: Share) -> u64 {
        let share_ms = self.apply_ms * share.per_mille / 1_000;
        if share_ms < share.max_ms {
            share_ms
        } else {
            share.max_ms
        }
    }
}
