//! Planned shutdown: no request in flight is interrupted, and no new request is accepted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use testkit::http::{request, wait_until};
use testkit::mesh::Mesh;
use testkit::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::{
    REASON_HEADER, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, run_counts, send_request,
    small_deployment, start_chatarras, vms_of, wait_until_running,
};

/// Sends payments continuously through every node of another service until `stop` is set. The tasks
/// return each response that was not 200.
fn start_payments(mesh: &Mesh, stop: &Arc<AtomicBool>) -> JoinSet<Vec<String>> {
    let mut callers = JoinSet::new();
    let entries = mesh.vms.iter().filter(|vm| vm.service != "cobros");
    for (n, vm) in entries.enumerate() {
        let entry = vm.node().addresses.caller;
        let stop = Arc::clone(stop);
        callers.spawn(async move {
            let mut failures = Vec::new();
            let mut count = 0;
            while !stop.load(Ordering::Acquire) {
                let id = format!("load-{n}-{count}");
                count += 1;
                let path = "/payments?work_ms=5";
                match send_request(entry, Method::POST, "cobros", path, &id).await {
                    Ok(reply) if reply.status == 200 => (),
                    other => failures.push(format!("{id}: {other:?}")),
                }
            }
            failures
        });
    }
    callers
}

async fn collect_failures(callers: JoinSet<Vec<String>>, stop: &AtomicBool) -> Vec<String> {
    stop.store(true, Ordering::Release);
    callers.join_all().await.into_iter().flatten().collect()
}

async fn drain(mesh: &Mesh, position: usize) -> serde_json::Value {
    let operator = mesh.vms[position].node().addresses.operator;
    let reply = request(operator, Method::POST, "node", "/drain", &[], "").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 200);
    serde_json::from_slice(&reply.body).expect("the response is JSON")
}

/// Guards against a connection that breaks without a response when a request outlasts the drain timeout of
/// the caller's node.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_outlasts_the_drain_timeout_gets_a_response() {
    let mut mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    mesh.extra_arguments = vec!["--drain-timeout-ms=1500".to_owned()];
    let entry = vms_of(&mesh, "tablon")[0];
    mesh.kill_node(entry).await.expect("the node exits");
    mesh.start_node(entry).await.expect("the node starts again");
    mesh.wait_enforced(1).await;
    mesh.wait_joined().await;
    let caller = mesh.vms[entry].node().addresses.caller;
    let path = "/payments/1?work_ms=60000";
    let pending = tokio::spawn(send_request(caller, Method::POST, "cobros", path, "long-1"));
    wait_until_running(&mesh, "cobros", "long-1").await;
    mesh.vms[entry].node().signal(Signal::Terminate);
    let reply = pending.await.expect("the task does not panic");
    let reply = reply.expect("the node responds before it exits");
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert_eq!(reply.header(REASON_HEADER), "stopping");
}

/// An operator drains a backend server under load while a long payment runs on it. The payment must
/// complete, no new one may start there, no caller may see a failure, and the node must still serve
/// as an entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_command_is_invisible_to_callers() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let stop = Arc::default();
    let callers = start_payments(&mesh, &stop);
    let entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    let path = "/payments?work_ms=2000";
    let long = tokio::spawn(send_request(entry, Method::POST, "cobros", path, "long-1"));
    let position = wait_until_running(&mesh, "cobros", "long-1").await;
    let response = drain(&mesh, position).await;
    assert_eq!(response["draining"], true);
    assert!(response["in_flight"].as_u64() >= Some(1), "{response}");
    let runs_at_drain = mesh.vms[position].backend.record().runs.len() as u64;
    let reply = long
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 200);
    wait_until("nothing is in flight", WAIT_TIMEOUT, || async {
        drain(&mesh, position).await["in_flight"] == 0
    })
    .await;
    let failures = collect_failures(callers, &stop).await;
    assert!(failures.is_empty(), "{failures:?}");
    // Requests counted as in flight may start just after the drain response; no others may.
    let runs_max = runs_at_drain + response["in_flight"].as_u64().unwrap_or(0);
    let runs_at_end = mesh.vms[position].backend.record().runs.len() as u64;
    assert!(
        runs_at_end <= runs_max,
        "{runs_at_end} requests ran, expected at most {runs_max}"
    );
    // The node still accepts callers.
    let entry = mesh.vms[position].node().addresses.caller;
    let reply = send_request(entry, Method::POST, "cobros", "/payments", "after-1").await;
    assert_eq!(reply.expect("the node responds").status, 200);
    assert!(
        run_counts(&mesh, "cobros", "after-1")
            .iter()
            .all(|run| run.0 != position)
    );
}

async fn announce(mesh: &Mesh, position: usize, state: &str) {
    let vm = &mesh.vms[position];
    let address = vm.backend.address;
    let body = serde_json::json!({ "service": vm.service, "address": address, "state": state });
    let operator = vm.node().addresses.operator;
    let path = "/backend-server";
    let reply = request(operator, Method::POST, "node", path, &[], body.to_string()).await;
    assert_eq!(reply.expect("the node responds").status, 200);
}

/// A backend server announces that it drains and later that it serves again.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_announcement_ends_with_the_next_announcement() {
    let mesh = start_chatarras(small_deployment(&["cobros"], 1)).await;
    let position = vms_of(&mesh, "cobros")[0];
    let entry = mesh.vms[position].node().addresses.caller;
    announce(&mesh, position, "draining").await;
    let reply = send_request(entry, Method::POST, "cobros", "/payments", "away-1").await;
    assert_eq!(reply.expect("the node responds").status, 200);
    assert!(
        run_counts(&mesh, "cobros", "away-1")
            .iter()
            .all(|run| run.0 != position)
    );
    announce(&mesh, position, "serving").await;
    wait_until(
        "the backend server gets requests again",
        WAIT_TIMEOUT,
        || async {
            let id = format!("home-{}", next_number());
            let reply = send_request(entry, Method::POST, "cobros", "/payments", &id).await;
            assert_eq!(reply.expect("the node responds").status, 200);
            run_counts(&mesh, "cobros", &id)
                .iter()
                .any(|run| run.0 == position)
        },
    )
    .await;
}

/// Returns a different number on each call.
fn next_number() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A node gets SIGTERM under load. Its backend server runs a payment of 5 s, and a caller has sent
/// half of an upload through it, which then runs for 10 s elsewhere. Both must complete, other
/// payments must not fail, and the process must exit with 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_finishes_its_requests() {
    let mut mesh = start_chatarras(small_deployment(&["tablon", "cobros", "bascula"], 1)).await;
    let stop = Arc::default();
    let victim = vms_of(&mesh, "cobros")[0];
    let long_entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    let victim_entry = mesh.vms[victim].node().addresses.caller;
    // Payments may run on any endpoint: send them until one runs on the victim.
    let mut long = None;
    for n in 0..200 {
        let id = format!("long-{n}");
        let request_id = id.clone();
        let pending = tokio::spawn(async move {
            // Longer than all fixed waits of a drain together: the payment completes only if the
            // drain waits for it.
            let path = "/payments?work_ms=5000";
            send_request(long_entry, Method::POST, "cobros", path, &request_id).await
        });
        if wait_until_running(&mesh, "cobros", &id).await == victim {
            long = Some(pending);
            break;
        }
    }
    let long = long.expect("some payment runs on the victim");
    let mut upload = TcpStream::connect(victim_entry)
        .await
        .expect("the node accepts connections");
    let head = "PUT /bundles/9?work_ms=10000 HTTP/1.1\r\nhost: bascula\r\nx-request-id: up-9\r\n\
                content-length: 300000\r\n\r\n";
    upload
        .write_all(head.as_bytes())
        .await
        .expect("the node reads the request");
    upload
        .write_all(&[7; 150_000])
        .await
        .expect("the node reads the request");
    wait_until_running(&mesh, "bascula", "up-9").await;
    let callers = start_payments(&mesh, &stop);
    mesh.vms[victim].node().signal(Signal::Terminate);
    let terminated_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(700)).await;
    upload
        .write_all(&[7; 150_000])
        .await
        .expect("the node reads the request");
    let mut response = Vec::new();
    upload
        .read_to_end(&mut response)
        .await
        .expect("the response is complete");
    let response = String::from_utf8_lossy(&response).to_lowercase();
    assert!(response.starts_with("http/1.1 200"), "{:.300}", response);
    assert!(response.contains("connection: close"), "{:.300}", response);
    let digest = blake3::hash(&[7; 300_000]).to_hex();
    assert!(response.contains(digest.as_str()), "{:.300}", response);
    let reply = long
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 200);
    let node = mesh.vms[victim]
        .node
        .as_mut()
        .expect("the node was started");
    let ended = tokio::time::timeout(WAIT_TIMEOUT, node.wait_exit()).await;
    let ended = ended
        .expect("the node exits")
        .expect("the exit status can be read");
    assert!(ended.success(), "{ended:?}");
    let exited = mesh.vms[victim].node.take();
    drop(exited);
    let failures = collect_failures(callers, &stop).await;
    assert!(failures.is_empty(), "{failures:?}");
    let last_run_start = mesh.vms[victim].backend.record().last_run_start;
    let lag = last_run_start.map(|at| at.saturating_duration_since(terminated_at));
    println!("the last new request started {lag:?} after the signal");
}

/// A data centre without a backend server of `cobros` is cut off from all others. It must still
/// serve prices, refuse payments at once with `not-run`, and list the missing services in its
/// status. A node without a backend server must still serve as an entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_data_centre_serves_its_own_services() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let isolated = vms_of(&mesh, "cobros")[2];
    let vm = &mesh.vms[isolated];
    announce(&mesh, isolated, "gone").await;
    let operator = vm.node().addresses.operator;
    let entry = vm.node().addresses.caller;
    let status = send_request(entry, Method::GET, "cobros", "/payments/1", "near-1").await;
    assert_eq!(status.expect("the node responds").status, 200);

    let site = vm.site;
    mesh.network
        .set_cut(true, |from, to| (from == site) != (to == site));
    let lacking = async || {
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        status["lacking"].clone()
    };
    // The archive and the weighbridges are not deployed in this test.
    let expected = serde_json::json!(["bascula", "cobros", "hemeroteca"]);
    wait_until(
        "the status lists the missing services",
        WAIT_TIMEOUT,
        || async {
            let mut services = lacking().await;
            if let Some(services) = services.as_array_mut() {
                services.sort_by_key(ToString::to_string);
            }
            services == expected
        },
    )
    .await;
    let prices = send_request(entry, Method::GET, "tablon", "/prices/zinc", "cut-1").await;
    assert_eq!(prices.expect("the node responds").status, 200);
    let payment = send_request(entry, Method::POST, "cobros", "/payments", "cut-2").await;
    let payment = payment.expect("the node responds");
    assert_eq!(payment.status, 503);
    assert_eq!(payment.header(VERDICT_HEADER), "not-run");
    assert_eq!(payment.header(REASON_HEADER), "no-endpoint");
}

/// Waits until the node with the operator listener `operator` reports `state` for the backend
/// server of `peer`.
async fn wait_for_backend_state(operator: SocketAddr, peer: SocketAddr, state: &str) {
    wait_until(
        "the state of the backend server is known",
        WAIT_TIMEOUT,
        || async {
            let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
            let body = reply.map(|reply| reply.body).unwrap_or_default();
            let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let peer = peer.to_string();
            let member = members
                .iter()
                .find(|member| member["node"] == peer.as_str());
            member.is_some_and(|member| member["backend"] == state)
        },
    )
    .await;
}

/// An upload is queued at a backend server, with its first part already sent, when that backend
/// server is drained. The upload must be sent from its start to another endpoint and arrive
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_upload_is_resent_whole_to_another_endpoint() {
    const BYTES: usize = 3 << 20;
    let mut deployment = small_deployment(&["tablon", "bascula"], 1);
    deployment.data_centres.truncate(2);
    let mesh = start_chatarras(deployment).await;
    let [first, second] = vms_of(&mesh, "bascula")[..] else {
        panic!("the deployment has two endpoints")
    };
    let entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node();
    announce(&mesh, second, "draining").await;
    let peer = mesh.vms[second].node().addresses.peer;
    wait_for_backend_state(entry.addresses.operator, peer, "draining").await;
    let caller = entry.addresses.caller;
    let mut holders = JoinSet::new();
    for n in 0..20 {
        let id = format!("holder-{n}");
        let path = "/bundles/1?work_ms=2500";
        holders.spawn(async move { send_request(caller, Method::PUT, "bascula", path, &id).await });
    }
    let backend = &mesh.vms[first].backend;
    wait_until("all slots are in use", WAIT_TIMEOUT, || async {
        backend.record().peak_running == 20
    })
    .await;
    let bundle = vec![9; BYTES];
    let digest = blake3::hash(&bundle).to_hex().to_string();
    let upload = tokio::spawn(async move {
        let headers = [("x-request-id", "upload-1")];
        let path = "/bundles/2?answer_bytes=1";
        request(caller, Method::PUT, "bascula", path, &headers, bundle).await
    });
    let gate = mesh.vms[first].node().addresses.operator;
    wait_until("the upload is queued", WAIT_TIMEOUT, || async {
        fetch_metrics(gate).await.contains("gate_waiting 1")
    })
    .await;
    announce(&mesh, second, "serving").await;
    wait_for_backend_state(entry.addresses.operator, peer, "serving").await;
    drain(&mesh, first).await;
    let reply = upload
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-digest"), digest);
    assert_eq!(run_counts(&mesh, "bascula", "upload-1"), [(second, 1)]);
    for reply in holders.join_all().await {
        assert_eq!(reply.expect("the node responds").status, 200);
    }
}
