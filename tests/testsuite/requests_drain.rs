//! Planned stops: nothing in flight is cut, nothing new comes, and callers notice nothing.

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

/// Payments without pause through every node of another service, until told to stop. Returns
/// each answer that was not 200.
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
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 200);
    serde_json::from_slice(&reply.body).expect("the answer is JSON")
}

/// An operator drains one backend server under load, while a long payment runs on it. The long
/// one ends whole, no new one comes, no caller sees anything, and the node goes on as an entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_command_is_invisible_to_callers() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let stop = Arc::default();
    let callers = start_payments(&mesh, &stop);
    let entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    let path = "/payments?work_ms=2000";
    let long = tokio::spawn(send_request(entry, Method::POST, "cobros", path, "long-1"));
    let position = wait_until_running(&mesh, "cobros", "long-1").await;
    let answer = drain(&mesh, position).await;
    assert_eq!(answer["draining"], true);
    assert!(answer["in_flight"].as_u64() >= Some(1), "{answer}");
    let runs_at_drain = mesh.vms[position].backend.record().runs.len() as u64;
    let reply = long.await.expect("no panic").expect("the node answers");
    assert_eq!(reply.status, 200);
    wait_until("nothing is in flight", WAIT_TIMEOUT, || async {
        drain(&mesh, position).await["in_flight"] == 0
    })
    .await;
    let failures = collect_failures(callers, &stop).await;
    assert!(failures.is_empty(), "{failures:?}");
    // What was in flight may have begun a moment after the answer; nothing else did.
    let runs_max = runs_at_drain + answer["in_flight"].as_u64().unwrap_or(0);
    let runs_at_end = mesh.vms[position].backend.record().runs.len() as u64;
    assert!(
        runs_at_end <= runs_max,
        "{runs_at_end} instead of {runs_max} at most"
    );
    // The node itself is still there for callers.
    let entry = mesh.vms[position].node().addresses.caller;
    let reply = send_request(entry, Method::POST, "cobros", "/payments", "after-1").await;
    assert_eq!(reply.expect("the node answers").status, 200);
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
    assert_eq!(reply.expect("the node answers").status, 200);
}

/// A backend server says itself that it drains, and later that it serves again.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_announcement_ends_with_the_next_announcement() {
    let mesh = start_chatarras(small_deployment(&["cobros"], 1)).await;
    let position = vms_of(&mesh, "cobros")[0];
    let entry = mesh.vms[position].node().addresses.caller;
    announce(&mesh, position, "draining").await;
    let reply = send_request(entry, Method::POST, "cobros", "/payments", "away-1").await;
    assert_eq!(reply.expect("the node answers").status, 200);
    assert!(
        run_counts(&mesh, "cobros", "away-1")
            .iter()
            .all(|run| run.0 != position)
    );
    announce(&mesh, position, "serving").await;
    wait_until("it has work again", WAIT_TIMEOUT, || async {
        let id = format!("home-{}", next_number());
        let reply = send_request(entry, Method::POST, "cobros", "/payments", &id).await;
        assert_eq!(reply.expect("the node answers").status, 200);
        run_counts(&mesh, "cobros", &id)
            .iter()
            .any(|run| run.0 == position)
    })
    .await;
}

/// Numbers that differ from call to call.
fn next_number() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A VM is told to stop (SIGTERM) under load, with a payment of 5 s on its backend server, an
/// upload half sent to it that then runs 10 s, and callers of its own. All end whole, nobody notices,
/// and the process leaves with 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_finishes_its_requests() {
    let mut mesh = start_chatarras(small_deployment(&["tablon", "cobros", "bascula"], 1)).await;
    let stop = Arc::default();
    let victim = vms_of(&mesh, "cobros")[0];
    let long_entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    let victim_entry = mesh.vms[victim].node().addresses.caller;
    // Only payments that run on the victim matter here, so ask until one does.
    let mut long = None;
    for n in 0..200 {
        let id = format!("long-{n}");
        let request_id = id.clone();
        let pending = tokio::spawn(async move {
            // Longer than all the pauses of a drain together, so that only waiting for it saves it.
            let path = "/payments?work_ms=5000";
            send_request(long_entry, Method::POST, "cobros", path, &request_id).await
        });
        if wait_until_running(&mesh, "cobros", &id).await == victim {
            long = Some(pending);
            break;
        }
    }
    let long = long.expect("the victim gets some of the work");
    let mut upload = TcpStream::connect(victim_entry).await.expect("it listens");
    let head = "PUT /bundles/9?work_ms=10000 HTTP/1.1\r\nhost: bascula\r\nx-request-id: up-9\r\n\
                content-length: 300000\r\n\r\n";
    upload
        .write_all(head.as_bytes())
        .await
        .expect("it is taken");
    upload.write_all(&[7; 150_000]).await.expect("it is taken");
    wait_until_running(&mesh, "bascula", "up-9").await;
    let callers = start_payments(&mesh, &stop);
    mesh.vms[victim].node().signal(Signal::Terminate);
    let terminated_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(700)).await;
    upload.write_all(&[7; 150_000]).await.expect("it is taken");
    let mut answer = Vec::new();
    upload
        .read_to_end(&mut answer)
        .await
        .expect("the answer is whole");
    let answer = String::from_utf8_lossy(&answer).to_lowercase();
    assert!(answer.starts_with("http/1.1 200"), "{:.300}", answer);
    assert!(answer.contains("connection: close"), "{:.300}", answer);
    let digest = blake3::hash(&[7; 300_000]).to_hex();
    assert!(answer.contains(digest.as_str()), "{:.300}", answer);
    let reply = long.await.expect("no panic").expect("the node answers");
    assert_eq!(reply.status, 200);
    let node = mesh.vms[victim].node.as_mut().expect("it is there");
    let ended = tokio::time::timeout(WAIT_TIMEOUT, node.wait_exit()).await;
    let ended = ended.expect("it leaves").expect("it is a child");
    assert!(ended.success(), "{ended:?}");
    let exited = mesh.vms[victim].node.take();
    drop(exited);
    let failures = collect_failures(callers, &stop).await;
    assert!(failures.is_empty(), "{failures:?}");
    let last_begun = mesh.vms[victim].backend.record().last_run_start;
    let lag = last_begun.map(|at| at.saturating_duration_since(terminated_at));
    println!("last new request {lag:?} after the signal");
}

/// A data centre without a backend server of `cobros` is cut off from all others. It goes on
/// serving prices, says at once that a payment did not run, and tells its operator what it lacks.
/// A node without a backend server is as good an entry as any.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_data_centre_serves_its_own_services() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let isolated = vms_of(&mesh, "cobros")[2];
    let vm = &mesh.vms[isolated];
    announce(&mesh, isolated, "gone").await;
    let operator = vm.node().addresses.operator;
    let entry = vm.node().addresses.caller;
    let status = send_request(entry, Method::GET, "cobros", "/payments/1", "near-1").await;
    assert_eq!(status.expect("the node answers").status, 200);

    let site = vm.site;
    mesh.network
        .set_cut(true, |from, to| (from == site) != (to == site));
    let lacking = async || {
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        status["lacking"].clone()
    };
    // The archive and the weighbridges are not deployed in this test at all.
    let expected = serde_json::json!(["bascula", "cobros", "hemeroteca"]);
    wait_until("it knows what it lacks", WAIT_TIMEOUT, || async {
        let mut services = lacking().await;
        if let Some(services) = services.as_array_mut() {
            services.sort_by_key(ToString::to_string);
        }
        services == expected
    })
    .await;
    let prices = send_request(entry, Method::GET, "tablon", "/prices/zinc", "cut-1").await;
    assert_eq!(prices.expect("the node answers").status, 200);
    let payment = send_request(entry, Method::POST, "cobros", "/payments", "cut-2").await;
    let payment = payment.expect("the node answers");
    assert_eq!(payment.status, 503);
    assert_eq!(payment.header(VERDICT_HEADER), "not-run");
    assert_eq!(payment.header(REASON_HEADER), "no-endpoint");
}

/// Waits until the node with the listener `operator` knows the state of another's backend server.
async fn wait_for_backend_state(operator: SocketAddr, peer: SocketAddr, state: &str) {
    wait_until("the state is known", WAIT_TIMEOUT, || async {
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let peer = peer.to_string();
        let member = members
            .iter()
            .find(|member| member["node"] == peer.as_str());
        member.is_some_and(|member| member["backend"] == state)
    })
    .await;
}

/// An upload waits for a slot, its first part already sent, when the backend server that it waits
/// for is drained. It is sent again from its beginning to another one, and arrives whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_upload_is_resent_whole_to_another_endpoint() {
    const BYTES: usize = 3 << 20;
    let mut deployment = small_deployment(&["tablon", "bascula"], 1);
    deployment.data_centres.truncate(2);
    let mesh = start_chatarras(deployment).await;
    let [first, second] = vms_of(&mesh, "bascula")[..] else {
        panic!("two endpoints were asked for")
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
    wait_until("all slots are taken", WAIT_TIMEOUT, || async {
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
    wait_until("the upload waits", WAIT_TIMEOUT, || async {
        fetch_metrics(gate).await.contains("gate_waiting 1")
    })
    .await;
    announce(&mesh, second, "serving").await;
    wait_for_backend_state(entry.addresses.operator, peer, "serving").await;
    drain(&mesh, first).await;
    let reply = upload.await.expect("no panic").expect("the node answers");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-digest"), digest);
    assert_eq!(run_counts(&mesh, "bascula", "upload-1"), [(second, 1)]);
    for reply in holders.join_all().await {
        assert_eq!(reply.expect("the node answers").status, 200);
    }
}
