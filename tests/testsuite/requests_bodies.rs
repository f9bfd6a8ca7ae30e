//! Request bodies that are not read to their end before the response, or by anybody.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use testkit::http::Http2Connection;
use testkit::process::Signal;
use testkit::raw::RawConnection;
use testkit::users::backend::ResponseMode;
use testkit::users::mesh::{Mesh, Plan, REQUEST_ID};

use crate::support::{SERVICES, join_all, start_serving_users_mesh, users_mesh_runs};

/// Number of pieces in which an upload is sent, each a complete request by itself. Together they are more than a gate buffers
/// before it sends the request on.
const PIECES: usize = 130;
const PIECE_BYTES: usize = 2_000;
const PIECE_PAUSE: Duration = Duration::from_millis(4);
/// More than a gate buffers before it sends a request on.
const REPLAYABLE_BYTES: usize = 256 << 10;
/// More than what is discarded to keep a connection.
const HUGE_BYTES: usize = 8 << 20;

/// VMs of the two services in one data centre: the backend servers that get uploads, and the entry node.
const UPLOAD_VM: usize = 0;
const ENTRY_VM: usize = 1;

async fn start() -> Mesh {
    start_with(&[]).await
}

async fn start_with(arguments: &'static [&'static str]) -> Mesh {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.arguments = arguments;
    start_serving_users_mesh(plan).await
}

fn entry(mesh: &Mesh) -> SocketAddr {
    mesh.vms[ENTRY_VM].node().addresses.caller
}

async fn connect(mesh: &Mesh) -> RawConnection {
    let connection = RawConnection::connect(entry(mesh)).await;
    connection.expect("the node accepts connections")
}

/// Parts of a body, each of which would run as a booking if it were taken for a request.
fn booking_pieces(upload: &str) -> Vec<String> {
    let piece = |number: usize| {
        let head = format!(
            "POST /book/{number} HTTP/1.1\r\nhost: mesh.example\r\n{REQUEST_ID}: inside-{upload}-{number}\r\n\
             x-dfw-deadline-ms: 1000\r\ncontent-length: "
        );
        let body_bytes = PIECE_BYTES - head.len() - "0000\r\n\r\n".len();
        format!("{head}{body_bytes:04}\r\n\r\n{}", "s".repeat(body_bytes))
    };
    (0..PIECES).map(piece).collect()
}

/// Head of an upload up to its last header field, without the empty line.
fn upload_head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: mesh.example\r\n{REQUEST_ID}: {id}\r\nx-dfw-deadline-ms: 5000\r\n"
    )
}

fn sheet_path(mode: ResponseMode) -> String {
    format!("/sheets/1?answer={}", mode.query_value())
}

fn read_request(id: &str) -> String {
    format!(
        "GET /stock/1?bytes=10 HTTP/1.1\r\nhost: mesh.example\r\n{REQUEST_ID}: {id}\r\n\
         x-dfw-deadline-ms: 5000\r\n\r\n"
    )
}

/// Sends a read on the connection and checks that its own response is the next one.
async fn assert_serves_read(connection: &mut RawConnection, id: &str) {
    connection
        .send(read_request(id))
        .await
        .expect("the connection is open");
    let response = connection.read_response().await;
    let response = response.expect("the read is answered");
    assert_eq!((response.status, response.header(REQUEST_ID)), (200, id));
}

/// Ids of requests that ran although they were parts of a body.
fn runs_from_bodies(mesh: &Mesh) -> Vec<String> {
    let records = mesh.vms.iter().map(|vm| vm.backend().record());
    let ids = records.flat_map(|record| record.runs.into_keys());
    ids.filter(|id| id.starts_with("inside-")).collect()
}

fn assert_nothing_ran_from_bodies(mesh: &Mesh) {
    assert_eq!(runs_from_bodies(mesh), Vec::<String>::new());
}

/// Sends an upload whose body consists of bookings, and then a read on the same connection. Checks that the upload gets
/// `status` and the read its own response.
async fn upload_then_read(mesh: &Mesh, path: &str, id: &str, status: u16) {
    let mut connection = connect(mesh).await;
    let pieces = booking_pieces(id);
    let head = upload_head(path, id);
    let len_bytes = PIECES * PIECE_BYTES;
    let sent = connection.send(format!("{head}content-length: {len_bytes}\r\n\r\n"));
    sent.await.expect("the node reads the request");
    connection.send_slowly(&pieces, PIECE_PAUSE).await;
    let response = connection.read_response().await;
    assert_eq!(response.expect("the upload is answered").status, status);
    assert_serves_read(&mut connection, &format!("after-{id}")).await;
}

/// Guards against running the rest of an upload as requests after its backend server answered early and closed.
#[tokio::test(flavor = "multi_thread")]
async fn rest_of_an_upload_is_not_run_after_an_early_response() {
    let mesh = start().await;
    for number in 0..4 {
        let id = format!("closed-{number}");
        upload_then_read(&mesh, &sheet_path(ResponseMode::EarlyClose), &id, 500).await;
    }
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against the same after the node of a backend server that reads on has been killed.
#[tokio::test(flavor = "multi_thread")]
async fn rest_of_an_upload_is_not_run_after_its_gate_was_killed() {
    let mut mesh = start().await;
    let mut connection = connect(&mesh).await;
    let pieces = booking_pieces("kept");
    let (first, rest) = pieces.split_at(PIECES / 4);
    let head = upload_head(&sheet_path(ResponseMode::EarlyFailure), "kept");
    let len_bytes = PIECES * PIECE_BYTES;
    let sent = connection.send(format!("{head}content-length: {len_bytes}\r\n\r\n"));
    sent.await.expect("the node reads the request");
    connection.send_slowly(first, PIECE_PAUSE).await;
    let response = connection.read_response().await;
    assert_eq!(response.expect("the upload is answered").status, 500);
    mesh.kill_node(UPLOAD_VM).await.expect("the node exits");
    connection.send_slowly(rest, PIECE_PAUSE).await;
    let booking = format!(
        "POST /book/1 HTTP/1.1\r\nhost: mesh.example\r\n{REQUEST_ID}: after-kept\r\n\
         x-dfw-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n"
    );
    connection
        .send(booking)
        .await
        .expect("the connection is open");
    let response = connection.read_response().await;
    let response = response.expect("the booking is answered");
    assert_eq!(
        (response.status, response.header(REQUEST_ID)),
        (200, "after-kept")
    );
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against losing the response or the connection of an upload that is refused before it has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn connection_of_a_refused_upload_goes_on_behind_its_body() {
    let mesh = start().await;
    upload_then_read(&mesh, "/nowhere/1", "no-route", 404).await;
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against a request behind a refused upload that is lost, or run twice.
#[tokio::test(flavor = "multi_thread")]
async fn request_pipelined_behind_a_refused_upload_runs_once() {
    let mesh = start().await;
    for (path, status) in [("/nowhere/1", 404), ("/sheets/1?answer=early-close", 500)] {
        let id = format!("behind-{status}");
        let mut connection = connect(&mesh).await;
        let head = upload_head(path, &format!("ahead-{status}"));
        let body = booking_pieces(&id).concat();
        let len_bytes = body.len();
        let read = read_request(&id);
        let bytes = format!("{head}content-length: {len_bytes}\r\n\r\n{body}{read}");
        let sent = connection.send(bytes).await;
        sent.expect("the node reads the requests");
        let response = connection.read_response().await;
        assert_eq!(response.expect("the upload is answered").status, status);
        let response = connection.read_response().await;
        let response = response.expect("the read is answered");
        assert_eq!((response.status, response.header(REQUEST_ID)), (200, &*id));
        assert_eq!(users_mesh_runs(&mesh, &id).len(), 1);
    }
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against taking the trailer section of a refused upload for a request.
#[tokio::test(flavor = "multi_thread")]
async fn connection_goes_on_behind_chunks_and_trailers() {
    let mesh = start().await;
    let early = sheet_path(ResponseMode::EarlyClose);
    for (path, status) in [("/nowhere/1", 404), (early.as_str(), 500)] {
        let mut connection = connect(&mesh).await;
        let head = upload_head(path, &format!("chunks-{status}"));
        let sent = connection.send(format!("{head}transfer-encoding: chunked\r\n\r\n"));
        sent.await.expect("the node reads the request");
        let chunk = |piece: &String| format!("{:x}\r\n{piece}\r\n", piece.len());
        let mut chunks: Vec<String> = booking_pieces("chunks").iter().map(chunk).collect();
        chunks.push("0\r\nchecksum: 520\r\n\r\n".to_owned());
        connection.send_slowly(&chunks, PIECE_PAUSE).await;
        let response = connection.read_response().await;
        assert_eq!(response.expect("the upload is answered").status, status);
        assert_serves_read(&mut connection, &format!("after-chunks-{status}")).await;
    }
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against a refused body that is read without end, and against a reset that drops its response.
#[tokio::test(flavor = "multi_thread")]
async fn connection_of_a_long_refused_upload_is_closed_after_the_response() {
    let mesh = start().await;
    let head = upload_head("/nowhere/1", "huge");
    let declared = format!("{head}content-length: {HUGE_BYTES}\r\n\r\n");
    let mut connection = connect(&mesh).await;
    connection
        .send(declared)
        .await
        .expect("the node reads the request");
    let _ = connection.send(booking_pieces("huge").concat()).await;
    let response = connection.read_response().await;
    let response = response.expect("the response is complete");
    assert_eq!(response.status, 404);
    assert_eq!(response.header("connection"), "close");
    let (rest, ended) = connection.read_to_end().await;
    assert!(rest.is_empty(), "{rest:?}");
    ended.expect("the connection is not reset before the caller has read the response");

    let mut connection = connect(&mesh).await;
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    connection
        .send(chunked)
        .await
        .expect("the node reads the request");
    let chunk = format!("10000\r\n{}\r\n", "s".repeat(0x10000));
    let mut sent_bytes = 0;
    while sent_bytes < 4 * HUGE_BYTES && connection.send(&chunk).await.is_ok() {
        sent_bytes += chunk.len();
    }
    assert!(
        sent_bytes < 4 * HUGE_BYTES,
        "the node reads a refused body without end"
    );
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against taking the request behind a refused `Expect: 100-continue` for the body that was not sent.
#[tokio::test(flavor = "multi_thread")]
async fn refused_expectation_closes_the_connection() {
    let mesh = start().await;
    let head = upload_head("/nowhere/1", "expects");
    let head = format!("{head}expect: 100-continue\r\ncontent-length: 100000\r\n\r\n");
    for body in ["", "sent all the same"] {
        let mut connection = connect(&mesh).await;
        let sent = connection.send(format!("{head}{body}")).await;
        sent.expect("the node reads the request");
        let response = connection.read_head().await;
        let response = response.expect("the upload is answered");
        assert_eq!(response.status, 404, "the body is not asked for");
        assert_eq!(response.header("connection"), "close");
        let _ = connection.send(read_request("behind-expects")).await;
        let (_, ended) = connection.read_to_end().await;
        ended.expect("the connection is not reset");
    }
    assert!(users_mesh_runs(&mesh, "behind-expects").is_empty());
}

/// Guards against an expected body that is not asked for when its request is run.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_expectation_gets_100_continue() {
    let mesh = start().await;
    let mut connection = connect(&mesh).await;
    let head = upload_head("/sheets/1", "accepted");
    let sent = connection.send(format!(
        "{head}expect: 100-continue\r\ncontent-length: 5\r\n\r\n"
    ));
    sent.await.expect("the node reads the request");
    let interim = connection.read_head().await;
    assert_eq!(interim.expect("the node responds").status, 100);
    connection
        .send("sheet")
        .await
        .expect("the connection is open");
    let response = connection.read_response().await;
    assert_eq!(response.expect("the upload is answered").status, 200);
    assert_serves_read(&mut connection, "after-accepted").await;
}

/// Guards against a refused upload whose caller stops sending and holds its connection.
#[tokio::test(flavor = "multi_thread")]
async fn connection_of_a_stalled_refused_upload_is_closed() {
    let mesh = start().await;
    let mut connection = connect(&mesh).await;
    let head = upload_head("/nowhere/1", "stalled");
    let sent = connection.send(format!("{head}content-length: 1000\r\n\r\nhalf"));
    sent.await.expect("the node reads the request");
    let response = connection.read_response().await;
    assert_eq!(response.expect("the upload is answered").status, 404);
    let (rest, ended) = connection.read_to_end().await;
    assert!(rest.is_empty(), "{rest:?}");
    ended.expect("the connection is closed without a reset");
}

/// Guards against losing an early response, or delaying the exit, when the node stops before the body is in.
#[tokio::test(flavor = "multi_thread")]
async fn node_stops_while_a_refused_upload_arrives() {
    let mut mesh = start().await;
    let mut connection = connect(&mesh).await;
    let head = upload_head("/nowhere/1", "stopping");
    let pieces = booking_pieces("stopping");
    let len_bytes = PIECES * PIECE_BYTES;
    let sent = connection.send(format!("{head}content-length: {len_bytes}\r\n\r\n"));
    sent.await.expect("the node reads the request");
    connection
        .send_slowly(&pieces[..PIECES / 4], PIECE_PAUSE)
        .await;
    mesh.vms[ENTRY_VM].node().signal(Signal::Terminate);
    connection
        .send_slowly(&pieces[PIECES / 4..], PIECE_PAUSE)
        .await;
    let response = connection.read_response().await;
    assert_eq!(response.expect("the upload is answered").status, 404);
    let (rest, ended) = connection.read_to_end().await;
    assert!(rest.is_empty(), "{rest:?}");
    ended.expect("the connection is closed without a reset");
    drop(connection);
    mesh.wait_node_exit(ENTRY_VM).await.expect("the node exits");
    assert_nothing_ran_from_bodies(&mesh);
}

/// Guards against an upload that was answered early and holds back the other requests of an HTTP/2 connection.
#[tokio::test(flavor = "multi_thread")]
async fn other_streams_go_on_beside_uploads_answered_early() {
    const UPLOADS: usize = 40;
    let mesh = start().await;
    let connection = Http2Connection::connect(entry(&mesh)).await;
    let connection = connection.expect("the node accepts connections");
    for number in 0..UPLOADS {
        let id = format!("stream-{number}");
        let headers = [(REQUEST_ID, id.as_str()), ("x-dfw-deadline-ms", "5000")];
        let path = match number % 2 {
            0 => "/nowhere/1".to_owned(),
            _ => sheet_path(ResponseMode::EarlyClose),
        };
        let body = Bytes::from(vec![b's'; 150_000]);
        let host = "mesh.example";
        let upload = connection.request_with_body(Method::POST, host, &path, &headers, body);
        // The stream may be reset behind the response.
        let _ = upload.await;
        let id = format!("beside-{number}");
        let headers = [(REQUEST_ID, id.as_str()), ("x-dfw-deadline-ms", "5000")];
        let read = connection.request_with_headers(
            Method::GET,
            "mesh.example",
            "/stock/1?bytes=100",
            &headers,
        );
        let reply = read.await.expect("the node responds");
        assert_eq!(
            (reply.status.as_u16(), reply.header(REQUEST_ID)),
            (200, &*id)
        );
    }
}

/// Guards against a connection that is held for good by a backend server that answers early and never reads on.
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_closed_if_nobody_reads_the_body() {
    const SEND_TIMEOUT: Duration = Duration::from_secs(30);
    let mesh = start_with(&["--caller-idle-timeout-ms=500"]).await;
    let mut connection = connect(&mesh).await;
    let head = upload_head(&sheet_path(ResponseMode::EarlyStall), "unread");
    let sent = connection.send(format!("{head}content-length: 67108864\r\n\r\n"));
    sent.await.expect("the node reads the request");
    let chunk = "s".repeat(REPLAYABLE_BYTES);
    let sent = connection.send(&chunk).await;
    sent.expect("the node reads the body");
    let response = connection.read_response().await;
    assert_eq!(response.expect("the upload is answered").status, 500);
    loop {
        let sent = tokio::time::timeout(SEND_TIMEOUT, connection.send(&chunk)).await;
        if sent.expect("the node closes the connection").is_err() {
            return;
        }
    }
}

/// Guards against uploads with a trailer section that run with an empty body after a busy backend server refused them.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_with_trailers_keep_their_body_when_they_are_sent_again() {
    const UPLOADS: usize = 60;
    const BODY_BYTES: usize = 6_000;
    let mut plan = Plan::new(&SERVICES);
    plan.behaviour.slots = 2;
    let mesh = start_serving_users_mesh(plan).await;
    let upload = async |number: usize| {
        let id = format!("trailed-{number}");
        let head = upload_head(&format!("/sheets/{number}?work_ms=40"), &id);
        let body = format!("{number:06}").repeat(BODY_BYTES / 6);
        let mut connection = connect(&mesh).await;
        let sent = connection.send(format!(
            "{head}transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{body}\r\n0\r\nchecksum: 520\r\n\r\n"
        ));
        sent.await.expect("the node reads the request");
        let response = connection.read_response().await;
        (id, body, response.expect("the upload is answered").status)
    };
    let uploads = join_all((0..UPLOADS).map(upload).collect()).await;
    let mut served = 0;
    for (id, body, status) in uploads {
        let digest = blake3::hash(body.as_bytes()).to_hex().to_string();
        for vm in users_mesh_runs(&mesh, &id) {
            let run = mesh.vms[vm].backend().record().runs[&id][0].clone();
            assert_eq!(run.body_digest, digest, "{id} ran with another body");
        }
        served += usize::from(status == 200);
    }
    assert!(served > 0, "no upload was served");
}
