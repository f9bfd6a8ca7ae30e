//! What one entry has seen of one endpoint with its own calls.

use super::Endpoint;

/// How long a reported load counts: some ten service times of short work. An older report keeps
/// an endpoint out of work that has long become free.
const LOAD_FRESH_US: u64 = 200_000;

/// An endpoint gets its full share so long after it was first seen.
const SLOW_START_US: u64 = 10_000_000;
/// Share of a new endpoint in percent: enough to warm its caches.
const SLOW_START_PERCENT: u64 = 10;

/// Strikes that eject an endpoint. A lost connection is two, an answer of 5xx one; an answer
/// that is none clears them.
const STRIKES_MAX: u32 = 5;
const STRIKES_LOST: u32 = 2;
const EJECTED_FIRST_US: u64 = 1_000_000;
pub(super) const EJECTED_MOST_US: u64 = 30_000_000;

/// Answers of an endpoint after which its latency is judged: enough that one long request among
/// short ones is not taken for a slow endpoint.
pub(super) const JUDGED_SAMPLES: u32 = 16;
/// Answers after which it is judged early, by the quickest of them: one that is slow throughout is
/// found before it has had many requests, and long requests among short ones prove nothing.
pub(super) const JUDGED_EARLY_SAMPLES: u32 = 4;
/// An endpoint is slow if its mean latency is so many times the median of the others.
const SLOW_FACTOR: u64 = 3;
/// Differences below this are noise of a busy VM.
const SLOW_LEAST_US: u64 = 5_000;

/// A draining endpoint is left alone for so long; by then gossip says the same.
const DRAINING_US: u64 = 5_000_000;

/// Gain of the running mean: one in so many.
const LATENCY_DIVISOR: u64 = 8;

/// How an attempt ended, as far as it tells of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// An answer; latency to its header, if the request was an interactive one.
    Answered {
        /// From sending to the answer's header.
        latency_us: Option<u64>,
        /// Whether the backend server answered 5xx.
        server_error: bool,
    },
    /// Refused for load.
    Refused,
    /// Refused because it is draining.
    Draining,
    /// Not reached.
    Unreachable,
    /// Connection lost, or no answer in time.
    Lost,
}

/// What one entry has seen of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) incarnation_us: u64,
    first_seen_us: u64,
    pub(super) used_us: u64,
    pub(super) outstanding: u32,
    load_percent: u32,
    load_at_us: Option<u64>,
    pub(super) latency_us: u64,
    /// The quickest answer of the samples.
    least_latency_us: u64,
    pub(super) samples: u32,
    strikes: u32,
    ejections: u32,
    ejected_until_us: u64,
    draining_until_us: u64,
}

impl Seen {
    pub(super) fn new(now_us: u64, endpoint: &Endpoint) -> Self {
        Self {
            incarnation_us: endpoint.incarnation_us,
            first_seen_us: now_us,
            used_us: now_us,
            outstanding: 0,
            load_percent: 0,
            load_at_us: None,
            latency_us: 0,
            least_latency_us: u64::MAX,
            samples: 0,
            strikes: 0,
            ejections: 0,
            ejected_until_us: 0,
            draining_until_us: 0,
        }
    }

    /// Load in percent of the slots: the endpoint's own word while it is fresh, and never less
    /// than what this entry alone has outstanding there.
    pub(super) fn load(&self, now_us: u64, slots: u32) -> u32 {
        let fresh = |at_us| now_us.saturating_sub(at_us) < LOAD_FRESH_US;
        let reported = match self.load_at_us.is_some_and(fresh) {
            true => self.load_percent,
            false => 0,
        };
        let own = self.outstanding.saturating_mul(100) / slots.max(1);
        reported.max(own)
    }

    /// What two endpoints are compared by; lower is better.
    ///
    /// Load made for: a cold endpoint among warm ones. Harm prevented: it looks idle, so every
    /// entry sends it everything. Reason for the limit: the share rises over the time that a
    /// cold start lasts.
    pub(super) fn score(&self, now_us: u64, slots: u32) -> u64 {
        let own = u64::from(self.outstanding) * 100 / u64::from(slots.max(1));
        let load = u64::from(self.load(now_us, slots)) + own + 1;
        let age_us = now_us.saturating_sub(self.first_seen_us).min(SLOW_START_US);
        let risen = (100 - SLOW_START_PERCENT) * age_us / SLOW_START_US;
        load * 100 / (SLOW_START_PERCENT + risen)
    }

    fn eject(&mut self, now_us: u64) {
        let time_us = EJECTED_FIRST_US << self.ejections.min(5);
        self.ejections += 1;
        self.ejected_until_us = now_us + time_us.min(EJECTED_MOST_US);
        self.first_seen_us = self.ejected_until_us;
        // When it comes back one more failure is enough, until it has given an answer.
        self.strikes = STRIKES_MAX - 1;
        self.samples = 0;
        self.least_latency_us = u64::MAX;
    }

    fn strike(&mut self, now_us: u64, strikes: u32) {
        self.strikes += strikes;
        if self.strikes >= STRIKES_MAX {
            self.eject(now_us);
        }
    }

    /// Takes in how an attempt ended.
    pub(super) fn observe(&mut self, now_us: u64, observed: Observed) {
        match observed {
            Observed::Answered {
                server_error: true, ..
            } => self.strike(now_us, 1),
            Observed::Answered { latency_us, .. } => {
                self.strikes = 0;
                if let Some(latency_us) = latency_us {
                    self.learn_latency(latency_us);
                }
            }
            Observed::Refused => (),
            Observed::Draining => self.draining_until_us = now_us + DRAINING_US,
            Observed::Unreachable => self.eject(now_us),
            Observed::Lost => self.strike(now_us, STRIKES_LOST),
        }
    }

    /// Takes in its own word of its load.
    pub(super) fn report(&mut self, now_us: u64, load_percent: u32) {
        self.load_percent = load_percent;
        self.load_at_us = Some(now_us);
    }

    pub(super) fn is_ejected(&self, now_us: u64) -> bool {
        self.ejected_until_us > now_us
    }

    pub(super) fn is_draining(&self, now_us: u64) -> bool {
        self.draining_until_us > now_us
    }

    /// Ejects it if it has become much slower than the others, whose median is given.
    pub(super) fn judge(&mut self, now_us: u64, median_us: u64) {
        let slow_us = median_us * SLOW_FACTOR + SLOW_LEAST_US;
        let judged_us = match self.samples < JUDGED_SAMPLES {
            true => self.least_latency_us,
            false => self.latency_us,
        };
        if judged_us > slow_us {
            self.eject(now_us);
        } else if self.samples >= JUDGED_SAMPLES {
            self.ejections = 0;
            self.judged();
        }
    }

    /// Begins a new round of samples; the mean goes on.
    pub(super) fn judged(&mut self) {
        self.samples = 1;
        self.least_latency_us = u64::MAX;
    }

    fn learn_latency(&mut self, latency_us: u64) {
        self.latency_us = match self.samples {
            0 => latency_us,
            _ => (self.latency_us * (LATENCY_DIVISOR - 1) + latency_us) / LATENCY_DIVISOR,
        };
        self.least_latency_us = self.least_latency_us.min(latency_us);
        self.samples += 1;
    }
}
