//! Specification of publication: operators at once, answers lost, commands run again.
//!
//! The operators' side is the product's own code, see [`crate::operator`]. The table is a map with
//! conditional transactions. A lost write may arrive at any later time, also more than once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dragonflywall::store::rows::HEAD_KEY;

mod properties;
mod state;

use crate::checker::Specification;
use crate::configurations::record;
use crate::operator::{Answer, Call, Command, End, Next, Objects, Operator, is_final_row};
use properties::head;
use state::Write;
pub use state::{Action, Bounds, Mutation, Running, Scenario, State};

/// The protocol at given bounds.
#[derive(Debug)]
pub struct Publish {
    bounds: Bounds,
    mutation: Option<Mutation>,
    operators: Vec<Operator>,
    objects: Arc<Objects>,
    initial: State,
}

impl Publish {
    /// A protocol to check.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let objects = Arc::new(Objects::default());
        let operators = teams_of(bounds.scenario)
            .iter()
            .enumerate()
            .map(|(at, text)| Operator::new(&format!("id{at}"), vec![record(text)], &objects))
            .collect::<Vec<_>>();
        let running = Running {
            command: Command::Publish {
                expected: None,
                resumed: false,
                new_id: false,
            },
            answers: Vec::new(),
            runs: 1,
            saw: None,
            ended: None,
        };
        let mut spec = Self {
            bounds,
            mutation: None,
            initial: State {
                rows: BTreeMap::new(),
                in_flight: BTreeSet::new(),
                operators: vec![running; operators.len()],
                accepted: Vec::new(),
                outages: bounds.outages,
                losses: bounds.losses,
            },
            operators,
            objects,
        };
        spec.initial = spec.first_version();
        spec.mutation = mutation;
        spec
    }

    /// Publishes version 1 undisturbed.
    fn first_version(&self) -> State {
        let texts = [team("scales", "weigh", ""), team("prices", "read", "")];
        let records = texts.iter().map(|text| record(text)).collect();
        let operator = Operator::new("first", records, &self.objects);
        let command = self.initial.operators[0].command;
        let mut state = self.initial.clone();
        let mut answers = Vec::new();
        while let Next::Call(call) = operator.next(command, &answers) {
            answers.push(match call {
                Call::Row(key) => Answer::Row(state.rows.get(&key).cloned()),
                Call::Transact(transaction) => self.run(&mut state, &Write::new(&transaction)),
            });
        }
        state
    }

    fn run(&self, state: &mut State, write: &Write) -> Answer {
        let needed = |(key, _): &&(String, u64)| match self.mutation {
            Some(Mutation::WithoutHeadCondition) => key != HEAD_KEY,
            Some(Mutation::Unconditionally) => false,
            Some(Mutation::WithoutIdCondition) => !key.starts_with("publish/"),
            _ => true,
        };
        let revision = |key: &String| state.rows.get(key).map_or(0, |row| row.0);
        let mut conditions = write.conditions.iter().filter(needed);
        if !conditions.all(|(key, expected)| revision(key) == *expected) {
            return Answer::ConditionFailed;
        }
        for (key, value) in &write.puts {
            let row = state.rows.entry(key.clone()).or_default();
            row.0 += 1;
            row.1.clone_from(value);
            if is_final_row(key) {
                state.accepted.push(value.clone());
            }
            if self.mutation == Some(Mutation::CommitInParts) {
                break;
            }
        }
        Answer::Committed
    }

    /// Gives an operator an answer, and then all that can be answered at any time alike.
    fn answered(&self, state: &mut State, at: usize, answer: Answer) {
        let running = &mut state.operators[at];
        running.answers.push(answer);
        while let Next::Call(Call::Row(key)) =
            self.operators[at].next(running.command, &running.answers)
            && is_final_row(&key)
        {
            let row = state.rows.get(&key).cloned();
            running.answers.push(Answer::Row(row));
        }
    }

    fn operator_steps(&self, state: &State, at: usize, steps: &mut Vec<(Action, State)>) {
        let running = &state.operators[at];
        if let Some(end) = running.ended {
            if let End::Unknown(seen) = end {
                self.run_again(state, at, seen, steps);
            }
            return;
        }
        let mut step = |action, answer, mut next: State| {
            self.answered(&mut next, at, answer);
            steps.push((action, next));
        };
        let operator = at;
        let call = match self.operators[at].next(running.command, &running.answers) {
            Next::End(end) => {
                let mut next = state.clone();
                next.operators[at].ended = Some(self.told(end));
                next.operators[at].answers.clear();
                steps.push((Action::Ends { operator, end }, next));
                return;
            }
            Next::Call(call) => call,
        };
        if state.outages > 0 {
            let mut next = state.clone();
            next.outages -= 1;
            step(Action::PlatformAway { operator }, Answer::Unavailable, next);
        }
        match call {
            Call::Row(key) => {
                let row = state.rows.get(&key).cloned();
                let mut next = state.clone();
                if key == HEAD_KEY && running.saw.is_none() {
                    next.operators[at].saw = Some(head(state));
                }
                step(Action::Reads { operator, key }, Answer::Row(row), next);
            }
            Call::Transact(transaction) => {
                let write = Write::new(&transaction);
                let mut next = state.clone();
                let answer = self.run(&mut next, &write);
                let action = match answer {
                    Answer::Committed => Action::Commits { operator },
                    _ => Action::ConditionFails { operator },
                };
                let effect = next.clone();
                step(action, answer, next);
                if state.losses == 0 {
                    return;
                }
                for on_its_way_back in [true, false] {
                    let mut next = if on_its_way_back { &effect } else { state }.clone();
                    next.losses -= 1;
                    if !on_its_way_back {
                        next.in_flight.insert(write.clone());
                    }
                    let action = Action::AnswerLost {
                        operator,
                        on_its_way_back,
                    };
                    step(action, Answer::Lost, next);
                }
            }
        }
    }

    fn told(&self, end: End) -> End {
        match (self.mutation, end) {
            (Some(Mutation::LostMeansRefused), End::Unknown(_)) => End::Refused,
            _ => end,
        }
    }

    fn run_again(
        &self,
        state: &State,
        at: usize,
        seen: Option<u64>,
        steps: &mut Vec<(Action, State)>,
    ) {
        let running = &state.operators[at];
        if running.runs >= self.bounds.runs {
            return;
        }
        let seen = match running.command {
            Command::Publish { .. } => seen,
            Command::Settle => None,
        };
        let expected = seen.filter(|_| self.mutation != Some(Mutation::ResumeOnNewHead));
        let resume = Command::Publish {
            expected,
            resumed: self.mutation != Some(Mutation::ResumeAsFirstRun),
            new_id: self.mutation == Some(Mutation::NewIdOnResume),
        };
        let mut commands = vec![Command::Settle];
        // Without the version that was seen, the product refuses to go on with the files.
        if seen.is_some() {
            commands.push(resume);
        }
        for command in commands {
            let mut next = state.clone();
            next.operators[at] = Running {
                command,
                answers: Vec::new(),
                runs: running.runs + 1,
                saw: running.saw,
                ended: None,
            };
            let action = Action::RunsAgain {
                operator: at,
                command,
            };
            steps.push((action, next));
        }
    }
}

fn teams_of(scenario: Scenario) -> Vec<String> {
    match scenario {
        Scenario::SameTeam => vec![team("scales", "sheet", ""), team("scales", "photo", "")],
        Scenario::DifferentTeams => vec![team("scales", "sheet", ""), team("prices", "list", "")],
        Scenario::CrossReference => {
            let calls = "[calls]\nscales = [\"weigh\"]\n";
            vec![team("scales", "sheet", ""), team("prices", "read", calls)]
        }
    }
}

fn team(name: &str, resource: &str, calls: &str) -> String {
    format!(
        "team = \"{name}\"\n[service.{name}]\nslots_per_endpoint = 1\n\
         connections_per_endpoint = 1\n[service.{name}.resource.{resource}]\nidempotent = true\n\
         [[service.{name}.route]]\npath = \"/\"\nresource = \"{resource}\"\n{calls}"
    )
}

impl Specification for Publish {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        self.initial.clone()
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for at in 0..self.operators.len() {
            self.operator_steps(state, at, &mut steps);
        }
        for write in &state.in_flight {
            let mut next = state.clone();
            if self.run(&mut next, write) == Answer::Committed {
                steps.push((Action::LostWriteArrives, next));
            }
        }
        steps
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        self.first_violation(state)
    }

    /// Every command may then be run again once more, which has to settle it.
    fn without_faults(&self, state: &State) -> Option<State> {
        let mut calm = state.clone();
        calm.outages = 0;
        calm.losses = 0;
        for operator in &mut calm.operators {
            operator.runs = operator.runs.min(self.bounds.runs - 1);
        }
        Some(calm)
    }

    fn settled(&self, state: &State) -> bool {
        let known =
            |running: &Running| matches!(running.ended, Some(End::Published(_) | End::Refused));
        state.operators.iter().all(known)
    }
}
