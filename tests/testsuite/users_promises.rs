//! Statuses that promise a caller that its request has not run, against backend servers that ran it.

use std::time::Duration;

use http::StatusCode;
use testkit::http::{Http1Connection, Reply, wait_until};
use testkit::users::backend::{Behaviour, ResponseMode};
use testkit::users::configuration::DEFAULT_HOST;
use testkit::users::mesh::{CallerRequest, Mesh, Plan, REQUEST_ID, RESPONSE_SEAL};
use tokio::task::JoinSet;

use crate::support::{
    REASON_HEADER, SERVICES, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, start_serving_users_mesh,
    users_mesh_runs,
};

/// Payments that one caller sends on its connection.
const PAYMENTS_PER_CALLER: usize = 40;

/// Work of a payment: longer than the pause after which [`ResponseMode::RefusedLate`] sends its second response.
const PAYMENT_WORK_MS: u64 = 60;

/// One VM of each service in one data centre.
fn small() -> Plan {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan
}

/// Entry nodes: without and with another node between the caller and the backend server of the payments.
fn entries(mesh: &Mesh) -> [usize; 2] {
    [mesh.vms_of(SERVICES[1])[0], mesh.vms_of(SERVICES[0])[0]]
}

async fn send(mesh: &Mesh, entry: usize, request: &CallerRequest<'_>) -> Reply {
    let reply = mesh.send_request(entry, request).await;
    reply.expect("the node responds")
}

/// Waits until payments are not withheld because of an earlier rejection.
async fn wait_accepted(mesh: &Mesh, entry: usize) {
    wait_until("payments are accepted", WAIT_TIMEOUT, || async {
        let id = format!("accepted-{}", rand::random::<u64>());
        let payment = CallerRequest::post("/book/1", &id);
        send(mesh, entry, &payment).await.status == StatusCode::OK
    })
    .await;
}

fn assert_no_promise(reply: &Reply) {
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{reply:?}");
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run", "{reply:?}");
    assert_eq!(reply.header(RESPONSE_SEAL), "", "{reply:?}");
    assert_eq!(reply.header("retry-after"), "", "{reply:?}");
}

/// Guards against a refusal of a backend server that ran the payment and is passed on as the promise that it did not.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_does_not_say_that_the_payment_did_not_run_is_no_promise() {
    let mesh = start_serving_users_mesh(small()).await;
    for entry in entries(&mesh) {
        for status in [408, 429, 503] {
            let id = format!("refused-{entry}-{status}");
            let path = format!("/book/1?status={status}");
            let reply = send(&mesh, entry, &CallerRequest::post(&path, &id)).await;
            assert_eq!(users_mesh_runs(&mesh, &id).len(), 1, "{id}");
            assert_no_promise(&reply);
        }
    }
}

/// Sends payments one after another on connections that stay open. The backend server answers each one and then sends
/// a response without an id. Returns the statuses with the ids.
async fn pay_with_extra_responses(mesh: &Mesh, mode: ResponseMode) -> Vec<(String, StatusCode)> {
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        let entry = entries(mesh)[caller % 2];
        let address = mesh.vms[entry].node().addresses.caller;
        let mode = mode.query_value();
        callers.spawn(async move {
            let connection = Http1Connection::connect(address).await;
            let mut connection = connection.expect("the node accepts the connection");
            let mut statuses = Vec::new();
            for number in 0..PAYMENTS_PER_CALLER {
                let id = format!("{mode}-{caller}-{number}");
                let path = format!("/book/1?work_ms={PAYMENT_WORK_MS}&answer={mode}");
                let headers = [(REQUEST_ID, id.as_str()), ("x-dfw-deadline-ms", "5000")];
                let method = http::Method::POST;
                let reply = connection.request(method, DEFAULT_HOST, &path, &headers, "");
                statuses.push((id.clone(), reply.await.expect("the node responds").status));
            }
            statuses
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

async fn assert_each_payment_runs_and_is_answered(mode: ResponseMode) {
    let mesh = start_serving_users_mesh(small()).await;
    for (id, status) in pay_with_extra_responses(&mesh, mode).await {
        assert_eq!(users_mesh_runs(&mesh, &id).len(), 1, "{id}");
        assert_eq!(status, StatusCode::OK, "{id}");
    }
}

/// Guards against a response without an id that is taken for the response to the payment behind it: each later one of
/// the connection was shifted by one.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_id_is_not_the_response_to_the_next_payment() {
    assert_each_payment_runs_and_is_answered(ResponseMode::RefusedLate).await;
}

/// Guards against a statement of no request that is believed of the payment behind it, which then ran twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_without_an_id_says_nothing_about_the_next_payment() {
    assert_each_payment_runs_and_is_answered(ResponseMode::RejectedLate).await;
}

/// Guards against a backend server that stops, gives up the payments that it runs, and states that it did not run them.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_its_backend_server_denies_after_it_began_gets_no_promise() {
    for position in 0..2 {
        let mesh = start_serving_users_mesh(small()).await;
        let entry = entries(&mesh)[position];
        let backend = mesh.vms[mesh.vms_of(SERVICES[1])[0]].backend();
        let payment = CallerRequest::post("/book/1?work_ms=60000", "denied");
        let (reply, ()) = tokio::join!(send(&mesh, entry, &payment), async {
            wait_until("the payment runs", WAIT_TIMEOUT, || async {
                backend.running() == 1
            })
            .await;
            // Longer than a rejection takes, whatever the load of the machine.
            tokio::time::sleep(Duration::from_millis(50)).await;
            backend.deny_running();
        });
        assert_eq!(users_mesh_runs(&mesh, "denied").len(), 1);
        assert_no_promise(&reply);
    }
}

/// Guards against a backend server that has just begun a payment when it stops, and states that it did not run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_is_denied_before_its_connection_closes_gets_no_promise() {
    let mesh = start_serving_users_mesh(small()).await;
    for entry in entries(&mesh) {
        let id = format!("closes-{entry}");
        wait_accepted(&mesh, entry).await;
        let path = "/book/1?answer=denied-close";
        let reply = send(&mesh, entry, &CallerRequest::post(path, &id)).await;
        assert_eq!(users_mesh_runs(&mesh, &id).len(), 1, "{id}");
        assert_no_promise(&reply);
    }
}

/// Guards against a backend server that states of a payment that it did not run it, after it has made calls for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_its_backend_server_denies_after_a_call_gets_no_promise() {
    let mesh = start_serving_users_mesh(small()).await;
    for entry in entries(&mesh) {
        let id = format!("calls-{entry}");
        wait_accepted(&mesh, entry).await;
        let path = "/book/1?answer=denied&call=mesh.example/stock/1";
        let reply = send(&mesh, entry, &CallerRequest::post(path, &id)).await;
        assert_eq!(users_mesh_runs(&mesh, &id).len(), 1, "{id}");
        assert_no_promise(&reply);
    }
}

/// Guards against a payment that runs again at another endpoint, or gets a promise, since its backend server denies it right
/// after it began it, and goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_is_denied_right_after_it_began_neither_runs_again_nor_gets_a_promise() {
    let mut plan = small();
    plan.vms_per_service = 2;
    let mesh = start_serving_users_mesh(plan).await;
    for entry in entries(&mesh) {
        for work_ms in [0, 1, 3, 20] {
            let id = format!("denied-{entry}-{work_ms}");
            let path = format!("/book/1?answer=denied&work_ms={work_ms}");
            let reply = send(&mesh, entry, &CallerRequest::post(&path, &id)).await;
            assert_eq!(users_mesh_runs(&mesh, &id).len(), 1, "{id}");
            assert_no_promise(&reply);
            wait_accepted(&mesh, entry).await;
        }
    }
}

/// Guards against a payment that is received twice and leaves no trace of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_is_received_again_is_counted() {
    let mesh = start_serving_users_mesh(small()).await;
    let entry = entries(&mesh)[0];
    for _ in 0..2 {
        let reply = send(&mesh, entry, &CallerRequest::post("/book/1", "twice")).await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
    let metrics = fetch_metrics(mesh.vms[entry].node().addresses.operator).await;
    for by in ["entry", "backend"] {
        let counted = format!("dragonflywall_requests_received_again_total{{by=\"{by}\"}} 1");
        assert!(metrics.contains(&counted), "{metrics}");
    }
}

/// Backend servers that reject all requests.
fn rejecting() -> Plan {
    Plan {
        behaviour: Behaviour {
            sheds_percent: 100,
            ..Behaviour::default()
        },
        ..small()
    }
}

/// Guards against a caller that cannot send its payment again where an operator has switched `own-proof` off.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_that_every_backend_server_rejects_gets_not_run_without_own_proof() {
    let mesh = start_serving_users_mesh(Plan {
        arguments: &["--without", "own-proof"],
        ..rejecting()
    })
    .await;
    for entry in entries(&mesh) {
        let id = format!("rejected-{entry}");
        let reply = send(&mesh, entry, &CallerRequest::post("/book/1", &id)).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
        assert_eq!(reply.header(VERDICT_HEADER), "not-run", "{reply:?}");
        assert_eq!(reply.header(REASON_HEADER), "rejected", "{reply:?}");
    }
}

/// Guards against payments that are sent one after another to a backend server that rejects requests.
#[tokio::test(flavor = "multi_thread")]
async fn payments_are_withheld_from_a_backend_server_that_rejects_requests() {
    let mesh = start_serving_users_mesh(rejecting()).await;
    let entry = entries(&mesh)[0];
    let first = send(&mesh, entry, &CallerRequest::post("/book/1", "first")).await;
    assert_no_promise(&first);
    wait_until("a payment is withheld", WAIT_TIMEOUT, || async {
        let id = format!("later-{}", rand::random::<u64>());
        let reply = send(&mesh, entry, &CallerRequest::post("/book/1", &id)).await;
        let is_withheld = reply.header(REASON_HEADER) == "withheld";
        let status = match is_withheld {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::BAD_GATEWAY,
        };
        assert_eq!(reply.status, status, "{reply:?}");
        is_withheld
    })
    .await;
}

/// Guards against metrics that do not tell a refusal that the backend server states from one that it does not.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_a_backend_server_are_counted_by_what_they_state() {
    let mesh = start_serving_users_mesh(small()).await;
    let entry = entries(&mesh)[0];
    send(
        &mesh,
        entry,
        &CallerRequest::post("/book/1?status=429", "unproved"),
    )
    .await;
    let metrics = fetch_metrics(mesh.vms[entry].node().addresses.operator).await;
    let counted = "dragonflywall_backend_promises_total{status=\"429\",basis=\"none\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}
