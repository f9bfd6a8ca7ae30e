//! Turns: the right to have one large body come in over the VM's link.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::{Key as _, KeyData, SlotMap, new_key_type};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::proxy::failure::{Failure, Reason};
use crate::proxy::hop::Hop;
use crate::proxy::state::ProxyState;
use crate::util::clock;

new_key_type! {
    /// Names a turn that waits for its body.
    pub(crate) struct PermitKey;
}

impl PermitKey {
    /// The number that travels to the entry and back.
    pub(crate) fn number(self) -> u64 {
        self.data().as_ffi()
    }

    /// The key of a number that came back.
    pub(crate) fn from_number(number: u64) -> Self {
        KeyData::from_ffi(number).into()
    }
}

/// Longest time that a turn is kept for a body that does not come, as when its caller has left.
const RESERVATION_MAX: Duration = Duration::from_millis(300);

/// The right to have one body come in.
#[derive(Debug)]
pub(crate) struct UploadPermit {
    node: Arc<ProxyState>,
    acquired_at: Instant,
    _permit: OwnedSemaphorePermit,
}

impl UploadPermit {
    /// Waits for a turn as long as the request is willing to.
    pub(super) async fn acquire(node: &Arc<ProxyState>, hop: &Hop) -> Result<Self, Failure> {
        let wait_us = node.intake().estimated_wait_us();
        let expected_wait = Duration::from_micros(wait_us);
        if expected_wait > hop.patience || Instant::now() + expected_wait > hop.deadline {
            return Err(Failure::not_run(Reason::Full).with_retry_after_ms(wait_us / 1_000));
        }
        let semaphore = Arc::clone(&node.upload_permits);
        if hop.patience.is_zero() {
            let permit = semaphore.try_acquire_owned();
            let permit = permit.map_err(|_| Failure::not_run(Reason::Full))?;
            node.intake().enqueue();
            return Ok(Self::start(node, permit));
        }
        let waiting = WaitingUpload::new(node);
        let permit =
            tokio::time::timeout_at(hop.queue_deadline().into(), semaphore.acquire_owned())
                .await
                .map_err(|_| Failure::not_run(Reason::TooLate))?;
        let permit = permit.expect("the semaphore is never closed");
        waiting.finish();
        Ok(Self::start(node, permit))
    }

    /// One that was counted as waiting has its turn.
    fn start(node: &Arc<ProxyState>, permit: OwnedSemaphorePermit) -> Self {
        node.intake().start();
        Self {
            node: Arc::clone(node),
            acquired_at: Instant::now(),
            _permit: permit,
        }
    }
}

impl Drop for UploadPermit {
    fn drop(&mut self) {
        self.node.intake().finish(clock::since_us(self.acquired_at));
    }
}

/// Counted as waiting until it is dropped or its wait is over.
struct WaitingUpload<'a> {
    node: &'a ProxyState,
    finished: bool,
}

impl<'a> WaitingUpload<'a> {
    fn new(node: &'a ProxyState) -> Self {
        node.intake().enqueue();
        Self {
            node,
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for WaitingUpload<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.node.intake().leave_queue();
        }
    }
}

/// As many turns as `intake` has at a time.
pub(crate) fn new_semaphore(at_a_time: u32) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(at_a_time as usize))
}

/// Turns that were given and whose bodies have not come yet.
#[derive(Debug, Default)]
pub(crate) struct ReservedPermits(Mutex<SlotMap<PermitKey, UploadPermit>>);

impl ReservedPermits {
    fn lock(&self) -> MutexGuard<'_, SlotMap<PermitKey, UploadPermit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The turn whose body comes now, unless it came too late.
    pub(super) fn take(&self, key: PermitKey) -> Option<UploadPermit> {
        self.lock().remove(key)
    }
}

/// Keeps `permit` until its body comes, [`RESERVATION_MAX`] at most.
pub(super) fn hold_for_body(node: &Arc<ProxyState>, permit: UploadPermit) -> PermitKey {
    let key = node.reserved_permits.lock().insert(permit);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        tokio::time::sleep(RESERVATION_MAX).await;
        let unused = node.reserved_permits.take(key);
        if unused.is_some() {
            metrics::counter!("dragonflywall_upload_turns_unused_total").increment(1);
        }
    });
    key
}
