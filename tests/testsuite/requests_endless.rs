//! Responses that never end: backend servers that fall silent, or go on sending until the connection is closed.

use std::time::Duration;

use http::Method;
use testkit::http::{Http2Connection, wait_until};
use testkit::process::Signal;
use testkit::raw::RawConnection;
use testkit::users::backend::{EndlessPart, response_seal};
use testkit::users::mesh::{CallerRequest, Mesh, Plan, REQUEST_ID, RESPONSE_SEAL};

use crate::support::{
    SERVICES, WAIT_TIMEOUT, fetch_metrics, resident_bytes, start_serving_users_mesh,
    users_mesh_runs,
};

/// Slots of each backend server. An endless response that keeps its slot soon leaves none.
const SLOTS: u32 = 2;
const DEADLINE_MS: u64 = 600;
/// VMs of the two services in one data centre: the backend servers that are read, and another entry node.
const READ_VM: usize = 0;
const ENTRY_VM: usize = 1;
/// Limit on the growth of a node's memory, below what a backend server can send before the deadline.
const GROWTH_MAX_BYTES: u64 = 32 << 20;

async fn start() -> Mesh {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.behaviour.slots = SLOTS;
    start_serving_users_mesh(plan).await
}

/// Path of a request with the given id. Each has a path of its own: a repeated request under which backend servers seem to
/// end is withheld.
fn endless_path(part: EndlessPart, pause_ms: u64, id: &str) -> String {
    let part = part.query_value();
    format!("/stock/{id}?endless={part}&pause_ms={pause_ms}")
}

fn head(version: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/{version}\r\nhost: mesh.example\r\n{REQUEST_ID}: {id}\r\n\
         x-dfw-deadline-ms: {deadline_ms}\r\n\r\n"
    )
}

async fn connect(mesh: &Mesh, entry: usize) -> RawConnection {
    let connection = RawConnection::connect(mesh.vms[entry].node().addresses.caller).await;
    connection.expect("the node accepts connections")
}

/// Sends a request that gets an endless response, reads until the connection ends, and checks that no whole success arrived.
async fn assert_ends_incomplete(mesh: &Mesh, entry: usize, version: &str, path: &str, id: &str) {
    let mut connection = connect(mesh, entry).await;
    let request = head(version, path, id, DEADLINE_MS);
    let sent = connection.send(request).await;
    sent.expect("the node reads the request");
    let response = match connection.read_head().await {
        Ok(response) => response,
        Err(error) => return assert_has_ended(id, &error),
    };
    if response.status != 200 {
        assert!([502, 504].contains(&response.status), "{id}: {response:?}");
        return;
    }
    let (body, ended) = connection.read_to_end().await;
    let chunked = response.header("transfer-encoding") == "chunked";
    let declared = response.header("content-length").parse::<usize>();
    let whole = match declared {
        Ok(declared) => body.len() >= declared,
        Err(_) if chunked => body.ends_with(b"0\r\n\r\n"),
        // Only a reset tells it from a whole body.
        Err(_) => ended.is_ok(),
    };
    assert!(!whole, "{id}: a response without end looks complete");
    assert_has_ended(id, &ended.err().unwrap_or_default());
}

/// Checks that a read did not end with the time limit of the test.
fn assert_has_ended(id: &str, error: &str) {
    assert!(
        !error.contains("elapsed"),
        "{id}: the response never ends: {error}"
    );
}

/// Checks that the backend server's slots are free, and that its node has closed `closed` endless connections.
async fn assert_released(mesh: &Mesh, id: &str, closed: u64) {
    wait_until(
        &format!("{id}: the connection is closed"),
        WAIT_TIMEOUT,
        || async { mesh.vms[READ_VM].backend().record().endless_closed >= closed },
    )
    .await;
    for number in 0..=SLOTS {
        let id = format!("after-{id}-{number}");
        let request = CallerRequest::get("/stock/1?bytes=100", &id);
        let reply = mesh.send_request(ENTRY_VM, &request).await;
        let reply = reply.expect("the node responds");
        assert_eq!(
            (reply.status.as_u16(), reply.header(REQUEST_ID)),
            (200, &*id)
        );
    }
}

async fn ended_responses(mesh: &Mesh, vm: usize) -> String {
    let text = fetch_metrics(mesh.vms[vm].node().addresses.operator).await;
    let lines = text
        .lines()
        .filter(|line| line.starts_with("dragonflywall_responses_ended_total"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against a response that is awaited beyond its deadline after its backend server fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn response_of_a_silent_backend_server_ends_at_the_deadline() {
    let mesh = start().await;
    let mut closed = 0;
    for entry in [READ_VM, ENTRY_VM] {
        for version in ["1.1", "1.0"] {
            for number in 0..=SLOTS {
                let id = format!("silent-{entry}-{version}-{number}");
                let path = endless_path(EndlessPart::Silence, 0, &id);
                assert_ends_incomplete(&mesh, entry, version, &path, &id).await;
                assert_eq!(users_mesh_runs(&mesh, &id).len(), 1, "{id}");
                closed += 1;
            }
        }
    }
    assert_released(&mesh, "silent", closed).await;
    let ended = ended_responses(&mesh, READ_VM).await;
    assert!(ended.contains("at=\"gate\""), "{ended}");
}

/// Guards against the same on HTTP/2, and against an end that looks complete there.
#[tokio::test(flavor = "multi_thread")]
async fn endless_streams_are_reset() {
    let mesh = start().await;
    let entry = mesh.vms[ENTRY_VM].node().addresses.caller;
    let connection = Http2Connection::connect(entry).await;
    let connection = connection.expect("the node accepts connections");
    let deadline = DEADLINE_MS.to_string();
    let parts = [
        EndlessPart::Silence,
        EndlessPart::Chunks,
        EndlessPart::UntilClose,
    ];
    for part in parts {
        let id = format!("stream-{}", part.query_value());
        let headers = [
            (REQUEST_ID, id.as_str()),
            ("x-dfw-deadline-ms", deadline.as_str()),
        ];
        let path = endless_path(part, 1, &id);
        let host = "mesh.example";
        let reply = connection.request_with_headers(Method::GET, host, &path, &headers);
        let reply = tokio::time::timeout(WAIT_TIMEOUT, reply).await;
        let reply = reply.unwrap_or_else(|_| panic!("{id} never ends"));
        assert!(
            reply.is_err(),
            "{id}: a response without end looks complete"
        );
        let headers = [(REQUEST_ID, "beside"), ("x-dfw-deadline-ms", "5000")];
        let path = "/stock/1?bytes=100";
        let reply = connection.request_with_headers(Method::GET, host, path, &headers);
        let reply = reply.await.expect("the other streams go on");
        assert_eq!(reply.status, 200);
    }
    assert_released(&mesh, "stream", 3).await;
}

/// Guards against heads, bodies and trailers without end that hold memory, a slot, or their connection.
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_end_and_hold_nothing() {
    let mesh = start().await;
    let before = [READ_VM, ENTRY_VM].map(|vm| resident_bytes(mesh.vms[vm].node()));
    let mut closed = 0;
    for part in EndlessPart::ALL {
        for (pause_ms, entry) in [(0, ENTRY_VM), (20, ENTRY_VM), (0, READ_VM)] {
            let id = format!("{}-{pause_ms}-{entry}", part.query_value());
            let path = endless_path(part, pause_ms, &id);
            match part {
                // The request has its own complete response.
                EndlessPart::Unexpected => {
                    let mut request = CallerRequest::get(&path, &id);
                    request.deadline_ms = DEADLINE_MS;
                    let reply = mesh.send_request(entry, &request).await;
                    let reply = reply.expect("the response is complete");
                    assert_eq!(reply.header(RESPONSE_SEAL), response_seal(&id, 64));
                    // A trickle stays below the limit for long, but its connection is not used again.
                    closed += u64::from(pause_ms == 0);
                }
                _ => {
                    assert_ends_incomplete(&mesh, entry, "1.1", &path, &id).await;
                    closed += 1;
                }
            }
            assert_released(&mesh, &id, closed).await;
        }
    }
    for (vm, before) in [READ_VM, ENTRY_VM].into_iter().zip(before) {
        let grown = resident_bytes(mesh.vms[vm].node()).saturating_sub(before);
        assert!(
            grown < GROWTH_MAX_BYTES,
            "the node of VM {vm} grew by {grown} bytes"
        );
    }
}

/// Guards against cutting a whole response because its caller reads it beyond the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_gets_its_whole_response() {
    const BYTES: usize = 6 << 20;
    const READS: usize = 12;
    let mesh = start().await;
    for entry in [READ_VM, ENTRY_VM] {
        let id = format!("slow-{entry}");
        let mut connection = connect(&mesh, entry).await;
        let path = format!("/stock/1?bytes={BYTES}");
        let sent = connection.send(head("1.1", &path, &id, DEADLINE_MS)).await;
        sent.expect("the node reads the request");
        let response = connection.read_head().await;
        assert_eq!(response.expect("the node responds").status, 200);
        let mut received = 0;
        for _ in 0..READS {
            tokio::time::sleep(Duration::from_millis(DEADLINE_MS / 4)).await;
            let part = connection.read_exactly(BYTES / READS).await;
            received += part.unwrap_or_else(|error| panic!("{id}: {error}")).len();
        }
        assert_eq!(received, BYTES);
    }
}

/// Guards against dropping the rest of a response that became ready while a node was paused beyond the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_ended_in_a_pause_is_delivered_whole() {
    const BYTES: u64 = 100_000;
    let mesh = start().await;
    for pause_ms in [1_500, 4_000] {
        let id = format!("paused-{pause_ms}");
        let path = format!("/stock/1?bytes={BYTES}&halt_ms=400");
        let mut connection = connect(&mesh, ENTRY_VM).await;
        let sent = connection.send(head("1.1", &path, &id, 1_000)).await;
        sent.expect("the node reads the request");
        let response = connection.read_head().await;
        assert_eq!(response.expect("the node responds").status, 200);
        let node = mesh.vms[ENTRY_VM].node();
        node.signal(Signal::Stop);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        node.signal(Signal::Continue);
        let body = connection.read_exactly(BYTES as usize).await;
        body.unwrap_or_else(|error| panic!("{id}: {error}"));
        wait_until("the nodes serve each other again", WAIT_TIMEOUT, || async {
            let request = CallerRequest::get("/stock/1", "again");
            let reply = mesh.send_request(ENTRY_VM, &request).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }
}

/// Guards against an entry node that awaits the rest of a response from a node that fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn response_ends_if_the_gate_falls_silent() {
    let mesh = start().await;
    let path = "/stock/1?bytes=50000&halt_ms=300";
    let mut connection = connect(&mesh, ENTRY_VM).await;
    let sent = connection
        .send(head("1.1", path, "dark-gate", DEADLINE_MS))
        .await;
    sent.expect("the node reads the request");
    let response = connection.read_head().await;
    assert_eq!(response.expect("the node responds").status, 200);
    let gate = mesh.vms[READ_VM].node();
    gate.signal(Signal::Stop);
    let (body, ended) = connection.read_to_end().await;
    gate.signal(Signal::Continue);
    assert!(body.len() < 50_000);
    assert_has_ended("dark-gate", &ended.err().unwrap_or_default());
    let ended = ended_responses(&mesh, ENTRY_VM).await;
    assert!(ended.contains("at=\"entry\""), "{ended}");
}

/// Guards against a drain that waits for a response without end.
#[tokio::test(flavor = "multi_thread")]
async fn node_exits_beside_an_endless_response() {
    let mut mesh = start().await;
    let path = endless_path(EndlessPart::Silence, 0, "draining");
    let mut connection = connect(&mesh, ENTRY_VM).await;
    let sent = connection.send(head("1.1", &path, "draining", 5_000)).await;
    sent.expect("the node reads the request");
    let response = connection.read_head().await;
    assert_eq!(response.expect("the node responds").status, 200);
    mesh.vms[ENTRY_VM].node().signal(Signal::Terminate);
    let (_, ended) = connection.read_to_end().await;
    assert_has_ended("draining", &ended.err().unwrap_or_default());
    mesh.wait_node_exit(ENTRY_VM).await.expect("the node exits");
}

/// Guards against losing the responses of pipelined requests behind one whose rest does not come, or is broken off.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_an_incomplete_response_are_answered() {
    let mesh = start().await;
    let silent = endless_path(EndlessPart::Silence, 0, "first");
    let truncated = "/stock/first?bytes=5000&work_ms=200&answer=cut".to_owned();
    for (name, path) in [("silent", silent), ("truncated", truncated)] {
        let mut connection = connect(&mesh, ENTRY_VM).await;
        let behind = format!("behind-{name}");
        let requests = [
            head("1.1", &path, &format!("first-{name}"), DEADLINE_MS),
            head("1.1", "/stock/1?bytes=100&work_ms=20", &behind, 5_000),
        ];
        let sent = connection.send(requests.concat()).await;
        sent.expect("the node reads the requests");
        let response = connection.read_response().await;
        let response = response.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(
            [502, 504].contains(&response.status),
            "{name}: {response:?}"
        );
        assert_eq!(response.header(RESPONSE_SEAL), "", "{name}");
        let response = connection.read_response().await;
        let response = response.unwrap_or_else(|error| panic!("{behind}: {error}"));
        assert_eq!(
            (response.status, response.header(REQUEST_ID)),
            (200, &*behind)
        );
    }
}
