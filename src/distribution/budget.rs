//! Shares of the time within which an accepted version is to be in force.
//!
//! Each wait on the way of a version to a node is one of these shares, so that their sums stay below the
//! whole however it fails: `docs/design/spread.md` has the ways and their sums.

/// The time from a version's acceptance until every node enforces it, and its shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    apply_ms: u64,
}

/// A share of the budget: in thousandths of it, and at most so many milliseconds.
#[derive(Clone, Copy, Debug)]
struct Share {
    per_mille: u64,
    most_ms: u64,
}

const fn share(per_mille: u64, most_ms: u64) -> Share {
    Share { per_mille, most_ms }
}

const FOLLOW_WAIT: Share = share(400, 1_000);
const FOLLOW_ANSWER: Share = share(200, 700);
const PROBE_ANSWER: Share = share(120, 500);
const SHORT_STORE_WAIT: Share = share(440, 1_500);
const LONG_STORE_WAIT: Share = share(800, 2_000);
const STORE_ANSWER: Share = share(200, 1_000);
const HOLD: Share = share(120, 300);
const NEAR_FETCH: Share = share(200, 1_500);
const FAR_FETCH: Share = share(400, 5_000);
const SOLO_PAUSE: Share = share(500, 2_000);
const HEAD_POLL: Share = share(500, 120_000);

impl Budget {
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
    pub fn follow_answer_ms(self) -> u64 {
        self.of(FOLLOW_ANSWER)
    }

    /// What the answer of a lead may take that is asked for what it holds now.
    pub fn probe_answer_ms(self) -> u64 {
        self.of(PROBE_ANSWER)
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
    pub fn store_answer_ms(self) -> u64 {
        self.of(STORE_ANSWER)
    }

    /// How old the store's last word may be at a lead that is of help.
    pub fn store_age_max_ms(self) -> u64 {
        self.long_store_wait_ms() + self.store_answer_ms()
    }

    /// How long a version that gossip tells of is left to the lead or the own read of the store.
    pub fn hold_ms(self) -> u64 {
        self.of(HOLD)
    }

    /// Longest wait for content from a peer of the region.
    pub fn near_fetch_ms(self) -> u64 {
        self.of(NEAR_FETCH)
    }

    /// Longest wait for content from a peer of another region.
    pub fn far_fetch_ms(self) -> u64 {
        self.of(FAR_FETCH)
    }

    /// Between two reads of the store by a node that is no lead while neither leads nor store answer it.
    pub fn solo_pause_ms(self) -> u64 {
        self.of(SOLO_PAUSE)
    }

    /// Longest pause between two looks at the head row by those who look on behalf of others.
    pub fn head_poll_ms(self) -> u64 {
        self.of(HEAD_POLL)
    }

    fn of(self, share: Share) -> u64 {
        (self.apply_ms * share.per_mille / 1_000).min(share.most_ms)
    }
}
