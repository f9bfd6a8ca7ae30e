//! What callers receive: complete responses, visible truncation, and correct verdicts.

use http::Method;
use testkit::backend::Behaviour;
use testkit::http::{Reply, request, wait_until};
use testkit::mesh::Mesh;
use tokio_util::sync::CancellationToken;

use crate::support::{
    CHATARRAS_TEAM_FILES, REASON_HEADER, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, publish,
    repository_file, run_counts, send_request, small_deployment, start_chatarras, vms_of,
    wait_until_running,
};

/// Caller address of a node that is not an endpoint of `service`.
fn remote_entry(mesh: &Mesh, service: &str) -> std::net::SocketAddr {
    let vm = mesh.vms.iter().find(|vm| vm.service != service);
    vm.expect("another service is deployed")
        .node()
        .addresses
        .caller
}

/// Caller address of a node that is an endpoint of `service`.
fn local_entry(mesh: &Mesh, service: &str) -> std::net::SocketAddr {
    let position = vms_of(mesh, service)[0];
    mesh.vms[position].node().addresses.caller
}

/// Guards against treating a failure that the backend server reports as a failure of the mesh. It is the
/// backend server's own response: it carries no verdict and is not retried.
#[tokio::test(flavor = "multi_thread")]
async fn a_500_from_the_backend_server_is_passed_through() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "tablon");
    let path = "/prices/copper?status=500";
    let reply = send_request(entry, Method::GET, "tablon", path, "failed-1").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 500);
    assert_eq!(reply.header(VERDICT_HEADER), "");
    assert_eq!(run_counts(&mesh, "tablon", "failed-1").len(), 1);
}

/// Guards against a 503 of a backend server that ran the payment, which the caller would take for the mesh's promise that it
/// did not.
#[tokio::test(flavor = "multi_thread")]
async fn a_503_from_a_backend_server_that_ran_a_payment_is_no_promise() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    for (number, entry) in [remote_entry(&mesh, "cobros"), local_entry(&mesh, "cobros")]
        .into_iter()
        .enumerate()
    {
        let id = format!("shed-{number}");
        let path = "/payments/1?status=503";
        let reply = send_request(entry, Method::POST, "cobros", path, &id).await;
        let reply = reply.expect("the node responds");
        assert_eq!(reply.status, 502);
        assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
        assert_eq!(reply.header(REASON_HEADER), "unproved");
        assert_eq!(reply.header("retry-after"), "");
        assert_eq!(run_counts(&mesh, "cobros", &id).len(), 1);
    }
}

/// Guards against a read that gets the refusal of one backend server while another one would serve it.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_a_backend_server_refuses_is_tried_elsewhere() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "tablon");
    let path = "/prices/copper?status=503";
    let reply = send_request(entry, Method::GET, "tablon", path, "shed-1").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    let ran = run_counts(&mesh, "tablon", "shed-1");
    assert!(ran.len() > 1, "only {ran:?}");
}

/// Guards against a promise that rests on what a backend server states of a payment.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_a_backend_server_rejects_gets_no_promise() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    for position in vms_of(&mesh, "cobros") {
        let full = Behaviour {
            slots: 0,
            ..Behaviour::default()
        };
        mesh.vms[position].backend.set_behaviour(full);
    }
    let entry = remote_entry(&mesh, "cobros");
    let reply = send_request(entry, Method::POST, "cobros", "/payments/1", "full-1").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert_eq!(reply.header(REASON_HEADER), "rejected");
    assert_eq!(reply.header("retry-after"), "");
    assert!(run_counts(&mesh, "cobros", "full-1").is_empty());
}

/// Guards against hiding that a backend server died while it sent its response. If the truncated
/// response ended normally, the caller would take it for the whole list of prices.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_truncated_for_the_caller() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let remote = remote_entry(&mesh, "tablon");
    let local = mesh.vms[vms_of(&mesh, "tablon")[0]].node().addresses.caller;
    for entry in [remote, local] {
        let path = "/prices/copper?answer_bytes=200000&break_after=100000";
        let reply = send_request(entry, Method::GET, "tablon", path, "broken-1").await;
        assert!(
            reply.is_err(),
            "a truncated response looks complete: {:?}",
            reply.map(|r| r.status)
        );
    }
}

/// Guards against charging a payment twice. The backend server dies while the payment runs, so the
/// caller gets `may-have-run` and the request is not sent to another backend server.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_payment_is_not_retried() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "cobros");
    let path = "/payments/1?work_ms=8000";
    let pending = tokio::spawn(send_request(entry, Method::POST, "cobros", path, "pay-1"));
    let position = wait_until_running(&mesh, "cobros", "pay-1").await;
    mesh.vms[position].backend.kill().await;
    let reply = pending
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert_eq!(reply.header(REASON_HEADER), "lost");
    assert_eq!(run_counts(&mesh, "cobros", "pay-1"), [(position, 1)]);
}

/// Guards against reporting `not-run` for a request that ran. An idempotent read is interrupted
/// while it runs, and its retry is refused. The refusal applies only to the second attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_the_first_attempt() {
    let reply = interrupted_read_with_a_refused_retry().await;
    assert!(reply.status.is_server_error(), "{reply:?}");
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run", "{reply:?}");
}

/// Guards against the status of a refusal, which promises that the request did not run, for a request that
/// ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_of_a_request_that_ran_is_not_answered_with_503() {
    let reply = interrupted_read_with_a_refused_retry().await;
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!(reply.header("retry-after"), "", "{reply:?}");
}

/// The response to a read whose backend server is killed while it runs, and whose retry is refused.
async fn interrupted_read_with_a_refused_retry() -> Reply {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "cobros");
    let path = "/payments/2?work_ms=900";
    let pending = tokio::spawn(send_request(entry, Method::GET, "cobros", path, "status-2"));
    let ran_at = wait_until_running(&mesh, "cobros", "status-2").await;
    // Drains the other endpoints first, so that the retry finds none.
    for position in vms_of(&mesh, "cobros") {
        if position != ran_at {
            let operator = mesh.vms[position].node().addresses.operator;
            let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
            assert_eq!(drained.expect("the node responds").status, 200);
        }
    }
    mesh.vms[ran_at].backend.kill().await;
    let reply = pending
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(run_counts(&mesh, "cobros", "status-2"), [(ran_at, 1)]);
    reply
}

/// Every backend server of the service has been killed. The caller must get a response that says
/// that its payment did not run and when to retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_reaches_no_endpoint_gets_not_run() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    for position in vms_of(&mesh, "cobros") {
        mesh.vms[position].backend.kill().await;
    }
    let entry = remote_entry(&mesh, "cobros");
    let reply = send_request(entry, Method::POST, "cobros", "/payments/3", "pay-3").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header(VERDICT_HEADER), "not-run");
    assert_eq!(reply.header(REASON_HEADER), "backend-down");
    assert_eq!(reply.header("retry-after"), "1");
    assert!(run_counts(&mesh, "cobros", "pay-3").is_empty());
}

/// Guards against a stand-in that accepts a connection after it was killed, and resets it, because a
/// process that is just being started still has a copy of its listener.
#[tokio::test]
async fn a_stopped_listener_refuses_connections_beside_a_copy_of_it() {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let copy = listener.try_clone().expect("a descriptor can be copied");
    let address = listener.local_addr().expect("the listener is bound");
    listener
        .set_nonblocking(true)
        .expect("the mode can be changed");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime is running");
    let stop = CancellationToken::new();
    stop.cancel();
    testkit::http::serve(listener, stop, |_| async { None }).await;
    let connected = tokio::net::TcpStream::connect(address).await;
    let refused = connected.expect_err("the listener is closed");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    drop(copy);
}

/// Guards against work for a disconnected caller, which would keep a slot in use. The caller
/// disconnects while its request runs on another node; the request must be cancelled at the backend
/// server.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_request_at_the_backend_server() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "cobros");
    let path = "/payments/4?work_ms=8000";
    let pending = tokio::spawn(send_request(entry, Method::POST, "cobros", path, "pay-4"));
    let position = wait_until_running(&mesh, "cobros", "pay-4").await;
    pending.abort();
    let _ = pending.await;
    let backend = &mesh.vms[position].backend;
    wait_until(
        "the backend server detects the cancellation",
        WAIT_TIMEOUT,
        || async { backend.record().cancelled == 1 },
    )
    .await;
}

/// The caller of a queued payment disconnects. The payment must leave the queue and must not run
/// when a slot becomes free.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_of_a_disconnected_caller_never_runs() {
    let mesh = start_chatarras(small_deployment(&["cobros"], 1)).await;
    let target = vms_of(&mesh, "cobros")[0];
    for position in vms_of(&mesh, "cobros") {
        if position != target {
            let operator = mesh.vms[position].node().addresses.operator;
            let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
            drained.expect("the node responds");
        }
    }
    let entry = mesh.vms[target].node().addresses.caller;
    let mut holders = Vec::new();
    for n in 0..20 {
        let id = format!("holder-{n}");
        holders.push(tokio::spawn(async move {
            send_request(entry, Method::POST, "cobros", "/payments?work_ms=1500", &id).await
        }));
    }
    let backend = &mesh.vms[target].backend;
    wait_until("all slots are in use", WAIT_TIMEOUT, || async {
        backend.record().peak_running == 20
    })
    .await;
    let disconnecting = tokio::spawn(send_request(
        entry,
        Method::POST,
        "cobros",
        "/payments",
        "gone-1",
    ));
    let staying = tokio::spawn(send_request(
        entry,
        Method::POST,
        "cobros",
        "/payments",
        "stays-1",
    ));
    let operator = mesh.vms[target].node().addresses.operator;
    wait_until(
        "both requests are queued at the gate",
        WAIT_TIMEOUT,
        || async { fetch_metrics(operator).await.contains("gate_waiting 2") },
    )
    .await;
    disconnecting.abort();
    let _ = disconnecting.await;
    let reply = staying
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 200);
    for holder in holders {
        let reply = holder
            .await
            .expect("the task does not panic")
            .expect("the node responds");
        assert_eq!(reply.status, 200);
    }
    assert!(run_counts(&mesh, "cobros", "gone-1").is_empty());
    // A slot granted to the disconnected request would never be released.
    wait_until("every slot is free", WAIT_TIMEOUT, || async {
        fetch_metrics(operator)
            .await
            .contains("gate_slots_in_use 0")
    })
    .await;
    assert_eq!(
        backend.record().peak_running,
        20,
        "more requests than slots ran concurrently"
    );
}

/// A frozen backend server accepts a request and does not respond before the deadline. The request
/// may have run, so the caller must not get `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_after_sending_gets_may_have_run() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    for position in vms_of(&mesh, "tablon") {
        let frozen = Behaviour {
            frozen: true,
            ..Behaviour::default()
        };
        mesh.vms[position].backend.set_behaviour(frozen);
    }
    let entry = remote_entry(&mesh, "tablon");
    let reply = send_request(entry, Method::GET, "tablon", "/prices/zinc", "late-1").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 504);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert_eq!(reply.header(REASON_HEADER), "deadline");
}

/// A HEAD request passes two nodes and gets the length of the response, but no body.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_request_gets_headers_without_a_body() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "tablon");
    let path = "/prices/zinc?answer_bytes=5000";
    let reply = send_request(entry, Method::HEAD, "tablon", path, "head-1").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("content-length"), "5000");
    assert!(reply.body.is_empty());
}

/// The backend server accepts only as many connections as it has slots. Under load the gate must
/// not open more, and must not refuse a request whose connection has just become free.
#[tokio::test(flavor = "multi_thread")]
async fn connections_never_exceed_what_the_backend_server_accepts() {
    let mut deployment = small_deployment(&["cobros"], 1);
    deployment.data_centres.truncate(1);
    let mesh = start_chatarras(deployment).await;
    let text = std::fs::read_to_string(repository_file(CHATARRAS_TEAM_FILES[1]))
        .expect("the example exists");
    let limited = text
        .replace("slots_per_endpoint = 20", "slots_per_endpoint = 2")
        .replace(
            "connections_per_endpoint = 110",
            "connections_per_endpoint = 2",
        );
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let path = directory.path().join("suscripciones.toml");
    std::fs::write(&path, limited).expect("the file is written");
    let published = publish(&mesh, &[path.to_str().expect("the path is UTF-8")]).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(2).await;
    let entry = mesh.vms[0].node().addresses.caller;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..8 {
        callers.spawn(async move {
            for n in 0..100 {
                let id = format!("tight-{caller}-{n}");
                let path = "/payments?answer_bytes=20000";
                let reply = send_request(entry, Method::POST, "cobros", path, &id).await;
                let reply = reply.expect("the node responds");
                assert_eq!(reply.status, 200, "{reply:?}");
            }
        });
    }
    callers.join_all().await;
    let record = mesh.vms[0].backend.record();
    assert!(
        record.peak_running <= 2,
        "{} concurrent requests",
        record.peak_running
    );
    assert!(
        record.peak_connections <= 2,
        "{} concurrent connections",
        record.peak_connections
    );
}
