//! Open-loop load: calls start when they are due, whatever became of the earlier ones.
//!
//! A closed loop would wait for a slow answer before it sends again and so leave out the calls
//! that the slowness would have hit (coordinated omission). Here latency runs from the moment at
//! which a call was due. A thread of its own keeps the time, since the runtime's timer has steps
//! of a millisecond.

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

/// The last stretch before a call is due is spent spinning: sleeping wakes up too late.
const SPIN_TIME: Duration = Duration::from_micros(120);
const LATENCY_MAX_US: u64 = 60_000_000;
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// With the answer.
    Answered,
    /// With a refusal.
    Refused,
    /// The caller had waited long enough.
    TimedOut,
    /// Without an answer.
    Failed,
}

/// What became of all calls of a run.
#[derive(Debug)]
pub(crate) struct LoadSummary {
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) timed_out: u64,
    pub(crate) failed: u64,
    /// From due to answered, in microseconds; answered calls only.
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
            latency_us: latency_us.expect("three digits are in range"),
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

    /// A quantile of the latency in milliseconds.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Calls that arrive at random at a rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    pub(crate) rate_per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
}

/// Starts `call(number)` at each arrival and waits until all have ended.
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
            // Exponential gaps: arrivals that know nothing of each other.
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

/// A caller with kept connections.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One call as callers make it.
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

    /// Calls and reads the whole answer, unless it takes longer than `patience`; then the call is
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
            .expect("an address and a path make a request");
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
