//! Specification of requests on their way: entry node, gate node, backend server.
//!
//! A caller's request goes to an entry, from there to the gate of one backend server, and through
//! it to the backend server. Every leg is a connection that can be lost at any moment; any of the
//! three processes can die; answers come late. An outcome carries a verdict, as in the product:
//! "not run" is said only of what was refused before the backend server saw a byte. Whether to try
//! again is asked of the product's own [`Attempts::take_retry`].
//!
//! Abstracted: time (any timeout may strike at any moment at which one is running), load (the gate
//! may refuse at any moment), bodies, and placement (the gates are tried in any order).

use dragonflywall::core::configuration::{Class, PRIORITY_DEFAULT, Spill, Treatment};
use dragonflywall::core::verdict::Verdict;
use dragonflywall::decide::retry::{AttemptFailure, Attempts, RETRIES_PER_TREE, RetryTokens};

use crate::checker::Specification;

/// Requests at most.
pub const REQUESTS_MAX: usize = 2;
/// Gates, each with its backend server.
pub const GATE_COUNT: usize = 2;

/// How far the search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Callers' requests, at most [`REQUESTS_MAX`].
    pub requests: usize,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Connections lost, timeouts, processes that die.
    pub faults: u8,
}

/// One line of the protocol changed, to see that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Try a non-idempotent request again whatever became of it.
    RetryAlways,
    /// Say "not run" when a connection is lost after forwarding began.
    LostConnectionMeansNotRun,
    /// Say "not run" when the deadline passes after forwarding began.
    TimeoutMeansNotRun,
    /// Forward a request that has been taken out of the queue as refused.
    RunRefusedRequest,
    /// Use a connection for another request while an answer is outstanding on it.
    ReuseConnectionWithAnswerOutstanding,
    /// Tell the verdict of the last attempt alone.
    IgnoreEarlierAttempts,
    /// Never answer a request whose attempt was lost.
    NeverAnswerAfterFailure,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    /// On its way to the gate, or queued there.
    AtGate,
    /// Handed to the backend server; it has not begun.
    Sent,
    /// Ran; the answer is on its way back to the entry.
    Ran,
    /// Refused by the gate; the refusal is on its way back.
    Refused,
    /// Nothing of it is left.
    Finished,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    request: usize,
    gate: usize,
    stage: Stage,
    /// Whether the entry still waits for it.
    entry_waits: bool,
    /// Whether the gate still waits for the backend server's answer.
    gate_waits: bool,
}

/// What a caller has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallerOutcome {
    /// Nothing yet.
    Pending,
    /// The answer to this request.
    Answered(usize),
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// The connection broke: the caller knows nothing.
    ConnectionLost,
}

/// One caller's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Request {
    outcome: CallerOutcome,
    /// The attempts that failed, and whether each was proved not to have run.
    proved_not_run: Vec<bool>,
    /// Times that a backend server ran it.
    run_count: u8,
}

/// The state of all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Request whose answer is still outstanding on a gate's idle connection to its backend server.
    outstanding_answers: [Option<usize>; GATE_COUNT],
    faults: u8,
}

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each is named for what happens")]
pub enum Action {
    Forward { request: usize, gate: usize },
    Refuse { attempt: usize },
    HandToBackend { attempt: usize },
    Run { attempt: usize },
    AnswerArrives { attempt: usize },
    RefusalArrives { attempt: usize },
    LateAnswerUsed { attempt: usize },
    PeerConnectionLost { attempt: usize },
    BackendConnectionLost { attempt: usize },
    DeadlinePasses { attempt: usize },
    GateCrashes { gate: usize },
    BackendServerCrashes { gate: usize },
    EntryCrashes,
    CallerDisconnects { request: usize },
}

/// The protocol at given bounds.
#[derive(Debug)]
pub struct RequestSpec {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

impl RequestSpec {
    /// A protocol to check.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation }
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Whether the product tries again after these failures.
    fn retries_after(&self, proved_not_run: &[bool]) -> bool {
        let treatment = Treatment {
            class: Class::Interactive,
            idempotent: self.bounds.idempotent || self.has_mutation(Mutation::RetryAlways),
            timeout_ms: 1,
            attempts: self.bounds.attempts,
            spill: Spill::Mesh,
            priority: PRIORITY_DEFAULT,
            target_latency_ms: None,
        };
        let mut attempts = Attempts::new(&treatment, RETRIES_PER_TREE);
        let mut tokens = RetryTokens::default();
        let failures = proved_not_run.iter().map(|proved| match proved {
            true => AttemptFailure::NotRun,
            false => AttemptFailure::MayHaveRun,
        });
        let retries = failures.map(|failed| attempts.take_retry(failed, &mut tokens));
        retries.last().unwrap_or(true)
    }

    /// The entry learns that an attempt failed: tries again, or tells the caller at once.
    fn record_failure(&self, state: &mut State, attempt: usize, verdict: Verdict) {
        state.attempts[attempt].entry_waits = false;
        let request = &mut state.requests[state.attempts[attempt].request];
        if request.outcome != CallerOutcome::Pending {
            return;
        }
        request.proved_not_run.push(verdict == Verdict::NotRun);
        if self.retries_after(&request.proved_not_run) {
            return;
        }
        // One attempt that may have run taints all that follow.
        let all_not_run = request.proved_not_run.iter().all(|proved| *proved);
        let report_not_run = all_not_run || self.has_mutation(Mutation::IgnoreEarlierAttempts);
        request.outcome = match verdict {
            Verdict::NotRun if report_not_run => CallerOutcome::NotRun,
            _ => CallerOutcome::MayHaveRun,
        };
    }

    fn lost_connection_verdict(&self) -> Verdict {
        match self.has_mutation(Mutation::LostConnectionMeansNotRun) {
            true => Verdict::NotRun,
            false => Verdict::MayHaveRun,
        }
    }

    fn forward_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for (index, request) in state.requests.iter().enumerate() {
            let is_in_progress =
                |attempt: &Attempt| attempt.request == index && attempt.entry_waits;
            if request.outcome != CallerOutcome::Pending
                || state.attempts.iter().any(is_in_progress)
            {
                continue;
            }
            if self.has_mutation(Mutation::NeverAnswerAfterFailure)
                && !request.proved_not_run.is_empty()
            {
                continue;
            }
            for gate in 0..GATE_COUNT {
                let mut next = state.clone();
                next.attempts.push(Attempt {
                    request: index,
                    gate,
                    stage: Stage::AtGate,
                    entry_waits: true,
                    gate_waits: false,
                });
                steps.push((
                    Action::Forward {
                        request: index,
                        gate,
                    },
                    next,
                ));
            }
        }
    }

    fn attempt_steps(&self, state: &State, index: usize, steps: &mut Vec<(Action, State)>) {
        let attempt = &state.attempts[index];
        let mut step = |action, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((action, next));
        };
        match attempt.stage {
            Stage::AtGate => {
                step(Action::Refuse { attempt: index }, &|next| {
                    next.attempts[index].stage = Stage::Refused;
                });
                let reuses_connection =
                    self.has_mutation(Mutation::ReuseConnectionWithAnswerOutstanding);
                let outstanding_answer = state.outstanding_answers[attempt.gate];
                step(Action::HandToBackend { attempt: index }, &|next| {
                    next.attempts[index].stage = Stage::Sent;
                    next.attempts[index].gate_waits = true;
                });
                if let (true, Some(earlier)) =
                    (reuses_connection && attempt.entry_waits, outstanding_answer)
                {
                    step(Action::LateAnswerUsed { attempt: index }, &|next| {
                        next.attempts[index].stage = Stage::Finished;
                        next.outstanding_answers[attempt.gate] = None;
                        next.attempts[index].entry_waits = false;
                        let request = &mut next.requests[attempt.request];
                        if request.outcome == CallerOutcome::Pending {
                            request.outcome = CallerOutcome::Answered(earlier);
                        }
                    });
                }
            }
            Stage::Sent => step(Action::Run { attempt: index }, &|next| {
                next.requests[attempt.request].run_count += 1;
                next.attempts[index].stage = Stage::Ran;
                if !attempt.gate_waits {
                    // The gate has given up on it, and so on the connection.
                    next.outstanding_answers[attempt.gate] = Some(attempt.request);
                }
            }),
            Stage::Ran => step(Action::AnswerArrives { attempt: index }, &|next| {
                next.attempts[index].stage = Stage::Finished;
                let request = &mut next.requests[attempt.request];
                if attempt.gate_waits
                    && attempt.entry_waits
                    && request.outcome == CallerOutcome::Pending
                {
                    request.outcome = CallerOutcome::Answered(attempt.request);
                }
                next.attempts[index].entry_waits = false;
            }),
            Stage::Refused => {
                step(Action::RefusalArrives { attempt: index }, &|next| {
                    next.attempts[index].stage = Stage::Finished;
                    if attempt.entry_waits {
                        self.record_failure(next, index, Verdict::NotRun);
                    }
                });
                if self.has_mutation(Mutation::RunRefusedRequest) {
                    step(Action::HandToBackend { attempt: index }, &|next| {
                        next.requests[attempt.request].run_count += 1;
                    });
                }
            }
            Stage::Finished => {}
        }
    }

    fn fault_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        if state.faults == 0 {
            return;
        }
        let mut step = |action, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            next.faults -= 1;
            change(&mut next);
            steps.push((action, next));
        };
        for (index, attempt) in state.attempts.iter().enumerate() {
            if attempt.entry_waits {
                // What is at the gate goes on there: the entry only does not hear of it.
                step(Action::PeerConnectionLost { attempt: index }, &|next| {
                    self.record_failure(next, index, self.lost_connection_verdict());
                });
                step(Action::DeadlinePasses { attempt: index }, &|next| {
                    let verdict = match self.has_mutation(Mutation::TimeoutMeansNotRun) {
                        true => Verdict::NotRun,
                        false => Verdict::MayHaveRun,
                    };
                    next.attempts[index].gate_waits = false;
                    self.record_failure(next, index, verdict);
                });
            }
            if matches!(attempt.stage, Stage::Sent | Stage::Ran) && attempt.gate_waits {
                // What was sent may still run.
                step(Action::BackendConnectionLost { attempt: index }, &|next| {
                    next.attempts[index].gate_waits = false;
                    self.record_failure(next, index, self.lost_connection_verdict());
                });
            }
        }
        for gate in 0..GATE_COUNT {
            if state.attempts.iter().any(|attempt| attempt.gate == gate) {
                step(Action::GateCrashes { gate }, &|next| {
                    self.crash(next, gate, |stage| stage != Stage::Sent);
                });
                step(Action::BackendServerCrashes { gate }, &|next| {
                    self.crash(next, gate, |stage| {
                        matches!(stage, Stage::Sent | Stage::Ran)
                    });
                });
            }
        }
        step(Action::EntryCrashes, &|next| {
            for request in &mut next.requests {
                if request.outcome == CallerOutcome::Pending {
                    request.outcome = CallerOutcome::ConnectionLost;
                }
            }
            for attempt in &mut next.attempts {
                attempt.entry_waits = false;
            }
        });
        for (index, request) in state.requests.iter().enumerate() {
            if request.outcome == CallerOutcome::Pending {
                step(Action::CallerDisconnects { request: index }, &|next| {
                    next.requests[index].outcome = CallerOutcome::ConnectionLost;
                });
            }
        }
    }

    /// A process behind the entry dies: what it held in stages `is_lost` is gone, and whoever waited
    /// for any of its attempts sees the connection break.
    fn crash(&self, state: &mut State, gate: usize, is_lost: impl Fn(Stage) -> bool) {
        state.outstanding_answers[gate] = None;
        for index in 0..state.attempts.len() {
            let attempt = &mut state.attempts[index];
            if attempt.gate != gate || attempt.stage == Stage::Finished {
                continue;
            }
            let failure_detected =
                attempt.entry_waits && is_lost(attempt.stage) || attempt.gate_waits;
            attempt.gate_waits = false;
            if is_lost(attempt.stage) {
                attempt.stage = Stage::Finished;
            }
            if failure_detected && attempt.entry_waits {
                self.record_failure(state, index, self.lost_connection_verdict());
            }
        }
    }
}

impl Specification for RequestSpec {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let request = Request {
            outcome: CallerOutcome::Pending,
            proved_not_run: Vec::new(),
            run_count: 0,
        };
        State {
            requests: vec![request; self.bounds.requests],
            attempts: Vec::new(),
            outstanding_answers: [None; GATE_COUNT],
            faults: self.bounds.faults,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        self.forward_steps(state, &mut steps);
        for index in 0..state.attempts.len() {
            self.attempt_steps(state, index, &mut steps);
        }
        self.fault_steps(state, &mut steps);
        steps
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        for (index, request) in state.requests.iter().enumerate() {
            if request.run_count > 1 && !self.bounds.idempotent {
                return Some("a non-idempotent request runs at most once");
            }
            if request.outcome == CallerOutcome::NotRun && request.run_count > 0 {
                return Some("a request that is called not run did not run");
            }
            if matches!(request.outcome, CallerOutcome::Answered(answered) if answered != index) {
                return Some("every caller gets the answer to its own request");
            }
        }
        None
    }

    fn without_faults(&self, state: &State) -> Option<State> {
        let mut fault_free = state.clone();
        fault_free.faults = 0;
        Some(fault_free)
    }

    fn is_settled(&self, state: &State) -> bool {
        let has_outcome = |request: &Request| request.outcome != CallerOutcome::Pending;
        state.requests.iter().all(has_outcome)
    }
}
