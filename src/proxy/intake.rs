//! Takes in the large bodies that come to a gate; see [`crate::decide::uploads`].
//!
//! An entry asks for a turn before it sends any byte of a large body to another node ([`reserve`]); the
//! body then comes with the turn that it was given ([`take`]).

pub(crate) mod turns;

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;

use super::answer::{Failure, Reason};
use super::body::{self, Body, BoxError, Guarded};
use super::hop::Hop;
use super::replay;
use crate::core::mechanism::Mechanism;
use crate::decide::uploads::SMALL_BODY_MAX_BYTES;
use crate::proxy::state::ProxyState;

use self::turns::Turn;

/// Most of a body that is kept here if nobody says how long it is. With the window of its request and
/// one read of the caller's connection on top it stays below what its entry keeps.
const KEPT_UNSAID_BYTES: u64 = 64 << 10;

/// Longest turn of one body. A sender that is slower than this keeps no other from coming: at 7 Mbit/s
/// 800 KB come in this time.
const TURN_MAX: Duration = Duration::from_secs(1);

/// Where a body comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum From {
    /// Over the link, with the turn that its entry was given, if it has asked for one.
    Peer(Option<turns::Key>),
    /// From a caller of this VM: it does not use the link.
    Here,
}

/// Gives a turn to a request whose body is still with its entry.
pub(crate) async fn reserve(node: &Arc<ProxyState>, hop: &Hop) -> Result<turns::Key, Failure> {
    let turn = Turn::wait(node, hop).await?;
    Ok(turns::keep(node, turn))
}

/// Takes in `body` as far as it is kept, if it is a large one.
///
/// What is kept here is still with its entry, too: a request that gets no slot after all goes to
/// another endpoint, whole. So of a body that its entry cannot keep nothing is read before its slot; its
/// turn ends with it.
pub(crate) async fn take(
    node: &Arc<ProxyState>,
    hop: &Hop,
    body: Body,
    from: From,
) -> Result<Body, Failure> {
    let len = body.size_hint().upper();
    let by_turns = node.without().has(Mechanism::UploadTurns);
    if !by_turns || len.is_some_and(|len| len <= SMALL_BODY_MAX_BYTES) {
        return Ok(body);
    }
    let turn = match from {
        From::Here => None,
        From::Peer(key) => match key.and_then(|key| node.granted.take(key)) {
            Some(turn) => Some(turn),
            None => Some(Turn::wait(node, hop).await?),
        },
    };
    if len.is_some_and(|len| len > replay::KEPT_MAX_BYTES as u64) {
        return Ok(body::boxed(Guarded::new(body, turn)));
    }
    let _coming = Coming::new(&node.bodies_coming);
    let mut kept = Kept::new(body, len.unwrap_or(KEPT_UNSAID_BYTES));
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

/// Counts a large body until it is there.
struct Coming<'a>(&'a AtomicU32);

impl<'a> Coming<'a> {
    fn new(bodies: &'a AtomicU32) -> Self {
        bodies.fetch_add(1, Ordering::AcqRel);
        Self(bodies)
    }
}

impl Drop for Coming<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
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
