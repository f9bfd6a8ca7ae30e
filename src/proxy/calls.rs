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
    struct CallKey;
}

#[derive(Debug)]
struct Call {
    secret: u128,
    deadline: Instant,
    depth: u32,
    retries: u32,
    given_up: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    running: SlotMap<CallKey, Call>,
    /// Those whose calls are known by their ids.
    by_id: HashMap<Box<str>, CallKey>,
}

/// All calls that the local backend server is running.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    state: Arc<Mutex<State>>,
}

/// What a call inherits from the call that led to it.
#[derive(Debug)]
pub(crate) struct Inherited {
    pub(crate) deadline: Instant,
    /// Calls above the new one.
    pub(crate) depth: u32,
    /// Cancelled when nobody waits for the call above any more.
    pub(crate) given_up: CancellationToken,
    pub(crate) budget: RetryBudget,
}

/// Retries taken from a running call; what is left goes back when it is dropped. Calls made at
/// the same time do not share one retry: the first takes all, so none is spent twice.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    of: Option<(Calls, CallKey)>,
    pub(crate) retries: u32,
}

impl RetryBudget {
    /// For a call that none led to.
    pub(crate) fn fresh(retries: u32) -> Self {
        Self { of: None, retries }
    }
}

impl Drop for RetryBudget {
    fn drop(&mut self) {
        let Some((calls, key)) = self.of.take() else {
            return;
        };
        if let Some(call) = calls.lock().running.get_mut(key) {
            call.retries += self.retries;
        }
    }
}

impl Calls {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a call that the backend server is about to run; `id` is the one that its own calls will
    /// begin with, if they do.
    pub(crate) fn begin(&self, hop: &Hop, id: Option<&str>) -> Running {
        let secret = rand::random();
        let call = Call {
            secret,
            deadline: hop.deadline,
            depth: hop.depth,
            retries: hop.retries,
            given_up: CancellationToken::new(),
        };
        let mut state = self.lock();
        let key = state.running.insert(call);
        let id: Option<Box<str>> = id.map(Into::into);
        if let Some(id) = id.clone() {
            state.by_id.insert(id, key);
        }
        Running {
            calls: self.clone(),
            key,
            id,
            secret,
            answered: false,
        }
    }

    /// What a call with `token` inherits; none if the token names no running call.
    pub(crate) fn inherit(&self, token: &str) -> Option<Inherited> {
        let (key, secret) = token.split_once('-')?;
        let key = u64::from_str_radix(key, 16).ok()?;
        let secret = u128::from_str_radix(secret, 16).ok()?;
        let key = CallKey::from(KeyData::from_ffi(key));
        let mut state = self.lock();
        let call = state.running.get_mut(key)?;
        (call.secret == secret).then(|| self.inherited(key, call))
    }

    /// What a call inherits that the running request `id` has made; none if no such request runs.
    pub(crate) fn inherit_by_id(&self, id: &str) -> Option<Inherited> {
        let mut state = self.lock();
        let key = *state.by_id.get(id)?;
        let call = state.running.get_mut(key)?;
        Some(self.inherited(key, call))
    }

    fn inherited(&self, key: CallKey, call: &mut Call) -> Inherited {
        Inherited {
            deadline: call.deadline,
            depth: call.depth + 1,
            given_up: call.given_up.clone(),
            budget: RetryBudget {
                of: Some((self.clone(), key)),
                retries: std::mem::take(&mut call.retries),
            },
        }
    }
}

/// A call that the backend server runs; forgotten when dropped.
#[derive(Debug)]
pub(crate) struct Running {
    calls: Calls,
    key: CallKey,
    id: Option<Box<str>>,
    secret: u128,
    answered: bool,
}

impl Running {
    /// The token for the backend server.
    pub(crate) fn token(&self) -> String {
        format!("{:x}-{:x}", self.key.data().as_ffi(), self.secret)
    }

    /// The backend server answered: takes the retries that were not spent.
    pub(crate) fn answered(&mut self) -> u32 {
        self.answered = true;
        let mut state = self.calls.lock();
        let call = state.running.get_mut(self.key);
        call.map_or(0, |call| std::mem::take(&mut call.retries))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.calls.lock();
        if let Some(id) = &self.id {
            // The same request may run here again by now.
            if state.by_id.get(id) == Some(&self.key) {
                state.by_id.remove(id);
            }
        }
        let call = state.running.remove(self.key);
        drop(state);
        if let Some(call) = call.filter(|_| !self.answered) {
            call.given_up.cancel();
        }
    }
}
