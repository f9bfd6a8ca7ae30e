//! Upload permits: each allows one large body to be sent over the VM's link. Headers and settings
//! call a permit a *turn*.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::{Key as _, KeyData, SlotMap, new_key_type};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::proxy::failure::{Reason, Refusal};
use crate::proxy::hop::Hop;
use crate::proxy::state::ProxyState;
use crate::util::clock;

new_key_type! {
    /// Identifies a reserved permit whose body has not arrived yet.
    pub(crate) struct PermitKey;
}

impl PermitKey {
    /// The number that represents the key in [`UPLOAD_PERMIT`](crate::proxy::headers::UPLOAD_PERMIT).
    pub(crate) fn number(self) -> u64 {
        self.data().as_ffi()
    }

    /// Converts the number from a request's header back to a key.
    pub(crate) fn from_number(number: u64) -> Self {
        KeyData::from_ffi(number).into()
    }
}

/// Longest time that a permit stays reserved for a body that does not arrive, for example because
/// its caller has disconnected.
const RESERVATION_MAX: Duration = Duration::from_millis(300);

/// Permission to receive one large body. Released when dropped.
#[derive(Debug)]
pub(crate) struct UploadPermit {
    node: Arc<ProxyState>,
    acquired_at: Instant,
    _permit: OwnedSemaphorePermit,
}

impl UploadPermit {
    /// Waits for a permit, at most as long as the request may wait for a slot. Fails at once if the
    /// expected wait is longer than that.
    pub(super) async fn acquire(node: &Arc<ProxyState>, hop: &Hop) -> Result<Self, Refusal> {
        let wait_us = node.upload_queue().estimated_wait_us();
        let expected_wait = Duration::from_micros(wait_us);
        if expected_wait > hop.max_wait || Instant::now() + expected_wait > hop.deadline {
            return Err(Refusal::from(Reason::Full).with_retry_after_ms(wait_us / 1_000));
        }
        let semaphore = Arc::clone(&node.upload_permits);
        if hop.max_wait.is_zero() {
            let permit = semaphore.try_acquire_owned();
            let permit = permit.map_err(|_| Refusal::from(Reason::Full))?;
            node.upload_queue().enqueue();
            return Ok(Self::start(node, permit));
        }
        let waiting = WaitingUpload::new(node);
        let permit =
            tokio::time::timeout_at(hop.queue_deadline().into(), semaphore.acquire_owned())
                .await
                .map_err(|_| Refusal::from(Reason::TooLate))?;
        let permit = permit.expect("the semaphore is never closed");
        waiting.finish();
        Ok(Self::start(node, permit))
    }

    /// Starts the transfer of an upload that was counted as waiting.
    fn start(node: &Arc<ProxyState>, permit: OwnedSemaphorePermit) -> Self {
        node.upload_queue().start();
        Self {
            node: Arc::clone(node),
            acquired_at: Instant::now(),
            _permit: permit,
        }
    }
}

impl Drop for UploadPermit {
    fn drop(&mut self) {
        self.node
            .upload_queue()
            .finish(clock::since_us(self.acquired_at));
    }
}

/// An upload that is counted as waiting until it gets a permit or is dropped.
struct WaitingUpload<'a> {
    node: &'a ProxyState,
    finished: bool,
}

impl<'a> WaitingUpload<'a> {
    fn new(node: &'a ProxyState) -> Self {
        node.upload_queue().enqueue();
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
            self.node.upload_queue().leave_queue();
        }
    }
}

/// Creates the semaphore that limits concurrent uploads to `concurrent_max`.
pub(crate) fn new_semaphore(concurrent_max: u32) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(concurrent_max as usize))
}

/// Permits that were granted to entry nodes and whose bodies have not arrived yet.
#[derive(Debug, Default)]
pub(crate) struct ReservedPermits(Mutex<SlotMap<PermitKey, UploadPermit>>);

impl ReservedPermits {
    fn lock(&self) -> MutexGuard<'_, SlotMap<PermitKey, UploadPermit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the permit for a body that has arrived. `None` if the reservation has expired.
    pub(super) fn take(&self, key: PermitKey) -> Option<UploadPermit> {
        self.lock().remove(key)
    }
}

/// Reserves `permit` for a body that is still to come, for at most [`RESERVATION_MAX`].
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
