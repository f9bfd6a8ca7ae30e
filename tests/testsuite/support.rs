//! What several tests need: the program, a mesh of it, its command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::time::Duration;

use http::Method;
use testkit::http::{Reply, request, wait_until};
use testkit::mesh::{Deployment, Mesh};
use testkit::users;
use testkit::users::configuration::{Route, RouteKind};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_dragonflywall");

/// A file of the repository.
pub(crate) fn repository_file(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Starts a deployment of node processes.
pub(crate) async fn start_mesh(deployment: Deployment) -> Mesh {
    let mesh = Mesh::start(Path::new(PROGRAM), &["node"], deployment).await;
    mesh.expect("every process starts")
}

/// Runs a command of the product to its end.
pub(crate) async fn run_program(arguments: &[&str]) -> Output {
    let output = tokio::process::Command::new(PROGRAM)
        .args(arguments)
        .kill_on_drop(true)
        .output()
        .await;
    output.expect("the program runs")
}

/// Publishes example files of a deployment through the command line.
pub(crate) async fn publish(mesh: &Mesh, files: &[&str]) -> Output {
    let paths: Vec<PathBuf> = files.iter().map(|file| repository_file(file)).collect();
    let url = mesh.platform.url();
    let mut arguments = vec!["publish", "--operator", "ana", "--platform", &url];
    arguments.extend(paths.iter().filter_map(|path| path.to_str()));
    run_program(&arguments).await
}

/// Two data centres of one region and one of another, with some services of Chatarras.
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

/// Team files of Chatarras.
pub(crate) const CHATARRAS_TEAM_FILES: &[&str] = &[
    "examples/chatarras/boletines.toml",
    "examples/chatarras/suscripciones.toml",
    "examples/chatarras/bascula.toml",
];

/// Starts a deployment that enforces the team files of Chatarras and knows all of its members.
pub(crate) async fn start_chatarras(deployment: Deployment) -> Mesh {
    let mesh = start_mesh(deployment).await;
    let published = publish(&mesh, CHATARRAS_TEAM_FILES).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(1).await;
    mesh.wait_joined().await;
    mesh
}

/// Bounds a hang; no test judges speed by it.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Positions of the VMs of a service.
pub(crate) fn vms_of(mesh: &Mesh, service: &str) -> Vec<usize> {
    let of_service = |position: &usize| mesh.vms[*position].service == service;
    (0..mesh.vms.len()).filter(of_service).collect()
}

/// How often the backend servers of a service ran a request, by position.
pub(crate) fn run_counts(mesh: &Mesh, service: &str, id: &str) -> Vec<(usize, u32)> {
    let run = |position: usize| {
        let record = mesh.vms[position].backend.record();
        record.runs.get(id).map(|times| (position, *times))
    };
    vms_of(mesh, service).into_iter().filter_map(run).collect()
}

/// Waits until some backend server of a service runs the request; returns its position.
pub(crate) async fn wait_until_running(mesh: &Mesh, service: &str, id: &str) -> usize {
    wait_until("the request runs", WAIT_TIMEOUT, || async {
        !run_counts(mesh, service, id).is_empty()
    })
    .await;
    run_counts(mesh, service, id)[0].0
}

/// One request under an id of its own.
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

/// Header with the verdict of a failed request.
pub(crate) const VERDICT_HEADER: &str = "x-dragonflywall-verdict";
/// Header with the reason of a failed request.
pub(crate) const REASON_HEADER: &str = "x-dragonflywall-reason";

/// Metrics of a node as text; empty if it does not answer.
pub(crate) async fn fetch_metrics(operator: SocketAddr) -> String {
    let reply = request(operator, Method::GET, "node", "/metrics", &[], "").await;
    let body = reply.map(|reply| reply.body).unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// Services of the deployments on the users' platform, as tests start them.
pub(crate) const SERVICES: [&str; 2] = ["armazem", "expedicao"];

/// Starts VMs of the users' platform.
pub(crate) async fn start_users_mesh(plan: users::mesh::Plan) -> users::mesh::Mesh {
    let mesh = users::mesh::Mesh::start(Path::new(PROGRAM), &["node"], plan).await;
    mesh.expect("every process starts")
}

/// Routes to both of [`SERVICES`]: reads and uploads to the first one, payments to the second.
pub(crate) fn users_routes() -> Vec<Route> {
    vec![
        Route::new("/stock/", RouteKind::Idempotent, SERVICES[0]),
        Route::new("/sheets/", RouteKind::Upload, SERVICES[0]),
        Route::new("/book/", RouteKind::NonIdempotent, SERVICES[1]),
    ]
}

/// Starts VMs of the users' platform, with [`users_routes`] in force and all backend servers known.
pub(crate) async fn start_serving_users_mesh(plan: users::mesh::Plan) -> users::mesh::Mesh {
    let services = plan.services.clone();
    let mesh = start_users_mesh(plan).await;
    write_routes(&mesh, 1, &users_routes(), &services);
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    mesh
}

/// The operator writes a configuration into the store.
pub(crate) fn write_routes(
    mesh: &users::mesh::Mesh,
    version: u64,
    routes: &[Route],
    services: &[&str],
) {
    let text = users::configuration::json_text(version, routes, services);
    mesh.store.write_operator_row("config", text.as_bytes());
}

/// The VMs at whose backend servers a request ran, one entry for each run.
pub(crate) fn users_mesh_runs(mesh: &users::mesh::Mesh, id: &str) -> Vec<usize> {
    let vms = mesh.vms.iter().enumerate();
    vms.flat_map(|(position, vm)| {
        let record = vm.backend.as_ref().map(|backend| backend.record());
        let runs = record.and_then(|record| record.runs.get(id).map(Vec::len));
        vec![position; runs.unwrap_or(0)]
    })
    .collect()
}
