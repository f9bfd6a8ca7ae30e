//! Takes in the large bodies that come to a gate; see [`crate::decide::intake`].

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answer::{Failure, Reason};
use super::body::{self, Body, BoxError};
use super::hop::Hop;
use super::replay;
use crate::decide::intake::SMALL_BYTES;
use crate::node::state::NodeState;
use crate::util::clock;

/// Most of a body that is kept here if nobody says how long it is. With the window of its request and
/// one read of the caller's connection on top it stays below what its entry keeps.
const KEPT_UNSAID_BYTES: u64 = 64 << 10;

/// Longest turn of one body. A sender that is slower than this keeps no other from coming: at 7 Mbit/s
/// 800 KB come in this time.
const TURN_MAX: Duration = Duration::from_secs(1);

/// Takes in `body` as far as it is kept, if it is a large one.
///
/// What is kept here is still with its entry, too: a request that gets no slot after all goes to
/// another endpoint, whole. So of a body that its entry cannot keep nothing is read before its slot.
pub(crate) async fn take(node: &Arc<NodeState>, hop: &Hop, body: Body) -> Result<Body, Failure> {
    let kept_bytes = match body.size_hint().upper() {
        Some(len) if len <= SMALL_BYTES || len > replay::KEPT_MAX_BYTES as u64 => return Ok(body),
        Some(len) => len,
        None => KEPT_UNSAID_BYTES,
    };
    let turn = Turn::wait(node, hop).await?;
    let mut kept = Kept::new(body, kept_bytes);
    let within = tokio::time::timeout(TURN_MAX, kept.fill()).await;
    drop(turn);
    let filled = match within {
        Ok(filled) => filled,
        Err(_) => tokio::time::timeout_at(hop.deadline.into(), kept.fill())
            .await
            .map_err(|_| Failure::not_run(Reason::TooLate))?,
    };
    filled.map_err(|error| {
        log::debug!(error:% = error; "a body broke off before it was passed on");
        Failure::not_run(Reason::Lost)
    })?;
    Ok(body::boxed(kept))
}

/// The right to have one body come in.
struct Turn<'a> {
    node: &'a NodeState,
    began: Instant,
    _permit: OwnedSemaphorePermit,
}

impl<'a> Turn<'a> {
    async fn wait(node: &'a NodeState, hop: &Hop) -> Result<Self, Failure> {
        let wait_us = node.intake().wait_us();
        let wait = Duration::from_micros(wait_us);
        if wait > hop.patience || Instant::now() + wait > hop.deadline {
            return Err(Failure::not_run(Reason::Full).retry_after_ms(wait_us / 1_000));
        }
        let waiting = Waiting::new(node);
        let turns = Arc::clone(&node.intake_turns);
        let permit = tokio::time::timeout_at(hop.queue_deadline().into(), turns.acquire_owned())
            .await
            .map_err(|_| Failure::not_run(Reason::TooLate))?;
        let permit = permit.expect("the semaphore is never closed");
        waiting.begun();
        Ok(Self {
            node,
            began: Instant::now(),
            _permit: permit,
        })
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.node.intake().ended(clock::since_us(self.began));
    }
}

/// Counted as waiting until it is dropped or begins.
struct Waiting<'a> {
    node: &'a NodeState,
    begun: bool,
}

impl<'a> Waiting<'a> {
    fn new(node: &'a NodeState) -> Self {
        node.intake().waits();
        Self { node, begun: false }
    }

    fn begun(mut self) {
        self.begun = true;
        self.node.intake().begun();
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.begun {
            self.node.intake().left();
        }
    }
}

/// As many turns as `intake` has at a time.
pub(crate) fn turns(at_a_time: u32) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(at_a_time as usize))
}

/// A body of which the beginning, or all, is here.
struct Kept {
    frames: VecDeque<Frame<Bytes>>,
    kept_bytes: u64,
    most_bytes: u64,
    size: SizeHint,
    ended: bool,
    rest: Body,
}

impl Kept {
    fn new(body: Body, most_bytes: u64) -> Self {
        Self {
            frames: VecDeque::new(),
            kept_bytes: 0,
            most_bytes,
            size: body.size_hint(),
            ended: false,
            rest: body,
        }
    }

    async fn fill(&mut self) -> Result<(), BoxError> {
        while !self.rest.is_end_stream() && self.kept_bytes < self.most_bytes {
            let Some(frame) = self.rest.frame().await else {
                self.ended = true;
                break;
            };
            let frame = frame?;
            self.kept_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            self.frames.push_back(frame);
        }
        Ok(())
    }
}

impl HttpBody for Kept {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && (self.ended || self.rest.is_end_stream())
    }

    /// What the sender said before any of it was read; it is not asked for again after that.
    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
