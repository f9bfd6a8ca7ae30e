//! Shares of the time within which an accepted version is to be in force.
//!
//! Each wait on the way of a version to a node is one of these shares, so that their sums stay below the
//! whole however it fails: `docs/design/spread.md` has the ways and their sums.

/// The time from a version's acceptance until every node enforces it, and its shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyBudget {
    apply_ms: u64,
}

/// A share of the budget: in thousandths of it, and at most so many milliseconds.
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
const HEAD_POLL_INTERVAL: Share = share(500, 120_000);

impl ApplyBudget {
    /// The shares of `apply_ms`, in milliseconds.
    pub const fn new(apply_ms: u64) -> Self {
        Self { apply_ms }
    }

    /// The whole, in milliseconds.
    pub const fn apply_ms(self) -> u64 {
        self.apply_ms
    }

    /// How long a lead keeps a follower waiting for news.
    pub fn follow_wait_ms(self) -> u64 {
        self.of(FOLLOW_WAIT)
    }

    /// What a lead's answer may take beyond that.
    pub fn follow_answer_timeout_ms(self) -> u64 {
        self.of(FOLLOW_ANSWER_TIMEOUT)
    }

    /// What the answer of a lead may take that is asked for what it holds now.
    pub fn probe_answer_timeout_ms(self) -> u64 {
        self.of(PROBE_ANSWER_TIMEOUT)
    }

    /// How long a read of the store waits for news where nothing else would tell in time of a version that
    /// a silent connection hides.
    pub fn short_store_wait_ms(self) -> u64 {
        self.of(SHORT_STORE_WAIT)
    }

    /// How long it waits where others read the store as well and versions are rare.
    pub fn long_store_wait_ms(self) -> u64 {
        self.of(LONG_STORE_WAIT)
    }

    /// What the beginning of the store's answer may take beyond that.
    pub fn store_answer_timeout_ms(self) -> u64 {
        self.of(STORE_ANSWER_TIMEOUT)
    }

    /// How old the store's last word may be at a lead that is of help.
    pub fn store_age_max_ms(self) -> u64 {
        self.long_store_wait_ms() + self.store_answer_timeout_ms()
    }

    /// How long a version that gossip tells of is left to the lead or the own read of the store.
    pub fn peer_fetch_delay_ms(self) -> u64 {
        self.of(PEER_FETCH_DELAY)
    }

    /// Longest wait for content from a peer of the region.
    pub fn region_fetch_timeout_ms(self) -> u64 {
        self.of(REGION_FETCH_TIMEOUT)
    }

    /// Longest wait for content from a peer of another region.
    pub fn cross_region_fetch_timeout_ms(self) -> u64 {
        self.of(CROSS_REGION_FETCH_TIMEOUT)
    }

    /// Between two reads of the store by a node that is no lead while neither leads nor store answer it.
    pub fn non_lead_store_pause_ms(self) -> u64 {
        self.of(NON_LEAD_STORE_PAUSE)
    }

    /// Longest pause between two looks at the head row by those who look on behalf of others.
    pub fn head_poll_interval_ms(self) -> u64 {
        self.of(HEAD_POLL_INTERVAL)
    }

    fn of(self, share: Share) -> u64 {
        (self.apply_ms * share.per_mille / 1_000).min(share.max_ms)
    }
}
