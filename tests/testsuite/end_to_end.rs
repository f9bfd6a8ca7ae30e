//! End to end: team files, `publish`, nodes, and a request from a caller to a backend server and
//! back.

use http::Method;
use testkit::backend::expected_answer_digest;
use testkit::http::request;
use testkit::mesh::Deployment;

use crate::support::{publish, start_mesh};

const CHATARRAS: &[&str] = &[
    "examples/chatarras/boletines.toml",
    "examples/chatarras/suscripciones.toml",
    "examples/chatarras/bascula.toml",
];

/// A caller requests prices from a node of any data centre. The response must come from a backend
/// server of `tablon`, under the version that was just published.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_passes_from_caller_to_backend_server() {
    let mesh = start_mesh(Deployment::chatarras()).await;
    let published = publish(&mesh, CHATARRAS).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(1).await;
    mesh.wait_joined().await;
    for vm in &mesh.vms {
        let caller = vm.node().addresses.caller;
        let id = format!("dealer-{}", caller.port());
        let headers = [("x-request-id", id.as_str())];
        let path = "/prices/copper?answer_bytes=100";
        let reply = request(caller, Method::GET, "tablon", path, &headers, "").await;
        let reply = reply.expect("the node responds");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.header("x-dragonflywall-version"), "1");
        assert!(reply.header("x-ran-by").starts_with("tablon-"), "{reply:?}");
        let digest = blake3::hash(&reply.body).to_hex().to_string();
        assert_eq!(digest, expected_answer_digest(&id, 100));
    }
}

/// A request body of 10 MiB and a response of 10 MiB must pass two nodes unchanged, as their
/// digests show.
#[tokio::test(flavor = "multi_thread")]
async fn ten_mebibytes_pass_both_ways_unchanged() {
    const BUNDLE_BYTES: usize = 10 << 20;
    let mesh = start_mesh(Deployment::chatarras()).await;
    let published = publish(&mesh, CHATARRAS).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(1).await;
    mesh.wait_joined().await;
    // The entry is a node of another service, so that the bodies pass two nodes.
    let entry = mesh.vms.iter().find(|vm| vm.service == "tablon");
    let caller = entry.expect("tablon is deployed").node().addresses.caller;
    let mut bundle = vec![0; BUNDLE_BYTES];
    blake3::Hasher::new().finalize_xof().fill(&mut bundle);
    let sent_digest = blake3::hash(&bundle).to_hex().to_string();
    let headers = [("x-request-id", "bundle-1")];
    let path = format!("/bundles/7?answer_bytes={BUNDLE_BYTES}");
    let reply = request(caller, Method::PUT, "bascula", &path, &headers, bundle).await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("x-digest"), sent_digest);
    let received_digest = blake3::hash(&reply.body).to_hex().to_string();
    assert_eq!(
        received_digest,
        expected_answer_digest("bundle-1", BUNDLE_BYTES as u64)
    );
}
