//! A timeout that prefers a result which has already arrived.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Instant;

/// The deadline passed and no result had arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Elapsed;

/// Turns of the runtime for which a result is awaited after the deadline. In a turn, the runtime runs the tasks that
/// are ready and reads the sockets. A response from another node passes three tasks.
const TURNS_AFTER_DEADLINE: usize = 4;

/// Waits for `future` until `deadline`. After a pause of the process, the deadline and the result may both have come. The
/// bytes of the result are then still to be read and passed on by other tasks, which get the time to do so.
pub(crate) async fn timeout_at<F: Future>(
    deadline: Instant,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    if let Ok(output) = tokio::time::timeout_at(deadline.into(), &mut future).await {
        return Ok(output);
    }
    if_arrived(future).await.ok_or(Elapsed)
}

/// Gives the runtime the time to read what has arrived, and its tasks the time to pass it on.
pub(crate) async fn runtime_turns() {
    for _ in 0..TURNS_AFTER_DEADLINE {
        tokio::task::yield_now().await;
    }
}

/// The result of `future` if it has arrived, also if its bytes are still to be read and passed on.
pub(crate) async fn if_arrived<F: Future>(future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    for _ in 0..TURNS_AFTER_DEADLINE {
        tokio::task::yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await;
        if let Poll::Ready(output) = polled {
            return Some(output);
        }
    }
    None
}
