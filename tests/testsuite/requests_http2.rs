//! Callers on HTTP/2: concurrent requests, visible truncation, and graceful shutdown.

use http::Method;
use testkit::backend::expected_answer_digest;
use testkit::http::Http2Connection;
use testkit::process::Signal;
use tokio::task::JoinSet;

use crate::support::{WAIT_TIMEOUT, small_deployment, start_chatarras, vms_of, wait_until_running};

/// A caller sends many requests concurrently on one connection. Each response must belong to its
/// own request, and a truncated response must not affect the others.
#[tokio::test(flavor = "multi_thread")]
async fn responses_on_one_connection_do_not_mix() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = mesh.vms[vms_of(&mesh, "cobros")[0]].node();
    let connection = Http2Connection::connect(entry.addresses.caller).await;
    let connection = connection.expect("the node accepts connections");
    let path = "/prices/zinc?answer_bytes=100000&break_after=50000";
    let truncated = connection.request(Method::GET, "tablon", path, "broken-1");
    let mut requests = JoinSet::new();
    for n in 0..100 {
        let id = format!("h2-{n}");
        let path = format!("/prices/zinc?answer_bytes=3000&work_ms={}", n % 7);
        let reply = connection.request(Method::GET, "tablon", &path, &id);
        requests.spawn(async move { (id, reply.await) });
    }
    assert!(
        truncated.await.is_err(),
        "a truncated response looks complete"
    );
    for (id, reply) in requests.join_all().await {
        let reply = reply.expect("the node responds");
        assert_eq!(reply.status, 200, "{reply:?}");
        let digest = blake3::hash(&reply.body).to_hex().to_string();
        assert_eq!(digest, expected_answer_digest(&id, 3_000), "{id}");
    }
}

/// The entry node is stopped while a payment runs. The caller must get the response before the
/// connection is closed and the process exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_closes_connections_after_their_responses() {
    let mut mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let position = vms_of(&mesh, "tablon")[0];
    let entry = mesh.vms[position].node().addresses.caller;
    let connection = Http2Connection::connect(entry)
        .await
        .expect("the node accepts connections");
    let path = "/payments?work_ms=1500";
    let payment = connection.request(Method::POST, "cobros", path, "pay-1");
    let payment = tokio::spawn(payment);
    wait_until_running(&mesh, "cobros", "pay-1").await;
    mesh.vms[position].node().signal(Signal::Terminate);
    let reply = payment
        .await
        .expect("the task does not panic")
        .expect("the node responds");
    assert_eq!(reply.status, 200);
    let closed = tokio::time::timeout(WAIT_TIMEOUT, connection.wait_closed()).await;
    assert!(closed.is_ok(), "the connection stays open");
    let node = mesh.vms[position]
        .node
        .as_mut()
        .expect("the node was started");
    let ended = node.wait_exit().await.expect("the exit status can be read");
    assert!(ended.success(), "{ended:?}");
}

/// Guards against a body behind the head of a response to HEAD, which ends the stream with an error.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_head_request_gets_its_response() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = mesh.vms[vms_of(&mesh, "cobros")[0]].node();
    let connection = Http2Connection::connect(entry.addresses.caller).await;
    let connection = connection.expect("the node accepts connections");
    for (number, host) in ["tablon", "unknown"].into_iter().enumerate() {
        let id = format!("head-{number}");
        let reply = connection.request(Method::HEAD, host, "/no-such-path", &id);
        let reply = reply.await.expect("the node responds");
        assert_eq!((reply.status.as_u16(), reply.body.len()), (404, 0));
    }
}
