//! Planned stops: nothing in flight is cut, nothing new comes, and callers notice nothing.

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

use crate::support::{LIMIT, ask, runs, small, start_chatarras, vms_of, wait_running};

/// Payments without pause through every node of another service, until told to stop. Returns
/// each answer that was not 200.
fn payments(mesh: &Mesh, stop: &Arc<AtomicBool>) -> JoinSet<Vec<String>> {
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
                match ask(entry, Method::POST, "cobros", path, &id).await {
                    Ok(reply) if reply.status == 200 => (),
                    other => failures.push(format!("{id}: {other:?}")),
                }
            }
            failures
        });
    }
    callers
}

async fn failures(callers: JoinSet<Vec<String>>, stop: &AtomicBool) -> Vec<String> {
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
    let mesh = start_chatarras(small(&["tablon", "cobros"], 1)).await;
    let stop = Arc::default();
    let callers = payments(&mesh, &stop);
    let entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    let path = "/payments?work_ms=2000";
    let long = tokio::spawn(ask(entry, Method::POST, "cobros", path, "long-1"));
    let position = wait_running(&mesh, "cobros", "long-1").await;
    let answer = drain(&mesh, position).await;
    assert_eq!(answer["draining"], true);
    assert!(answer["in_flight"].as_u64() >= Some(1), "{answer}");
    let drained_at = Instant::now();
    let reply = long.await.expect("no panic").expect("the node answers");
    assert_eq!(reply.status, 200);
    wait_until("nothing is in flight", LIMIT, || async {
        drain(&mesh, position).await["in_flight"] == 0
    })
    .await;
    let failures = failures(callers, &stop).await;
    assert!(failures.is_empty(), "{failures:?}");
    let last_begun = mesh.vms[position].backend.record().last_begun;
    assert!(
        last_begun <= Some(drained_at),
        "new work came after the drain"
    );
    // The node itself is still there for callers.
    let entry = mesh.vms[position].node().addresses.caller;
    let reply = ask(entry, Method::POST, "cobros", "/payments", "after-1").await;
    assert_eq!(reply.expect("the node answers").status, 200);
    assert!(
        runs(&mesh, "cobros", "after-1")
            .iter()
            .all(|run| run.0 != position)
    );
}

/// A backend server says itself that it drains, and later that it serves again.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_announcement_ends_with_the_next_announcement() {
    let mesh = start_chatarras(small(&["cobros"], 1)).await;
    let position = vms_of(&mesh, "cobros")[0];
    let vm = &mesh.vms[position];
    let announce = async |state: &str| {
        let address = vm.backend.address;
        let body = serde_json::json!({ "service": "cobros", "address": address, "state": state });
        let operator = vm.node().addresses.operator;
        let path = "/backend-server";
        let body = body.to_string();
        let reply = request(operator, Method::POST, "node", path, &[], body).await;
        assert_eq!(reply.expect("the node answers").status, 200);
    };
    let entry = vm.node().addresses.caller;
    announce("draining").await;
    let reply = ask(entry, Method::POST, "cobros", "/payments", "away-1").await;
    assert_eq!(reply.expect("the node answers").status, 200);
    assert!(
        runs(&mesh, "cobros", "away-1")
            .iter()
            .all(|run| run.0 != position)
    );
    announce("serving").await;
    wait_until("it has work again", LIMIT, || async {
        let id = format!("home-{}", rand_like());
        let reply = ask(entry, Method::POST, "cobros", "/payments", &id).await;
        assert_eq!(reply.expect("the node answers").status, 200);
        runs(&mesh, "cobros", &id)
            .iter()
            .any(|run| run.0 == position)
    })
    .await;
}

/// Numbers that differ from call to call.
fn rand_like() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A VM is told to stop (SIGTERM) under load, with a long payment on its backend server, an
/// upload half sent to it, and a caller of its own. All three end whole, nobody else notices,
/// and the process leaves with 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_cuts_nothing() {
    let mut mesh = start_chatarras(small(&["tablon", "cobros", "bascula"], 1)).await;
    let stop = Arc::default();
    let victim = vms_of(&mesh, "cobros")[0];
    let long_entry = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    let victim_entry = mesh.vms[victim].node().addresses.caller;
    // Only payments that run on the victim matter here, so ask until one does.
    let mut long = None;
    for n in 0..200 {
        let id = format!("long-{n}");
        let asked_id = id.clone();
        let asked = tokio::spawn(async move {
            let path = "/payments?work_ms=2000";
            ask(long_entry, Method::POST, "cobros", path, &asked_id).await
        });
        if wait_running(&mesh, "cobros", &id).await == victim {
            long = Some(asked);
            break;
        }
    }
    let long = long.expect("the victim gets some of the work");
    let mut upload = TcpStream::connect(victim_entry).await.expect("it listens");
    let head = "PUT /bundles/9 HTTP/1.1\r\nhost: bascula\r\nx-request-id: up-9\r\n\
                content-length: 300000\r\n\r\n";
    upload
        .write_all(head.as_bytes())
        .await
        .expect("it is taken");
    upload.write_all(&[7; 150_000]).await.expect("it is taken");
    wait_running(&mesh, "bascula", "up-9").await;
    let callers = payments(&mesh, &stop);
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
    let ended = tokio::time::timeout(LIMIT, node.ended()).await;
    let ended = ended.expect("it leaves").expect("it is a child");
    assert!(ended.success(), "{ended:?}");
    let left = mesh.vms[victim].node.take();
    drop(left);
    let failures = failures(callers, &stop).await;
    assert!(failures.is_empty(), "{failures:?}");
    let last_begun = mesh.vms[victim].backend.record().last_begun;
    let lag = last_begun.map(|at| at.saturating_duration_since(terminated_at));
    println!("last new request {lag:?} after the signal");
}
