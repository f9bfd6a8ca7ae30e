//! States, transitions, bounds and mutations of the specification of publication.

use std::collections::{BTreeMap, BTreeSet};

use dragonflywall::store::{Condition, Transaction};

use crate::operator::{Answer, Command, CommandOutcome};

/// Changes that the operators publish concurrently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Both operators change the same team.
    SameTeam,
    /// Each operator changes a different team.
    DifferentTeams,
    /// One operator removes a resource, and the other adds a call to it. Either change alone is valid,
    /// but not both.
    CrossReference,
}

/// Limits that keep the number of states finite.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The changes that are published.
    pub scenario: Scenario,
    /// How many calls fail because the platform is unavailable.
    pub outages: u8,
    /// How many transactions get no answer, whether their request or the answer to it is lost.
    pub losses: u8,
    /// How many times each operator may run a command, the first time included. A command is run again
    /// only after an unknown outcome.
    pub runs: u8,
}

/// A change that breaks the protocol, to test that the checker finds a counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A commit does not check that the head row is unchanged.
    WithoutHeadCondition,
    /// A commit does not check that the publication's id has no row yet.
    WithoutIdCondition,
    /// A commit checks no condition.
    CommitUnconditionally,
    /// A commit is not atomic: it writes its rows one after the other and stops after the first.
    CommitInParts,
    /// A publication with an unknown outcome is run again under a new id.
    NewIdOnResume,
    /// A resumed run expects the current head instead of the version that the operator has seen.
    ResumeOnCurrentHead,
    /// A resumed run is started as a first run. It then reports a failure as a refusal, although an
    /// earlier run may have committed.
    ResumeAsFirstRun,
    /// An unknown outcome is reported as a refusal.
    LostAnswerMeansRefused,
}

/// An operator's latest command and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OperatorState {
    pub(super) command: Command,
    pub(super) answers: Vec<Answer>,
    pub(super) runs: u8,
    /// The version that the operator saw when the first run read the head. Used only by a property.
    pub(super) head_seen: Option<u64>,
    pub(super) outcome: Option<CommandOutcome>,
}

/// The state of the table, the network and the operators, with the faults still allowed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) rows: BTreeMap<String, (u64, String)>,
    /// Transactions whose request was lost. They stay here, so each may reach the table repeatedly.
    pub(super) delayed_writes: BTreeSet<TableWrite>,
    pub(super) operators: Vec<OperatorState>,
    /// All version rows ever written, in order. Used only by properties.
    pub(super) accepted_rows: Vec<String>,
    pub(super) outages: u8,
    pub(super) losses: u8,
}

/// A [`Transaction`] in a form that can be ordered and hashed. A condition with revision 0 requires
/// that the row does not exist.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TableWrite {
    pub(super) conditions: Vec<(String, u64)>,
    pub(super) puts: Vec<(String, String)>,
}

impl TableWrite {
    pub(super) fn new(transaction: &Transaction) -> Self {
        let condition = |condition: &Condition| match condition {
            Condition::Absent { key } => (key.clone(), 0),
            Condition::Revision { key, revision } => (key.clone(), *revision),
        };
        Self {
            conditions: transaction.conditions.iter().map(condition).collect(),
            puts: transaction.puts.clone().into_iter().collect(),
        }
    }
}

/// Label of a transition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each variant is named after its transition")]
pub enum Action {
    Reads {
        operator: usize,
        key: String,
    },
    PlatformUnavailable {
        operator: usize,
    },
    Commits {
        operator: usize,
    },
    ConditionFails {
        operator: usize,
    },
    AnswerLost {
        operator: usize,
        request_arrived: bool,
    },
    DelayedWriteArrives,
    CommandEnds {
        operator: usize,
        outcome: CommandOutcome,
    },
    RunsCommandAgain {
        operator: usize,
        command: Command,
    },
}
