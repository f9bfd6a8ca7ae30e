//! Pipelined requests: callers that send further requests before the first one is answered.

use std::net::SocketAddr;

use http::Method;
use testkit::http::{request, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    WAIT_TIMEOUT, run_counts, small_deployment, start_chatarras, vms_of, wait_until_running,
};

/// Head of a request for prices, without a body.
fn price_request(id: &str, work_ms: u64) -> String {
    format!(
        "GET /prices/copper?answer_bytes=10&work_ms={work_ms} HTTP/1.1\r\n\
         host: tablon\r\nx-request-id: {id}\r\n\r\n"
    )
}

/// Head of a payment, without a body.
fn payment_request(id: &str) -> String {
    format!("POST /payments/9 HTTP/1.1\r\nhost: cobros\r\nx-request-id: {id}\r\n\r\n")
}

async fn send(entry: SocketAddr, requests: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the node accepts connections");
    let sent = stream.write_all(requests.as_bytes()).await;
    sent.expect("the node reads the request");
    stream
}

/// Request ids of the responses in the order in which they arrive, until there are `count`.
async fn response_ids(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    loop {
        let id = |line: &str| line.strip_prefix("x-request-id: ").map(str::to_owned);
        let ids: Vec<String> = text.lines().filter_map(id).collect();
        if ids.len() >= count {
            return ids;
        }
        let mut bytes = vec![0; 4_096];
        let read = stream.read(&mut bytes).await.expect("the node responds");
        assert!(read > 0, "the connection ended after {ids:?}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
}

/// A caller pipelines three reads, and the first takes long. The others must run at once instead of
/// waiting for it although their endpoint is idle. The responses must keep the order of the
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_reads_run_at_once_and_are_answered_in_order() {
    let mesh = start_chatarras(small_deployment(&["tablon"], 1)).await;
    let target = vms_of(&mesh, "tablon")[0];
    for position in vms_of(&mesh, "tablon") {
        if position != target {
            let operator = mesh.vms[position].node().addresses.operator;
            let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
            drained.expect("the node responds");
        }
    }
    let entry = mesh.vms[target].node().addresses.caller;
    let requests = [
        price_request("slow", 500),
        price_request("second", 250),
        price_request("third", 250),
    ]
    .concat();
    let mut stream = send(entry, &requests).await;
    let ids = response_ids(&mut stream, 3).await;
    assert_eq!(ids, ["slow", "second", "third"]);
    let record = mesh.vms[target].backend.record();
    assert_eq!(
        record.peak_running, 3,
        "the requests ran one after the other"
    );
    assert_eq!(record.runs.len(), 3);
}

/// A caller sends a second read while it waits for the first response, and then nothing more. hyper
/// reads this request itself, when it checks whether the connection is still open, and only buffers
/// it. The request must run at once all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_pipelined_during_another_starts_at_once() {
    let mesh = start_chatarras(small_deployment(&["tablon"], 1)).await;
    let entry = mesh.vms[0].node().addresses.caller;
    let mut stream = send(entry, &price_request("slow", 500)).await;
    wait_until_running(&mesh, "tablon", "slow").await;
    let sent = stream
        .write_all(price_request("behind", 250).as_bytes())
        .await;
    sent.expect("the node reads the request");
    wait_until_running(&mesh, "tablon", "behind").await;
    let finished = |position: usize| mesh.vms[position].backend.record().finished;
    let finished: u64 = vms_of(&mesh, "tablon").into_iter().map(finished).sum();
    assert_eq!(finished, 0, "the second read waited for the first one");
    let ids = response_ids(&mut stream, 2).await;
    assert_eq!(ids, ["slow", "behind"]);
}

/// Guards against paying twice. A payment is pipelined behind a slow read, and the connection
/// closes before the read is answered. The caller assumes that the payment was not read and sends
/// it again, so it must not have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_behind_an_unanswered_read_does_not_run() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = mesh.vms[0].node().addresses.caller;
    let requests = [price_request("long", 700), payment_request("pay-behind")].concat();
    let stream = send(entry, &requests).await;
    wait_until("the read runs", WAIT_TIMEOUT, || async {
        !run_counts(&mesh, "tablon", "long").is_empty()
    })
    .await;
    drop(stream);
    wait_until("the read is cancelled", WAIT_TIMEOUT, || async {
        let cancelled = |position: usize| mesh.vms[position].backend.record().cancelled;
        vms_of(&mesh, "tablon")
            .into_iter()
            .map(cancelled)
            .sum::<u64>()
            == 1
    })
    .await;
    assert!(run_counts(&mesh, "cobros", "pay-behind").is_empty());
}
