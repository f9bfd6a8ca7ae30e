//! Specification of publication: concurrent operators, lost answers, and commands that are run again.
//!
//! The operators run the product's own code, see [`crate::operator`]. The platform's table is a map
//! with conditional transactions. A transaction whose request was lost may still reach the table at
//! any later time, and more than once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dragonflywall::store::rows::HEAD_KEY;

mod properties;
mod state;

use crate::checker::Specification;
use crate::configurations::parse_team_record;
use crate::operator::{
    Answer, Command, CommandOutcome, Objects, Operator, Progress, TableCall, is_immutable_row,
};
use properties::head_version;
use state::TableWrite;
pub use state::{Action, Bounds, Mutation, OperatorState, Scenario, State};

/// The specification of publication with given bounds.
#[derive(Debug)]
pub struct PublishSpec {
    bounds: Bounds,
    mutation: Option<Mutation>,
    operators: Vec<Operator>,
    objects: Arc<Objects>,
    initial: State,
}

impl PublishSpec {
    /// Creates the specification. A `mutation` breaks the protocol, to test the checker.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let objects = Arc::new(Objects::default());
        let operators = published_teams(bounds.scenario)
            .iter()
            .enumerate()
            .map(|(index, text)| {
                Operator::new(
                    &format!("id{index}"),
                    vec![parse_team_record(text)],
                    &objects,
                )
            })
            .collect::<Vec<_>>();
        let first_run = OperatorState {
            command: Command::Publish {
                expected: None,
                resumed: false,
                new_id: false,
            },
            answers: Vec::new(),
            runs: 1,
            head_seen: None,
            outcome: None,
        };
        let mut spec = Self {
            bounds,
            mutation: None,
            initial: State {
                rows: BTreeMap::new(),
                delayed_writes: BTreeSet::new(),
                operators: vec![first_run; operators.len()],
                accepted_rows: Vec::new(),
                outages: bounds.outages,
                losses: bounds.losses,
            },
            operators,
            objects,
        };
        spec.initial = spec.publish_first_version();
        spec.mutation = mutation;
        spec
    }

    /// Publishes version 1 without faults or concurrent operators. Returns the state afterwards.
    fn publish_first_version(&self) -> State {
        let texts = [
            team_file("scales", "weigh", ""),
            team_file("prices", "read", ""),
        ];
        let records = texts.iter().map(|text| parse_team_record(text)).collect();
        let operator = Operator::new("first", records, &self.objects);
        let command = self.initial.operators[0].command;
        let mut state = self.initial.clone();
        let mut answers = Vec::new();
        while let Progress::Call(call) = operator.progress_after(command, &answers) {
            answers.push(match call {
                TableCall::Row(key) => Answer::Row(state.rows.get(&key).cloned()),
                TableCall::Transact(transaction) => {
                    self.transact(&mut state, &TableWrite::new(&transaction))
                }
            });
        }
        state
    }

    fn transact(&self, state: &mut State, write: &TableWrite) -> Answer {
        let is_checked = |(key, _): &&(String, u64)| match self.mutation {
            Some(Mutation::WithoutHeadCondition) => key != HEAD_KEY,
            Some(Mutation::CommitUnconditionally) => false,
            Some(Mutation::WithoutIdCondition) => !key.starts_with("publish/"),
            _ => true,
        };
        let revision = |key: &String| state.rows.get(key).map_or(0, |row| row.0);
        let mut conditions = write.conditions.iter().filter(is_checked);
        if !conditions.all(|(key, expected)| revision(key) == *expected) {
            return Answer::ConditionFailed;
        }
        for (key, value) in &write.puts {
            let row = state.rows.entry(key.clone()).or_default();
            row.0 += 1;
            row.1.clone_from(value);
            if is_immutable_row(key) {
                state.accepted_rows.push(value.clone());
            }
            if self.mutation == Some(Mutation::CommitInParts) {
                break;
            }
        }
        Answer::Committed
    }

    /// Passes `answer` to an operator's command, then answers the reads of version rows that follow.
    /// A version row never changes, so the time at which it is read makes no difference.
    fn deliver_answer(&self, state: &mut State, index: usize, answer: Answer) {
        let operator_state = &mut state.operators[index];
        operator_state.answers.push(answer);
        while let Progress::Call(TableCall::Row(key)) =
            self.operators[index].progress_after(operator_state.command, &operator_state.answers)
            && is_immutable_row(&key)
        {
            let row = state.rows.get(&key).cloned();
            operator_state.answers.push(Answer::Row(row));
        }
    }

    fn operator_steps(&self, state: &State, index: usize, steps: &mut Vec<(Action, State)>) {
        let operator_state = &state.operators[index];
        if let Some(outcome) = operator_state.outcome {
            if let CommandOutcome::Unknown(reported_head) = outcome {
                self.rerun_steps(state, index, reported_head, steps);
            }
            return;
        }
        let mut step = |action, answer, mut next: State| {
            self.deliver_answer(&mut next, index, answer);
            steps.push((action, next));
        };
        let operator = index;
        let call = match self.operators[index]
            .progress_after(operator_state.command, &operator_state.answers)
        {
            Progress::Ended(outcome) => {
                let mut next = state.clone();
                next.operators[index].outcome = Some(self.reported_outcome(outcome));
                next.operators[index].answers.clear();
                steps.push((Action::CommandEnds { operator, outcome }, next));
                return;
            }
            Progress::Call(call) => call,
        };
        if state.outages > 0 {
            let mut next = state.clone();
            next.outages -= 1;
            step(
                Action::PlatformUnavailable { operator },
                Answer::Unavailable,
                next,
            );
        }
        match call {
            TableCall::Row(key) => {
                let row = state.rows.get(&key).cloned();
                let mut next = state.clone();
                if key == HEAD_KEY && operator_state.head_seen.is_none() {
                    next.operators[index].head_seen = Some(head_version(state));
                }
                step(Action::Reads { operator, key }, Answer::Row(row), next);
            }
            TableCall::Transact(transaction) => {
                let write = TableWrite::new(&transaction);
                let mut next = state.clone();
                let answer = self.transact(&mut next, &write);
                let action = match answer {
                    Answer::Committed => Action::Commits { operator },
                    _ => Action::ConditionFails { operator },
                };
                let after_transaction = next.clone();
                step(action, answer, next);
                if state.losses == 0 {
                    return;
                }
                for request_arrived in [true, false] {
                    let mut next = if request_arrived {
                        &after_transaction
                    } else {
                        state
                    }
                    .clone();
                    next.losses -= 1;
                    if !request_arrived {
                        next.delayed_writes.insert(write.clone());
                    }
                    let action = Action::AnswerLost {
                        operator,
                        request_arrived,
                    };
                    step(action, Answer::Lost, next);
                }
            }
        }
    }

    fn reported_outcome(&self, outcome: CommandOutcome) -> CommandOutcome {
        match (self.mutation, outcome) {
            (Some(Mutation::LostAnswerMeansRefused), CommandOutcome::Unknown(_)) => {
                CommandOutcome::Refused
            }
            _ => outcome,
        }
    }

    fn rerun_steps(
        &self,
        state: &State,
        index: usize,
        reported_head: Option<u64>,
        steps: &mut Vec<(Action, State)>,
    ) {
        let operator_state = &state.operators[index];
        if operator_state.runs >= self.bounds.runs {
            return;
        }
        let reported_head = match operator_state.command {
            Command::Publish { .. } => reported_head,
            Command::Settle => None,
        };
        let expected =
            reported_head.filter(|_| self.mutation != Some(Mutation::ResumeOnCurrentHead));
        let resume = Command::Publish {
            expected,
            resumed: self.mutation != Some(Mutation::ResumeAsFirstRun),
            new_id: self.mutation == Some(Mutation::NewIdOnResume),
        };
        let mut commands = vec![Command::Settle];
        // The product refuses to resume a publication with files but without the version to expect.
        if reported_head.is_some() {
            commands.push(resume);
        }
        for command in commands {
            let mut next = state.clone();
            next.operators[index] = OperatorState {
                command,
                answers: Vec::new(),
                runs: operator_state.runs + 1,
                head_seen: operator_state.head_seen,
                outcome: None,
            };
            let action = Action::RunsCommandAgain {
                operator: index,
                command,
            };
            steps.push((action, next));
        }
    }
}

fn published_teams(scenario: Scenario) -> Vec<String> {
    match scenario {
        Scenario::SameTeam => vec![
            team_file("scales", "sheet", ""),
            team_file("scales", "photo", ""),
        ],
        Scenario::DifferentTeams => vec![
            team_file("scales", "sheet", ""),
            team_file("prices", "list", ""),
        ],
        Scenario::CrossReference => {
            let calls = "[calls]\nscales = [\"weigh\"]\n";
            vec![
                team_file("scales", "sheet", ""),
                team_file("prices", "read", calls),
            ]
        }
    }
}

fn team_file(name: &str, resource: &str, calls: &str) -> String {
    format!(
        "team = \"{name}\"\n[service.{name}]\nslots_per_endpoint = 1\n\
         connections_per_endpoint = 1\n[service.{name}.resource.{resource}]\nidempotent = true\n\
         [[service.{name}.route]]\npath = \"/\"\nresource = \"{resource}\"\n{calls}"
    )
}

impl Specification for PublishSpec {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        self.initial.clone()
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for index in 0..self.operators.len() {
            self.operator_steps(state, index, &mut steps);
        }
        for write in &state.delayed_writes {
            let mut next = state.clone();
            if self.transact(&mut next, write) == Answer::Committed {
                steps.push((Action::DelayedWriteArrives, next));
            }
        }
        steps
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        self.first_violation(state)
    }

    /// Each command may be run once more, and that run has to determine its outcome.
    fn without_faults(&self, state: &State) -> Option<State> {
        let mut fault_free = state.clone();
        fault_free.outages = 0;
        fault_free.losses = 0;
        for operator in &mut fault_free.operators {
            operator.runs = operator.runs.min(self.bounds.runs - 1);
        }
        Some(fault_free)
    }

    fn is_settled(&self, state: &State) -> bool {
        let is_outcome_known = |operator_state: &OperatorState| {
            matches!(
                operator_state.outcome,
                Some(CommandOutcome::Published(_) | CommandOutcome::Refused)
            )
        };
        state.operators.iter().all(is_outcome_known)
    }
}
