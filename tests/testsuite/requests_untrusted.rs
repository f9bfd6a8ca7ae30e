//! Untrusted callers: ambiguous framing, endless heads, and too many connections.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::http::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{WAIT_TIMEOUT, small_deployment, start_chatarras};

/// Sends raw bytes. Returns everything that the node sends within 1.5 s or until it closes the
/// connection.
async fn exchange_raw(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the node accepts connections");
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_millis(1_500), reading).await;
    String::from_utf8_lossy(&response).into_owned()
}

const QUICK_REQUEST: &[u8] = b"GET /prices/zinc?answer_bytes=10 HTTP/1.1\r\nhost: tablon\r\n\r\n";
const LONG_REQUEST: &[u8] = b"GET /prices/zinc?work_ms=700 HTTP/1.1\r\nhost: tablon\r\n\r\n";

async fn send(entry: SocketAddr, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the node accepts connections");
    stream
        .write_all(request)
        .await
        .expect("the node reads the request");
    stream
}

/// Reads the complete response to [`QUICK_REQUEST`].
async fn read_response(stream: &mut TcpStream) {
    let mut response = Vec::new();
    loop {
        let head_end = response.windows(4).position(|four| four == b"\r\n\r\n");
        if head_end.is_some_and(|end| response.len() == end + 4 + 10) {
            return;
        }
        let read = stream.read_buf(&mut response).await;
        assert!(
            read.is_ok_and(|count| count > 0),
            "the connection ended after {response:?}"
        );
    }
}

fn statuses(response: &str) -> Vec<&str> {
    let lines = response
        .lines()
        .filter(|line| line.starts_with("HTTP/1.1 "));
    lines.filter_map(|line| line.get(9..12)).collect()
}

/// Guards against request smuggling: a second request is hidden in the body of the first, with
/// framing that two parsers may read differently. The hidden request must never run.
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_framing_smuggles_nothing() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = mesh.vms[0].node().addresses.caller;
    let hidden = "POST /payments HTTP/1.1\r\nhost: cobros\r\nx-request-id: hidden\r\n\
                  content-length: 0\r\n\r\n";
    let length = hidden.len();
    let start = "POST /payments HTTP/1.1\r\nhost: cobros\r\nx-request-id: front\r\n";
    let frames = [
        // Both a length and chunked encoding.
        format!("{start}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
        format!(
            "{start}transfer-encoding: chunked\r\ncontent-length: {length}\r\n\r\n0\r\n\r\n{hidden}"
        ),
        // Two different lengths.
        format!("{start}content-length: 0\r\ncontent-length: {length}\r\n\r\n{hidden}"),
        // A transfer coding that does not delimit the body.
        format!("{start}transfer-encoding: identity, x\r\n\r\n{hidden}"),
        // A chunk size that is not a number, and one that overflows.
        format!("{start}transfer-encoding: chunked\r\n\r\nzz\r\n{hidden}"),
        format!("{start}transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n{hidden}"),
        // A header folded over two lines.
        format!("{start}content-length:\r\n 0\r\n\r\n{hidden}"),
    ];
    for frame in frames {
        let response = exchange_raw(entry, frame.as_bytes()).await;
        let ran = mesh
            .vms
            .iter()
            .any(|vm| vm.backend.record().runs.contains_key("hidden"));
        assert!(
            !ran,
            "the hidden request ran after {frame:?}; response: {response:?}"
        );
    }
}

/// A caller sends an oversized head, an incomplete head or nothing, or opens more connections than
/// it may have.
#[tokio::test(flavor = "multi_thread")]
async fn limits_on_heads_and_connections_hold() {
    let mut deployment = small_deployment(&["tablon"], 1);
    deployment.data_centres.truncate(1);
    let mut mesh = start_chatarras(deployment).await;
    mesh.kill_node(0).await.expect("the node exits");
    mesh.extra_arguments = [
        "--caller-header-timeout-ms=500",
        "--caller-connections-max=4",
    ]
    .map(str::to_owned)
    .to_vec();
    mesh.start_node(0).await.expect("the node starts");
    mesh.wait_enforced(1).await;
    let entry = mesh.vms[0].node().addresses.caller;

    let long = format!(
        "GET / HTTP/1.1\r\nhost: tablon\r\nx: {}\r\n\r\n",
        "y".repeat(100_000)
    );
    let response = exchange_raw(entry, long.as_bytes()).await;
    assert!(
        matches!(statuses(&response)[..], ["431"] | []),
        "{response:?}"
    );

    // The caller sends nothing, or stops in the middle of the head.
    for start in ["", "GET", "GET /prices HTTP/1.1\r\nhost: tab"] {
        let mut stream = TcpStream::connect(entry)
            .await
            .expect("the node accepts connections");
        stream
            .write_all(start.as_bytes())
            .await
            .expect("the node reads the request");
        let mut response = Vec::new();
        let closed = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
        assert!(
            closed.is_ok(),
            "the connection is still open after {start:?}"
        );
    }

    // The caller has its four connections. For a fifth, the one that has been idle longest is
    // closed.
    let mut streams = Vec::new();
    for _ in 0..5 {
        let mut stream = send(entry, QUICK_REQUEST).await;
        read_response(&mut stream).await;
        streams.push(stream);
    }
    let mut rest = Vec::new();
    let closed = streams[0].read_to_end(&mut rest).await;
    assert!(closed.is_ok() && rest.is_empty(), "{closed:?} {rest:?}");
    for stream in &mut streams[1..] {
        stream
            .write_all(QUICK_REQUEST)
            .await
            .expect("the connection is still open");
        read_response(stream).await;
    }
    drop(streams);

    // While all four have a request in progress, none may be closed; the fifth is closed at once.
    let mut streams = Vec::new();
    for _ in 0..4 {
        streams.push(send(entry, LONG_REQUEST).await);
    }
    wait_until("four long requests are running", WAIT_TIMEOUT, || async {
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
