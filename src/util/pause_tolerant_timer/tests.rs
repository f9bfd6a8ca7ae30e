//! How hyper uses the sleeps of its timer.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Timer;

use super::PauseTolerantTimer;

/// Guards against a connection whose task panics because hyper polls a sleep again after it has ended.
#[tokio::test]
async fn sleep_that_has_ended_may_be_polled_again() {
    let mut sleep = PauseTolerantTimer.sleep(Duration::from_millis(1));
    poll_fn(|context| Pin::new(&mut sleep).poll(context)).await;
    let again = poll_fn(|context| Poll::Ready(Pin::new(&mut sleep).poll(context))).await;
    assert_eq!(again, Poll::Ready(()));
}
