//! Requests that are in progress while their node is frozen. Meanwhile a new version may remove their routes.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::http::wait_until;
use testkit::process::Signal;
use testkit::users::configuration::{DEFAULT_HOST, Route, RouteKind};
use testkit::users::mesh::{CallerRequest, Mesh, Plan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    SERVICES, WAIT_TIMEOUT, fetch_metrics, start_users_mesh, users_mesh_runs, write_routes,
};

/// Longer than the gap from which a process counts as frozen.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Longer than a freeze, so that the deadline ends no request of these tests.
const DEADLINE_MS: u32 = 20_000;

/// Reads go to the first service, payments to the second. Neither the wait for a slot nor the whole request is limited
/// to less than a freeze.
fn patient_routes() -> Vec<Route> {
    let mut routes = vec![
        Route::new("/stock/", RouteKind::Idempotent, SERVICES[0]),
        Route::new("/book/", RouteKind::NonIdempotent, SERVICES[1]),
    ];
    for route in &mut routes {
        route.timeout_ms = DEADLINE_MS;
        route.target_latency_ms = DEADLINE_MS;
    }
    routes
}

/// The routes of a version without that of `prefix`.
fn routes_without(prefix: &str) -> Vec<Route> {
    let routes = patient_routes().into_iter();
    routes.filter(|route| route.prefix != prefix).collect()
}

/// One data centre with `vms_per_service` VMs for each service, whose backend servers run one request at a time.
async fn start(vms_per_service: usize) -> Mesh {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.vms_per_service = vms_per_service;
    plan.behaviour.slots = 1;
    let mesh = start_users_mesh(plan).await;
    write_routes(&mesh, 1, &patient_routes(), &SERVICES);
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    mesh
}

fn patient<'a>(request: CallerRequest<'a>) -> CallerRequest<'a> {
    CallerRequest {
        deadline_ms: u64::from(DEADLINE_MS),
        ..request
    }
}

/// Writes version 2 with these routes while a node is frozen, waits until another node enforces it and the frozen one
/// counts as frozen, and resumes that one.
async fn resume_after_version_2(mesh: &Mesh, frozen: usize, routes: &[Route]) {
    write_routes(mesh, 2, routes, &SERVICES);
    let other =
        (0..mesh.vms.len()).find(|other| *other != frozen && mesh.vms[*other].node.is_some());
    let other = other.expect("another node runs");
    wait_until("another node enforces version 2", WAIT_TIMEOUT, || async {
        mesh.status(other).await["enforced"]["version"] == 2
    })
    .await;
    tokio::time::sleep(FREEZE).await;
    mesh.vms[frozen].node().signal(Signal::Continue);
}

fn assert_refused(reply: &testkit::http::Reply) {
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.header("x-dragonflywall-verdict"), "not-run");
    assert_eq!(reply.header("x-dragonflywall-reason"), "refreshing");
    assert!(!reply.header("retry-after").is_empty(), "{reply:?}");
}

/// A payment waits at the gate of its entry node for a slot when the node is frozen. The payment before it ends
/// meanwhile. Guards against a node that sends the waiting payment after the freeze by a route that was removed, and
/// against one that loses the payment which was running.
#[tokio::test(flavor = "multi_thread")]
async fn payment_that_waits_for_a_slot_is_not_sent_after_a_freeze() {
    let mesh = start(1).await;
    let frozen = mesh.vms_of(SERVICES[1])[0];
    let operator = mesh.vms[frozen].node().addresses.operator;
    let running = patient(CallerRequest::post("/book/1?work_ms=2000", "running"));
    let waiting = patient(CallerRequest::post("/book/2", "waiting"));
    let ((), running, waiting) = tokio::join!(
        async {
            wait_until("a payment waits", WAIT_TIMEOUT, || async {
                let metrics = fetch_metrics(operator).await;
                metrics.contains("dragonflywall_gate_waiting 1")
            })
            .await;
            mesh.vms[frozen].node().signal(Signal::Stop);
            resume_after_version_2(&mesh, frozen, &routes_without("/book/")).await;
        },
        mesh.send_request(frozen, &running),
        async {
            wait_until("the first payment runs", WAIT_TIMEOUT, || async {
                !users_mesh_runs(&mesh, "running").is_empty()
            })
            .await;
            mesh.send_request(frozen, &waiting).await
        }
    );
    let running = running.expect("the request gets a response");
    assert_eq!(running.status, 200, "{running:?}");
    assert_eq!(users_mesh_runs(&mesh, "running").len(), 1);
    assert_refused(&waiting.expect("the request gets a response"));
    assert!(users_mesh_runs(&mesh, "waiting").is_empty());
}

/// Sends the head of a payment and a part of its body. The rest follows later.
async fn start_payment(caller: SocketAddr, id: &str, body_bytes: usize, part: &[u8]) -> TcpStream {
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: {DEFAULT_HOST}\r\nx-dfw-attempt-id: {id}\r\n\
         x-dfw-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {body_bytes}\r\nconnection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(caller)
        .await
        .expect("the node accepts connections");
    for bytes in [head.as_bytes(), part] {
        stream
            .write_all(bytes)
            .await
            .expect("the node reads the request");
    }
    stream
}

/// The rest of a payment's body arrives after a freeze of its entry node, at whose gate the first part is buffered.
/// Guards against a node that then sends the payment by a route that was removed.
#[tokio::test(flavor = "multi_thread")]
async fn payment_whose_body_arrives_after_a_freeze_is_not_sent() {
    const BODY_BYTES: usize = 60_000;
    const FIRST_PART_BYTES: usize = 20_000;
    let body = vec![7; BODY_BYTES];
    let (first_part, rest) = body.split_at(FIRST_PART_BYTES);
    let mesh = start(1).await;
    let frozen = mesh.vms_of(SERVICES[1])[0];
    let addresses = mesh.vms[frozen].node().addresses;
    let mut stream = start_payment(addresses.caller, "late-body", BODY_BYTES, first_part).await;
    wait_until("the body is being received", WAIT_TIMEOUT, || async {
        let metrics = fetch_metrics(addresses.operator).await;
        metrics.contains("dragonflywall_uploads_coming 1")
    })
    .await;
    mesh.vms[frozen].node().signal(Signal::Stop);
    stream
        .write_all(rest)
        .await
        .expect("the system buffers the rest");
    resume_after_version_2(&mesh, frozen, &routes_without("/book/")).await;
    let response = read_response(stream).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.contains("x-dragonflywall-reason: refreshing"),
        "{response}"
    );
    assert!(users_mesh_runs(&mesh, "late-body").is_empty());
}

/// The rest of a body that is too long for the gate's buffer arrives after a freeze. The first part has been forwarded to
/// the backend server, so that the payment may run. Guards against a node that gives up or repeats a payment which was sent
/// before the freeze.
#[tokio::test(flavor = "multi_thread")]
async fn payment_that_was_sent_before_a_freeze_is_answered() {
    const BODY_BYTES: usize = 300_000;
    const REST_BYTES: usize = 500;
    let body = vec![7; BODY_BYTES];
    let (first_part, rest) = body.split_at(BODY_BYTES - REST_BYTES);
    let mesh = start(1).await;
    let frozen = mesh.vms_of(SERVICES[1])[0];
    let caller = mesh.vms[frozen].node().addresses.caller;
    let mut stream = start_payment(caller, "sent", BODY_BYTES, first_part).await;
    wait_until("the payment was forwarded", WAIT_TIMEOUT, || async {
        let record = mesh.vms[frozen].backend().record();
        record.last_arrival.is_some()
    })
    .await;
    mesh.vms[frozen].node().signal(Signal::Stop);
    stream
        .write_all(rest)
        .await
        .expect("the system buffers the rest");
    resume_after_version_2(&mesh, frozen, &routes_without("/book/")).await;
    let response = read_response(stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(users_mesh_runs(&mesh, "sent"), [frozen]);
}

/// The rest of a short body arrives after a freeze of its entry node. Guards against a node that then sends the payment by
/// a route that was removed.
#[tokio::test(flavor = "multi_thread")]
async fn payment_whose_short_body_arrives_after_a_freeze_is_not_sent() {
    const BODY_BYTES: usize = 1_000;
    let body = vec![7; BODY_BYTES];
    let (first_part, rest) = body.split_at(BODY_BYTES / 2);
    let mesh = start(1).await;
    let frozen = mesh.vms_of(SERVICES[1])[0];
    let caller = mesh.vms[frozen].node().addresses.caller;
    let mut stream = start_payment(caller, "late", BODY_BYTES, first_part).await;
    // The start of the other payment has been read when this one is answered.
    let whole = patient(CallerRequest::post("/book/2", "whole"));
    let whole = mesh.send_request(frozen, &whole).await;
    assert_eq!(whole.expect("the request gets a response").status, 200);
    mesh.vms[frozen].node().signal(Signal::Stop);
    stream
        .write_all(rest)
        .await
        .expect("the system buffers the rest");
    resume_after_version_2(&mesh, frozen, &routes_without("/book/")).await;
    let response = read_response(stream).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.contains("x-dragonflywall-reason: refreshing"),
        "{response}"
    );
    assert!(users_mesh_runs(&mesh, "late").is_empty());
}

async fn read_response(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .await
        .expect("the response is complete");
    String::from_utf8_lossy(&response).into_owned()
}

/// A node is frozen while it waits for the response to an idempotent request, and the process at the other end dies.
/// Guards against a node that retries the request after the freeze by a route that was removed.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_retried_after_a_freeze() {
    let mut mesh = start(2).await;
    let frozen = mesh.vms_of(SERVICES[1])[0];
    let caller = mesh.vms[frozen].node().addresses.caller;
    let pending = tokio::spawn(async move {
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("x-dfw-attempt-id", "read"),
            ("x-dfw-deadline-ms", deadline.as_str()),
        ];
        let (method, path) = (http::Method::GET, "/stock/1?work_ms=2000");
        testkit::http::request(caller, method, DEFAULT_HOST, path, &headers, "").await
    });
    wait_until("the request runs", WAIT_TIMEOUT, || async {
        !users_mesh_runs(&mesh, "read").is_empty()
    })
    .await;
    mesh.vms[frozen].node().signal(Signal::Stop);
    let running_at = users_mesh_runs(&mesh, "read")[0];
    mesh.kill_node(running_at).await.expect("the node exits");
    resume_after_version_2(&mesh, frozen, &routes_without("/stock/")).await;
    let reply = pending.await.expect("the task does not panic");
    let reply = reply.expect("the request gets a response");
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!(reply.header("x-dragonflywall-verdict"), "may-have-run");
    assert_eq!(users_mesh_runs(&mesh, "read"), [running_at]);
}

/// A payment waits at the gate of its entry node during a pause of about the length from which a process counts as
/// frozen. Guards against a payment that is lost, runs twice, or runs although its caller is told that it did not.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_of_a_payment_matches_its_runs_after_a_pause_near_the_limit() {
    let mesh = start(1).await;
    let paused = mesh.vms_of(SERVICES[1])[0];
    let operator = mesh.vms[paused].node().addresses.operator;
    for pause_ms in [2_600, 2_800, 2_900, 3_000, 3_100] {
        let ids = [format!("running-{pause_ms}"), format!("waiting-{pause_ms}")];
        let running = patient(CallerRequest::post("/book/1?work_ms=1500", &ids[0]));
        let waiting = patient(CallerRequest::post("/book/2", &ids[1]));
        let ((), running, waiting) = tokio::join!(
            async {
                wait_until("a payment waits", WAIT_TIMEOUT, || async {
                    let metrics = fetch_metrics(operator).await;
                    metrics.contains("dragonflywall_gate_waiting 1")
                })
                .await;
                mesh.vms[paused].node().signal(Signal::Stop);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                mesh.vms[paused].node().signal(Signal::Continue);
            },
            mesh.send_request(paused, &running),
            async {
                wait_until("the first payment runs", WAIT_TIMEOUT, || async {
                    !users_mesh_runs(&mesh, &ids[0]).is_empty()
                })
                .await;
                mesh.send_request(paused, &waiting).await
            }
        );
        let running = running.expect("the request gets a response");
        assert_eq!(running.status, 200, "{running:?}");
        assert_eq!(users_mesh_runs(&mesh, &ids[0]).len(), 1);
        let waiting = waiting.expect("the request gets a response");
        let was_run = waiting.status == 200;
        if !was_run {
            assert_refused(&waiting);
        }
        let runs = users_mesh_runs(&mesh, &ids[1]).len();
        assert_eq!(runs, usize::from(was_run), "{waiting:?}");
        wait_until("the node serves again", WAIT_TIMEOUT, || async {
            let look_up = CallerRequest::get("/stock/1", "look-up");
            let reply = mesh.send_request(paused, &look_up).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }
}

/// A node that drains is frozen while a payment runs at another node's backend server, and one at its own. Guards
/// against a node that gives them up when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_answers_its_payments_after_a_freeze() {
    let mut mesh = start(2).await;
    let draining = mesh.vms_of(SERVICES[1])[0];
    let other = mesh.vms_of(SERVICES[0])[0];
    let own = patient(CallerRequest::post("/book/1?work_ms=1500", "own"));
    let read = patient(CallerRequest::get("/stock/1?work_ms=1500", "read"));
    let ((), own, read) = tokio::join!(
        async {
            wait_until("both requests run", WAIT_TIMEOUT, || async {
                let run = |id| !users_mesh_runs(&mesh, id).is_empty();
                run("own") && run("read")
            })
            .await;
            let node = mesh.vms[draining].node();
            node.signal(Signal::Terminate);
            wait_until("the node drains", WAIT_TIMEOUT, || async {
                mesh.status(draining).await["ready"] == false
            })
            .await;
            node.signal(Signal::Stop);
            tokio::time::sleep(FREEZE).await;
            node.signal(Signal::Continue);
        },
        mesh.send_request(draining, &own),
        mesh.send_request(draining, &read),
    );
    for (reply, id) in [(own, "own"), (read, "read")] {
        let reply = reply.expect("the request gets a response");
        assert_eq!(reply.status, 200, "{id}: {reply:?}");
        assert_eq!(users_mesh_runs(&mesh, id).len(), 1);
    }
    mesh.wait_node_exit(draining).await.expect("the node exits");
    let look_up = CallerRequest::get("/stock/1", "after");
    let reply = mesh.send_request(other, &look_up).await;
    assert_eq!(reply.expect("the node responds").status, 200);
}

/// A node is frozen while it waits for the answer to a keep-alive ping, which it has sent to the node that runs a
/// payment. The answer arrives in the freeze, or shortly after it, as from a node that was frozen too. Guards against a
/// node that closes the connection when it resumes, because the time for the answer has passed, and so gives up the
/// payment.
#[tokio::test(flavor = "multi_thread")]
async fn an_unanswered_ping_does_not_end_a_payment_after_a_freeze() {
    let mesh = start(1).await;
    let frozen = mesh.vms_of(SERVICES[0])[0];
    let gate = mesh.vms_of(SERVICES[1])[0];
    let (frozen_site, gate_site) = (mesh.vms[frozen].site, mesh.vms[gate].site);
    let set_answers_cut = |cut| {
        let network = &mesh.network;
        network.set_cut_one_way(cut, gate_site, frozen_site);
    };
    for arrives_in_the_freeze in [true, false] {
        let id = format!("payment-{arrives_in_the_freeze}");
        let payment = patient(CallerRequest::post("/book/1?work_ms=4000", &id));
        let (reply, ()) = tokio::join!(mesh.send_request(frozen, &payment), async {
            wait_until("the payment runs", WAIT_TIMEOUT, || async {
                !users_mesh_runs(&mesh, &id).is_empty()
            })
            .await;
            set_answers_cut(true);
            // Longer than the interval of the pings, and shorter than the time until one counts as unanswered.
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            mesh.vms[frozen].node().signal(Signal::Stop);
            if arrives_in_the_freeze {
                set_answers_cut(false);
            }
            tokio::time::sleep(FREEZE).await;
            mesh.vms[frozen].node().signal(Signal::Continue);
            if !arrives_in_the_freeze {
                tokio::time::sleep(Duration::from_millis(200)).await;
                set_answers_cut(false);
            }
        });
        let reply = reply.expect("the request gets a response");
        assert_eq!(reply.status, 200, "{id}: {reply:?}");
        assert_eq!(users_mesh_runs(&mesh, &id).len(), 1);
        wait_until("the node serves again", WAIT_TIMEOUT, || async {
            let look_up = CallerRequest::post("/book/1", "look-up");
            let reply = mesh.send_request(frozen, &look_up).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }
}
