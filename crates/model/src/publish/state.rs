//! States, steps and bounds of the specification.

use std::collections::{BTreeMap, BTreeSet};

use dragonflywall::store::{Condition, Transaction};

use crate::operator::{Answer, Command, CommandOutcome};

/// What the operators publish at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Both change the same team.
    SameTeam,
    /// Each changes a team of its own.
    DifferentTeams,
    /// One takes away the resource that the other begins to call: each alone is valid.
    CrossReference,
}

/// How far the search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// What is published.
    pub scenario: Scenario,
    /// Times that the platform is away for one call.
    pub outages: u8,
    /// Answers lost, before or after the transaction took effect.
    pub losses: u8,
    /// Commands that may be run again after an unknown outcome, each operator.
    pub runs: u8,
}

/// One line of the protocol changed, to see that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Commit without the condition on the head.
    WithoutHeadCondition,
    /// Commit without the condition on the publication's id.
    WithoutIdCondition,
    /// Put the rows whatever is there.
    CommitUnconditionally,
    /// Write the head, the version's row and the id one after the other.
    CommitInParts,
    /// Run a lost publication again under a new id.
    NewIdOnResume,
    /// Resume on the head of the moment, not on the version that the operator has seen.
    ResumeOnCurrentHead,
    /// Resume as if no earlier run were unsettled: any failure is a refusal.
    ResumeAsFirstRun,
    /// Take a lost answer for a refusal.
    LostAnswerMeansRefused,
}

/// One operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OperatorState {
    pub(super) command: Command,
    pub(super) answers: Vec<Answer>,
    pub(super) runs: u8,
    /// The version that the operator saw when the first run read the head. Only a property looks
    /// at it.
    pub(super) head_seen: Option<u64>,
    pub(super) outcome: Option<CommandOutcome>,
}

/// The state of table, network and operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) rows: BTreeMap<String, (u64, String)>,
    /// Writes on their way, as (conditions, puts).
    pub(super) delayed_writes: BTreeSet<TableWrite>,
    pub(super) operators: Vec<OperatorState>,
    /// Versions' rows in the order in which they were accepted. Only properties look at it.
    pub(super) accepted_rows: Vec<String>,
    pub(super) outages: u8,
    pub(super) losses: u8,
}

/// A transaction in a form that can be ordered and hashed.
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

/// A step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each is named for what happens")]
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
