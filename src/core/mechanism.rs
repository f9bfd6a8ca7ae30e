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
    FreeSlotLooks,
    /// Among requests that are as urgent the one that is due first goes first; else the first that came.
    DueOrder,
    /// More urgent ranks go first at a gate.
    Ranks,
    /// Calls of running requests go before callers' requests at a gate.
    CallsFirst,
    /// A request waits for a slot for a part of its target latency at most; else until its deadline.
    PatienceCut,
    /// Slots that are kept free of bulk work.
    BulkReserve,
    /// An entry uses some endpoints of a service and distance; else all.
    Subset,
    /// Endpoints that fail are left out for a while.
    Ejection,
    /// The cost of an endpoint counts requests that wait there.
    CostWait,
    /// The cost of an endpoint counts slots in use.
    CostBusy,
    /// The cost of an endpoint counts its failures.
    CostFailing,
    /// The cost of an endpoint counts requests outstanding where nothing is known.
    CostAsked,
    /// The cost of an endpoint counts bytes that leave the data centre.
    CostCrossing,
    /// A gate refuses what was held up on its way.
    TransitCheck,
    /// Pipelined requests are started before those ahead of them are answered.
    EarlyStart,
    /// Large bodies come in by turns, before their request has its slot.
    UploadTurns,
    /// Retries of a service are limited in proportion to its requests.
    RetryTokens,
    /// Retries may be saved up for a bad moment.
    RetryReserve,
    /// A backend connection that has rested is not used again.
    ShortRests,
    /// One node of a data centre reads the store for the others.
    Leads,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 20] = [
        Self::FreeSlotLooks,
        Self::DueOrder,
        Self::Ranks,
        Self::CallsFirst,
        Self::PatienceCut,
        Self::BulkReserve,
        Self::Subset,
        Self::Ejection,
        Self::CostWait,
        Self::CostBusy,
        Self::CostFailing,
        Self::CostAsked,
        Self::CostCrossing,
        Self::TransitCheck,
        Self::EarlyStart,
        Self::UploadTurns,
        Self::RetryTokens,
        Self::RetryReserve,
        Self::ShortRests,
        Self::Leads,
    ];

    /// Its name, as an operator gives it.
    pub fn name(self) -> &'static str {
        match self {
            Self::FreeSlotLooks => "free-slot-looks",
            Self::DueOrder => "due-order",
            Self::Ranks => "ranks",
            Self::CallsFirst => "calls-first",
            Self::PatienceCut => "patience-cut",
            Self::BulkReserve => "bulk-reserve",
            Self::Subset => "subset",
            Self::Ejection => "ejection",
            Self::CostWait => "cost-wait",
            Self::CostBusy => "cost-busy",
            Self::CostFailing => "cost-failing",
            Self::CostAsked => "cost-asked",
            Self::CostCrossing => "cost-crossing",
            Self::TransitCheck => "transit-check",
            Self::EarlyStart => "early-start",
            Self::UploadTurns => "upload-turns",
            Self::RetryTokens => "retry-tokens",
            Self::RetryReserve => "retry-reserve",
            Self::ShortRests => "short-rests",
            Self::Leads => "leads",
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
pub struct Without(u32);

impl Without {
    /// This one alone.
    pub fn only(mechanism: Mechanism) -> Self {
        Self(mechanism.bit())
    }

    /// Whether `mechanism` works.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & mechanism.bit() == 0
    }

    /// Whether nothing is switched off.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl FromStr for Without {
    type Err = UnknownMechanism;

    /// Names with commas between them.
    fn from_str(names: &str) -> Result<Self> {
        let names = names.split(',').map(str::trim);
        let mut without = Self::default();
        for name in names.filter(|name| !name.is_empty()) {
            without.0 |= name.parse::<Mechanism>()?.bit();
        }
        Ok(without)
    }
}

impl fmt::Display for Without {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = Mechanism::ALL.into_iter();
        let off = off.filter(|mechanism| !self.has(*mechanism));
        let names: Vec<&str> = off.map(Mechanism::name).collect();
        f.write_str(&names.join(","))
    }
}
