//! Requests on the users' platform, with backend servers that behave like those of the users.

use std::time::Duration;

use http::StatusCode;
use testkit::http::{Reply, wait_until};
use testkit::users::backend::{Behaviour, OverloadAction, ResponseMode, response_seal};
use testkit::users::mesh::{CallerRequest, Mesh, Plan, REQUEST_ID, RESPONSE_SEAL};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    SERVICES, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, join_all, start_serving_users_mesh,
    users_mesh_runs, users_routes, write_routes,
};

/// One VM of each service in one data centre.
fn small() -> Plan {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan
}

fn assert_own_response(reply: &Reply, id: &str, bytes: u64) {
    assert_eq!(reply.status, 200, "{id}");
    assert_eq!(reply.header(REQUEST_ID), id);
    assert_eq!(
        reply.header(RESPONSE_SEAL),
        response_seal(id, bytes),
        "{id}"
    );
    assert_eq!(reply.body.len() as u64, bytes, "{id}");
}

async fn send(mesh: &Mesh, request: &CallerRequest<'_>) -> Reply {
    mesh.send_request(0, request)
        .await
        .expect("the node responds")
}

/// A backend server sends some responses twice, the second one at once or when the connection may
/// already carry another request. A caller must never get the response to another request.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_response_reaches_no_other_caller() {
    let mesh = start_serving_users_mesh(small()).await;
    let mut served = 0;
    for number in 0..60 {
        let mode = match number % 3 {
            0 => ResponseMode::Duplicated.query_value(),
            1 => ResponseMode::DuplicatedLate.query_value(),
            _ => ResponseMode::Complete.query_value(),
        };
        let bytes = 100 + number;
        let path = format!("/stock/{number}?bytes={bytes}&answer={mode}");
        let id = format!("twice-{number}");
        let reply = send(&mesh, &CallerRequest::get(&path, &id)).await;
        // A request that received a duplicate in place of its response may have run. Its retries
        // are limited, so it may fail.
        if reply.status != StatusCode::BAD_GATEWAY {
            assert_own_response(&reply, &id, bytes);
            served += 1;
        }
    }
    assert!(served >= 40, "{served} of 60 requests were served");
}

/// Guards against a duplicate response that costs the requests behind it their own responses: the next one on
/// its connection, or each one from then on.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_a_duplicate_response_get_their_own() {
    let mesh = start_serving_users_mesh(small()).await;
    for duplicated in [ResponseMode::Duplicated, ResponseMode::DuplicatedLate] {
        for number in 0..20 {
            let mode = match number % 10 {
                0 => duplicated,
                _ => ResponseMode::Complete,
            };
            let answer = mode.query_value();
            let path = format!("/book/{number}?bytes=100&work_ms=5&answer={answer}");
            let id = format!("{}-{number}", duplicated.query_value());
            let reply = send(&mesh, &CallerRequest::post(&path, &id)).await;
            assert_own_response(&reply, &id, 100);
            assert_eq!(users_mesh_runs(&mesh, &id).len(), 1);
        }
    }
}

/// A response without a length ends when its connection closes. It must be forwarded completely,
/// and a truncated response must not look complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_length_is_whole_and_a_truncated_one_fails() {
    let mesh = start_serving_users_mesh(small()).await;
    let path = format!(
        "/stock/1?bytes=5000&answer={}",
        ResponseMode::WithoutLength.query_value()
    );
    let reply = send(&mesh, &CallerRequest::get(&path, "unframed")).await;
    assert_own_response(&reply, "unframed", 5_000);
    let path = format!(
        "/book/1?bytes=5000&answer={}",
        ResponseMode::Truncated.query_value()
    );
    let reply = mesh
        .send_request(0, &CallerRequest::post(&path, "cut"))
        .await;
    let whole = reply.is_ok_and(|reply| reply.status == 200);
    assert!(!whole, "a truncated response looked complete");
}

/// Guards against a double booking. A booking runs and its response is lost: the caller must get
/// neither a success nor `not-run`, and the booking must not be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_response_is_lost_runs_once() {
    let mesh = start_serving_users_mesh(Plan::new(&SERVICES)).await;
    let path = format!("/book/1?answer={}", ResponseMode::Closed.query_value());
    let reply = send(&mesh, &CallerRequest::post(&path, "lost")).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(users_mesh_runs(&mesh, "lost").len(), 1);
}

/// A read whose response is lost is retried on another endpoint, and no more often than the route
/// allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_whose_response_is_lost_is_retried_elsewhere() {
    let mesh = start_serving_users_mesh(Plan::new(&SERVICES)).await;
    let path = format!("/stock/1?answer={}", ResponseMode::Closed.query_value());
    let reply = send(&mesh, &CallerRequest::get(&path, "lost")).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let runs = users_mesh_runs(&mesh, "lost");
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0], runs[1]);
}

/// Long bookings use all slots. Further requests must be refused at once with a retry delay, and a
/// refused request must never run later.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_for_load_never_runs() {
    let mut plan = small();
    plan.behaviour = Behaviour {
        slots: 2,
        ..Behaviour::default()
    };
    let mesh = start_serving_users_mesh(plan).await;
    let booking = |number: u32| {
        let id = format!("long-{number}");
        let mesh = &mesh;
        async move {
            let path = "/book/1?work_ms=900";
            let mut request = CallerRequest::post(path, &id);
            request.deadline_ms = 1_000;
            (send(mesh, &request).await, users_mesh_runs(mesh, &id).len())
        }
    };
    let mut bookings: Vec<_> = Vec::new();
    for number in 0..12 {
        bookings.push(booking(number));
    }
    let outcomes = join_all(bookings).await;
    let served = outcomes.iter().filter(|(reply, _)| reply.status == 200);
    assert!(served.count() >= 2);
    for (reply, runs) in &outcomes {
        if reply.status == 503 {
            let seconds: f64 = reply
                .header("retry-after")
                .parse()
                .expect("the response has a retry delay");
            assert!(seconds > 0.0);
            assert_eq!(*runs, 0);
        } else {
            assert_eq!(*runs, 1, "{reply:?}");
        }
    }
    assert!(outcomes.iter().any(|(reply, _)| reply.status == 503));
}

/// Guards against a request that waited for a slot until its deadline and is then sent once more, so that its entry node
/// may give it up before the next refusal arrives and cannot tell that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waited_until_its_deadline_is_not_sent_again() {
    let mut plan = small();
    plan.behaviour.slots = 1;
    let mesh = start_serving_users_mesh(plan).await;
    let mut routes = users_routes();
    for route in &mut routes {
        route.timeout_ms = 60_000;
        route.target_latency_ms = 60_000;
    }
    write_routes(&mesh, 2, &routes, &SERVICES);
    mesh.wait_enforced(2).await;
    let entry = mesh.vms_of(SERVICES[0])[0];
    let mut long = CallerRequest::get("/stock/1?work_ms=60000", "long");
    long.deadline_ms = 60_000;
    let mut queued = CallerRequest::get("/stock/2", "queued");
    queued.deadline_ms = 2_000;
    let waits_until_deadline = async {
        wait_until("the slot is in use", WAIT_TIMEOUT, || async {
            !users_mesh_runs(&mesh, "long").is_empty()
        })
        .await;
        mesh.send_request(entry, &queued).await
    };
    let reply = tokio::select! {
        reply = waits_until_deadline => reply.expect("the node responds"),
        reply = mesh.send_request(entry, &long) => panic!("the slot is free again: {reply:?}"),
    };
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header(VERDICT_HEADER), "not-run");
    let metrics = fetch_metrics(mesh.vms[entry].node().addresses.operator).await;
    assert!(
        !metrics.contains("dragonflywall_retries_total"),
        "{metrics}"
    );
}

/// A backend server crashes, and its address is reassigned to another service before the mesh
/// detects it. The new backend server must not run requests for the old service.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_address_receives_no_request_for_the_old_service() {
    let mut mesh = start_serving_users_mesh(small()).await;
    let position = mesh.vms_of(SERVICES[0])[0];
    mesh.crash_backend(position).await;
    mesh.restart_backend(position, SERVICES[1])
        .await
        .expect("the address can be reused");
    // The new backend server has not announced itself at this address.
    mesh.stop_announcements(position);
    let reply = send(
        &mesh,
        &CallerRequest::post("/sheets/1", "meant-for-the-last"),
    )
    .await;
    // That it did not run is the word of a foreign server.
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header(VERDICT_HEADER), "may-have-run");
    assert!(users_mesh_runs(&mesh, "meant-for-the-last").is_empty());
}

/// A caller disconnects while its request runs. The request must be cancelled at the backend
/// server.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_work() {
    let mesh = start_serving_users_mesh(Plan::new(&SERVICES)).await;
    let path = "/stock/1?work_ms=60000";
    for position in 0..mesh.vms.len() {
        let id = format!("left-{position}");
        let mut request = CallerRequest::get(path, &id);
        request.deadline_ms = 60_000;
        {
            let pending = mesh.send_request(position, &request);
            let running = wait_until("the request runs", WAIT_TIMEOUT, || async {
                !users_mesh_runs(&mesh, &id).is_empty()
            });
            tokio::select! {
                _ = pending => panic!("the request was answered although it must still run"),
                () = running => (),
            }
        }
        let ran = users_mesh_runs(&mesh, &id)[0];
        wait_until("the request is cancelled", WAIT_TIMEOUT, || async {
            mesh.vms[ran].backend().running() == 0
        })
        .await;
    }
}

/// The backend server must receive the caller's remaining time and the service on whose VM the
/// request entered the mesh, regardless of the headers that the caller sent. The caller must get a
/// response at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn the_backend_server_receives_remaining_time_and_calling_service() {
    let mesh = start_serving_users_mesh(small()).await;
    let mut request = CallerRequest::get("/stock/1?work_ms=5000", "hasty");
    request.deadline_ms = 300;
    let reply = send(&mesh, &request).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    let ran = users_mesh_runs(&mesh, "hasty")[0];
    let run = mesh.vms[ran].backend().record().runs["hasty"][0].clone();
    assert!(run.deadline_ms.is_some_and(|ms| ms <= 300), "{run:?}");
    assert_eq!(run.caller, mesh.vms[0].service);
    assert_eq!(run.target, "GET mesh.example/stock/1?work_ms=5000");
}

/// The backend server rejects an upload before it has read all of it, and reads on. The caller must
/// get that response, and the remaining bytes must not become part of another request.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_rejected_early_does_not_affect_the_next() {
    let mesh = start_serving_users_mesh(small()).await;
    let body = vec![7; 300_000];
    for number in 0..10 {
        let path = format!(
            "/sheets/{number}?answer={}",
            ResponseMode::EarlyFailure.query_value()
        );
        let id = format!("early-{number}");
        let request = CallerRequest {
            body: &body,
            ..CallerRequest::post(&path, &id)
        };
        // The request may fail, because the response arrives before the body has been sent.
        if let Ok(reply) = mesh.send_request(0, &request).await {
            assert_eq!(reply.status, 500);
        }
        let path = format!("/sheets/{number}");
        let id = format!("whole-{number}");
        let request = CallerRequest {
            body: &body,
            ..CallerRequest::post(&path, &id)
        };
        let reply = send(&mesh, &request).await;
        assert_own_response(&reply, &id, 64);
        let ran = users_mesh_runs(&mesh, &id)[0];
        let run = mesh.vms[ran].backend().record().runs[&id][0].clone();
        assert_eq!(run.body_digest, blake3::hash(&body).to_hex().to_string());
    }
}

/// A backend server without a free slot resets connections, or never responds on them again. Its
/// node counts the slots, so that neither happens however many requests arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_is_never_sent_more_than_its_slots() {
    for overload_action in [OverloadAction::Reset, OverloadAction::NeverAnswer] {
        let mut plan = small();
        plan.behaviour = Behaviour {
            slots: 2,
            queue_len: 0,
            default_work_time: Duration::from_millis(20),
            overload_action,
            ..Behaviour::default()
        };
        let mesh = start_serving_users_mesh(plan).await;
        let ids: Vec<String> = (0..40).map(|number| format!("full-{number}")).collect();
        let requests = ids.iter().map(|id| async {
            let reply = send(&mesh, &CallerRequest::get("/stock/1", id)).await;
            reply.status
        });
        for status in join_all(requests.collect()).await {
            assert!(status == 200 || status == 503, "{status}");
        }
    }
}

/// Sends requests one after the other, each after the backend server has dropped its idle
/// connections.
async fn request_over_dropped_connections(new_request: for<'a> fn(&'a str) -> CallerRequest<'a>) {
    let mut plan = small();
    plan.behaviour = Behaviour {
        resets_idle_after: Some(Duration::from_millis(200)),
        ..Behaviour::default()
    };
    let mesh = start_serving_users_mesh(plan).await;
    for number in 0..8 {
        let id = format!("idle-{number}");
        let reply = send(&mesh, &new_request(&id)).await;
        assert_own_response(&reply, &id, 64);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

/// A backend server silently drops connections that have been idle for a while and resets them when
/// data arrives. Because a reset does not show whether a booking has run, no booking may be sent on
/// such a connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_idle_connection_fails_no_booking() {
    request_over_dropped_connections(|id| CallerRequest::post("/book/1", id)).await;
}

/// Guards against reads that fail on a connection which the backend server has dropped.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_idle_connection_fails_no_read() {
    request_over_dropped_connections(|id| CallerRequest::get("/stock/1", id)).await;
}

/// Guards against opening a new backend connection for each read when requests are infrequent.
#[tokio::test(flavor = "multi_thread")]
async fn infrequent_reads_share_a_connection() {
    const READS: u64 = 8;
    let mesh = start_serving_users_mesh(small()).await;
    let connections = || {
        let backends = mesh.vms.iter().filter_map(|vm| vm.backend.as_ref());
        let connections = backends.map(|backend| backend.record().connections);
        connections.sum::<u64>()
    };
    let before = connections();
    for number in 0..READS {
        let id = format!("quiet-{number}");
        let reply = send(&mesh, &CallerRequest::get("/stock/1", &id)).await;
        assert_own_response(&reply, &id, 64);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let opened = connections() - before;
    assert!(opened < READS, "{opened} connections for {READS} reads");
}

/// A caller pipelines three reads on one connection, the slowest first. The responses must keep the
/// order of the requests.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let mesh = start_serving_users_mesh(small()).await;
    let entry = mesh.vms[0].node().addresses.caller;
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the node accepts connections");
    let mut sent = String::new();
    for (number, work_ms) in [200, 50, 0].into_iter().enumerate() {
        sent.push_str(&format!(
            "GET /stock/1?work_ms={work_ms} HTTP/1.1\r\nHost: mesh.example\r\n\
             X-Dfw-Attempt-Id: order-{number}\r\nX-Dfw-Deadline-Ms: 5000\r\n\r\n"
        ));
    }
    stream
        .write_all(sent.as_bytes())
        .await
        .expect("the node reads the requests");
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while text.matches("HTTP/1.1 200").count() < 3 {
        let len = stream.read(&mut buffer).await.expect("the node responds");
        assert!(len > 0, "the connection ended: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..len]));
    }
    let at = |number: usize| text.find(&format!("order-{number}"));
    assert!(at(0) < at(1) && at(1) < at(2), "{text}");
    // The last read must not wait until the first has run.
    let started_at = |number: usize| {
        let id = format!("order-{number}");
        let ran = users_mesh_runs(&mesh, &id)[0];
        mesh.vms[ran].backend().record().runs[&id][0].started_at
    };
    assert!(started_at(2) < started_at(0) + Duration::from_millis(200));
}

/// A backend server makes a call while it runs a request. The call goes through its own node.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_a_backend_server_go_through_its_node() {
    let mesh = start_serving_users_mesh(small()).await;
    let path = "/book/1?call=mesh.example/stock/7";
    let reply = send(&mesh, &CallerRequest::post(path, "chain")).await;
    assert_own_response(&reply, "chain", 64);
    let called = users_mesh_runs(&mesh, "chain.call");
    assert_eq!(called.len(), 1);
    let run = mesh.vms[called[0]].backend().record().runs["chain.call"][0].clone();
    assert_eq!(run.caller, SERVICES[1]);
}

/// The only slot of the stock ledger is in use, and callers' reads are queued for it. A booking
/// that runs at the other service reads a stock itself. Because the booking holds a slot meanwhile,
/// its call must run before the callers' reads that arrived earlier.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_running_request_goes_before_waiting_callers() {
    let mut plan = small();
    plan.behaviour = Behaviour {
        slots: 1,
        ..Behaviour::default()
    };
    let mesh = start_serving_users_mesh(plan).await;
    let mut routes = users_routes();
    for route in &mut routes {
        route.timeout_ms = 60_000;
        route.target_latency_ms = 30_000;
    }
    write_routes(&mesh, 2, &routes, &SERVICES);
    mesh.wait_enforced(2).await;
    let ledger = mesh.vms_of(SERVICES[0])[0];
    let operator = mesh.vms[ledger].node().addresses.operator;
    let wait_until_queued = async |count: u64| {
        wait_until("requests are queued", WAIT_TIMEOUT, || async {
            let text = fetch_metrics(operator).await;
            let has_line = |line: String| text.lines().any(|known| known == line);
            has_line("dragonflywall_gate_slots_in_use 1".to_owned())
                && has_line(format!("dragonflywall_gate_waiting {count}"))
        })
        .await;
    };
    let read = |id: &'static str, path: &'static str| {
        let mesh = &mesh;
        let mut request = CallerRequest::get(path, id);
        request.deadline_ms = 60_000;
        async move {
            let reply = send(mesh, &request).await;
            assert_own_response(&reply, id, 64);
        }
    };
    let others = async {
        wait_until_queued(0).await;
        tokio::join!(
            read("keeper-1", "/stock/2"),
            read("keeper-2", "/stock/3"),
            async {
                wait_until_queued(2).await;
                let path = "/book/1?call=mesh.example/stock/7";
                send(&mesh, &CallerRequest::post(path, "booking")).await
            },
        )
    };
    tokio::join!(read("long", "/stock/1?work_ms=1500"), others);
    let started_at = |id: &str| mesh.vms[ledger].backend().record().runs[id][0].started_at;
    assert!(started_at("booking.call") < started_at("keeper-1"));
    assert!(started_at("booking.call") < started_at("keeper-2"));
}

/// A caller sends a request id that looks like that of a nested call. No such parent request is
/// running, so the request must be treated like any other, with its own full deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_extends_no_running_request_is_not_a_call() {
    let mesh = start_serving_users_mesh(small()).await;
    let reply = send(&mesh, &CallerRequest::get("/stock/1", "nobody.call")).await;
    assert_own_response(&reply, "nobody.call", 64);
    let ran = users_mesh_runs(&mesh, "nobody.call")[0];
    let run = mesh.vms[ran].backend().record().runs["nobody.call"][0].clone();
    assert!(run.deadline_ms > Some(4_000), "{run:?}");
}

/// A failure response of the backend server is forwarded unchanged, with its seal.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_response_of_the_backend_server_is_passed_on() {
    let mesh = start_serving_users_mesh(small()).await;
    let path = format!("/book/1?answer={}", ResponseMode::Failure.query_value());
    let reply = send(&mesh, &CallerRequest::post(&path, "failed")).await;
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(reply.header(RESPONSE_SEAL), "failure.failed");
    let ran = users_mesh_runs(&mesh, "failed")[0];
    let run = mesh.vms[ran].backend().record().runs["failed"][0].clone();
    assert_eq!(run.target, format!("POST mesh.example{path}"));
}
