//! Callers are not trusted: ambiguous framing, endless heads, hoarded connections.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::http::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{WAIT_TIMEOUT, small_deployment, start_chatarras};

/// Sends bytes as they are; returns all that comes back until the node closes or falls silent.
async fn exchange_raw(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("it listens");
    // The node may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_millis(1_500), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}

const QUICK_REQUEST: &[u8] = b"GET /prices/zinc?answer_bytes=10 HTTP/1.1\r\nhost: tablon\r\n\r\n";
const LONG_REQUEST: &[u8] = b"GET /prices/zinc?work_ms=700 HTTP/1.1\r\nhost: tablon\r\n\r\n";

async fn send(entry: SocketAddr, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry).await.expect("it listens");
    stream.write_all(request).await.expect("it is taken");
    stream
}

/// Reads the answer to [`QUICK_REQUEST`].
async fn read_answer(stream: &mut TcpStream) {
    let mut answer = Vec::new();
    loop {
        let head_end = answer.windows(4).position(|four| four == b"\r\n\r\n");
        if head_end.is_some_and(|end| answer.len() == end + 4 + 10) {
            return;
        }
        let read = stream.read_buf(&mut answer).await;
        assert!(read.is_ok_and(|count| count > 0), "cut after {answer:?}");
    }
}

fn statuses(answer: &str) -> Vec<&str> {
    let lines = answer.lines().filter(|line| line.starts_with("HTTP/1.1 "));
    lines.filter_map(|line| line.get(9..12)).collect()
}

/// A caller hides a second request in the body of the first, by framing that two readers would
/// cut in different places. The hidden request must never run.
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_framing_smuggles_nothing() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = mesh.vms[0].node().addresses.caller;
    let hidden = "POST /payments HTTP/1.1\r\nhost: cobros\r\nx-request-id: hidden\r\n\
                  content-length: 0\r\n\r\n";
    let length = hidden.len();
    let start = "POST /payments HTTP/1.1\r\nhost: cobros\r\nx-request-id: front\r\n";
    let frames = [
        // Length and chunks: which one holds?
        format!("{start}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
        format!(
            "{start}transfer-encoding: chunked\r\ncontent-length: {length}\r\n\r\n0\r\n\r\n{hidden}"
        ),
        // Two lengths.
        format!("{start}content-length: 0\r\ncontent-length: {length}\r\n\r\n{hidden}"),
        // A coding that is no framing at all.
        format!("{start}transfer-encoding: identity, x\r\n\r\n{hidden}"),
        // Chunks of no number, and of one beyond all bounds.
        format!("{start}transfer-encoding: chunked\r\n\r\nzz\r\n{hidden}"),
        format!("{start}transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n{hidden}"),
        // A header folded over two lines.
        format!("{start}content-length:\r\n 0\r\n\r\n{hidden}"),
    ];
    for frame in frames {
        let answer = exchange_raw(entry, frame.as_bytes()).await;
        let ran = mesh
            .vms
            .iter()
            .any(|vm| vm.backend.record().runs.contains_key("hidden"));
        assert!(!ran, "smuggled by {frame:?}, answered {answer:?}");
    }
}

/// A caller sends a head that never ends, or nothing, or opens more connections than it may have.
#[tokio::test(flavor = "multi_thread")]
async fn limits_on_heads_and_connections_hold() {
    let mut deployment = small_deployment(&["tablon"], 1);
    deployment.data_centres.truncate(1);
    let mut mesh = start_chatarras(deployment).await;
    mesh.kill_node(0).await.expect("it ends");
    mesh.extra_arguments = [
        "--caller-header-timeout-ms=500",
        "--caller-connections-max=4",
    ]
    .map(str::to_owned)
    .to_vec();
    mesh.start_node(0).await.expect("it starts");
    mesh.wait_enforced(1).await;
    let entry = mesh.vms[0].node().addresses.caller;

    let long = format!(
        "GET / HTTP/1.1\r\nhost: tablon\r\nx: {}\r\n\r\n",
        "y".repeat(100_000)
    );
    let answer = exchange_raw(entry, long.as_bytes()).await;
    assert!(matches!(statuses(&answer)[..], ["431"] | []), "{answer:?}");

    // Silent from the start, and silent in the middle of the head.
    for start in ["", "GET", "GET /prices HTTP/1.1\r\nhost: tab"] {
        let mut stream = TcpStream::connect(entry).await.expect("it listens");
        stream
            .write_all(start.as_bytes())
            .await
            .expect("it is taken");
        let mut answer = Vec::new();
        let closed = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
        assert!(closed.is_ok(), "still open after {start:?}");
    }

    // Of the four that it may have, the one that has been idle the longest goes for a fifth.
    let mut streams = Vec::new();
    for _ in 0..5 {
        let mut stream = send(entry, QUICK_REQUEST).await;
        read_answer(&mut stream).await;
        streams.push(stream);
    }
    let mut rest = Vec::new();
    let closed = streams[0].read_to_end(&mut rest).await;
    assert!(closed.is_ok() && rest.is_empty(), "{closed:?} {rest:?}");
    for stream in &mut streams[1..] {
        stream
            .write_all(QUICK_REQUEST)
            .await
            .expect("it is still open");
        read_answer(stream).await;
    }
    drop(streams);

    // While all four have a request in hand, none goes: the fifth is closed at once.
    let mut streams = Vec::new();
    for _ in 0..4 {
        streams.push(send(entry, LONG_REQUEST).await);
    }
    wait_until("four long requests run", WAIT_TIMEOUT, || async {
        mesh.vms[0].backend.record().peak_running == 4
    })
    .await;
    let fifth = exchange_raw(entry, QUICK_REQUEST).await;
    assert_eq!(fifth, "");
    drop(streams);
    wait_until("the caller may connect again", WAIT_TIMEOUT, || async {
        statuses(&exchange_raw(entry, QUICK_REQUEST).await) == ["200"]
    })
    .await;
}
