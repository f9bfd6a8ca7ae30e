//! Measures goodput at loads from half of the capacity to five times the capacity, through the mesh
//! and with round robin to backend servers that have unbounded queues.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use testkit::http::{build_response, serve};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::{DeploymentResults, RunningDeployment};
use crate::error::{Error, Result};
use crate::load::{Arrivals, Caller, LoadSummary, Target, run_open_loop};
use crate::options::Scale;
use crate::report::{Axes, Report, Series, Table, format_number};

/// Time that a backend server takes for a call. The capacity is the number of slots divided by it.
const WORK_TIME: Duration = Duration::from_millis(100);

/// Results at one load, through the mesh and with round robin.
#[derive(Debug)]
pub(crate) struct Goodput {
    /// Offered load as a multiple of capacity.
    pub(crate) load: f64,
    pub(crate) capacity_per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) mesh: LoadSummary,
    pub(crate) round_robin: LoadSummary,
}

impl Goodput {
    /// Calls answered before the caller's timeout, in percent of capacity.
    pub(crate) fn goodput_percent(&self, summary: &LoadSummary) -> f64 {
        100.0 * summary.answered as f64 / self.duration.as_secs_f64() / self.capacity_per_s
    }
}

/// Backend server of the round robin comparison: the same number of slots and the same work time,
/// with an unbounded queue before the slots. It stops when dropped.
struct UnboundedQueueBackend {
    address: SocketAddr,
    stop: CancellationToken,
}

impl Drop for UnboundedQueueBackend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl UnboundedQueueBackend {
    async fn start(slots: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let slots = Arc::new(Semaphore::new(slots));
        tokio::spawn(serve(listener, stop.clone(), move |_| {
            let slots = Arc::clone(&slots);
            async move {
                let _slot = slots.acquire().await;
                tokio::time::sleep(WORK_TIME).await;
                Some(build_response(StatusCode::OK, "done\n"))
            }
        }));
        Ok(Self { address, stop })
    }
}

/// Runs each load first through the mesh and then with round robin.
pub(crate) async fn compare(deployment: &RunningDeployment, scale: Scale) -> Result<Vec<Goodput>> {
    let (loads, duration): (&[f64], Duration) = match scale {
        Scale::Quick => (&[1.0, 5.0], Duration::from_secs(2)),
        Scale::Full => (&[0.5, 1.0, 2.0, 5.0], Duration::from_secs(4)),
    };
    let route = deployment.route;
    let endpoints = deployment.serving_vms().count();
    let capacity_per_s = (endpoints * route.slots) as f64 / WORK_TIME.as_secs_f64();
    let path = format!("{}?work_ms={}", route.path, WORK_TIME.as_millis());
    let mut results = Vec::new();
    for &load in loads {
        let arrivals = Arrivals {
            rate_per_s: load * capacity_per_s,
            duration,
            seed: 4,
        };
        let mesh = run_load(deployment, arrivals, deployment.caller_addresses(), &path).await;
        let mut backends = Vec::new();
        for _ in 0..endpoints {
            let backend = UnboundedQueueBackend::start(route.slots).await;
            backends.push(backend.map_err(|error| Error::Start {
                text: error.to_string(),
            })?);
        }
        let addresses = backends.iter().map(|backend| backend.address).collect();
        let round_robin = run_load(deployment, arrivals, addresses, &path).await;
        results.push(Goodput {
            load,
            capacity_per_s,
            duration,
            mesh,
            round_robin,
        });
    }
    Ok(results)
}

/// Sends calls to `addresses` by round robin. Each has the timeout of the measured route.
async fn run_load(
    deployment: &RunningDeployment,
    arrivals: Arrivals,
    addresses: Vec<SocketAddr>,
    path: &str,
) -> LoadSummary {
    let route = deployment.route;
    let timeout = Duration::from_millis(route.timeout_ms);
    let caller = Caller::new();
    let path: Arc<str> = path.into();
    run_open_loop(arrivals, move |number| {
        let caller = caller.clone();
        let path = Arc::clone(&path);
        let index = usize::try_from(number).unwrap_or(0) % addresses.len();
        let address = addresses[index];
        async move {
            let target = Target {
                address,
                service: route.service,
                path: &path,
            };
            caller.call(target, timeout).await
        }
    })
    .await
}

pub(super) fn table(measured: &[DeploymentResults], command: &str) -> Table {
    let row = |deployment_results: &DeploymentResults, goodput: &Goodput| {
        vec![
            deployment_results.name.to_owned(),
            deployment_results.slots.to_string(),
            format!("{}x", goodput.load),
            format_number(goodput.load * goodput.capacity_per_s),
            format_number(goodput.goodput_percent(&goodput.mesh)),
            format_number(goodput.goodput_percent(&goodput.round_robin)),
            format_number(goodput.mesh.latency_ms(0.5)),
            format_number(goodput.mesh.latency_ms(0.99)),
            format_number(goodput.round_robin.latency_ms(0.99)),
            goodput.mesh.refused.to_string(),
            format!("{} / {}", goodput.mesh.timed_out, goodput.mesh.failed),
            format!(
                "{} / {}",
                goodput.round_robin.timed_out, goodput.round_robin.failed
            ),
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
            .flat_map(|deployment_results| {
                deployment_results
                    .goodput
                    .iter()
                    .map(move |goodput| row(deployment_results, goodput))
            })
            .collect(),
    }
}

pub(super) fn plot(report: &Report, measured: &[DeploymentResults]) -> Result {
    let axes = Axes {
        title: "Goodput under overload",
        x: "offered load, multiples of capacity",
        y: "answers in time, % of capacity",
    };
    let mut series = Vec::new();
    for deployment_results in measured {
        let series_of = |name: String, percent_of: &dyn Fn(&Goodput) -> f64| Series {
            name,
            points: deployment_results
                .goodput
                .iter()
                .map(|goodput| (goodput.load, percent_of(goodput)))
                .collect(),
        };
        series.push(series_of(deployment_results.name.to_owned(), &|goodput| {
            goodput.goodput_percent(&goodput.mesh)
        }));
        series.push(series_of(
            format!("{}, plain", deployment_results.name),
            &|goodput| goodput.goodput_percent(&goodput.round_robin),
        ));
    }
    report.write_plot("requests-goodput.svg", axes, &series)
}
