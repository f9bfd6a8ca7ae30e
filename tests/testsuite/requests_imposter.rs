//! Requests that reach a program other than a node at a node's address.

use http::Method;
use testkit::backend::{Backend, Behaviour};
use testkit::http::wait_until;
use testkit::process::Signal;

use crate::support::{
    VERDICT_HEADER, WAIT_TIMEOUT, send_request, small_deployment, start_chatarras, vms_of,
};

/// A VM is replaced and its address is reassigned to another program that speaks HTTP/2, before the
/// mesh has detected that the node is gone. A payment is sent there and gets a response, which
/// does not show whether that program ran the payment. The caller must therefore not get `not-run`,
/// and the payment must not be sent to a second endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_from_a_foreign_server_gets_may_have_run() {
    let mut mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let replaced = vms_of(&mesh, "cobros")[0];
    let mut node = mesh.vms[replaced]
        .node
        .take()
        .expect("the node was started");
    let address = node.addresses.peer;
    node.signal(Signal::Kill);
    node.wait_exit().await.expect("the node exits");
    let imposter = Backend::start(address, "imposter", Behaviour::default()).await;
    let imposter = imposter.expect("the address is free");

    let entry = vms_of(&mesh, "tablon")[0];
    let caller = mesh.vms[entry].node().addresses.caller;
    let mut attempts = 0;
    wait_until("a payment reaches the imposter", WAIT_TIMEOUT, || {
        attempts += 1;
        let id = format!("payment-{attempts}");
        let imposter = &imposter;
        async move {
            let reply = send_request(caller, Method::POST, "cobros", "/payments", &id).await;
            let reply = reply.expect("the node responds");
            let reached_imposter = imposter.record().runs.contains_key(&id);
            if reached_imposter {
                assert_eq!(reply.header(VERDICT_HEADER), "may-have-run", "{reply:?}");
            }
            reached_imposter
        }
    })
    .await;
    for id in imposter.record().runs.keys() {
        for position in vms_of(&mesh, "cobros") {
            let record = mesh.vms[position].backend.record();
            assert!(!record.runs.contains_key(id), "{id} ran a second time");
        }
    }
}
