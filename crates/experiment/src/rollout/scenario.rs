//! What a simulated roll-out is played with: the candidate's fault, and the failures around it.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// In which way the candidate is worse than the established version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Candidate {
    /// As good as the established version.
    Good,
    /// As good, but all of its endpoints start cold.
    GoodCold,
    /// As good, but one of its endpoints fails half of its requests.
    GoodWithFaultyEndpoint,
    /// As good, but it has three quarters of the endpoints.
    GoodButFew,
    /// Fails a share of its requests from the start.
    Failing,
    /// Fails a share of its requests from five seconds after the order.
    FailingLate,
    /// Fails a share of its requests while more than half of its slots are in use.
    FailingUnderLoad,
    /// Fails a share of its requests for one of two resources.
    FailingOnOneResource,
    /// Takes three times as long.
    Slow,
    /// Takes five times as long for a share of its requests.
    PartlySlow,
}

impl Candidate {
    pub(crate) const ALL: [Self; 10] = [
        Self::Good,
        Self::GoodCold,
        Self::GoodWithFaultyEndpoint,
        Self::GoodButFew,
        Self::Failing,
        Self::FailingLate,
        Self::FailingUnderLoad,
        Self::FailingOnOneResource,
        Self::Slow,
        Self::PartlySlow,
    ];

    pub(crate) fn is_good(self) -> bool {
        matches!(
            self,
            Self::Good | Self::GoodCold | Self::GoodWithFaultyEndpoint | Self::GoodButFew
        )
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::GoodCold => "good, cold",
            Self::GoodWithFaultyEndpoint => "good, one faulty endpoint",
            Self::GoodButFew => "good, fewer endpoints",
            Self::Failing => "fails",
            Self::FailingLate => "fails after 5 s",
            Self::FailingUnderLoad => "fails above half load",
            Self::FailingOnOneResource => "fails on one resource",
            Self::Slow => "three times slower",
            Self::PartlySlow => "partly five times slower",
        }
    }
}

/// Failures around a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Trouble {
    /// None.
    Calm,
    /// The store answers nobody for three seconds.
    StoreDown,
    /// Each answer of the store takes half a second.
    StoreSlow,
    /// One data centre reaches neither the store nor the others for five seconds.
    DataCentreCut,
    /// The lead that acts first is killed, and again three seconds later.
    LeadKilled,
    /// The lead that acts first stands still for four seconds.
    LeadFrozen,
    /// Every node is restarted in turn.
    RollingRestart,
    /// Twice the requests for three seconds.
    Burst,
    /// A third of the established endpoints is four times as slow for four seconds.
    EstablishedSlow,
    /// Every endpoint is three times as slow for three seconds.
    AllSlow,
}

impl Trouble {
    pub(crate) const ALL: [Self; 10] = [
        Self::Calm,
        Self::StoreDown,
        Self::StoreSlow,
        Self::DataCentreCut,
        Self::LeadKilled,
        Self::LeadFrozen,
        Self::RollingRestart,
        Self::Burst,
        Self::EstablishedSlow,
        Self::AllSlow,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::StoreDown => "store down",
            Self::StoreSlow => "store slow",
            Self::DataCentreCut => "data centre cut off",
            Self::LeadKilled => "lead killed twice",
            Self::LeadFrozen => "lead frozen",
            Self::RollingRestart => "every node restarted",
            Self::Burst => "burst",
            Self::EstablishedSlow => "old endpoints slow",
            Self::AllSlow => "all endpoints slow",
        }
    }
}

/// One play.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) candidate: Candidate,
    pub(crate) trouble: Trouble,
    /// When the trouble begins, in milliseconds after the order.
    pub(crate) trouble_ms: u64,
    /// Share of the requests that a bad version treats badly.
    pub(crate) bad_share: f64,
    /// Time from the order to its deadline.
    pub(crate) duration_ms: u64,
    pub(crate) requests_per_s: f64,
    pub(crate) endpoints: usize,
    pub(crate) entry_nodes: usize,
    pub(crate) seed: u64,
}

impl Scenario {
    /// The scenario of a seed. Consecutive seeds go through all candidates and troubles.
    pub(crate) fn of_seed(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let candidates = Candidate::ALL.len() as u64;
        let candidate = Candidate::ALL[(seed % candidates) as usize];
        let trouble = Trouble::ALL[(seed / candidates) as usize % Trouble::ALL.len()];
        let endpoints = rng.random_range(6..20);
        let mut scenario = Self {
            candidate,
            trouble,
            trouble_ms: rng.random_range(500..6_000),
            bad_share: rng.random_range(0.2..0.7),
            duration_ms: rng.random_range(12_000..25_000),
            // About half of the slots are in use.
            requests_per_s: endpoints as f64 * rng.random_range(20.0..45.0),
            endpoints,
            entry_nodes: 4 * endpoints,
            seed,
        };
        if trouble == Trouble::AllSlow {
            // In any phase: a roll-out is completed after about three quarters of its duration.
            scenario.trouble_ms = rng.random_range(500..scenario.duration_ms * 3 / 4);
        }
        scenario
    }
}
