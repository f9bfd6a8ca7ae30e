//! `requests`: measures the latency and CPU time that the mesh adds to a call, the goodput under
//! overload, and how fast a backend server drains.
//!
//! A call enters the mesh at an entry node, which selects an endpoint. The gate node on the
//! endpoint's VM admits the call to a free slot of its backend server. Both example deployments are
//! measured, each with its own number of slots and connections.
//!
//! For comparison, a client without the mesh sends calls to backend servers by round robin, without
//! a limit. These have the same number of slots, and an unbounded queue before them. The pages call
//! this the plain policy.

mod connections;
mod drain;
mod goodput;
mod latency;

use std::ffi::OsString;
use std::net::SocketAddr;

use dragonflywall::store::http::HttpStore;
use testkit::mesh::{Mesh, Vm};

pub(crate) use goodput::Goodput;
pub(crate) use latency::{AddedLatency, CallCost};

use crate::error::{Error, Result};
use crate::examples::{Example, chatarras, marinhas};
use crate::fit::LinearFit;
use crate::options::{Options, Scale};
use crate::publication;
use crate::report::{Report, Table, format_number};

/// The route that the benchmark calls: an interactive, idempotent read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeasuredRoute {
    pub(crate) service: &'static str,
    pub(crate) path: &'static str,
    /// Timeout in the example's team file, and of the callers.
    pub(crate) timeout_ms: u64,
    /// Requests that each backend server runs at a time.
    pub(crate) slots: usize,
}

/// A running deployment whose nodes enforce its example configuration.
#[derive(Debug)]
pub(crate) struct RunningDeployment {
    pub(crate) name: &'static str,
    pub(crate) route: MeasuredRoute,
    pub(crate) mesh: Mesh,
}

impl RunningDeployment {
    async fn start(example: &Example, route: MeasuredRoute) -> Result<Self> {
        let program = std::env::current_exe().map_err(|error| Error::Start {
            text: error.to_string(),
        })?;
        let mesh = Mesh::start(&program, &["node"], example.deployment.clone()).await;
        let mesh = mesh.map_err(|text| Error::Start { text })?;
        let store = HttpStore::new(&mesh.platform.url(), None);
        let records = publication::parse_team_files(&example.files)?;
        publication::publish_and_hint(&store, "experiment", None, records, 1).await?;
        mesh.wait_enforced(1).await;
        mesh.wait_joined().await;
        Ok(Self {
            name: example.name,
            route,
            mesh,
        })
    }

    /// VMs of the measured service.
    pub(crate) fn serving_vms(&self) -> impl Iterator<Item = &Vm> {
        let service = self.route.service;
        self.mesh.vms.iter().filter(move |vm| vm.service == service)
    }

    /// The first VM of another service. Its node is the entry node of the measured calls.
    pub(crate) fn entry_vm(&self) -> &Vm {
        let service = self.route.service;
        let other = self.mesh.vms.iter().find(|vm| vm.service != service);
        other.expect("a deployment has at least two services")
    }

    /// Addresses at which the nodes listen for callers, one for each node.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let vms = self.mesh.vms.iter();
        vms.map(|vm| vm.node().addresses.caller).collect()
    }
}

/// Results of one deployment.
#[derive(Debug)]
pub(crate) struct DeploymentResults {
    pub(crate) name: &'static str,
    pub(crate) slots: usize,
    pub(crate) added_latency: Vec<AddedLatency>,
    pub(crate) cost: CallCost,
    /// Anonymous memory of the entry node in kilobytes, over the number of open connections from
    /// callers.
    pub(crate) connection_kb: LinearFit,
    pub(crate) goodput: Vec<Goodput>,
    pub(crate) drain: drain::DrainResults,
}

/// Runs the command: measures both deployments and writes the page.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let report = Report::new(&options.docs)?;
    let measured = measure(options.scale).await?;
    write(&report, &measured, options.scale)
}

/// Measures both deployments, one after the other.
pub(crate) async fn measure(scale: Scale) -> Result<Vec<DeploymentResults>> {
    let deployments = [
        (
            chatarras(),
            MeasuredRoute {
                service: "tablon",
                path: "/prices/copper",
                timeout_ms: 800,
                slots: 20,
            },
        ),
        (
            marinhas(),
            MeasuredRoute {
                service: "armazem",
                path: "/stock/7",
                timeout_ms: 1_500,
                slots: 6,
            },
        ),
    ];
    let mut results = Vec::new();
    for (example, route) in deployments {
        let deployment = RunningDeployment::start(&example, route).await?;
        let connection_kb = connections::memory_fit(&deployment).await?;
        let added_latency = latency::added_latency(&deployment, scale).await;
        let cost = latency::call_cost(&deployment, scale).await?;
        let goodput = goodput::compare(&deployment, scale).await?;
        let drain = drain::measure(&deployment, scale).await?;
        println!("Measured requests at {}", deployment.name);
        results.push(DeploymentResults {
            name: deployment.name,
            slots: route.slots,
            added_latency,
            cost,
            connection_kb,
            goodput,
            drain,
        });
    }
    Ok(results)
}

const INTRODUCTION: &str = "# Requests\n\n\
    Calls go caller -> entry node -> gate node -> backend server, all processes of one machine, at\n\
    both deployments of the brief. Latency runs from the moment at which a call was due (open\n\
    loop). A direct call goes from the same caller to the same backend server in the same run,\n\
    every other arrival. Goodput counts answers that came before the caller's timeout. The plain\n\
    policy is round robin without bound, to backend servers with the same slots and an unbounded\n\
    queue.\n\n![goodput](requests-goodput.svg)\n";

/// Writes `requests.md`, its CSV files and the goodput plot.
pub(crate) fn write(report: &Report, measured: &[DeploymentResults], scale: Scale) -> Result {
    let command = format!(
        "cargo run --release -p experiment -- requests {}",
        scale.flag()
    );
    let tables = [
        latency::added_latency_table(measured, &command),
        latency::cost_table(measured, &command),
        goodput::table(measured, &command),
        drain_table(measured, &command),
    ];
    report.write_page("requests", INTRODUCTION, &tables)?;
    goodput::plot(report, measured)
}

fn drain_table(measured: &[DeploymentResults], command: &str) -> Table {
    let row = |results: &DeploymentResults| {
        vec![
            results.name.to_owned(),
            format_number(results.drain.offered_per_s),
            format_number(results.drain.last_new_request_ms),
            results.drain.unfinished_requests.to_string(),
            results.drain.answered_calls.to_string(),
            results.drain.unanswered_calls.to_string(),
        ]
    };
    Table {
        title: "A backend server that announces that it drains, under load",
        command: command.to_owned(),
        columns: vec![
            "deployment",
            "calls/s",
            "last new request after ms",
            "requests cut",
            "calls answered",
            "calls not answered",
        ],
        rows: measured.iter().map(row).collect(),
    }
}
