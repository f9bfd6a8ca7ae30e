//! Slots of the local backend server: requests acquire one, wait for one, and release it.
//!
//! A queued request waits on a channel. The admission state holds the sender. Every change of the
//! admission state must be followed by [`notify_queued`], which notifies the requests whose wait
//! has ended, with a slot or a refusal.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Response;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::body::Body;
use super::failure::{Failure, Reason, Refusal};
use super::hop::Hop;
use crate::core::configuration::Class;
use crate::core::names::ResourceName;
use crate::decide::admission::{
    self, Admission, AdmitOutcome, RefusalCause, ReleasedSlot, SlotRequest, Ticket, WaitOutcome,
};
use crate::decide::freeze::Epoch;
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// Sends a queued request the outcome of its wait: a slot or a refusal.
pub(crate) type WaitOutcomeSender = oneshot::Sender<WaitOutcome>;

/// A slot of the backend server. It is released when dropped, after the response has been forwarded
/// or the request was abandoned.
pub(crate) struct Slot {
    node: Arc<ProxyState>,
    class: Class,
    resource: ResourceName,
    acquired_at: Instant,
    /// The epoch in which the slot was acquired.
    acquired_in: Epoch,
    answered: bool,
}

impl Slot {
    fn new(node: &Arc<ProxyState>, hop: &Hop) -> Self {
        Self {
            node: Arc::clone(node),
            class: hop.class,
            resource: hop.resource.clone(),
            acquired_at: Instant::now(),
            acquired_in: node.freezes.epoch(),
            answered: false,
        }
    }

    /// Records how the backend server has answered the request that holds the slot.
    pub(crate) fn record_response(&mut self, response: &Result<Response<Body>, Failure>) {
        self.answered = response.is_ok();
        let succeeded = match response {
            Ok(response) => !response.status().is_server_error(),
            Err(failure) if failure.is_version_neutral() => return,
            Err(_) => false,
        };
        if self.node.is_current(self.acquired_in) {
            let acquired_us = clock::us_between(self.node.started, self.acquired_at);
            let service_time_us = clock::since_us(self.acquired_at);
            self.node.rollouts.record_response(
                &self.resource,
                succeeded,
                acquired_us,
                service_time_us,
            );
        }
    }

    /// Acquires a slot, waiting for it until the queue deadline of `hop`.
    pub(crate) async fn acquire(node: &Arc<ProxyState>, hop: &Hop) -> Result<Self, Refusal> {
        let deadline = hop.queue_deadline();
        let mut receiver = None;
        let new_sender = || {
            let (sender, outcome) = oneshot::channel();
            receiver = Some(outcome);
            sender
        };
        let now_us = clock::since_us(node.started);
        let admitted = {
            let mut admission = node.admission();
            let request = slot_request(node, &admission, hop);
            admission.admit(now_us, &request, new_sender)
        };
        let ticket = match admitted {
            AdmitOutcome::Slot => return Ok(Self::new(node, hop)),
            AdmitOutcome::Refused(refused) => return Err(refusal_of(refused)),
            AdmitOutcome::Queued(ticket) => ticket,
        };
        // Admission may have evicted a queued request of another class to make room for this one.
        notify_queued(node);
        let mut queued = QueuedRequest {
            node,
            hop,
            ticket,
            outcome: receiver.expect("a queued request has a channel"),
        };
        let outcome = tokio::time::timeout_at(deadline.into(), &mut queued.outcome).await;
        match outcome {
            Ok(Ok(WaitOutcome::Slot)) => Ok(Self::new(node, hop)),
            Ok(Ok(WaitOutcome::Refused(refused))) => Err(refusal_of(refused)),
            // Dropping `queued` removes the request from the queue, so it will not run.
            Ok(Err(_)) | Err(_) => Err(Reason::TooLate.into()),
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
        match self.node.is_current(self.acquired_in) {
            true => self.node.admission().release(now_us, &released),
            false => self.node.admission().release_unmeasured(now_us, &released),
        }
        notify_queued(&self.node);
    }
}

/// A request in the admission queue.
///
/// If the caller disconnects, this is dropped while it waits, possibly just after a slot was
/// granted. Outcomes are sent under the admission lock. If `cancel` finds that the request is no
/// longer queued, its outcome is therefore already in the channel, and a granted slot is released.
struct QueuedRequest<'a> {
    node: &'a Arc<ProxyState>,
    hop: &'a Hop,
    ticket: Ticket,
    outcome: oneshot::Receiver<WaitOutcome>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.node.admission().cancel(self.ticket) {
            return;
        }
        // The channel is empty if the outcome was received. The slot then belongs to its receiver.
        if let Ok(WaitOutcome::Slot) = self.outcome.try_recv() {
            drop(Slot::new(self.node, self.hop));
        }
    }
}

/// The refusal that the request would get if it requested a slot now; `None` if it would be
/// admitted or queued.
pub(crate) fn would_refuse(node: &ProxyState, hop: &Hop) -> Option<Refusal> {
    let now_us = clock::since_us(node.started);
    let admission = node.admission();
    let request = slot_request(node, &admission, hop);
    admission.would_refuse(now_us, &request).map(refusal_of)
}

/// The slot request for `hop`, with the service time that this gate has measured for its resource.
fn slot_request(
    node: &ProxyState,
    admission: &Admission<WaitOutcomeSender>,
    hop: &Hop,
) -> SlotRequest {
    SlotRequest {
        service_time_us: admission.known_service_time_us(&hop.resource),
        ..hop.slot_request(node.started)
    }
}

/// Notifies the queued requests whose wait has ended, with a slot or a refusal.
pub(crate) fn notify_queued(node: &ProxyState) {
    let now_us = clock::since_us(node.started);
    let mut admission = node.admission();
    while let Some((sender, outcome)) = admission.end_next_wait(now_us) {
        // Sending cannot fail: a queued request keeps its receiver until it has left the queue; see
        // `QueuedRequest`.
        let _ = sender.send(outcome);
    }
    if admission.next_permit_us(now_us).is_some() {
        node.permit_awaited.notify_one();
    }
}

/// Ends the waits of queued requests when the rate limit of the backend server permits them, until `stop` is cancelled.
pub(crate) async fn run_permit_timer(node: Arc<ProxyState>, stop: CancellationToken) {
    loop {
        let now_us = clock::since_us(node.started);
        let next_us = node.admission().next_permit_us(now_us);
        let permit = async {
            match next_us {
                Some(at_us) => {
                    let wait_us = at_us.saturating_sub(now_us);
                    tokio::time::sleep(Duration::from_micros(wait_us)).await;
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            // The time of the next permit may be another now.
            () = node.permit_awaited.notified() => continue,
            () = permit => (),
        }
        let now_us = clock::since_us(node.started);
        node.admission().refuse_late(now_us);
        notify_queued(&node);
    }
}

fn refusal_of(refused: admission::Refusal) -> Refusal {
    let reason = match refused.cause {
        RefusalCause::QueueFull | RefusalCause::WaitTooLong => Reason::Full,
        RefusalCause::DeadlineTooSoon => Reason::TooLate,
        RefusalCause::RateLimited => Reason::RateLimited,
        RefusalCause::Closed => Reason::Draining,
    };
    Refusal::from(reason).with_retry_after_ms(refused.retry_after_ms)
}
