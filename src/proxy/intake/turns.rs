//! Turns: the right to have one large body come in over the VM's link.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::{Key as _, KeyData, SlotMap, new_key_type};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::proxy::answer::{Failure, Reason};
use crate::proxy::hop::Hop;
use crate::proxy::state::ProxyState;
use crate::util::clock;

new_key_type! {
    /// Names a turn that waits for its body.
    pub(crate) struct Key;
}

impl Key {
    /// The number that travels to the entry and back.
    pub(crate) fn number(self) -> u64 {
        self.data().as_ffi()
    }

    /// The key of a number that came back.
    pub(crate) fn of(number: u64) -> Self {
        KeyData::from_ffi(number).into()
    }
}

/// Longest time that a turn is kept for a body that does not come, as when its caller has left.
const GRANT_MAX: Duration = Duration::from_millis(300);

/// The right to have one body come in.
#[derive(Debug)]
pub(crate) struct Turn {
    node: Arc<ProxyState>,
    began: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Turn {
    /// Waits for a turn as long as the request is willing to.
    pub(super) async fn wait(node: &Arc<ProxyState>, hop: &Hop) -> Result<Self, Failure> {
        let wait_us = node.intake().estimated_wait_us();
        let wait = Duration::from_micros(wait_us);
        if wait > hop.patience || Instant::now() + wait > hop.deadline {
            return Err(Failure::not_run(Reason::Full).retry_after_ms(wait_us / 1_000));
        }
        let turns = Arc::clone(&node.intake_turns);
        if hop.patience.is_zero() {
            let permit = turns.try_acquire_owned();
            let permit = permit.map_err(|_| Failure::not_run(Reason::Full))?;
            node.intake().enqueue();
            return Ok(Self::begin(node, permit));
        }
        let waiting = Waiting::new(node);
        let permit = tokio::time::timeout_at(hop.queue_deadline().into(), turns.acquire_owned())
            .await
            .map_err(|_| Failure::not_run(Reason::TooLate))?;
        let permit = permit.expect("the semaphore is never closed");
        waiting.over();
        Ok(Self::begin(node, permit))
    }

    /// One that was counted as waiting has its turn.
    fn begin(node: &Arc<ProxyState>, permit: OwnedSemaphorePermit) -> Self {
        node.intake().start();
        Self {
            node: Arc::clone(node),
            began: Instant::now(),
            _permit: permit,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.node.intake().finish(clock::since_us(self.began));
    }
}

/// Counted as waiting until it is dropped or its wait is over.
struct Waiting<'a> {
    node: &'a ProxyState,
    over: bool,
}

impl<'a> Waiting<'a> {
    fn new(node: &'a ProxyState) -> Self {
        node.intake().enqueue();
        Self { node, over: false }
    }

    fn over(mut self) {
        self.over = true;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.node.intake().leave_queue();
        }
    }
}

/// As many turns as `intake` has at a time.
pub(crate) fn turns(at_a_time: u32) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(at_a_time as usize))
}

/// Turns that were given and whose bodies have not come yet.
#[derive(Debug, Default)]
pub(crate) struct Granted(Mutex<SlotMap<Key, Turn>>);

impl Granted {
    fn lock(&self) -> MutexGuard<'_, SlotMap<Key, Turn>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The turn whose body comes now, unless it came too late.
    pub(super) fn take(&self, key: Key) -> Option<Turn> {
        self.lock().remove(key)
    }
}

/// Keeps `turn` until its body comes, [`GRANT_MAX`] at most.
pub(super) fn keep(node: &Arc<ProxyState>, turn: Turn) -> Key {
    let key = node.granted.lock().insert(turn);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        tokio::time::sleep(GRANT_MAX).await;
        let unused = node.granted.take(key);
        if unused.is_some() {
            metrics::counter!("dragonflywall_upload_turns_unused_total").increment(1);
        }
    });
    key
}
