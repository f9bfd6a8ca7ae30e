//! The calls that the local backend server is running, and what its own calls inherit from them.
//!
//! The gate gives the backend server a token with each request (header
//! [`headers::CALL`](super::headers::CALL)). The backend server copies it to the calls that it
//! makes meanwhile through its own node. Deadline, depth and retries left come from the record
//! that the token names, never from a header that a caller could write; the token is looked up
//! together with a random secret, so it cannot be guessed either.
//!
//! Backend servers of the users' platform copy no token, but the id of a call begins with the id of the
//! running request. That counts only while the request runs on the backend server beside this node,
//! and ids are random, so a caller can pass for nobody's call but its own request's.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use slotmap::{Key, KeyData, SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

use super::hop::Hop;

new_key_type! {
    /// Names a call that the local backend server is running.
    struct RequestKey;
}

#[derive(Debug)]
struct RunningRequest {
    secret: u128,
    deadline: Instant,
    depth: u32,
    retries: u32,
    cancellation: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    running: SlotMap<RequestKey, RunningRequest>,
    /// Those whose calls are known by their ids.
    by_id: HashMap<Box<str>, RequestKey>,
}

/// All calls that the local backend server is running.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningRequests {
    state: Arc<Mutex<State>>,
}

/// What a call inherits from the call that led to it.
#[derive(Debug)]
pub(crate) struct InheritedContext {
    pub(crate) deadline: Instant,
    /// Calls above the new one.
    pub(crate) depth: u32,
    /// Cancelled when nobody waits for the call above any more.
    pub(crate) cancellation: CancellationToken,
    pub(crate) budget: RetryBudget,
}

/// Retries taken from a running call; what is left goes back when it is dropped. Calls made at
/// the same time do not share one retry: the first takes all, so none is spent twice.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    parent: Option<(RunningRequests, RequestKey)>,
    pub(crate) retries: u32,
}

impl RetryBudget {
    /// For a call that none led to.
    pub(crate) fn root(retries: u32) -> Self {
        Self {
            parent: None,
            retries,
        }
    }
}

impl Drop for RetryBudget {
    fn drop(&mut self) {
        let Some((registry, key)) = self.parent.take() else {
            return;
        };
        if let Some(request) = registry.lock().running.get_mut(key) {
            request.retries += self.retries;
        }
    }
}

impl RunningRequests {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a call that the backend server is about to run; `id` is the one that its own calls will
    /// begin with, if they do.
    pub(crate) fn register(&self, hop: &Hop, id: Option<&str>) -> RunningGuard {
        let secret = rand::random();
        let request = RunningRequest {
            secret,
            deadline: hop.deadline,
            depth: hop.depth,
            retries: hop.retries,
            cancellation: CancellationToken::new(),
        };
        let mut state = self.lock();
        let key = state.running.insert(request);
        let id: Option<Box<str>> = id.map(Into::into);
        if let Some(id) = id.clone() {
            state.by_id.insert(id, key);
        }
        RunningGuard {
            registry: self.clone(),
            key,
            id,
            secret,
            answered: false,
        }
    }

    /// What a call with `token` inherits; none if the token names no running call.
    pub(crate) fn inherit_by_token(&self, token: &str) -> Option<InheritedContext> {
        let (key, secret) = token.split_once('-')?;
        let key = u64::from_str_radix(key, 16).ok()?;
        let secret = u128::from_str_radix(secret, 16).ok()?;
        let key = RequestKey::from(KeyData::from_ffi(key));
        let mut state = self.lock();
        let request = state.running.get_mut(key)?;
        (request.secret == secret).then(|| self.inherited_context(key, request))
    }

    /// What a call inherits that the running request `id` has made; none if no such request runs.
    pub(crate) fn inherit_by_id(&self, id: &str) -> Option<InheritedContext> {
        let mut state = self.lock();
        let key = *state.by_id.get(id)?;
        let request = state.running.get_mut(key)?;
        Some(self.inherited_context(key, request))
    }

    fn inherited_context(&self, key: RequestKey, request: &mut RunningRequest) -> InheritedContext {
        InheritedContext {
            deadline: request.deadline,
            depth: request.depth + 1,
            cancellation: request.cancellation.clone(),
            budget: RetryBudget {
                parent: Some((self.clone(), key)),
                retries: std::mem::take(&mut request.retries),
            },
        }
    }
}

/// A call that the backend server runs; forgotten when dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    registry: RunningRequests,
    key: RequestKey,
    id: Option<Box<str>>,
    secret: u128,
    answered: bool,
}

impl RunningGuard {
    /// The token for the backend server.
    pub(crate) fn token(&self) -> String {
        format!("{:x}-{:x}", self.key.data().as_ffi(), self.secret)
    }

    /// The backend server answered: takes the retries that were not spent.
    pub(crate) fn mark_answered(&mut self) -> u32 {
        self.answered = true;
        let mut state = self.registry.lock();
        let request = state.running.get_mut(self.key);
        request.map_or(0, |request| std::mem::take(&mut request.retries))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        if let Some(id) = &self.id {
            // The same request may run here again by now.
            if state.by_id.get(id) == Some(&self.key) {
                state.by_id.remove(id);
            }
        }
        let request = state.running.remove(self.key);
        drop(state);
        if let Some(request) = request.filter(|_| !self.answered) {
            request.cancellation.cancel();
        }
    }
}
