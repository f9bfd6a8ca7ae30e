//! Specification of request forwarding: entry node, gate node and backend server.
//!
//! A caller sends a request to an entry. The entry forwards it to the gate in front of one backend
//! server, and the gate hands it to that backend server. Any of these connections can be lost at any
//! time, any of the three processes can crash, and answers can be late. The caller receives an answer
//! or a verdict, as in the product: "not run" is reported only if the gate refused the request before
//! the backend server received a byte of it. The product's own [`Attempts::take_retry`] decides
//! on retries.
//!
//! The specification leaves out time (a timeout may expire at any moment while it is pending), load
//! (the gate may refuse a request at any moment), request bodies, and endpoint selection (any gate may
//! be tried next).

use dragonflywall::core::configuration::{Class, PRIORITY_DEFAULT, Spill, Treatment};
use dragonflywall::core::verdict::Verdict;
use dragonflywall::decide::retry::{AttemptFailure, Attempts, RETRIES_PER_TREE, RetryTokens};

use crate::checker::Specification;

/// Maximum number of requests.
pub const REQUESTS_MAX: usize = 2;
/// Number of gates. Each gate has one backend server.
pub const GATE_COUNT: usize = 2;

/// Limits that keep the number of states finite.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of concurrent requests, at most [`REQUESTS_MAX`].
    pub requests: usize,
    /// Whether the requests are idempotent, so that running one twice does no harm.
    pub idempotent: bool,
    /// Maximum number of attempts of one request, the first included.
    pub attempts: u32,
    /// Number of faults: lost connections, expired deadlines, crashes, and callers that disconnect.
    pub faults: u8,
}

/// A change that breaks the protocol, to test that the checker finds a counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A non-idempotent request is retried even if it may have run.
    RetryAlways,
    /// A connection lost after forwarding began is reported as "not run".
    LostConnectionMeansNotRun,
    /// A deadline that passes after forwarding began is reported as "not run".
    TimeoutMeansNotRun,
    /// The gate hands a request to the backend server although it has refused the request.
    RunRefusedRequest,
    /// The gate sends a request on a backend connection on which the answer to an earlier request is
    /// outstanding.
    ReuseConnectionWithAnswerOutstanding,
    /// The verdict reported to the caller depends only on the last attempt.
    IgnoreEarlierAttempts,
    /// A request gets neither a retry nor an answer after a failed attempt.
    NeverAnswerAfterFailure,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    /// In flight to the gate, or queued there.
    AtGate,
    /// Handed to the backend server, which has not run it yet.
    Sent,
    /// Run by the backend server; the answer is in flight to the entry.
    Ran,
    /// Refused by the gate; the refusal is in flight to the entry.
    Refused,
    /// No process handles the attempt any more.
    Finished,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    request: usize,
    gate: usize,
    stage: Stage,
    /// Whether the entry still waits for the result.
    entry_waits: bool,
    /// Whether the gate still waits for the backend server's answer.
    gate_waits: bool,
}

/// What the caller of a request has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallerOutcome {
    /// Nothing so far.
    Pending,
    /// The answer to the request with this index, which must be the caller's own.
    Answered(usize),
    /// The verdict that the request did not run.
    NotRun,
    /// The verdict that the request may have run.
    MayHaveRun,
    /// Nothing: its connection to the entry was closed, so the caller cannot tell whether the request
    /// ran.
    ConnectionLost,
}

/// One caller's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Request {
    outcome: CallerOutcome,
    /// For each failed attempt, whether it is proved that it did not run.
    proved_not_run: Vec<bool>,
    /// How many times backend servers have run the request.
    run_count: u8,
}

/// The state of all requests, attempts and backend connections, with the faults still allowed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// For each gate, the request whose answer is outstanding on its idle connection to the backend
    /// server, because the gate stopped waiting for that answer.
    outstanding_answers: [Option<usize>; GATE_COUNT],
    faults: u8,
}

/// Label of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each variant is named after its transition")]
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

/// The specification of request forwarding with given bounds.
#[derive(Debug)]
pub struct RequestSpec {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

impl RequestSpec {
    /// Creates the specification. A `mutation` breaks the protocol, to test the checker.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation }
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Whether the product's retry rule allows another attempt after the given failures.
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

    /// Records at the entry that an attempt failed. If no retry is allowed, the caller receives a
    /// verdict at once.
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
        // If any attempt may have run, the request may have run, whatever the last verdict is.
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
                    // The gate no longer waits for the answer, which stays outstanding.
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
                // The gate still handles the attempt; only the entry no longer gets its result.
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
                // The backend server may still run a request that it has been sent.
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

    /// Crashes a gate or its backend server. Attempts in a stage for which `is_lost` returns true are
    /// lost. The entry detects a lost connection if it waits for such an attempt, or for one whose
    /// answer the gate waited for.
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
                return Some("a request reported as not run did not run");
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
