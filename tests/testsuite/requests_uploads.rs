//! Slow and concurrent uploads of large bodies.

use std::net::SocketAddr;

use http::Method;
use testkit::http::{Http2Connection, Reply, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::{
    REASON_HEADER, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, publish, run_counts, send_request,
    small_deployment, start_chatarras, start_mesh, vms_of,
};

fn gauge(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
    text.lines().find_map(value).unwrap_or(0.0)
}

/// Callers with slow connections send their uploads a few bytes at a time. If each upload held a
/// slot while it arrives, forty of them would keep all other callers out.
#[tokio::test(flavor = "multi_thread")]
async fn slow_uploads_hold_no_slots() {
    // Twice the slots of both endpoints that the entry may use.
    const SLOW_UPLOADS: usize = 80;
    let mesh = start_chatarras(small_deployment(&["bascula"], 1)).await;
    let node = mesh.vms[vms_of(&mesh, "bascula")[0]].node();
    let entry = node.addresses.caller;
    let mut streams = Vec::new();
    for number in 0..SLOW_UPLOADS {
        let mut stream = TcpStream::connect(entry)
            .await
            .expect("the node accepts connections");
        let head = format!(
            "PUT /bundles/{number} HTTP/1.1\r\nhost: bascula\r\nx-request-id: slow-{number}\r\n\
             content-length: 100000\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the node reads the upload");
        stream
            .write_all(&[0; 20_000])
            .await
            .expect("the node reads the upload");
        streams.push(stream);
    }
    wait_until("slow uploads are in progress", WAIT_TIMEOUT, || async {
        let mut in_progress = 0.0;
        for vm in &mesh.vms {
            let text = fetch_metrics(vm.node().addresses.operator).await;
            in_progress += gauge(&text, "dragonflywall_uploads_coming");
            in_progress += gauge(&text, "dragonflywall_gate_slots_in_use");
        }
        in_progress >= 40.0
    })
    .await;
    for number in 0..10 {
        let path = format!("/bundles/quick-{number}");
        let reply = send_request(
            entry,
            Method::PUT,
            "bascula",
            &path,
            &format!("quick-{number}"),
        )
        .await;
        assert_eq!(reply.expect("the node responds").status, 200);
    }
}

/// Requests an upload permit for 60 KB from the gate at `peer`, without waiting for one. Each
/// request uses its own connection, because on a shared one the gate would consider the later
/// requests delayed in transit.
async fn reserve(peer: SocketAddr, id: &str) -> Reply {
    let connection = Http2Connection::connect(peer)
        .await
        .expect("the node accepts connections");
    let headers = [
        ("x-request-id", id),
        ("x-dragonflywall-data", "1"),
        ("x-dragonflywall-service", "bascula"),
        ("x-dragonflywall-resource", "bundles"),
        ("x-dragonflywall-class", "bulk 1 0 1000"),
        ("x-dragonflywall-deadline-ms", "5000"),
        ("x-dragonflywall-reserve", "60000"),
    ];
    let reservation =
        connection.request_with_headers(Method::PUT, "bascula", "/bundles/1", &headers);
    reservation.await.expect("the gate responds")
}

/// Two uploads use the slow link of a VM, and a third entry node requests a permit. It must be
/// refused before it sends any of the body, which leaves the link to the admitted uploads and to
/// short requests. An unused permit, for example after its caller has disconnected, must be granted
/// to another upload.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_refused_before_it_uses_the_link() {
    let mut deployment = small_deployment(&["bascula"], 1);
    deployment.data_centres.truncate(1);
    let mut mesh = start_mesh(deployment).await;
    mesh.extra_arguments = vec!["--link-kbit-per-s".to_owned(), "7000".to_owned()];
    mesh.kill_node(0).await.expect("the node exits");
    mesh.start_node(0).await.expect("the node starts");
    let published = publish(&mesh, crate::support::CHATARRAS_TEAM_FILES).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(1).await;
    let peer = mesh.vms[0].node().addresses.peer;
    for id in ["first", "second"] {
        let granted = reserve(peer, id).await;
        assert_eq!(granted.status, 200, "{granted:?}");
        assert!(!granted.header("x-dragonflywall-turn").is_empty());
    }
    let refused = reserve(peer, "third").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.header(VERDICT_HEADER), "not-run");
    assert_eq!(refused.header(REASON_HEADER), "full");
    wait_until(
        "unused permits are granted to others",
        WAIT_TIMEOUT,
        || async { reserve(peer, "fourth").await.status == 200 },
    )
    .await;
    for id in ["first", "second", "third", "fourth"] {
        assert!(run_counts(&mesh, "bascula", id).is_empty());
    }
}
