//! Mechanisms that an operator may switch off, one by one.
//!
//! Each is worth having under some load and may do harm under another. Switching one off is for an
//! emergency, and for measuring what it is worth.

use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu};

/// Result of this module.
pub type Result<T, E = UnknownMechanism> = std::result::Result<T, E>;

/// A name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("there is no mechanism `{name}`; there are {}", Mechanism::names().join(", ")))]
pub struct UnknownMechanism {
    /// What was given.
    pub name: String,
}

/// A mechanism that a node can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Mechanism {
    /// A request asks some endpoints for a slot that is free at once before it waits at one.
    FreeSlotProbes,
    /// Among requests that are as urgent the one that is due first goes first; else the first that came.
    DeadlineOrder,
    /// More urgent ranks go first at a gate.
    PriorityOrder,
    /// Calls of running requests go before callers' requests at a gate.
    NestedCallsFirst,
    /// A request waits for a slot for a part of its target latency at most; else until its deadline.
    QueueWaitLimit,
    /// Slots that are kept free of bulk work.
    BulkReserve,
    /// An entry uses some endpoints of a service and distance; else all.
    Subset,
    /// Endpoints that fail are left out for a while.
    Ejection,
    /// The cost of an endpoint counts requests that wait there.
    CostQueued,
    /// The cost of an endpoint counts slots in use.
    CostSlotsInUse,
    /// The cost of an endpoint counts its failures.
    CostFailures,
    /// The cost of an endpoint counts requests outstanding where nothing is known.
    CostOutstanding,
    /// The cost of an endpoint counts bytes that leave the data centre.
    CostCrossZone,
    /// A gate refuses what was held up on its way.
    TransitDelayCheck,
    /// Pipelined requests are started before those ahead of them are answered.
    PipelinedStart,
    /// Large bodies come in by turns, before their request has its slot.
    UploadScheduling,
    /// Retries of a service are limited in proportion to its requests.
    RetryBudget,
    /// Retries may be saved up for a bad moment.
    RetryBurst,
    /// A backend connection that has rested is not used again.
    IdleConnectionLimit,
    /// One node of a data centre reads the store for the others.
    StoreReader,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 20] = [
        Self::FreeSlotProbes,
        Self::DeadlineOrder,
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
        Self::CostCrossZone,
        Self::TransitDelayCheck,
        Self::PipelinedStart,
        Self::UploadScheduling,
        Self::RetryBudget,
        Self::RetryBurst,
        Self::IdleConnectionLimit,
        Self::StoreReader,
    ];

    /// Its name, as an operator gives it.
    pub fn name(self) -> &'static str {
        match self {
            Self::FreeSlotProbes => "free-slot-looks",
            Self::DeadlineOrder => "due-order",
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
            Self::CostCrossZone => "cost-crossing",
            Self::TransitDelayCheck => "transit-check",
            Self::PipelinedStart => "early-start",
            Self::UploadScheduling => "upload-turns",
            Self::RetryBudget => "retry-tokens",
            Self::RetryBurst => "retry-reserve",
            Self::IdleConnectionLimit => "short-rests",
            Self::StoreReader => "leads",
        }
    }

    /// The names of all mechanisms.
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

/// The mechanisms that are switched off; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MechanismSwitches(u32);

impl MechanismSwitches {
    /// This one alone.
    pub fn disabling(mechanism: Mechanism) -> Self {
        Self(mechanism.bit())
    }

    /// Whether `mechanism` works.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & mechanism.bit() == 0
    }

    /// Whether nothing is switched off.
    pub fn all_enabled(self) -> bool {
        self.0 == 0
    }
}

impl FromStr for MechanismSwitches {
    type Err = UnknownMechanism;

    /// Names with commas between them.
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
