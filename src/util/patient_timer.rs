//! A timer for keep-alive pings, whose answers may have arrived while this process did not run.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

use super::deadline::TURNS_AFTER_DEADLINE;

/// Delay from which a sleep that ends late shows that the process was paused.
const LATE_MIN: Duration = Duration::from_millis(500);
/// Time for which a sleep that ends late goes on. A peer that was paused as well answers within it.
const GRACE: Duration = Duration::from_secs(1);

/// Timer of the runtime, with sleeps that go on for a moment after a pause of the process. hyper checks whether the time
/// for the answer to a ping has passed before it reads what has arrived on the connection. Without the moment, the
/// connection would be closed with the answer in the socket, and with it the requests that run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PatientTimer;

impl Timer for PatientTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(PatientSleep(Box::pin(sleep_until(deadline))))
    }
}

async fn sleep_until(mut deadline: Instant) {
    loop {
        tokio::time::sleep_until(deadline.into()).await;
        let now = Instant::now();
        if now.saturating_duration_since(deadline) < LATE_MIN {
            break;
        }
        deadline = now + GRACE;
    }
    for _ in 0..TURNS_AFTER_DEADLINE {
        tokio::task::yield_now().await;
    }
}

struct PatientSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for PatientSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Sleep for PatientSleep {}
