//! Mechanisms of load balancing, admission control and retries that an operator can disable one by
//! one.
//!
//! Each mechanism helps under some loads and may do harm under others. Operators disable one in an
//! emergency, or to measure its effect.

use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu};

/// Result of this module.
pub type Result<T, E = UnknownMechanism> = std::result::Result<T, E>;

/// Error for a name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown mechanism `{name}`; expected one of {}", Mechanism::names().join(", ")))]
pub struct UnknownMechanism {
    /// The unknown name.
    pub name: String,
}

/// A mechanism that can be disabled on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Mechanism {
    /// A request asks several endpoints for a free slot before it waits in the queue of one.
    FreeSlotProbes,
    /// Queued requests of equal priority are admitted in the order of their due times, at which their
    /// target latencies end; if disabled, in the order of their arrival.
    DueTimeOrder,
    /// Admission control admits queued requests of a higher priority first.
    PriorityOrder,
    /// Admission control admits calls that a running request makes before requests of callers.
    NestedCallsFirst,
    /// A caller's request waits for a slot at most for a fraction of its target latency, if it has
    /// one; if disabled, at most for its timeout.
    QueueWaitLimit,
    /// Admission control reserves some slots for interactive requests, so that bulk requests cannot
    /// use all of them.
    BulkReserve,
    /// An entry node uses a subset of a service's endpoints at each distance; if disabled, all of
    /// them.
    Subset,
    /// Endpoints that fail are excluded from load balancing for a while.
    Ejection,
    /// The cost of an endpoint includes the wait in its queue and for the upload of a large body.
    CostQueued,
    /// The cost of an endpoint includes its slots in use.
    CostSlotsInUse,
    /// The cost of an endpoint includes its recent failures.
    CostFailures,
    /// The cost of an endpoint whose service time is unknown includes the entry node's outstanding
    /// requests to it.
    CostOutstanding,
    /// The cost of an endpoint includes the bytes that would be transferred to and from another data
    /// centre.
    CostCrossDataCentre,
    /// Admission control refuses requests that were delayed too long between two nodes.
    TransitDelayCheck,
    /// A pipelined request is started before the earlier requests on its connection are answered.
    PipelinedStart,
    /// Large request bodies are received a few at a time, before their requests occupy a slot.
    UploadScheduling,
    /// Retries to a service are limited in proportion to the requests to it.
    RetryBudget,
    /// Unused retries accumulate in a reserve, so that a burst of failures can be retried.
    RetryBurst,
    /// A connection to a backend server is not reused after it has been idle for some time.
    IdleConnectionTimeout,
    /// One node of each data centre, its lead, reads the store on behalf of the others; if disabled,
    /// every node reads it.
    StoreReader,
    /// An entry node withholds a part of the requests to a service that refuses many.
    OverloadThrottle,
    /// Requests under which several backend servers have ended are withheld.
    CrashLimit,
    /// That a request which must not run twice did not run is proved by nodes alone; if disabled, also by the
    /// statement of a backend server.
    OwnProof,
}

impl Mechanism {
    /// All mechanisms, in the order in which messages list them.
    pub const ALL: [Self; 23] = [
        Self::FreeSlotProbes,
        Self::DueTimeOrder,
        Self::PriorityOrder,
        Self::NestedCallsFirst,
        Self::QueueWaitLimit,
        Self::BulkReserve,
        Self::Subset,
        Self::Ejection,
        Self::CostQueued,
        Self::CostSlotsInUse,
        Self::CostFailures,
        Self::CostOutstanding,
        Self::CostCrossDataCentre,
        Self::TransitDelayCheck,
        Self::PipelinedStart,
        Self::UploadScheduling,
        Self::RetryBudget,
        Self::RetryBurst,
        Self::IdleConnectionTimeout,
        Self::StoreReader,
        Self::OverloadThrottle,
        Self::CrashLimit,
        Self::OwnProof,
    ];

    /// Name of the mechanism in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::FreeSlotProbes => "free-slot-looks",
            Self::DueTimeOrder => "due-order",
            Self::PriorityOrder => "ranks",
            Self::NestedCallsFirst => "calls-first",
            Self::QueueWaitLimit => "patience-cut",
            Self::BulkReserve => "bulk-reserve",
            Self::Subset => "subset",
            Self::Ejection => "ejection",
            Self::CostQueued => "cost-wait",
            Self::CostSlotsInUse => "cost-busy",
            Self::CostFailures => "cost-failing",
            Self::CostOutstanding => "cost-asked",
            Self::CostCrossDataCentre => "cost-crossing",
            Self::TransitDelayCheck => "transit-check",
            Self::PipelinedStart => "early-start",
            Self::UploadScheduling => "upload-turns",
            Self::RetryBudget => "retry-tokens",
            Self::RetryBurst => "retry-reserve",
            Self::IdleConnectionTimeout => "short-rests",
            Self::StoreReader => "leads",
            Self::OverloadThrottle => "overload-throttle",
            Self::CrashLimit => "crash-limit",
            Self::OwnProof => "own-proof",
        }
    }

    /// The names of all mechanisms, in the order of [`Self::ALL`].
    pub fn names() -> [&'static str; Self::ALL.len()] {
        Self::ALL.map(Self::name)
    }

    fn bit(self) -> u32 {
        1 << self as u32
    }
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|mechanism| mechanism.name() == name);
        found.context(UnknownMechanismSnafu { name })
    }
}

/// Which mechanisms are enabled; by default all. The value has a bit for each disabled mechanism.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MechanismSwitches(u32);

impl MechanismSwitches {
    /// Disables `mechanism` and enables all others.
    pub fn disabling(mechanism: Mechanism) -> Self {
        Self(mechanism.bit())
    }

    /// Whether `mechanism` is enabled.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & mechanism.bit() == 0
    }

    /// Whether no mechanism is disabled.
    pub fn all_enabled(self) -> bool {
        self.0 == 0
    }
}

impl FromStr for MechanismSwitches {
    type Err = UnknownMechanism;

    /// Parses a comma-separated list of the mechanisms to disable.
    fn from_str(names: &str) -> Result<Self> {
        let names = names.split(',').map(str::trim);
        let mut switches = Self::default();
        for name in names.filter(|name| !name.is_empty()) {
            switches.0 |= name.parse::<Mechanism>()?.bit();
        }
        Ok(switches)
    }
}

impl fmt::Display for MechanismSwitches {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let disabled = Mechanism::ALL.into_iter();
        let disabled = disabled.filter(|mechanism| !self.is_enabled(*mechanism));
        let names: Vec<&str> = disabled.map(Mechanism::name).collect();
        f.write_str(&names.join(","))
    }
}
