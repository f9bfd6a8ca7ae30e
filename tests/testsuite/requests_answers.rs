//! What a caller is told: whole answers, visible breaks, and verdicts that are true.

use http::Method;
use testkit::backend::Behaviour;
use testkit::http::{request, wait_until};
use testkit::mesh::Mesh;

use crate::support::{
    CHATARRAS_TEAM_FILES, REASON_HEADER, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, publish,
    repository_file, run_counts, send_request, small_deployment, start_chatarras, vms_of,
    wait_until_running,
};

/// An entry that is not itself an endpoint of `service`.
fn remote_entry(mesh: &Mesh, service: &str) -> std::net::SocketAddr {
    let vm = mesh.vms.iter().find(|vm| vm.service != service);
    vm.expect("another service is deployed")
        .node()
        .addresses
        .caller
}

/// A backend server sheds with its own 503. That is its answer, not the mesh's: it carries no
/// verdict, and nobody tries again behind the caller's back.
#[tokio::test(flavor = "multi_thread")]
async fn a_503_from_the_backend_server_is_passed_through() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "tablon");
    let path = "/prices/copper?status=503";
    let reply = send_request(entry, Method::GET, "tablon", path, "shed-1").await;
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header(VERDICT_HEADER), "");
    assert_eq!(run_counts(&mesh, "tablon", "shed-1").len(), 1);
}

/// A backend server dies in the middle of an answer. The caller must see that the answer broke
/// off: an answer that ends cleanly would be taken for the whole list of prices.
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
            "a broken answer looks whole: {:?}",
            reply.map(|r| r.status)
        );
    }
}

/// A payment is under way when the backend server dies. The caller is told that it may have run,
/// and no other backend server gets it: it would be taken twice.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_payment_is_not_retried() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "cobros");
    let path = "/payments/1?work_ms=8000";
    let pending = tokio::spawn(send_request(entry, Method::POST, "cobros", path, "pay-1"));
    let position = wait_until_running(&mesh, "cobros", "pay-1").await;
    mesh.vms[position].backend.kill().await;
    let reply = pending.await.expect("no panic").expect("the node answers");
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert_eq!(reply.header(REASON_HEADER), "lost");
    assert_eq!(run_counts(&mesh, "cobros", "pay-1"), [(position, 1)]);
}

/// A read is cut off in the middle, is tried again as it is idempotent, and is refused there. The
/// refusal is true of the second attempt only; were it passed on, the caller would be told "not
/// run" of a request that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_the_first_attempt() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "cobros");
    let path = "/payments/2?work_ms=900";
    let pending = tokio::spawn(send_request(entry, Method::GET, "cobros", path, "status-2"));
    let ran_at = wait_until_running(&mesh, "cobros", "status-2").await;
    // First the others, so that the retry finds none.
    for position in vms_of(&mesh, "cobros") {
        if position != ran_at {
            let operator = mesh.vms[position].node().addresses.operator;
            let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
            assert_eq!(drained.expect("the node answers").status, 200);
        }
    }
    mesh.vms[ran_at].backend.kill().await;
    let reply = pending.await.expect("no panic").expect("the node answers");
    assert!(reply.status.is_server_error(), "{reply:?}");
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run", "{reply:?}");
    assert_eq!(run_counts(&mesh, "cobros", "status-2"), [(ran_at, 1)]);
}

/// Every endpoint of a service is gone. The caller learns at once that its payment did not run,
/// and when to come again.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_reaches_no_endpoint_gets_not_run() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    for position in vms_of(&mesh, "cobros") {
        mesh.vms[position].backend.kill().await;
    }
    let entry = remote_entry(&mesh, "cobros");
    let reply = send_request(entry, Method::POST, "cobros", "/payments/3", "pay-3").await;
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header(VERDICT_HEADER), "not-run");
    assert_eq!(reply.header(REASON_HEADER), "unreachable");
    assert_eq!(reply.header("retry-after"), "1");
    assert!(run_counts(&mesh, "cobros", "pay-3").is_empty());
}

/// A caller hangs up while its request runs two nodes away. The backend server sees it, stops, and
/// its slot is free again. Without it, work goes on for nobody.
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
    wait_until("the backend server sees it", WAIT_TIMEOUT, || async {
        backend.record().cancelled == 1
    })
    .await;
}

/// Slots are taken and a payment waits in the queue when its caller hangs up. It leaves the queue:
/// it never runs, although a slot becomes free later.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_of_a_disconnected_caller_never_runs() {
    let mesh = start_chatarras(small_deployment(&["cobros"], 1)).await;
    let target = vms_of(&mesh, "cobros")[0];
    for position in vms_of(&mesh, "cobros") {
        if position != target {
            let operator = mesh.vms[position].node().addresses.operator;
            let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
            drained.expect("the node answers");
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
    wait_until("all slots are taken", WAIT_TIMEOUT, || async {
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
    wait_until("both wait at the gate", WAIT_TIMEOUT, || async {
        fetch_metrics(operator).await.contains("gate_waiting 2")
    })
    .await;
    disconnecting.abort();
    let _ = disconnecting.await;
    let reply = staying.await.expect("no panic").expect("the node answers");
    assert_eq!(reply.status, 200);
    for holder in holders {
        let reply = holder.await.expect("no panic").expect("the node answers");
        assert_eq!(reply.status, 200);
    }
    assert!(run_counts(&mesh, "cobros", "gone-1").is_empty());
    // A slot granted to nobody would be lost for good.
    wait_until("every slot is free", WAIT_TIMEOUT, || async {
        fetch_metrics(operator)
            .await
            .contains("gate_slots_in_use 0")
    })
    .await;
    assert_eq!(
        backend.record().peak_running,
        20,
        "more than the slots ran at a time"
    );
}

/// The node of a backend server freezes after it has taken a payment, and its caller's deadline
/// passes. Nothing proves that it did not run, and it is not tried elsewhere.
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
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 504);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert_eq!(reply.header(REASON_HEADER), "deadline");
}

/// A caller asks for the head of an answer only. It passes two nodes with its length and no body.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_request_gets_headers_without_a_body() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = remote_entry(&mesh, "tablon");
    let path = "/prices/zinc?answer_bytes=5000";
    let reply = send_request(entry, Method::HEAD, "tablon", path, "head-1").await;
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("content-length"), "5000");
    assert!(reply.body.is_empty());
}

/// A backend server accepts no more connections than it has slots. Under load the gate never opens
/// one more, and a request that wants one that has just become free is not refused.
#[tokio::test(flavor = "multi_thread")]
async fn connections_never_exceed_what_the_backend_server_accepts() {
    let mut deployment = small_deployment(&["cobros"], 1);
    deployment.data_centres.truncate(1);
    let mesh = start_chatarras(deployment).await;
    let text =
        std::fs::read_to_string(repository_file(CHATARRAS_TEAM_FILES[1])).expect("it is there");
    let limited = text
        .replace("slots_per_endpoint = 20", "slots_per_endpoint = 2")
        .replace(
            "connections_per_endpoint = 110",
            "connections_per_endpoint = 2",
        );
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("suscripciones.toml");
    std::fs::write(&path, limited).expect("it is written");
    let published = publish(&mesh, &[path.to_str().expect("a plain path")]).await;
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
                let reply = reply.expect("the node answers");
                assert_eq!(reply.status, 200, "{reply:?}");
            }
        });
    }
    callers.join_all().await;
    let record = mesh.vms[0].backend.record();
    assert!(
        record.peak_running <= 2,
        "{} at a time",
        record.peak_running
    );
    assert!(
        record.peak_connections <= 2,
        "{} connections",
        record.peak_connections
    );
}
