//! Slots of the local backend server: taken, waited for, given back.
//!
//! A waiting request parks on a channel whose other end the admission state holds. Whoever
//! changes that state calls [`notify_queued`], which wakes those whose turn has come.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::oneshot;

use super::failure::{Failure, Reason};
use super::hop::Hop;
use crate::core::configuration::Class;
use crate::core::names::ResourceName;
use crate::decide::admission::{
    Admission, AdmitOutcome, Refusal, RefusalCause, ReleasedSlot, SlotRequest, Ticket, WaitOutcome,
};
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// Wakes a waiting request.
pub(crate) type DecisionSender = oneshot::Sender<WaitOutcome>;

/// A slot of the backend server, given back when the answer has been passed on or given up.
pub(crate) struct Slot {
    node: Arc<ProxyState>,
    class: Class,
    resource: ResourceName,
    acquired_at: Instant,
    answered: bool,
}

impl Slot {
    fn new(node: &Arc<ProxyState>, hop: &Hop) -> Self {
        Self {
            node: Arc::clone(node),
            class: hop.class,
            resource: hop.resource.clone(),
            acquired_at: Instant::now(),
            answered: false,
        }
    }

    /// The backend server has answered the request that holds the slot.
    pub(crate) fn mark_answered(&mut self) {
        self.answered = true;
    }

    /// Takes a slot, waiting for it as long as the deadline allows.
    pub(crate) async fn acquire(node: &Arc<ProxyState>, hop: &Hop) -> Result<Self, Failure> {
        let deadline = hop.queue_deadline();
        let mut receiver = None;
        let new_sender = || {
            let (sender, decision) = oneshot::channel();
            receiver = Some(decision);
            sender
        };
        let now_us = clock::since_us(node.started);
        let admitted = {
            let mut admission = node.admission();
            let request = admission_request(node, &admission, hop);
            admission.admit(now_us, &request, new_sender)
        };
        let ticket = match admitted {
            AdmitOutcome::Slot => return Ok(Self::new(node, hop)),
            AdmitOutcome::Refused(refusal) => return Err(refusal_failure(refusal)),
            AdmitOutcome::Queued(ticket) => ticket,
        };
        // Another class may have been put out of the queue to make room.
        notify_queued(node);
        let mut queued = QueuedRequest {
            node,
            hop,
            ticket,
            decision: receiver.expect("a queued request has a channel"),
        };
        let decision = tokio::time::timeout_at(deadline.into(), &mut queued.decision).await;
        match decision {
            Ok(Ok(WaitOutcome::Slot)) => Ok(Self::new(node, hop)),
            Ok(Ok(WaitOutcome::Refused(refusal))) => Err(refusal_failure(refusal)),
            // The drop of `queued` takes it out of the queue: it will not run.
            Ok(Err(_)) | Err(_) => Err(Failure::not_run(Reason::TooLate)),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let released = ReleasedSlot {
            class: self.class,
            resource: &self.resource,
            service_time_us: clock::since_us(self.acquired_at),
            answered: self.answered,
        };
        let now_us = clock::since_us(self.node.started);
        self.node.admission().release(now_us, &released);
        notify_queued(&self.node);
    }
}

/// A request in the queue. If its caller hangs up, this is dropped at an await, and a slot may have been granted at
/// the same moment. The turn is sent under the admission lock, so after `cancel` says that it was too late the turn
/// is in the channel, and the slot is given back.
struct QueuedRequest<'a> {
    node: &'a Arc<ProxyState>,
    hop: &'a Hop,
    ticket: Ticket,
    decision: oneshot::Receiver<WaitOutcome>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.node.admission().cancel(self.ticket) {
            return;
        }
        // Nothing is there if the turn was received; then the slot has its owner.
        if let Ok(WaitOutcome::Slot) = self.decision.try_recv() {
            drop(Slot::new(self.node, self.hop));
        }
    }
}

/// The failure of a request that would be refused if it asked for a slot now.
pub(crate) fn would_refuse(node: &ProxyState, hop: &Hop) -> Option<Failure> {
    let now_us = clock::since_us(node.started);
    let admission = node.admission();
    let request = admission_request(node, &admission, hop);
    admission
        .would_refuse(now_us, &request)
        .map(refusal_failure)
}

/// What a request asks, with what its gate knows of others like it.
fn admission_request(
    node: &ProxyState,
    admission: &Admission<DecisionSender>,
    hop: &Hop,
) -> SlotRequest {
    SlotRequest {
        service_time_us: admission.known_service_time_us(&hop.resource),
        ..hop.admission_request(node.started)
    }
}

/// Wakes the waiting requests whose turn has come.
pub(crate) fn notify_queued(node: &ProxyState) {
    let now_us = clock::since_us(node.started);
    let mut admission = node.admission();
    while let Some((sender, decision)) = admission.end_next_wait(now_us) {
        // The receiver outlives its place in the queue, see `QueuedRequest`.
        let _ = sender.send(decision);
    }
}

fn refusal_failure(refusal: Refusal) -> Failure {
    let reason = match refusal.cause {
        RefusalCause::QueueFull | RefusalCause::WaitTooLong => Reason::Full,
        RefusalCause::DeadlineTooSoon => Reason::TooLate,
        RefusalCause::Closed => Reason::Draining,
    };
    Failure::not_run(reason).with_retry_after_ms(refusal.retry_after_ms)
}
