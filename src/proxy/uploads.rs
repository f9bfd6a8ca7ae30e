//! Receives large request bodies at the gate, a limited number at a time, so that they do not
//! saturate the VM's link; see [`crate::decide::uploads`].
//!
//! An entry node requests an upload permit before it sends any byte of a large body to another node
//! ([`reserve`]). It then sends the body with that permit ([`receive`]).

pub(crate) mod permits;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http_body::Body as _;

use super::body::{self, Body, BufferedBody, GuardedBody};
use super::failure::{Reason, Refusal};
use super::hop::Hop;
use super::replay;
use crate::core::mechanism::Mechanism;
use crate::decide::uploads::SMALL_BODY_MAX_BYTES;
use crate::proxy::state::ProxyState;

use self::permits::UploadPermit;

/// Most bytes that the gate buffers of a body of unknown length. Together with the window of its
/// stream and one read of the caller's connection, this is less than the entry node buffers for a
/// retry.
const UNKNOWN_LEN_BUFFER_BYTES: u64 = 64 << 10;

/// Longest time that a body occupies a permit while the gate buffers it, so that a slow sender does
/// not block other bodies. At 7 Mbit/s, 800 KB arrive in this time.
const PERMIT_HOLD_MAX: Duration = Duration::from_secs(1);

/// Where the body of a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodySource {
    /// From another node, over the VM's link. Holds the key of the permit that the entry node
    /// obtained, if it requested one.
    Peer(Option<permits::PermitKey>),
    /// From a caller on this VM. The body does not use the link.
    Local,
}

/// Grants an upload permit to a request whose body the entry node has not sent yet.
pub(crate) async fn reserve(
    node: &Arc<ProxyState>,
    hop: &Hop,
) -> Result<permits::PermitKey, Refusal> {
    let permit = UploadPermit::acquire(node, hop).await?;
    Ok(permits::hold_for_body(node, permit))
}

/// Buffers a body before its request takes a slot, a large one after waiting for an upload permit. So a caller that sends
/// its body slowly occupies no slot, and the backend server gets nothing of a request that breaks off.
///
/// The entry node still buffers what is read here, so that a request that gets no slot can be sent
/// whole to another endpoint. A body that is too long for the entry node's buffer is therefore
/// not read before its request has a slot; it keeps its permit until it has been read.
pub(crate) async fn receive(
    node: &Arc<ProxyState>,
    hop: &Hop,
    body: Body,
    source: BodySource,
) -> Result<Body, Refusal> {
    if body.is_end_stream() {
        return Ok(body);
    }
    let len_bytes = body.size_hint().upper();
    if len_bytes.is_some_and(|len_bytes| len_bytes <= SMALL_BODY_MAX_BYTES) {
        let mut buffered = BufferedBody::new(body, SMALL_BODY_MAX_BYTES);
        fill_until(&mut buffered, hop.queue_deadline())
            .await?
            .or_too_late()?;
        return Ok(body::boxed(buffered));
    }
    if !node.mechanisms().is_enabled(Mechanism::UploadScheduling) {
        return Ok(body);
    }
    let permit = match source {
        BodySource::Local => None,
        BodySource::Peer(key) => match key.and_then(|key| node.reserved_permits.take(key)) {
            Some(permit) => Some(permit),
            None => Some(UploadPermit::acquire(node, hop).await?),
        },
    };
    if len_bytes.is_some_and(|len_bytes| len_bytes > replay::REPLAY_BUFFER_MAX_BYTES as u64) {
        return Ok(body::boxed(GuardedBody::new(body, permit)));
    }
    let _count_guard = UploadCountGuard::new(&node.incoming_uploads);
    let mut buffered = BufferedBody::new(body, len_bytes.unwrap_or(UNKNOWN_LEN_BUFFER_BYTES));
    let permit_until = Instant::now() + PERMIT_HOLD_MAX;
    let filled = fill_until(&mut buffered, permit_until).await?;
    drop(permit);
    if filled == Filled::InPart {
        fill_until(&mut buffered, hop.queue_deadline())
            .await?
            .or_too_late()?;
    }
    Ok(body::boxed(buffered))
}

/// How much of a body has been read into its buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Filled {
    /// All of it, or as much as the buffer holds.
    Whole,
    InPart,
}

impl Filled {
    fn or_too_late(self) -> Result<(), Refusal> {
        match self {
            Self::Whole => Ok(()),
            Self::InPart => Err(Reason::TooLate.into()),
        }
    }
}

/// Reads a body into its buffer until `deadline`. Fails if the body breaks off.
async fn fill_until(buffered: &mut BufferedBody, deadline: Instant) -> Result<Filled, Refusal> {
    match tokio::time::timeout_at(deadline.into(), buffered.fill()).await {
        Ok(Ok(())) => Ok(Filled::Whole),
        Ok(Err(error)) => {
            log::debug!(error:% = error; "a request was interrupted before it was forwarded");
            Err(Reason::Lost.into())
        }
        Err(_) => Ok(Filled::InPart),
    }
}

/// Counts a large body in [`ProxyState::incoming_uploads`] while it is being received.
struct UploadCountGuard<'a>(&'a AtomicU32);

impl<'a> UploadCountGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for UploadCountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
