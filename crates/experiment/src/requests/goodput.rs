//! Goodput from half of capacity to five times it, beside the plain policy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use testkit::http::{build_response, serve};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::{Measured, Running};
use crate::error::{Error, Result};
use crate::load::{Arrivals, Caller, Outcome, Target, open_loop};
use crate::options::Scale;
use crate::report::{Axes, Report, Series, Table, figure};

/// Time that a backend server takes for a call; with the slots it makes the capacity.
const WORK: Duration = Duration::from_millis(100);

/// One load, by both policies.
#[derive(Debug)]
pub(crate) struct Goodput {
    /// Offered load as a multiple of capacity.
    pub(crate) load: f64,
    pub(crate) capacity_per_s: f64,
    pub(crate) time: Duration,
    pub(crate) mesh: Outcome,
    pub(crate) plain: Outcome,
}

impl Goodput {
    /// Answers in time as a share of capacity, in percent.
    pub(crate) fn percent(&self, outcome: &Outcome) -> f64 {
        100.0 * outcome.answered as f64 / self.time.as_secs_f64() / self.capacity_per_s
    }
}

/// Backend server of the plain policy: the same slots and work, an unbounded queue before them.
struct PlainBackend {
    address: SocketAddr,
    stop: CancellationToken,
}

impl Drop for PlainBackend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl PlainBackend {
    async fn start(slots: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let slots = Arc::new(Semaphore::new(slots));
        tokio::spawn(serve(listener, stop.clone(), move |_| {
            let slots = Arc::clone(&slots);
            async move {
                let _slot = slots.acquire().await;
                tokio::time::sleep(WORK).await;
                Some(build_response(StatusCode::OK, "done\n"))
            }
        }));
        Ok(Self { address, stop })
    }
}

/// Runs each load by both policies, one after the other.
pub(crate) async fn compare(running: &Running, scale: Scale) -> Result<Vec<Goodput>> {
    let (loads, time): (&[f64], Duration) = match scale {
        Scale::Quick => (&[1.0, 5.0], Duration::from_secs(2)),
        Scale::Full => (&[0.5, 1.0, 2.0, 5.0], Duration::from_secs(4)),
    };
    let subject = running.subject;
    let endpoints = running.serving().count();
    let capacity_per_s = (endpoints * subject.slots) as f64 / WORK.as_secs_f64();
    let path = format!("{}?work_ms={}", subject.path, WORK.as_millis());
    let mut all = Vec::new();
    for &load in loads {
        let arrivals = Arrivals {
            per_s: load * capacity_per_s,
            time,
            seed: 4,
        };
        let mesh = offer(running, arrivals, running.callers(), &path).await;
        let mut plain_backends = Vec::new();
        for _ in 0..endpoints {
            let backend = PlainBackend::start(subject.slots).await;
            plain_backends.push(backend.map_err(|error| Error::Start {
                text: error.to_string(),
            })?);
        }
        let addresses = plain_backends.iter().map(|b| b.address).collect();
        let plain = offer(running, arrivals, addresses, &path).await;
        all.push(Goodput {
            load,
            capacity_per_s,
            time,
            mesh,
            plain,
        });
    }
    Ok(all)
}

/// Offers calls to `addresses` in turn; each caller waits as long as the treatment's timeout.
async fn offer(
    running: &Running,
    arrivals: Arrivals,
    addresses: Vec<SocketAddr>,
    path: &str,
) -> Outcome {
    let subject = running.subject;
    let patience = Duration::from_millis(subject.timeout_ms);
    let caller = Caller::new();
    let path: Arc<str> = path.into();
    open_loop(arrivals, move |number| {
        let caller = caller.clone();
        let path = Arc::clone(&path);
        let turn = usize::try_from(number).unwrap_or(0) % addresses.len();
        let address = addresses[turn];
        async move {
            let target = Target {
                address,
                service: subject.service,
                path: &path,
            };
            caller.call(target, patience).await
        }
    })
    .await
}

pub(super) fn table(measured: &[Measured], command: &str) -> Table {
    let row = |m: &Measured, g: &Goodput| {
        vec![
            m.name.to_owned(),
            m.slots.to_string(),
            format!("{}x", g.load),
            figure(g.load * g.capacity_per_s),
            figure(g.percent(&g.mesh)),
            figure(g.percent(&g.plain)),
            figure(g.mesh.latency_ms(0.5)),
            figure(g.mesh.latency_ms(0.99)),
            figure(g.plain.latency_ms(0.99)),
            g.mesh.refused.to_string(),
            format!("{} / {}", g.mesh.given_up, g.mesh.failed),
            format!("{} / {}", g.plain.given_up, g.plain.failed),
        ]
    };
    Table {
        title: "Goodput under overload",
        command: command.to_owned(),
        columns: vec![
            "deployment",
            "slots",
            "offered",
            "calls/s",
            "goodput % of capacity",
            "plain goodput %",
            "p50 ms",
            "p99 ms",
            "plain p99 ms",
            "refused at once",
            "given up / failed",
            "plain given up / failed",
        ],
        rows: measured
            .iter()
            .flat_map(|m| m.goodput.iter().map(move |g| row(m, g)))
            .collect(),
    }
}

pub(super) fn plot(report: &Report, measured: &[Measured]) -> Result {
    let axes = Axes {
        title: "Goodput under overload",
        x: "offered load, multiples of capacity",
        y: "answers in time, % of capacity",
    };
    let mut lines = Vec::new();
    for m in measured {
        let line = |name: String, outcome: &dyn Fn(&Goodput) -> f64| Series {
            name,
            points: m.goodput.iter().map(|g| (g.load, outcome(g))).collect(),
        };
        lines.push(line(m.name.to_owned(), &|g| g.percent(&g.mesh)));
        lines.push(line(format!("{}, plain", m.name), &|g| g.percent(&g.plain)));
    }
    report.plot("requests-goodput.svg", axes, &lines)
}
