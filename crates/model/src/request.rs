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
pub const GATES: usize = 2;

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
    LostMeansNotRun,
    /// Say "not run" when the deadline passes after forwarding began.
    TimeoutMeansNotRun,
    /// Forward a request that has been taken out of the queue as refused.
    RunRefused,
    /// Use a connection for another request while an answer is outstanding on it.
    ReuseWithAnswerOutstanding,
    /// Tell the verdict of the last attempt alone.
    ForgetEarlierAttempts,
    /// Never answer a request whose attempt was lost.
    HoldBack,
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
    Over,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    request: usize,
    gate: usize,
    stage: Stage,
    /// Whether the entry still waits for it.
    awaited: bool,
    /// Whether the gate still waits for the backend server's answer.
    gate_waits: bool,
}

/// What a caller has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Told {
    /// Nothing yet.
    Waiting,
    /// The answer to this request.
    Answer(usize),
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// The connection broke: the caller knows nothing.
    Broken,
}

/// One caller's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Request {
    told: Told,
    /// The attempts that failed, and whether each was proved not to have run.
    proved_not_run: Vec<bool>,
    /// Times that a backend server ran it.
    ran: u8,
}

/// The state of all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Request whose answer is still outstanding on a gate's idle connection to its backend server.
    outstanding: [Option<usize>; GATES],
    faults: u8,
}

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each is named for what happens")]
pub enum Action {
    Forward { request: usize, gate: usize },
    Refuse { attempt: usize },
    Hand { attempt: usize },
    Run { attempt: usize },
    Answer { attempt: usize },
    RefusalArrives { attempt: usize },
    LateAnswerTaken { attempt: usize },
    PeerConnectionLost { attempt: usize },
    BackendConnectionLost { attempt: usize },
    Deadline { attempt: usize },
    GateDies { gate: usize },
    BackendServerDies { gate: usize },
    EntryDies,
    CallerHangsUp { request: usize },
}

/// The protocol at given bounds.
#[derive(Debug)]
pub struct Requests {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

impl Requests {
    /// A protocol to check.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation }
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Whether the product tries again after these failures.
    fn tries_again(&self, proved_not_run: &[bool]) -> bool {
        let treatment = Treatment {
            class: Class::Interactive,
            idempotent: self.bounds.idempotent || self.mutated(Mutation::RetryAlways),
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
        let again = failures.map(|failed| attempts.take_retry(failed, &mut tokens));
        again.last().unwrap_or(true)
    }

    /// The entry learns that an attempt failed: tries again, or tells the caller at once.
    fn failed(&self, state: &mut State, attempt: usize, verdict: Verdict) {
        state.attempts[attempt].awaited = false;
        let request = &mut state.requests[state.attempts[attempt].request];
        if request.told != Told::Waiting {
            return;
        }
        request.proved_not_run.push(verdict == Verdict::NotRun);
        if self.tries_again(&request.proved_not_run) {
            return;
        }
        // One attempt that may have run taints all that follow.
        let earlier = request.proved_not_run.iter().all(|proved| *proved);
        let proved = earlier || self.mutated(Mutation::ForgetEarlierAttempts);
        request.told = match verdict {
            Verdict::NotRun if proved => Told::NotRun,
            _ => Told::MayHaveRun,
        };
    }

    fn lost(&self) -> Verdict {
        match self.mutated(Mutation::LostMeansNotRun) {
            true => Verdict::NotRun,
            false => Verdict::MayHaveRun,
        }
    }

    fn forward_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        for (at, request) in state.requests.iter().enumerate() {
            let awaited = |attempt: &Attempt| attempt.request == at && attempt.awaited;
            if request.told != Told::Waiting || state.attempts.iter().any(awaited) {
                continue;
            }
            if self.mutated(Mutation::HoldBack) && !request.proved_not_run.is_empty() {
                continue;
            }
            for gate in 0..GATES {
                let mut next = state.clone();
                next.attempts.push(Attempt {
                    request: at,
                    gate,
                    stage: Stage::AtGate,
                    awaited: true,
                    gate_waits: false,
                });
                steps.push((Action::Forward { request: at, gate }, next));
            }
        }
    }

    fn attempt_steps(&self, state: &State, at: usize, steps: &mut Vec<(Action, State)>) {
        let attempt = &state.attempts[at];
        let mut step = |action, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((action, next));
        };
        match attempt.stage {
            Stage::AtGate => {
                step(Action::Refuse { attempt: at }, &|next| {
                    next.attempts[at].stage = Stage::Refused;
                });
                let reuse = self.mutated(Mutation::ReuseWithAnswerOutstanding);
                let outstanding = state.outstanding[attempt.gate];
                step(Action::Hand { attempt: at }, &|next| {
                    next.attempts[at].stage = Stage::Sent;
                    next.attempts[at].gate_waits = true;
                });
                if let (true, Some(earlier)) = (reuse && attempt.awaited, outstanding) {
                    step(Action::LateAnswerTaken { attempt: at }, &|next| {
                        next.attempts[at].stage = Stage::Over;
                        next.outstanding[attempt.gate] = None;
                        next.attempts[at].awaited = false;
                        let request = &mut next.requests[attempt.request];
                        if request.told == Told::Waiting {
                            request.told = Told::Answer(earlier);
                        }
                    });
                }
            }
            Stage::Sent => step(Action::Run { attempt: at }, &|next| {
                next.requests[attempt.request].ran += 1;
                next.attempts[at].stage = Stage::Ran;
                if !attempt.gate_waits {
                    // The gate has given up on it, and so on the connection.
                    next.outstanding[attempt.gate] = Some(attempt.request);
                }
            }),
            Stage::Ran => step(Action::Answer { attempt: at }, &|next| {
                next.attempts[at].stage = Stage::Over;
                let request = &mut next.requests[attempt.request];
                if attempt.gate_waits && attempt.awaited && request.told == Told::Waiting {
                    request.told = Told::Answer(attempt.request);
                }
                next.attempts[at].awaited = false;
            }),
            Stage::Refused => {
                step(Action::RefusalArrives { attempt: at }, &|next| {
                    next.attempts[at].stage = Stage::Over;
                    if attempt.awaited {
                        self.failed(next, at, Verdict::NotRun);
                    }
                });
                if self.mutated(Mutation::RunRefused) {
                    step(Action::Hand { attempt: at }, &|next| {
                        next.requests[attempt.request].ran += 1;
                    });
                }
            }
            Stage::Over => {}
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
        for (at, attempt) in state.attempts.iter().enumerate() {
            if attempt.awaited {
                // What is at the gate goes on there: the entry only does not hear of it.
                step(Action::PeerConnectionLost { attempt: at }, &|next| {
                    self.failed(next, at, self.lost());
                });
                step(Action::Deadline { attempt: at }, &|next| {
                    let verdict = match self.mutated(Mutation::TimeoutMeansNotRun) {
                        true => Verdict::NotRun,
                        false => Verdict::MayHaveRun,
                    };
                    next.attempts[at].gate_waits = false;
                    self.failed(next, at, verdict);
                });
            }
            if matches!(attempt.stage, Stage::Sent | Stage::Ran) && attempt.gate_waits {
                // What was sent may still run.
                step(Action::BackendConnectionLost { attempt: at }, &|next| {
                    next.attempts[at].gate_waits = false;
                    self.failed(next, at, self.lost());
                });
            }
        }
        for gate in 0..GATES {
            if state.attempts.iter().any(|attempt| attempt.gate == gate) {
                step(Action::GateDies { gate }, &|next| {
                    self.die(next, gate, |stage| stage != Stage::Sent);
                });
                step(Action::BackendServerDies { gate }, &|next| {
                    self.die(next, gate, |stage| {
                        matches!(stage, Stage::Sent | Stage::Ran)
                    });
                });
            }
        }
        step(Action::EntryDies, &|next| {
            for request in &mut next.requests {
                if request.told == Told::Waiting {
                    request.told = Told::Broken;
                }
            }
            for attempt in &mut next.attempts {
                attempt.awaited = false;
            }
        });
        for (at, request) in state.requests.iter().enumerate() {
            if request.told == Told::Waiting {
                step(Action::CallerHangsUp { request: at }, &|next| {
                    next.requests[at].told = Told::Broken;
                });
            }
        }
    }

    /// A process behind the entry dies: what it held in stages `gone` is gone, and whoever waited
    /// for any of its attempts sees the connection break.
    fn die(&self, state: &mut State, gate: usize, gone: impl Fn(Stage) -> bool) {
        state.outstanding[gate] = None;
        for at in 0..state.attempts.len() {
            let attempt = &mut state.attempts[at];
            if attempt.gate != gate || attempt.stage == Stage::Over {
                continue;
            }
            let waited = attempt.awaited && gone(attempt.stage) || attempt.gate_waits;
            attempt.gate_waits = false;
            if gone(attempt.stage) {
                attempt.stage = Stage::Over;
            }
            if waited && attempt.awaited {
                self.failed(state, at, self.lost());
            }
        }
    }
}

impl Specification for Requests {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let request = Request {
            told: Told::Waiting,
            proved_not_run: Vec::new(),
            ran: 0,
        };
        State {
            requests: vec![request; self.bounds.requests],
            attempts: Vec::new(),
            outstanding: [None; GATES],
            faults: self.bounds.faults,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        self.forward_steps(state, &mut steps);
        for at in 0..state.attempts.len() {
            self.attempt_steps(state, at, &mut steps);
        }
        self.fault_steps(state, &mut steps);
        steps
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        for (at, request) in state.requests.iter().enumerate() {
            if request.ran > 1 && !self.bounds.idempotent {
                return Some("a non-idempotent request runs at most once");
            }
            if request.told == Told::NotRun && request.ran > 0 {
                return Some("a request that is called not run did not run");
            }
            if matches!(request.told, Told::Answer(of) if of != at) {
                return Some("every caller gets the answer to its own request");
            }
        }
        None
    }

    fn without_faults(&self, state: &State) -> Option<State> {
        let mut calm = state.clone();
        calm.faults = 0;
        Some(calm)
    }

    fn settled(&self, state: &State) -> bool {
        let told = |request: &Request| request.told != Told::Waiting;
        state.requests.iter().all(told)
    }
}
