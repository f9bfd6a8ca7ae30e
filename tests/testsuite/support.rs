//! Helpers that several tests share: they start meshes, run commands, send requests and read metrics.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::time::Duration;

use http::Method;
pub(crate) use testkit::concurrent::join_all;
use testkit::http::{Reply, request, wait_until};
use testkit::mesh::{Deployment, Mesh};
use testkit::process::NodeProcess;
use testkit::users;
use testkit::users::configuration::{Route, RouteKind};

/// Path of the dragonflywall executable.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_dragonflywall");

/// Absolute path of a file in the repository.
pub(crate) fn repository_file(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Starts the node processes and stand-ins of a deployment.
pub(crate) async fn start_mesh(deployment: Deployment) -> Mesh {
    let mesh = Mesh::start(Path::new(PROGRAM), &["node"], deployment).await;
    mesh.expect("all processes start")
}

/// Runs the executable with these arguments and waits until it exits.
pub(crate) async fn run_program(arguments: &[&str]) -> Output {
    let output = tokio::process::Command::new(PROGRAM)
        .args(arguments)
        .kill_on_drop(true)
        .output()
        .await;
    output.expect("the executable starts")
}

/// Runs the `publish` command with these files of the repository.
pub(crate) async fn publish(mesh: &Mesh, files: &[&str]) -> Output {
    let paths: Vec<PathBuf> = files.iter().map(|file| repository_file(file)).collect();
    let url = mesh.platform.url();
    let mut arguments = vec!["publish", "--operator", "ana", "--platform", &url];
    arguments.extend(paths.iter().filter_map(|path| path.to_str()));
    run_program(&arguments).await
}

/// Three data centres, two of them in one region, with these services of the example company Chatarras.
pub(crate) fn small_deployment(
    services: &[&'static str],
    endpoints_per_data_centre: usize,
) -> Deployment {
    let mut deployment = Deployment::chatarras();
    deployment.data_centres.truncate(3);
    deployment.services = services.to_vec();
    deployment.endpoints_per_data_centre = endpoints_per_data_centre;
    deployment
}

/// Team files of the example company Chatarras.
pub(crate) const CHATARRAS_TEAM_FILES: &[&str] = &[
    "examples/chatarras/boletines.toml",
    "examples/chatarras/suscripciones.toml",
    "examples/chatarras/bascula.toml",
];

/// Starts a deployment, publishes [`CHATARRAS_TEAM_FILES`], and waits until all nodes enforce them and list
/// all members.
pub(crate) async fn start_chatarras(deployment: Deployment) -> Mesh {
    let mesh = start_mesh(deployment).await;
    let published = publish(&mesh, CHATARRAS_TEAM_FILES).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(1).await;
    mesh.wait_joined().await;
    mesh
}

/// Timeout for conditions that tests wait for. It only keeps a failed test from hanging; no test measures
/// speed with it.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Indices in `mesh.vms` of the VMs of a service.
pub(crate) fn vms_of(mesh: &Mesh, service: &str) -> Vec<usize> {
    let of_service = |position: &usize| mesh.vms[*position].service == service;
    (0..mesh.vms.len()).filter(of_service).collect()
}

/// How often each backend server of a service ran the request with this ID, as pairs of VM index and
/// count. Backend servers that did not run it are left out.
pub(crate) fn run_counts(mesh: &Mesh, service: &str, id: &str) -> Vec<(usize, u32)> {
    let run = |position: usize| {
        let record = mesh.vms[position].backend.record();
        record.runs.get(id).map(|times| (position, *times))
    };
    vms_of(mesh, service).into_iter().filter_map(run).collect()
}

/// Waits until a backend server of a service runs the request with this ID, and returns its VM index.
pub(crate) async fn wait_until_running(mesh: &Mesh, service: &str, id: &str) -> usize {
    wait_until(
        "a backend server runs the request",
        WAIT_TIMEOUT,
        || async { !run_counts(mesh, service, id).is_empty() },
    )
    .await;
    run_counts(mesh, service, id)[0].0
}

/// Sends a request with this request ID to a node's caller listener, `entry`.
pub(crate) async fn send_request(
    entry: SocketAddr,
    method: Method,
    service: &str,
    path: &str,
    id: &str,
) -> testkit::http::Result<Reply> {
    let headers = [("x-request-id", id)];
    request(entry, method, service, path, &headers, "").await
}

/// Response header with the verdict on a request: whether a failed one may have run.
pub(crate) const VERDICT_HEADER: &str = "x-dragonflywall-verdict";
/// Response header with the reason why a request failed.
pub(crate) const REASON_HEADER: &str = "x-dragonflywall-reason";

/// Response header with what shows that a request has not run.
pub(crate) const EVIDENCE_HEADER: &str = "x-dragonflywall-evidence";

/// Metrics of a node in the Prometheus text format; empty if the node does not respond.
pub(crate) async fn fetch_metrics(operator: SocketAddr) -> String {
    let reply = request(operator, Method::GET, "node", "/metrics", &[], "").await;
    let body = reply.map(|reply| reply.body).unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// Resident memory of a node's process.
pub(crate) fn resident_bytes(node: &NodeProcess) -> u64 {
    let id = node.id().expect("the node runs");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the node runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: u64 = kib
        .and_then(|kib| kib.parse().ok())
        .expect("VmRSS is a number");
    kib << 10
}

/// Services of the test deployments on the users' platform.
pub(crate) const SERVICES: [&str; 2] = ["armazem", "expedicao"];

/// Starts a mesh on the stand-in of the users' platform.
pub(crate) async fn start_users_mesh(plan: users::mesh::Plan) -> users::mesh::Mesh {
    let mesh = users::mesh::Mesh::start(Path::new(PROGRAM), &["node"], plan).await;
    mesh.expect("all processes start")
}

/// Routes to the two [`SERVICES`]: reads and uploads to the first, payments to the second.
pub(crate) fn users_routes() -> Vec<Route> {
    vec![
        Route::new("/stock/", RouteKind::Idempotent, SERVICES[0]),
        Route::new("/sheets/", RouteKind::Upload, SERVICES[0]),
        Route::new("/book/", RouteKind::NonIdempotent, SERVICES[1]),
    ]
}

/// Starts a mesh on the stand-in of the users' platform, and waits until all nodes enforce
/// [`users_routes`] and have received the state of all backend servers.
pub(crate) async fn start_serving_users_mesh(plan: users::mesh::Plan) -> users::mesh::Mesh {
    let services = plan.services.clone();
    let mesh = start_users_mesh(plan).await;
    write_routes(&mesh, 1, &users_routes(), &services);
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    mesh
}

/// Writes a configuration with these routes into the store, as an operator does.
pub(crate) fn write_routes(
    mesh: &users::mesh::Mesh,
    version: u64,
    routes: &[Route],
    services: &[&str],
) {
    let text = users::configuration::json_text(version, routes, services);
    mesh.store.write_operator_row("config", text.as_bytes());
}

/// Indices in `mesh.vms` of the VMs whose backend server ran the request with this ID, one entry per run.
pub(crate) fn users_mesh_runs(mesh: &users::mesh::Mesh, id: &str) -> Vec<usize> {
    let vms = mesh.vms.iter().enumerate();
    vms.flat_map(|(position, vm)| {
        let record = vm.backend.as_ref().map(|backend| backend.record());
        let runs = record.and_then(|record| record.runs.get(id).map(Vec::len));
        vec![position; runs.unwrap_or(0)]
    })
    .collect()
}
