//! A timer for keep-alive pings, whose answers may have arrived while this process did not run.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

use super::deadline::runtime_turns;

#[cfg(test)]
mod tests;

/// Delay from which a sleep that ends late shows that the process was paused.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Time for which a sleep that ends late goes on. A peer that was paused as well answers within it.
const READ_TIME: Duration = Duration::from_secs(1);

/// Timer of the runtime, with sleeps that go on for [`READ_TIME`] after a pause of the process. hyper checks whether the time
/// for the answer to a ping has passed before it reads what has arrived on the connection. Without that time, the
/// connection would be closed with the answer in the socket, and with it the requests that run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseTolerantTimer;

impl Timer for PauseTolerantTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(PauseTolerantSleep(Some(Box::pin(sleep_until(deadline)))))
    }
}

async fn sleep_until(mut deadline: Instant) {
    loop {
        tokio::time::sleep_until(deadline.into()).await;
        let now = Instant::now();
        if now.saturating_duration_since(deadline) < PAUSE_MIN {
            break;
        }
        deadline = now + READ_TIME;
    }
    runtime_turns().await;
}

/// `None` once it has ended. hyper polls the sleep of an idle connection again after its end.
struct PauseTolerantSleep(Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>);

impl Future for PauseTolerantSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if let Some(sleep) = &mut self.0 {
            ready!(sleep.as_mut().poll(context));
            self.0 = None;
        }
        Poll::Ready(())
    }
}

impl Sleep for PauseTolerantSleep {}
