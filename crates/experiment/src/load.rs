//! Open-loop load generator: each call starts at its scheduled time, even if earlier calls have not
//! ended.
//!
//! A closed loop waits for a slow answer before it sends the next call, and so never sends the
//! calls that would have been delayed as well (coordinated omission). Here latency is measured from
//! the scheduled start of a call. A dedicated thread schedules the calls, because the timer of the
//! Tokio runtime has a resolution of 1 ms.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// How long before the scheduled time the thread stops sleeping and spins. A sleeping thread wakes
/// up later than requested.
const SPIN_TIME: Duration = Duration::from_micros(120);
/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A complete response with status 200.
    Answered,
    /// A complete response with another status.
    Refused,
    /// No complete response within the caller's timeout.
    TimedOut,
    /// The connection failed before a complete response arrived.
    Failed,
}

/// Counts of all calls of a load run by outcome, and their latency.
#[derive(Debug)]
pub(crate) struct LoadSummary {
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) timed_out: u64,
    pub(crate) failed: u64,
    /// From the scheduled start to the end of the response, in microseconds. Covers answered calls
    /// only.
    pub(crate) latency_us: Histogram<u64>,
}

impl LoadSummary {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3);
        Self {
            answered: 0,
            refused: 0,
            timed_out: 0,
            failed: 0,
            latency_us: latency_us.expect("the histogram bounds are valid"),
        }
    }

    fn record(&mut self, outcome: CallOutcome, latency: Duration) {
        match outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.latency_us.saturating_record(latency_us);
            }
            CallOutcome::Refused => self.refused += 1,
            CallOutcome::TimedOut => self.timed_out += 1,
            CallOutcome::Failed => self.failed += 1,
        }
    }

    /// Latency in milliseconds at `quantile` (0 to 1).
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// A Poisson arrival process: how many calls start a second on average, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    pub(crate) rate_per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
}

/// Starts `call(number)` at each arrival, with numbers from 0 on, and waits until all calls have
/// ended.
pub(crate) async fn run_open_loop<F, Fut>(arrivals: Arrivals, call: F) -> LoadSummary
where
    F: Fn(u64) -> Fut + Send + 'static,
    Fut: Future<Output = CallOutcome> + Send + 'static,
{
    let summary = Arc::new(Mutex::new(LoadSummary::new()));
    let tasks = tokio_util::task::TaskTracker::new();
    let task_spawner = tasks.clone();
    let shared_summary = Arc::clone(&summary);
    let runtime = tokio::runtime::Handle::current();
    let arrival_thread = tokio::task::spawn_blocking(move || {
        let mut rng = SmallRng::seed_from_u64(arrivals.seed);
        let started = Instant::now();
        let mut due_at = started;
        let mut number = 0;
        loop {
            // Exponentially distributed gaps make the arrivals independent of each other.
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / arrivals.rate_per_s;
            due_at += Duration::from_secs_f64(gap_s);
            if due_at.duration_since(started) > arrivals.duration {
                return;
            }
            wait_until(due_at);
            let call_future = call(number);
            let summary = Arc::clone(&shared_summary);
            task_spawner.spawn_on(
                async move {
                    let outcome = call_future.await;
                    let latency = due_at.elapsed();
                    let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
                    summary.record(outcome, latency);
                },
                &runtime,
            );
            number += 1;
        }
    });
    let _ = arrival_thread.await;
    tasks.close();
    tasks.wait().await;
    let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut summary, LoadSummary::new())
}

fn wait_until(due_at: Instant) {
    let now = Instant::now();
    if due_at > now + SPIN_TIME {
        std::thread::sleep(due_at - now - SPIN_TIME);
    }
    while Instant::now() < due_at {
        std::hint::spin_loop();
    }
}

/// An HTTP client that keeps idle connections open and reuses them.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Where a call connects to, and the service and path that it requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) service: &'a str,
    pub(crate) path: &'a str,
}

impl Caller {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole response. A call that takes longer than `timeout` is
    /// dropped, which closes its connection.
    pub(crate) async fn call(&self, target: Target<'_>, timeout: Duration) -> CallOutcome {
        match tokio::time::timeout(timeout, self.send_and_read(target)).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::TimedOut,
        }
    }

    async fn send_and_read(&self, target: Target<'_>) -> CallOutcome {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}{}", target.address, target.path))
            .header("host", target.service)
            .body(Full::default())
            .expect("the URI and the host header are valid");
        let Ok(response) = self.client.request(request).await else {
            return CallOutcome::Failed;
        };
        let status = response.status();
        if response.into_body().collect().await.is_err() {
            return CallOutcome::Failed;
        }
        match status {
            StatusCode::OK => CallOutcome::Answered,
            _ => CallOutcome::Refused,
        }
    }
}
