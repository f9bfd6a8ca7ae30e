//! Requests that are delayed between two nodes.

use std::time::Duration;

use http::Method;
use testkit::http::{request, wait_until};
use testkit::mesh::Mesh;
use testkit::process::Signal;

use crate::support::{
    REASON_HEADER, VERDICT_HEADER, WAIT_TIMEOUT, repository_file, run_counts, run_program,
    send_request, small_deployment,
};
use crate::support::{start_chatarras, vms_of};

/// Publishes the subscriptions team's file with a single attempt for payments.
async fn publish_single_attempt(mesh: &Mesh) {
    let file = repository_file("examples/chatarras/suscripciones.toml");
    let text = std::fs::read_to_string(file).expect("the example exists");
    let text = text.replacen("attempts = 3", "attempts = 1", 1);
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let path = directory.path().join("suscripciones.toml");
    std::fs::write(&path, text).expect("the file is written");
    let path = path.to_str().expect("the path is UTF-8");
    let url = mesh.platform.url();
    let published = run_program(&["publish", "--operator", "ana", "--platform", &url, path]).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(2).await;
}

/// Drains all endpoints for payments but one in the other data centre of the region. Returns the positions of an entry
/// node and of that endpoint.
async fn drain_all_but_one(mesh: &Mesh) -> (usize, usize) {
    let entry_position = vms_of(mesh, "tablon")[0];
    let is_same_region = |position: usize| {
        let site = mesh.vms[position].site;
        mesh.network
            .same_region(site, mesh.vms[entry_position].site)
    };
    let target = vms_of(mesh, "cobros")
        .into_iter()
        .find(|position| {
            is_same_region(*position) && mesh.vms[*position].site != mesh.vms[entry_position].site
        })
        .expect("the region has two data centres");
    for position in vms_of(mesh, "cobros") {
        if position != target {
            let operator = mesh.vms[position].node().addresses.operator;
            let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
            drained.expect("the node responds");
        }
    }
    (entry_position, target)
}

/// Guards against running a payment whose caller has left. Packets between two data centres are
/// lost for most of a second, so a payment arrives late, and a cancellation would arrive after it.
/// A late payment is therefore not run; a caller that still waits learns this and can pay again.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_delayed_in_transit_is_not_run() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    publish_single_attempt(&mesh).await;
    let (entry_position, _) = drain_all_but_one(&mesh).await;
    let entry = mesh.vms[entry_position].node().addresses.caller;
    // The gate can only recognise a delay after it has measured the usual transit time.
    wait_until("payments reach the endpoint", WAIT_TIMEOUT, || async {
        let reply = send_request(entry, Method::POST, "cobros", "/payments/1", "usual").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    mesh.network.set_cut(true, |_, _| true);
    let late = tokio::spawn(send_request(
        entry,
        Method::POST,
        "cobros",
        "/payments/2",
        "late",
    ));
    tokio::time::sleep(Duration::from_millis(700)).await;
    mesh.network.set_cut(false, |_, _| true);
    let reply = late
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.header(VERDICT_HEADER), "not-run");
    assert_eq!(reply.header(REASON_HEADER), "held-up");
    assert!(run_counts(&mesh, "cobros", "late").is_empty());
}

/// Longer than the gap from which a process counts as frozen.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Guards against running a payment whose caller has left, if it is the first on a connection: the gate was frozen,
/// the connection waited in its listen queue, and the cancellation is lost on the way.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_payment_that_waited_for_a_frozen_gate_is_not_run() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    publish_single_attempt(&mesh).await;
    let (entry_position, target) = drain_all_but_one(&mesh).await;
    let entry = mesh.vms[entry_position].node();
    let operator = entry.addresses.operator;
    wait_until("one endpoint is left", WAIT_TIMEOUT, || async {
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let serves = |member: &&serde_json::Value| {
            member["service"] == "cobros" && member["backend"] == "serving"
        };
        members.iter().filter(serves).count() == 1
    })
    .await;
    let gate = mesh.vms[target].node();
    gate.signal(Signal::Stop);
    let caller = entry.addresses.caller;
    let first = tokio::spawn(send_request(
        caller,
        Method::POST,
        "cobros",
        "/payments/1",
        "first",
    ));
    // The payment reaches the listen queue; the cancellation does not.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let sites = (mesh.vms[entry_position].site, mesh.vms[target].site);
    mesh.network.set_cut_one_way(true, sites.0, sites.1);
    tokio::time::sleep(FREEZE).await;
    let reply = first.await.expect("the task does not panic");
    let reply = reply.expect("the node responds");
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run", "{reply:?}");
    gate.signal(Signal::Continue);
    wait_until("the node is ready again", WAIT_TIMEOUT, || async {
        let operator = gate.addresses.operator;
        let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(run_counts(&mesh, "cobros", "first").is_empty());
    // The endpoint takes payments again.
    mesh.network.set_cut_one_way(false, sites.0, sites.1);
    wait_until("payments reach the endpoint", WAIT_TIMEOUT, || async {
        let reply = send_request(caller, Method::POST, "cobros", "/payments/2", "later").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}
