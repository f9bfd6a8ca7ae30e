//! Requests under which backend servers end, and clients that repeat them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use testkit::http::{Reply, request, wait_until};
use testkit::users::backend::{AnnouncedState, CrashMode, Run};
use testkit::users::configuration::{DEFAULT_HOST, Route, RouteKind};
use testkit::users::mesh::{CallerRequest, Mesh, Plan, REQUEST_ID};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    REASON_HEADER, SERVICES, VERDICT_HEADER, WAIT_TIMEOUT, join_all, start_users_mesh,
    users_mesh_runs, write_routes,
};

/// Number of backend servers that may end under one request.
const ENDED_MAX: usize = 3;
/// Pause after which a node knows what other nodes have reported.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// Two data centres of different regions, with this many VMs of each service in each.
async fn start(services: &[&'static str], vms_per_service: usize, routes: &[Route]) -> Mesh {
    let mut plan = Plan::new(services);
    plan.data_centres = vec![("gijon", "cantabrico"), ("burgos", "meseta")];
    plan.vms_per_service = vms_per_service;
    let services = plan.services.clone();
    let mesh = start_users_mesh(plan).await;
    write_routes(&mesh, 1, routes, &services);
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    mesh
}

fn reads() -> Vec<Route> {
    vec![Route::new("/stock/", RouteKind::Idempotent, SERVICES[0])]
}

/// Path of a request under which the backend server ends.
fn crash_path(name: &str, mode: CrashMode) -> String {
    format!("/stock/{name}?crash={}", mode.query_value())
}

/// Runs of the requests with this path, in the order of their start.
fn runs_of(mesh: &Mesh, path: &str) -> Vec<Run> {
    let backends = mesh.vms.iter().flat_map(|vm| vm.all_backends());
    let runs = backends.flat_map(|backend| backend.record().runs.into_values().flatten());
    let mut runs: Vec<Run> = runs.filter(|run| run.target.ends_with(path)).collect();
    runs.sort_by_key(|run| run.started_at);
    runs
}

/// When backend servers ended that ran the request with this path.
fn ends_under(mesh: &Mesh, path: &str) -> Vec<Instant> {
    let backends = mesh.vms.iter().flat_map(|vm| vm.all_backends());
    let ends = backends.filter_map(|backend| {
        let record = backend.record();
        let mut runs = record.runs.values().flatten();
        let ran = runs.any(|run| run.target.ends_with(path));
        record.crashed_at.filter(|_| ran)
    });
    let mut ends: Vec<Instant> = ends.collect();
    ends.sort();
    ends
}

fn assert_limit_kept(mesh: &Mesh, path: &str) {
    let ends = ends_under(mesh, path);
    let last_end = ends.get(ENDED_MAX - 1);
    let runs = runs_of(mesh, path);
    let runs_after = runs
        .iter()
        .filter(|run| last_end.is_some_and(|end| run.started_at > *end));
    let (ended, later) = (ends.len(), runs_after.count());
    assert!(
        ended <= ENDED_MAX && later == 0,
        "{path}: {ended} backend servers ended, {later} runs after {ENDED_MAX} had"
    );
}

async fn get(mesh: &Mesh, entry: usize, path: &str, id: &str) -> Reply {
    let request = CallerRequest {
        deadline_ms: 1_500,
        ..CallerRequest::get(path, id)
    };
    let reply = mesh.send_request(entry, &request).await;
    reply.expect("the node responds")
}

/// Sends a request again and again, each time after the response to the last.
async fn repeat(mesh: &Mesh, entry: usize, path: &str, times: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for number in 0..times {
        let id = format!("{entry}-{number}-{:08x}", path.len() * 7 + number);
        replies.push(get(mesh, entry, path, &id).await);
    }
    replies
}

fn assert_withheld(reply: &Reply) {
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header(REASON_HEADER), "ends-backends");
    assert_eq!(reply.header(VERDICT_HEADER), "not-run");
    let retry_after_s: f64 = reply.header("retry-after").parse().expect("a number");
    assert!(
        retry_after_s >= 10.0,
        "retry after {retry_after_s} s invites a repeat"
    );
}

/// Guards against client repeats that are bounded only for each id: servers ended as long as the client repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_request_under_which_three_servers_ended_is_withheld() {
    let mut routes = Vec::new();
    for attempts in [1, 2, 3, 5] {
        routes.push(Route {
            attempts,
            ..Route::new(
                &format!("/stock/{attempts}/"),
                RouteKind::Idempotent,
                SERVICES[0],
            )
        });
    }
    let mut mesh = start(&SERVICES[..1], 4, &routes).await;
    for attempts in [1, 2, 3, 5] {
        let path = crash_path(&format!("{attempts}/x"), CrashMode::Closed);
        let replies = repeat(&mesh, 0, &path, 12).await;
        assert_limit_kept(&mesh, &path);
        assert_withheld(&replies[11]);
        let other = format!("/stock/{attempts}/other");
        // With one attempt a request fails if the node finds out by it that a server has ended.
        let mut statuses = Vec::new();
        while statuses.len() <= ENDED_MAX && !statuses.contains(&StatusCode::OK) {
            let id = format!("other-{attempts}-{}", statuses.len());
            statuses.push(get(&mesh, 0, &other, &id).await.status);
        }
        assert!(statuses.contains(&StatusCode::OK), "{statuses:?}");
        let restarted = mesh.restart_ended_backends().await;
        restarted.expect("backend servers start again");
        mesh.wait_serving().await;
    }
}

/// Guards against a count that each entry node keeps for itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ended_servers_is_withheld_at_other_nodes_too() {
    let mesh = start(&SERVICES[..1], 5, &reads()).await;
    let path = crash_path("moved", CrashMode::Closed);
    for entry in [0, 1, 5, 6, 2] {
        repeat(&mesh, entry, &path, 1).await;
        tokio::time::sleep(REPORT_PAUSE).await;
    }
    assert_limit_kept(&mesh, &path);
}

/// Guards against a count that is lost with the entry node that kept it.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_an_entry_node_does_not_release_a_request() {
    let mut mesh = start(&SERVICES[..1], 5, &reads()).await;
    let path = crash_path("survives", CrashMode::Closed);
    repeat(&mesh, 0, &path, 1).await;
    tokio::time::sleep(REPORT_PAUSE).await;
    mesh.kill_node(0).await.expect("the node ends");
    for entry in [1, 6] {
        repeat(&mesh, entry, &path, 2).await;
    }
    assert_limit_kept(&mesh, &path);
}

/// Guards against a count that misses the calls of a request, which enter the mesh at another node each time.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_end_servers_are_withheld_when_their_parent_is_repeated() {
    let mut routes = reads();
    let parents = Route::new("/book/", RouteKind::Idempotent, SERVICES[1]);
    routes.push(parents);
    let mut mesh = start(&SERVICES, 4, &routes).await;
    for (name, call) in [("same", "stock/same"), ("new", "stock/new-~id~")] {
        let path = format!("/book/{name}?needs={DEFAULT_HOST}/{call}?crash=closed");
        repeat(&mesh, 0, &path, 6).await;
        let ended = |vm: &&testkit::users::mesh::Vm| {
            vm.all_backends()
                .last()
                .is_some_and(|backend| backend.has_ended())
        };
        let ended = mesh.vms.iter().filter(ended).count();
        assert!(
            ended <= ENDED_MAX,
            "{name}: {ended} backend servers ended under calls"
        );
        let restarted = mesh.restart_ended_backends().await;
        restarted.expect("backend servers start again");
        mesh.wait_serving().await;
    }
}

/// Guards against copies of a request that are sent on from all nodes after three servers have ended.
#[tokio::test(flavor = "multi_thread")]
async fn copies_from_all_nodes_are_withheld_once_three_servers_have_ended() {
    let mut mesh = start(&SERVICES[..1], 6, &reads()).await;
    let path = crash_path("copies", CrashMode::Closed);
    let entries = 0..mesh.vms.len();
    let copies = entries.map(|entry| repeat(&mesh, entry, &path, 1));
    join_all(copies.collect()).await;
    tokio::time::sleep(REPORT_PAUSE).await;
    let runs_before = runs_of(&mesh, &path).len();
    let restarted = mesh.restart_ended_backends().await;
    restarted.expect("backend servers start again");
    mesh.wait_serving().await;
    for entry in 0..mesh.vms.len() {
        assert_withheld(&repeat(&mesh, entry, &path, 1).await[0]);
    }
    assert_eq!(runs_of(&mesh, &path).len(), runs_before);
}

/// Guards against refusing the requests that a server was running when another request ended it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_ran_beside_a_crash_are_served() {
    let mut mesh = start(&SERVICES[..1], 3, &reads()).await;
    for round in 0..2 {
        let path = crash_path(&format!("cause-{round}"), CrashMode::Closed);
        let innocent = async |number: usize| {
            let path = format!("/stock/innocent-{number}?work_ms=150");
            get(&mesh, 0, &path, &format!("innocent-{round}-{number}")).await
        };
        let innocents = join_all((0..12).map(innocent).collect());
        let cause = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            repeat(&mesh, 0, &path, 4).await
        };
        let (replies, _) = tokio::join!(innocents, cause);
        for (number, reply) in replies.iter().enumerate() {
            // Two attempts do not suffice for one that ran on two of the servers.
            if reply.status != StatusCode::OK {
                let path = format!("/stock/innocent-{number}?work_ms=150");
                let id = format!("innocent-{round}-{number}-again");
                assert_eq!(get(&mesh, 0, &path, &id).await.status, StatusCode::OK);
            }
        }
        assert_limit_kept(&mesh, &path);
        let restarted = mesh.restart_ended_backends().await;
        restarted.expect("backend servers start again");
        mesh.wait_serving().await;
    }
}

/// Guards against a server that falls silent, which ends no connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_which_servers_fell_silent_is_withheld() {
    let mesh = start(&SERVICES[..1], 4, &reads()).await;
    let path = crash_path("silent", CrashMode::Silent);
    repeat(&mesh, 0, &path, 5).await;
    assert_limit_kept(&mesh, &path);
}

/// Sends an announcement of each backend server that fell silent `delay` ago, as one that was on its way at that moment.
async fn announce_late(mesh: &Mesh, delay: Duration) {
    let mut announced = BTreeSet::new();
    loop {
        for (position, vm) in mesh.vms.iter().enumerate() {
            let backend = vm.backend();
            let crashed_at = backend.record().crashed_at;
            let is_due = crashed_at.is_some_and(|at| at.elapsed() >= delay);
            if is_due && announced.insert(position) {
                let text = backend.next_announcement(AnnouncedState::Ready);
                let reply = backend.send_announcement(vm.announce_address(), text).await;
                reply.expect("the node takes the announcement");
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against taking an announcement from before a server fell silent for a sign of life after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_announcement_does_not_hide_that_a_server_fell_silent() {
    let mesh = start(&SERVICES[..1], 4, &reads()).await;
    let path = crash_path("late", CrashMode::Silent);
    tokio::select! {
        () = announce_late(&mesh, Duration::ZERO) => (),
        _ = repeat(&mesh, 0, &path, 5) => (),
    }
    assert_limit_kept(&mesh, &path);
}

/// Guards against an announcement that is delayed until shortly before the deadline, so that nothing shows by then that the
/// server fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn an_announcement_before_the_deadline_does_not_hide_that_a_server_fell_silent() {
    let mesh = start(&SERVICES[..1], 4, &reads()).await;
    let path = crash_path("later", CrashMode::Silent);
    tokio::select! {
        () = announce_late(&mesh, Duration::from_millis(1_200)) => (),
        _ = repeat(&mesh, 0, &path, 6) => (),
    }
    assert_limit_kept(&mesh, &path);
}

/// Guards against a body that is too long for the replay buffer, and so is never read ahead.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_long_body_is_withheld() {
    let mesh = start(&SERVICES[..1], 4, &reads()).await;
    let path = crash_path("long", CrashMode::Closed);
    let body = vec![b'x'; 360_000];
    for number in 0..12 {
        let id = format!("long-{number}");
        let request = CallerRequest {
            method: Method::PUT,
            body: &body,
            ..CallerRequest::get(&path, &id)
        };
        let reply = mesh.send_request(0, &request).await;
        let reply = reply.expect("the node responds");
        if number == 11 {
            assert_withheld(&reply);
        }
    }
    assert_limit_kept(&mesh, &path);
}

/// Guards against sending on what was read ahead of a body that broke off as if it were all of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_whose_body_breaks_off_is_not_sent() {
    let mesh = start(&SERVICES[..1], 3, &reads()).await;
    let path = crash_path("broken", CrashMode::Closed);
    let whole = CallerRequest {
        method: Method::PUT,
        body: b"first",
        ..CallerRequest::get(&path, "whole")
    };
    let reply = mesh.send_request(0, &whole).await;
    assert_eq!(
        reply.expect("the node responds").status,
        StatusCode::BAD_GATEWAY
    );
    let caller_listener = mesh.vms[0].node().addresses.caller;
    let stream = TcpStream::connect(caller_listener).await;
    let mut stream = stream.expect("the node accepts the connection");
    let head = format!(
        "PUT {path} HTTP/1.1\r\nHost: {DEFAULT_HOST}\r\n{REQUEST_ID}: broken\r\n\
         Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the request is written");
    stream.shutdown().await.expect("the request ends");
    let mut response = String::new();
    // The node may also close the connection without a response.
    let _ = stream.read_to_string(&mut response).await;
    let is_refused = response.is_empty() || response.starts_with("HTTP/1.1 400");
    assert!(is_refused, "{response}");
    assert_eq!(users_mesh_runs(&mesh, "broken"), Vec::<usize>::new());
}

/// Guards against taking requests with the same path and other bodies for one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_another_body_is_another_request() {
    let mesh = start(&SERVICES[..1], 5, &reads()).await;
    let path = crash_path("body", CrashMode::Closed);
    let send = async |body: &[u8], id: &str| {
        let request = CallerRequest {
            method: Method::PUT,
            body,
            ..CallerRequest::get(&path, id)
        };
        let reply = mesh.send_request(0, &request).await;
        reply.expect("the node responds")
    };
    for number in 0..8 {
        send(b"first", &format!("first-{number}")).await;
    }
    assert_limit_kept(&mesh, &path);
    assert_eq!(ends_under(&mesh, &path).len(), ENDED_MAX);
    assert_withheld(&send(b"first", "first").await);
    send(b"second", "second").await;
    assert!(!users_mesh_runs(&mesh, "second").is_empty());
}

/// Waits until a node serves the request with this path, as callers send it again and again.
async fn wait_served(mesh: &Mesh, entry: usize, path: &str) {
    let description = format!("{path} is served at VM {entry}");
    wait_until(&description, WAIT_TIMEOUT, || async move {
        let id = format!("served-{entry}-{:08x}", rand::random::<u32>());
        get(mesh, entry, path, &id).await.status == StatusCode::OK
    })
    .await;
}

/// Guards against taking the backend servers of killed nodes for ended: a popular request was refused for a minute after they
/// had announced themselves again.
#[tokio::test(flavor = "multi_thread")]
async fn a_popular_request_is_served_again_after_its_nodes_were_killed() {
    let mut routes = reads();
    routes.push(Route::new("/book/", RouteKind::Idempotent, SERVICES[1]));
    let mut mesh = start(&SERVICES, 2, &routes).await;
    let (entries, killed) = (mesh.vms_of(SERVICES[0]), mesh.vms_of(SERVICES[1]));
    let path = "/book/popular?work_ms=700";
    let copies = (0..4).flat_map(|number| entries.iter().map(move |entry| (*entry, number)));
    let copies: Vec<(usize, usize)> = copies.collect();
    let readers = copies.into_iter().map(|(entry, number)| {
        let caller_listener = mesh.vms[entry].node().addresses.caller;
        tokio::spawn(async move {
            let id = format!("copy-{entry}-{number}");
            let headers = [(REQUEST_ID, id.as_str()), ("x-dfw-deadline-ms", "1500")];
            let _ = request(
                caller_listener,
                Method::GET,
                DEFAULT_HOST,
                path,
                &headers,
                "",
            )
            .await;
        })
    });
    let readers: Vec<_> = readers.collect();
    let running = || async {
        let mut killed = killed.iter();
        killed.all(|position| mesh.vms[*position].backend().record().running > 0)
    };
    wait_until("a copy runs behind each node", WAIT_TIMEOUT, running).await;
    for position in &killed {
        mesh.kill_node(*position).await.expect("the node ends");
    }
    for reader in readers {
        reader.await.expect("the reader ends");
    }
    let entry = entries[0];
    wait_until("the request is withheld", WAIT_TIMEOUT, || async {
        let reply = get(&mesh, entry, path, "withheld").await;
        reply.header(REASON_HEADER) == "ends-backends"
    })
    .await;
    let started = mesh.start_nodes(&killed).await;
    started.expect("the nodes start again");
    mesh.wait_serving().await;
    for entry in entries {
        wait_served(&mesh, entry, path).await;
    }
}

/// Guards against taking a backend server for ended for good because it closed connections without a response.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_responses_were_lost_is_sent_again() {
    let mesh = start(&SERVICES[..1], 2, &reads()).await;
    let path = "/stock/lost?answer=lost";
    let replies = repeat(&mesh, 0, path, 4).await;
    assert_withheld(&replies[3]);
    let runs_before = runs_of(&mesh, path).len();
    wait_until("the request is sent again", WAIT_TIMEOUT, || async {
        get(&mesh, 0, path, "again").await;
        runs_of(&mesh, path).len() > runs_before
    })
    .await;
}
