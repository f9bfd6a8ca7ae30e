//! The requests that the local backend server is running, and what its nested calls inherit from
//! them.
//!
//! The gate sends a token with each request to the backend server (header
//! [`headers::CALL_TOKEN`](super::headers::CALL_TOKEN)). The backend server copies the token to the
//! calls that it makes through its own node while it runs the request. Deadline, depth and retry
//! budget of such a call come from the running request that the token identifies, not from headers
//! that a caller could forge. The token contains a random secret, so it cannot be guessed.
//!
//! Backend servers on the users' platform copy no token. There the id of a call starts with the id
//! of the running request. Such an id is accepted only while that request runs on the local backend
//! server. Request ids are random, so a caller can only extend the id of its own request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use slotmap::{Key, KeyData, SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

use super::hop::Hop;
use crate::decide::admission::Rank;
use crate::decide::crashes::CrashSet;

new_key_type! {
    /// Identifies a request that the local backend server is running.
    struct RequestKey;
}

#[derive(Debug)]
struct RunningRequest {
    secret: u128,
    deadline: Instant,
    depth: u32,
    rank: Rank,
    retries: u32,
    /// Crashes that count under the request, those of its nested calls included.
    crashes: CrashSet,
    /// Crashes of its nested calls.
    nested_crashes: CrashSet,
    has_calls: bool,
    cancellation: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    running: SlotMap<RequestKey, RunningRequest>,
    /// Requests whose nested calls are recognised by their id instead of a token.
    by_id: HashMap<Box<str>, RequestKey>,
}

/// All requests that the local backend server is running.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningRequests {
    state: Arc<Mutex<State>>,
}

/// What a nested call inherits from the request that made it.
#[derive(Debug)]
pub(crate) struct InheritedContext {
    pub(crate) deadline: Instant,
    /// Depth of the new call: the number of calls above it.
    pub(crate) depth: u32,
    /// Rank of the parent request.
    pub(crate) parent_rank: Rank,
    /// Cancelled when the parent request ends before it was answered.
    pub(crate) cancellation: CancellationToken,
    pub(crate) budget: RetryBudget,
    pub(crate) parent: ParentRequest,
}

/// The running request that made a call.
#[derive(Clone, Debug)]
pub(crate) struct ParentRequest {
    registry: RunningRequests,
    key: RequestKey,
}

impl ParentRequest {
    /// Crashes that count under the parent request and its calls.
    pub(crate) fn crashes(&self) -> CrashSet {
        let state = self.registry.lock();
        let request = state.running.get(self.key);
        request.map_or_else(CrashSet::default, |request| request.crashes)
    }

    /// Records backend servers that ended while they ran a call of the parent request.
    pub(crate) fn record_crashes(&self, crashes: CrashSet) {
        if let Some(request) = self.registry.lock().running.get_mut(self.key) {
            request.crashes = request.crashes.union(crashes);
            request.nested_crashes = request.nested_crashes.union(crashes);
        }
    }
}

/// Retries taken from the parent request. Unspent ones are returned when this is dropped. Of
/// concurrent calls, the first takes all retries of the parent, so that no retry is spent twice.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    parent: Option<(RunningRequests, RequestKey)>,
    pub(crate) retries: u32,
}

impl RetryBudget {
    /// Budget of a request without a parent.
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

    /// Registers a request that the backend server is about to run. `id` is the prefix of the ids
    /// of its nested calls, for backend servers that extend request ids.
    pub(crate) fn register(&self, hop: &Hop, id: Option<&str>) -> RunningGuard {
        let secret = rand::random();
        let request = RunningRequest {
            secret,
            deadline: hop.deadline,
            depth: hop.depth,
            rank: hop.rank,
            retries: hop.retries,
            crashes: hop.crashes,
            nested_crashes: CrashSet::default(),
            has_calls: false,
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

    /// Context of a call that carries `token`. `None` if the token identifies no running request.
    pub(crate) fn inherit_by_token(&self, token: &str) -> Option<InheritedContext> {
        let (key, secret) = token.split_once('-')?;
        let key = u64::from_str_radix(key, 16).ok()?;
        let secret = u128::from_str_radix(secret, 16).ok()?;
        let key = RequestKey::from(KeyData::from_ffi(key));
        let mut state = self.lock();
        let request = state.running.get_mut(key)?;
        (request.secret == secret).then(|| self.inherited_context(key, request))
    }

    /// Context of a call made by the running request `id`. `None` if no such request is running.
    pub(crate) fn inherit_by_id(&self, id: &str) -> Option<InheritedContext> {
        let mut state = self.lock();
        let key = *state.by_id.get(id)?;
        let request = state.running.get_mut(key)?;
        Some(self.inherited_context(key, request))
    }

    fn inherited_context(&self, key: RequestKey, request: &mut RunningRequest) -> InheritedContext {
        request.has_calls = true;
        InheritedContext {
            deadline: request.deadline,
            depth: request.depth + 1,
            parent_rank: request.rank,
            cancellation: request.cancellation.clone(),
            parent: ParentRequest {
                registry: self.clone(),
                key,
            },
            budget: RetryBudget {
                parent: Some((self.clone(), key)),
                retries: std::mem::take(&mut request.retries),
            },
        }
    }
}

/// A registered request. Dropping it removes the request and, if it was not answered, cancels its
/// nested calls.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    registry: RunningRequests,
    key: RequestKey,
    id: Option<Box<str>>,
    secret: u128,
    answered: bool,
}

impl RunningGuard {
    /// The token that the backend server copies to its nested calls.
    pub(crate) fn token(&self) -> String {
        format!("{:x}-{:x}", self.key.data().as_ffi(), self.secret)
    }

    /// Backend servers that ended while they ran nested calls of the request.
    pub(crate) fn nested_crashes(&self) -> CrashSet {
        let state = self.registry.lock();
        let request = state.running.get(self.key);
        request.map_or_else(CrashSet::default, |request| request.nested_crashes)
    }

    /// Whether the backend server has made calls for the request.
    pub(crate) fn has_calls(&self) -> bool {
        let state = self.registry.lock();
        let request = state.running.get(self.key);
        request.is_some_and(|request| request.has_calls)
    }

    /// Records that the backend server has answered and takes back the unspent retries.
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
            // The same request may have been registered here again in the meantime.
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
