//! Responses that break off before anything of them was passed on.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

use http::{HeaderValue, Response};
use http_body::Body as _;

use crate::decide::crashes::CrashSet;
use crate::proxy::backend::BackendPool;
use crate::proxy::body::{self, Body, BoxError, BufferedBody};
use crate::proxy::failure::{Failure, Reason};
use crate::proxy::log_limiter;
use crate::util::deadline;

#[cfg(test)]
mod tests;

/// Result of this module.
type Result<T, E = Failure> = std::result::Result<T, E>;

/// Most bytes of a body that are received ahead of its head, and the last part beyond them.
const ARRIVED_MAX_BYTES: u64 = 8 << 10;

/// Receives what has arrived of a body, and fails if it has broken off by then. The request can still get another attempt, or
/// a response that says what happened.
pub(super) async fn receive_arrived(
    pool: &BackendPool,
    id: Option<&HeaderValue>,
    response: Response<Body>,
) -> Result<Response<Body>> {
    if response.body().is_end_stream() {
        return Ok(response);
    }
    let (parts, inner) = response.into_parts();
    let mut body = BufferedBody::new(inner, ARRIVED_MAX_BYTES);
    if let Some(Err(error)) = fill_arrived(&mut body).await {
        log::debug!(
            request_id = log_limiter::id_text(id),
            status = parts.status.as_u16(),
            error:%;
            "the response of the backend server broke off before it was passed on"
        );
        let crashes = CrashSet::of(pool.record_loss(pool.start()));
        return Err(Failure::may_have_run(Reason::Lost).with_crashes(crashes));
    }
    Ok(Response::from_parts(parts, body::boxed(body)))
}

async fn fill_arrived(body: &mut BufferedBody) -> Option<Result<(), BoxError>> {
    let mut filled = pin!(body.fill());
    // Most bodies are there at once, and need no turn of the runtime.
    let polled = poll_fn(|context| Poll::Ready(filled.as_mut().poll(context))).await;
    match polled {
        Poll::Ready(filled) => Some(filled),
        Poll::Pending => deadline::if_arrived(filled).await,
    }
}
