//! Requests at a node that was stopped with SIGTERM, and the end of its process.

use std::path::Path;
use std::time::Duration;

use http::Method;
use testkit::http::{Http1Connection, Http2Connection, Reply, request, wait_until};
use testkit::process::Signal;
use testkit::users::configuration::{DEFAULT_HOST, Route, RouteKind};
use testkit::users::mesh::{CallerRequest, Mesh, Plan};
use testkit::users::store::CallFault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    PROGRAM, REASON_HEADER, SERVICES, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, users_mesh_runs,
    write_routes,
};

/// How long a node goes on serving callers after SIGTERM.
#[derive(Clone, Copy, Debug)]
struct Limits {
    stop_least_ms: u64,
    drain_timeout_ms: u64,
}

/// Time beyond the end of every drain here.
const LONG_MS: u64 = 120_000;
/// Prefix of a route like `/stock/` whose timeout is [`SHORT_MS`] instead of [`LONG_MS`].
const SHORT_ROUTE_PREFIX: &str = "/quick-stock/";
const SHORT_MS: u64 = 20_000;
/// Added to the shortest serving time, in case that the node started it late.
const SERVING_TIME_MARGIN: Duration = Duration::from_secs(1);

/// Starts a data centre with one VM for each of the [`SERVICES`]. The requests of its routes may take [`LONG_MS`].
async fn start_mesh(limits: Limits, slots: u32) -> Mesh {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.behaviour.slots = slots;
    let arguments = [
        "node".to_owned(),
        format!("--stop-least-ms={}", limits.stop_least_ms),
        format!("--drain-timeout-ms={}", limits.drain_timeout_ms),
    ];
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let mesh = Mesh::start(Path::new(PROGRAM), &arguments, plan).await;
    let mesh = mesh.expect("all processes start");
    let route = |prefix, kind, service, timeout_ms| Route {
        timeout_ms,
        target_latency_ms: timeout_ms,
        ..Route::new(prefix, kind, service)
    };
    let [stock, bookings] = SERVICES;
    let (long_ms, short_ms) = (LONG_MS as u32, SHORT_MS as u32);
    let routes = [
        route("/stock/", RouteKind::Idempotent, stock, long_ms),
        route(SHORT_ROUTE_PREFIX, RouteKind::Idempotent, stock, short_ms),
        route("/book/", RouteKind::NonIdempotent, bookings, long_ms),
    ];
    write_routes(&mesh, 1, &routes, &SERVICES);
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    mesh
}

/// Index of the VM whose node is stopped. Its backend server takes bookings.
fn stopped_vm(mesh: &Mesh) -> usize {
    mesh.vms_of(SERVICES[1])[0]
}

/// Index of the other VM, whose backend server takes requests for stock.
fn other_vm(mesh: &Mesh) -> usize {
    mesh.vms_of(SERVICES[0])[0]
}

/// Sends a request through the node of VM `entry` that runs until the test ends, and waits until a backend server runs
/// it.
async fn start_long_request(mesh: &Mesh, entry: usize, method: Method, path: &str) {
    let caller = mesh.vms[entry].node().addresses.caller;
    let id = format!("long-{}", path.trim_matches('/').replace('/', "-"));
    let path = format!("{path}?work_ms={LONG_MS}");
    let request_id = id.clone();
    tokio::spawn(async move {
        let headers = headers(&request_id, LONG_MS);
        // The node may be gone before it responds.
        let _ = request(caller, method, DEFAULT_HOST, &path, &as_text(&headers), "").await;
    });
    wait_until("the long request runs", WAIT_TIMEOUT, || async {
        !users_mesh_runs(mesh, &id).is_empty()
    })
    .await;
}

fn headers(id: &str, deadline_ms: u64) -> Headers {
    [
        ("x-dfw-attempt-id", id.to_owned()),
        ("x-dfw-deadline-ms", deadline_ms.to_string()),
    ]
}

/// Headers of a request, as name and value.
type Headers = [(&'static str, String); 2];

fn as_text(headers: &Headers) -> [(&'static str, &str); 2] {
    headers
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()))
}

/// Sends SIGTERM to the node and waits until it has begun to drain.
async fn begin_stop(mesh: &Mesh) {
    let node = mesh.vms[stopped_vm(mesh)].node();
    node.signal(Signal::Terminate);
    let operator = node.addresses.operator;
    wait_until("the node drains", WAIT_TIMEOUT, || async {
        let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
        reply.is_ok_and(|reply| reply.status == 503)
    })
    .await;
}

/// Stops the node while its backend server runs a request from elsewhere, so that it goes on serving callers after the
/// shortest serving time, and waits until that is over.
async fn stop_beyond_serving_time(mesh: &Mesh, limits: Limits) {
    start_long_request(mesh, other_vm(mesh), Method::POST, "/book/1").await;
    begin_stop(mesh).await;
    tokio::time::sleep(Duration::from_millis(limits.stop_least_ms) + SERVING_TIME_MARGIN).await;
}

fn assert_refused_as_not_run(reply: &Reply) {
    let reason = reply.header(REASON_HEADER);
    assert_eq!(reply.status, 503, "{reason}");
    assert_eq!(reply.header(VERDICT_HEADER), "not-run", "{reason}");
    assert_ne!(reply.header("retry-after"), "", "{reason}");
}

/// Guards against a stopping node that accepts a request which may outlast its drain, and gives it up while a backend
/// server runs it.
#[tokio::test(flavor = "multi_thread")]
async fn late_request_that_may_outlast_the_drain_is_refused() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 8_000,
    };
    let mesh = start_mesh(limits, 8).await;
    let caller = mesh.vms[stopped_vm(&mesh)].node().addresses.caller;
    let mut kept_connection = Http1Connection::connect(caller)
        .await
        .expect("the node accepts connections");
    let mut send = async |path: &str, id: &str| {
        let headers = headers(id, LONG_MS);
        let reply = kept_connection
            .request(Method::GET, DEFAULT_HOST, path, &as_text(&headers), "")
            .await;
        reply.expect("the node responds")
    };
    assert_eq!(send("/stock/1", "early").await.status, 200);
    stop_beyond_serving_time(&mesh, limits).await;
    let reply = send(&format!("/stock/1?work_ms={LONG_MS}"), "late").await;
    assert_refused_as_not_run(&reply);
    assert_eq!(reply.header("connection"), "close");
    assert_eq!(users_mesh_runs(&mesh, "late"), Vec::<usize>::new());
}

/// Guards against a stopping node that refuses such requests only on HTTP/1 connections.
#[tokio::test(flavor = "multi_thread")]
async fn late_http2_request_that_may_outlast_the_drain_is_refused() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 8_000,
    };
    let mesh = start_mesh(limits, 8).await;
    let caller = mesh.vms[stopped_vm(&mesh)].node().addresses.caller;
    let kept_connection = Http2Connection::connect(caller)
        .await
        .expect("the node accepts connections");
    let send = async |path: &str, id: &str| {
        let headers = headers(id, LONG_MS);
        let reply = kept_connection.request_with_headers(
            Method::GET,
            DEFAULT_HOST,
            path,
            &as_text(&headers),
        );
        reply.await.expect("the node responds")
    };
    assert_eq!(send("/stock/1", "early").await.status, 200);
    stop_beyond_serving_time(&mesh, limits).await;
    let reply = send(&format!("/stock/1?work_ms={LONG_MS}"), "late").await;
    assert_refused_as_not_run(&reply);
    assert_eq!(users_mesh_runs(&mesh, "late"), Vec::<usize>::new());
}

/// Guards against a stopping node that refuses requests although their deadline, or the timeout of their route, is
/// before the end of its drain.
#[tokio::test(flavor = "multi_thread")]
async fn late_request_that_ends_before_the_drain_is_served() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 3 * SHORT_MS,
    };
    let mesh = start_mesh(limits, 8).await;
    stop_beyond_serving_time(&mesh, limits).await;
    let short_route = format!("{SHORT_ROUTE_PREFIX}1");
    for (path, deadline_ms) in [("/stock/1", SHORT_MS), (short_route.as_str(), LONG_MS)] {
        let request = CallerRequest {
            deadline_ms,
            ..CallerRequest::get(path, "late")
        };
        let reply = mesh.send_request(stopped_vm(&mesh), &request).await;
        let reply = reply.expect("the node responds");
        assert_eq!(reply.status, 200, "{path}: {}", reply.header(REASON_HEADER));
    }
}

/// Guards against a stopping node that refuses the calls of requests which its own backend server still runs.
#[tokio::test(flavor = "multi_thread")]
async fn late_call_of_a_running_request_is_served() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 8_000,
    };
    let mesh = start_mesh(limits, 8).await;
    let path = format!("/book/2?work_ms=3000&call={DEFAULT_HOST}/stock/7");
    let booking = CallerRequest {
        deadline_ms: LONG_MS,
        ..CallerRequest::post(&path, "caller")
    };
    let (reply, ()) = tokio::join!(mesh.send_request(other_vm(&mesh), &booking), async {
        wait_until("the booking runs", WAIT_TIMEOUT, || async {
            !users_mesh_runs(&mesh, "caller").is_empty()
        })
        .await;
        begin_stop(&mesh).await;
    });
    assert_eq!(reply.expect("the node responds").status, 200);
    assert_eq!(users_mesh_runs(&mesh, "caller.call"), [other_vm(&mesh)]);
}

/// Guards against a stopping node that reports of a request which still waits for a slot that it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn request_queued_at_the_end_of_the_drain_is_refused_as_not_run() {
    let limits = Limits {
        stop_least_ms: 4_000,
        drain_timeout_ms: 8_000,
    };
    let mesh = start_mesh(limits, 1).await;
    let (stopped, other) = (stopped_vm(&mesh), other_vm(&mesh));
    start_long_request(&mesh, other, Method::POST, "/book/1").await;
    start_long_request(&mesh, other, Method::GET, "/stock/1").await;
    begin_stop(&mesh).await;
    let queued = CallerRequest {
        deadline_ms: LONG_MS,
        ..CallerRequest::get("/stock/2", "queued")
    };
    let gate = mesh.vms[other].node().addresses.operator;
    let (reply, ()) = tokio::join!(mesh.send_request(stopped, &queued), async {
        wait_until("the request is queued", WAIT_TIMEOUT, || async {
            fetch_metrics(gate).await.contains("gate_waiting 1")
        })
        .await;
    });
    assert_refused_as_not_run(&reply.expect("the node responds"));
    assert_eq!(users_mesh_runs(&mesh, "queued"), Vec::<usize>::new());
}

/// Guards against a stopping node that resets a connection on which a request has arrived while the node was paused.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_arrived_in_a_pause_is_refused_as_not_run() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 4_000,
    };
    let mesh = start_mesh(limits, 8).await;
    let caller = mesh.vms[stopped_vm(&mesh)].node().addresses.caller;
    let mut kept_connection = Http1Connection::connect(caller)
        .await
        .expect("the node accepts connections");
    start_long_request(&mesh, other_vm(&mesh), Method::POST, "/book/1").await;
    begin_stop(&mesh).await;
    let drain_timeout = Duration::from_millis(limits.drain_timeout_ms);
    let node = mesh.vms[stopped_vm(&mesh)].node();
    tokio::time::sleep(drain_timeout / 2).await;
    node.signal(Signal::Stop);
    let headers = headers("late", LONG_MS);
    let headers = as_text(&headers);
    let (reply, ()) = tokio::join!(
        kept_connection.request(Method::GET, DEFAULT_HOST, "/stock/1", &headers, ""),
        async {
            // Less than what counts as a freeze, after which all requests are refused.
            tokio::time::sleep(drain_timeout / 2 + Duration::from_millis(500)).await;
            node.signal(Signal::Continue);
        }
    );
    assert_refused_as_not_run(&reply.expect("the node responds"));
    assert_eq!(users_mesh_runs(&mesh, "late"), Vec::<usize>::new());
}

/// The deadline that the backend server got with a request, which it ran once.
fn received_deadline_ms(mesh: &Mesh, id: &str) -> u64 {
    let record = mesh.vms[other_vm(mesh)].backend().record();
    let [run] = &record.runs[id][..] else {
        panic!("{id} ran once")
    };
    run.deadline_ms.expect("the request has a deadline")
}

/// Guards against a stopping node that passes on deadlines beyond the end of its drain, by which others would work for
/// a response that cannot be delivered.
#[tokio::test(flavor = "multi_thread")]
async fn deadlines_passed_on_are_before_the_end_of_the_drain() {
    let limits = Limits {
        stop_least_ms: 4_000,
        drain_timeout_ms: 8_000,
    };
    let mesh = start_mesh(limits, 8).await;
    let path = format!("/book/2?work_ms=3000&call={DEFAULT_HOST}/stock/7");
    let booking = CallerRequest {
        deadline_ms: LONG_MS,
        ..CallerRequest::post(&path, "caller")
    };
    let (reply, ()) = tokio::join!(mesh.send_request(other_vm(&mesh), &booking), async {
        wait_until("the booking runs", WAIT_TIMEOUT, || async {
            !users_mesh_runs(&mesh, "caller").is_empty()
        })
        .await;
        begin_stop(&mesh).await;
        let request = CallerRequest {
            deadline_ms: LONG_MS,
            ..CallerRequest::get("/stock/1", "accepted")
        };
        let reply = mesh.send_request(stopped_vm(&mesh), &request).await;
        assert_eq!(reply.expect("the node responds").status, 200);
    });
    assert_eq!(reply.expect("the node responds").status, 200);
    for id in ["accepted", "caller.call"] {
        let deadline_ms = received_deadline_ms(&mesh, id);
        assert!(
            deadline_ms <= limits.drain_timeout_ms,
            "{id}: {deadline_ms} ms"
        );
    }
}

/// Freezes the node of the other VM, cuts the stopped VM off from all others, and lets the store answer nothing.
fn silence_others(mesh: &Mesh) {
    mesh.vms[other_vm(mesh)].node().signal(Signal::Stop);
    let site = mesh.vms[stopped_vm(mesh)].site;
    mesh.network
        .set_cut(true, |from, to| (from == site) != (to == site));
    mesh.store.set_call_fault(CallFault::NeverAnswer);
}

async fn assert_exits_by_itself(mesh: &mut Mesh) {
    let stopped = stopped_vm(mesh);
    let node = mesh.vms[stopped].node.as_mut().expect("the node runs");
    let status = tokio::time::timeout(WAIT_TIMEOUT, node.wait_exit()).await;
    let status = status
        .expect("the process exits by itself")
        .expect("the exit status can be read");
    assert!(status.success(), "{status}");
}

/// Guards against a process that waits at its exit for other nodes or for the store, after its requests have ended.
#[tokio::test(flavor = "multi_thread")]
async fn process_exits_after_its_requests_while_all_others_are_silent() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 8_000,
    };
    let mut mesh = start_mesh(limits, 8).await;
    silence_others(&mesh);
    mesh.vms[stopped_vm(&mesh)].node().signal(Signal::Terminate);
    assert_exits_by_itself(&mut mesh).await;
}

/// Guards against a process that waits at its exit for a node which does not read a response, after the drain timeout.
#[tokio::test(flavor = "multi_thread")]
async fn process_exits_after_the_drain_timeout_while_all_others_are_silent() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 1_000,
    };
    let mut mesh = start_mesh(limits, 8).await;
    let (stopped, other) = (stopped_vm(&mesh), other_vm(&mesh));
    start_long_request(&mesh, other, Method::POST, "/book/1").await;
    start_long_request(&mesh, stopped, Method::POST, "/book/2").await;
    let entry = mesh.vms[other].node().addresses.caller;
    // More than the HTTP/2 windows and the buffers of the sockets take.
    let path = "/book/3?work_ms=1000&bytes=33554432";
    let unread = tokio::spawn(async move {
        let headers = headers("unread", LONG_MS);
        request(
            entry,
            Method::POST,
            DEFAULT_HOST,
            path,
            &as_text(&headers),
            "",
        )
        .await
    });
    wait_until("the unread request runs", WAIT_TIMEOUT, || async {
        !users_mesh_runs(&mesh, "unread").is_empty()
    })
    .await;
    silence_others(&mesh);
    begin_stop(&mesh).await;
    assert_exits_by_itself(&mut mesh).await;
    unread.abort();
}

/// Guards against a stopping node that closes a connection after one response while a backend server already runs the
/// next request of that connection.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_that_run_at_the_stop_are_answered() {
    let limits = Limits {
        stop_least_ms: 500,
        drain_timeout_ms: 2 * SHORT_MS,
    };
    let mesh = start_mesh(limits, 8).await;
    let caller = mesh.vms[stopped_vm(&mesh)].node().addresses.caller;
    let requests = [("first", 2_000), ("second", 3_000)].map(|(id, work_ms)| {
        format!(
            "GET /stock/1?work_ms={work_ms} HTTP/1.1\r\nhost: {DEFAULT_HOST}\r\nx-dfw-attempt-id: {id}\r\n\
             x-dfw-deadline-ms: {SHORT_MS}\r\n\r\n"
        )
    });
    let mut connection = TcpStream::connect(caller)
        .await
        .expect("the node accepts connections");
    connection
        .write_all(requests.concat().as_bytes())
        .await
        .expect("the node reads the requests");
    wait_until("both requests run", WAIT_TIMEOUT, || async {
        ["first", "second"]
            .iter()
            .all(|id| !users_mesh_runs(&mesh, id).is_empty())
    })
    .await;
    begin_stop(&mesh).await;
    let mut responses = Vec::new();
    connection
        .read_to_end(&mut responses)
        .await
        .expect("the responses are complete");
    let responses = String::from_utf8_lossy(&responses);
    assert_eq!(
        responses.matches("HTTP/1.1 200").count(),
        requests.len(),
        "{responses}"
    );
}
