//! Uploads that come in slowly.

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

/// Yards with bad reception send their photo bundles a few bytes at a time. Were each to hold a slot of
/// its backend server meanwhile, forty of them would keep every other yard out for as long as they
/// take.
#[tokio::test(flavor = "multi_thread")]
async fn slow_uploads_hold_no_slots() {
    // Twice the slots of both endpoints that the entry may use.
    const SLOW_UPLOADS: usize = 80;
    let mesh = start_chatarras(small_deployment(&["bascula"], 1)).await;
    let node = mesh.vms[vms_of(&mesh, "bascula")[0]].node();
    let entry = node.addresses.caller;
    let mut streams = Vec::new();
    for number in 0..SLOW_UPLOADS {
        let mut stream = TcpStream::connect(entry).await.expect("the node listens");
        let head = format!(
            "PUT /bundles/{number} HTTP/1.1\r\nhost: bascula\r\nx-request-id: slow-{number}\r\n\
             content-length: 100000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        stream.write_all(&[0; 20_000]).await.expect("sent");
        streams.push(stream);
    }
    wait_until("slow uploads come in", WAIT_TIMEOUT, || async {
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
        assert_eq!(reply.expect("the node answers").status, 200);
    }
}

/// Asks the gate at `peer` for a turn for an upload of 60 KB that does not wait for one. Each time on a
/// connection of its own: on one connection the gate would find the later ones held up on their way.
async fn reserve(peer: SocketAddr, id: &str) -> Reply {
    let connection = Http2Connection::connect(peer)
        .await
        .expect("the node listens");
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
    reservation.await.expect("the gate answers")
}

/// Two uploads use the small link of a VM, and a third entry wants to send one. It is told before it has
/// sent a byte, so that the link is left to those that are let in and to short calls. A turn that nobody
/// uses, as its caller has left, is given to another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_refused_before_it_uses_the_link() {
    let mut deployment = small_deployment(&["bascula"], 1);
    deployment.data_centres.truncate(1);
    let mut mesh = start_mesh(deployment).await;
    mesh.extra_arguments = vec!["--link-kbit-per-s".to_owned(), "7000".to_owned()];
    mesh.kill_node(0).await.expect("it ends");
    mesh.start_node(0).await.expect("it starts");
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
    wait_until("unused turns are given to others", WAIT_TIMEOUT, || async {
        reserve(peer, "fourth").await.status == 200
    })
    .await;
    for id in ["first", "second", "third", "fourth"] {
        assert!(run_counts(&mesh, "bascula", id).is_empty());
    }
}
