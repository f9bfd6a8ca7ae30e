//! `requests`: what the mesh adds to a call, what it does under overload, and how it drains.
//!
//! Both deployments are measured with their own slots and connections. The plain policy beside
//! them is a client that takes the backend servers in turn and sends whatever comes; its backend
//! servers keep the same slots behind an unbounded queue.

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

/// What is called: an interactive, idempotent read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeasuredRoute {
    pub(crate) service: &'static str,
    pub(crate) path: &'static str,
    /// Its timeout in the example's team file; a caller waits no longer.
    pub(crate) timeout_ms: u64,
    pub(crate) slots: usize,
}

/// A deployment with its example configuration in force.
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

    /// VMs of the subject's service.
    pub(crate) fn serving_vms(&self) -> impl Iterator<Item = &Vm> {
        let service = self.route.service;
        self.mesh.vms.iter().filter(move |vm| vm.service == service)
    }

    /// A node of another service, in the first data centre.
    pub(crate) fn entry_vm(&self) -> &Vm {
        let service = self.route.service;
        let other = self.mesh.vms.iter().find(|vm| vm.service != service);
        other.expect("a deployment has several services")
    }

    /// Where callers connect, at every node.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let vms = self.mesh.vms.iter();
        vms.map(|vm| vm.node().addresses.caller).collect()
    }
}

/// All that was measured at one deployment.
#[derive(Debug)]
pub(crate) struct DeploymentResults {
    pub(crate) name: &'static str,
    pub(crate) slots: usize,
    pub(crate) added_latency: Vec<AddedLatency>,
    pub(crate) cost: CallCost,
    /// Kilobytes of an entry against its callers' kept connections.
    pub(crate) connection_kb: LinearFit,
    pub(crate) goodput: Vec<Goodput>,
    pub(crate) drain: drain::DrainResults,
}

/// Runs the command.
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

/// Writes page, rows and plot.
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
    let row = |m: &DeploymentResults| {
        vec![
            m.name.to_owned(),
            format_number(m.drain.offered_per_s),
            format_number(m.drain.last_new_request_ms),
            m.drain.unfinished_requests.to_string(),
            m.drain.answered_calls.to_string(),
            m.drain.unanswered_calls.to_string(),
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
