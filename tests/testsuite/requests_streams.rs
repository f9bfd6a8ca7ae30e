//! Callers that stop reading or sending: they may use only bounded memory, and their slots are
//! released.

use std::net::SocketAddr;

use http::Method;
use testkit::backend::expected_answer_digest;
use testkit::http::{Reply, request, wait_until};
use testkit::mesh::Mesh;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    WAIT_TIMEOUT, fetch_metrics, resident_bytes, send_request, small_deployment, start_chatarras,
    vms_of,
};

/// Number of concurrent callers that request responses of 8 MiB. Nodes must not buffer these in
/// memory.
const READERS: usize = 16;
const ANSWER_BYTES: usize = 8 << 20;
/// Limit on the growth of a node's resident memory: far below the size of all unread responses
/// (128 MiB), but above the windows of their streams.
const GROWTH_MAX_BYTES: u64 = 16 << 20;

async fn slots_in_use(mesh: &Mesh) -> usize {
    let mut in_use = 0;
    for position in vms_of(mesh, "hemeroteca") {
        let text = fetch_metrics(mesh.vms[position].node().addresses.operator).await;
        let line = text
            .lines()
            .find(|line| line.starts_with("dragonflywall_gate_slots_in_use "));
        let number = line.and_then(|line| line.rsplit(' ').next());
        in_use += number.and_then(|number| number.parse().ok()).unwrap_or(0);
    }
    in_use
}

async fn start() -> Mesh {
    let mut deployment = small_deployment(&["tablon", "hemeroteca"], 1);
    deployment.data_centres.truncate(1);
    let mut mesh = start_chatarras(deployment).await;
    mesh.extra_arguments = vec!["--caller-idle-timeout-ms=1500".to_owned()];
    let entry = vms_of(&mesh, "tablon")[0];
    mesh.kill_node(entry).await.expect("the node exits");
    mesh.start_node(entry).await.expect("the node starts");
    mesh.wait_enforced(1).await;
    mesh.wait_joined().await;
    mesh
}

/// Callers request long responses and read nothing. The nodes must not buffer the responses, other
/// callers must still be served over the same connection between nodes, and the slots must be free
/// again after the idle limit.
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_hold_bounded_memory() {
    let mesh = start().await;
    let entry = vms_of(&mesh, "tablon")[0];
    let gate = vms_of(&mesh, "hemeroteca")[0];
    let before = [entry, gate].map(|position| resident_bytes(mesh.vms[position].node()));
    let caller = mesh.vms[entry].node().addresses.caller;
    let mut readers = Vec::new();
    for _ in 0..READERS {
        let mut stream = TcpStream::connect(caller)
            .await
            .expect("the node accepts connections");
        let request_head = format!(
            "GET /archive/1?answer_bytes={ANSWER_BYTES} HTTP/1.1\r\nhost: hemeroteca\r\n\r\n"
        );
        stream
            .write_all(request_head.as_bytes())
            .await
            .expect("the node reads the request");
        let mut first = [0; 12];
        stream
            .read_exact(&mut first)
            .await
            .expect("the node responds");
        assert_eq!(&first, b"HTTP/1.1 200");
        readers.push(stream);
    }
    assert!(slots_in_use(&mesh).await >= READERS - 1);
    let path = "/archive/2?answer_bytes=100000";
    let reply = request(caller, Method::GET, "hemeroteca", path, &[], "").await;
    assert_eq!(reply.expect("the node responds").body.len(), 100_000);
    for (position, before) in [entry, gate].into_iter().zip(before) {
        let grown = resident_bytes(mesh.vms[position].node()).saturating_sub(before);
        println!("slow readers: VM {position} grew by {} KiB", grown >> 10);
        assert!(
            grown < GROWTH_MAX_BYTES,
            "the memory of the node on VM {position} grew by {grown} bytes"
        );
    }
    wait_until("the slots are free again", WAIT_TIMEOUT, || async {
        slots_in_use(&mesh).await == 0
    })
    .await;
    drop(readers);
}

/// A caller sends half of an upload and then stops. The backend server must see an aborted request,
/// not a shorter one that looks complete, and its slot must be released.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_upload_is_aborted_and_frees_its_slot() {
    let mesh = start().await;
    let entry = vms_of(&mesh, "tablon")[0];
    let caller = mesh.vms[entry].node().addresses.caller;
    let mut stream = TcpStream::connect(caller)
        .await
        .expect("the node accepts connections");
    let head = "GET /archive/3 HTTP/1.1\r\nhost: hemeroteca\r\nx-request-id: stalled-3\r\n\
                content-length: 1000000\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the node reads the request");
    stream
        .write_all(&[7; 500_000])
        .await
        .expect("the node reads the request");
    wait_until("the upload has a slot", WAIT_TIMEOUT, || async {
        slots_in_use(&mesh).await == 1
    })
    .await;
    wait_until("the slot is free again", WAIT_TIMEOUT, || async {
        slots_in_use(&mesh).await == 0
    })
    .await;
    let backend = &mesh.vms[vms_of(&mesh, "hemeroteca")[0]].backend;
    assert_eq!(backend.record().finished, 0);
}

/// Callers disconnect while they receive responses and while their requests run. Later requests on
/// the same connections must get their own responses, not the rest of an earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_responses_reach_no_other_caller() {
    let mesh = start().await;
    let entry = vms_of(&mesh, "tablon")[0];
    let caller = mesh.vms[entry].node().addresses.caller;
    let mut tasks = tokio::task::JoinSet::new();
    for caller_number in 0..4 {
        tasks.spawn(async move {
            for n in 0..40 {
                let mut stream = TcpStream::connect(caller)
                    .await
                    .expect("the node accepts connections");
                let request_head = format!(
                    "GET /archive/1?answer_bytes=200000&work_ms={} HTTP/1.1\r\n\
                     host: hemeroteca\r\n\r\n",
                    n % 4
                );
                stream
                    .write_all(request_head.as_bytes())
                    .await
                    .expect("the node reads the request");
                if n % 2 == 0 {
                    let mut first = [0; 1_000];
                    stream
                        .read_exact(&mut first)
                        .await
                        .expect("the node responds");
                }
                drop(stream);
                let id = format!("own-{caller_number}-{n}");
                let path = "/archive/2?answer_bytes=50000";
                let reply = request_archive(caller, path, &id).await;
                let digest = blake3::hash(&reply.body).to_hex().to_string();
                assert_eq!(digest, expected_answer_digest(&id, 50_000), "{id}");
            }
        });
    }
    tasks.join_all().await;
    wait_until("every slot is free", WAIT_TIMEOUT, || async {
        slots_in_use(&mesh).await == 0
    })
    .await;
}

async fn request_archive(caller: SocketAddr, path: &str, id: &str) -> Reply {
    let reply = send_request(caller, Method::GET, "hemeroteca", path, id).await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 200, "{reply:?}");
    reply
}

/// Number of connections that callers keep open.
const IDLE_CONNECTIONS: usize = 800;
/// Limit on the node's memory growth per idle connection. hyper alone uses 16 KB of buffers for a
/// connection that it serves. While hyper also kept idle connections, each took 30 KB in all.
const IDLE_CONNECTION_MAX_BYTES: u64 = 12 << 10;

/// Many callers keep their connections open, as client libraries do, and rarely send requests. The
/// memory of an idle connection limits how many callers a small VM can serve.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_hold_little_memory() {
    let mesh = start().await;
    let entry = vms_of(&mesh, "tablon")[0];
    let caller = mesh.vms[entry].node().addresses.caller;
    let request_head = b"GET /archive/1?answer_bytes=10 HTTP/1.1\r\nhost: hemeroteca\r\n\r\n";
    let mut before = 0;
    let mut streams = Vec::new();
    for number in 0..=IDLE_CONNECTIONS {
        let mut stream = TcpStream::connect(caller)
            .await
            .expect("the node accepts connections");
        stream
            .write_all(request_head)
            .await
            .expect("the node reads the request");
        let mut first = [0; 12];
        stream
            .read_exact(&mut first)
            .await
            .expect("the node responds");
        assert_eq!(&first, b"HTTP/1.1 200");
        streams.push(stream);
        if number == 0 {
            before = resident_bytes(mesh.vms[entry].node());
        }
    }
    let grown = resident_bytes(mesh.vms[entry].node()).saturating_sub(before);
    let bytes_per_connection = grown / IDLE_CONNECTIONS as u64;
    println!("idle connections: {bytes_per_connection} bytes each");
    assert!(
        bytes_per_connection < IDLE_CONNECTION_MAX_BYTES,
        "an idle connection takes {bytes_per_connection} bytes"
    );
    // The connections must still be served.
    for stream in &mut streams {
        stream
            .write_all(request_head)
            .await
            .expect("the node reads the request");
    }
    let mut answered = 0;
    for mut stream in streams {
        let mut rest = vec![0; 600];
        let read = stream.read(&mut rest).await.expect("the node responds");
        answered += usize::from(read > 0);
    }
    assert_eq!(answered, IDLE_CONNECTIONS + 1);
}
