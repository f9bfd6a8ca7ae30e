//! Nested calls: deadline, depth and retries are inherited and cannot be forged.

use http::Method;
use testkit::backend::Behaviour;
use testkit::http::request;
use testkit::mesh::Mesh;

use crate::support::{send_request, small_deployment, start_chatarras};

/// Starts a mesh whose backend servers send nested calls through their own nodes.
async fn start_with_nested_calls() -> Mesh {
    let mesh = start_chatarras(small_deployment(&["tablon", "hemeroteca"], 1)).await;
    for vm in &mesh.vms {
        vm.backend.set_behaviour(Behaviour {
            caller_listener: Some(vm.node().addresses.caller),
            ..Behaviour::default()
        });
    }
    mesh
}

/// Parameter for `calls` nested calls below the first request, alternately to the archive and to
/// the prices.
fn chain_parameter(calls: usize) -> String {
    let calls = (0..calls).map(|n| match n % 2 {
        0 => "hemeroteca:/archive/1",
        _ => "tablon:/prices/zinc",
    });
    calls.collect::<Vec<_>>().join(",")
}

/// Seven nested calls. The first request has 800 ms, and each call must get only what is left of
/// them, although its own treatment would allow minutes.
#[tokio::test(flavor = "multi_thread")]
async fn deadlines_shrink_along_a_chain_of_seven() {
    let mesh = start_with_nested_calls().await;
    let entry = mesh.vms[0].node().addresses.caller;
    let path = format!("/prices/zinc?chain={}", chain_parameter(7));
    let reply = send_request(entry, Method::GET, "tablon", &path, "chain-7").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 200, "{reply:?}");
    let records = mesh.vms.iter().map(|vm| vm.backend.record());
    let deadlines_ms: Vec<u64> = records.flat_map(|record| record.deadlines_ms).collect();
    assert_eq!(deadlines_ms.len(), 8);
    assert!(deadlines_ms.iter().all(|ms| *ms <= 800), "{deadlines_ms:?}");
}

/// Two services call each other in an endless loop. The eighth nested call must be refused, before
/// the loop fills every slot.
#[tokio::test(flavor = "multi_thread")]
async fn a_loop_of_calls_is_refused() {
    let mesh = start_with_nested_calls().await;
    let entry = mesh.vms[0].node().addresses.caller;
    let path = format!("/prices/zinc?chain={}", chain_parameter(8));
    let reply = send_request(entry, Method::GET, "tablon", &path, "chain-8").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 508, "{reply:?}");
}

/// A caller sends mesh headers to get a longer deadline, another class or the context of a running
/// request. None of them may reach a backend server or change the treatment.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_forge_mesh_headers() {
    let mesh = start_with_nested_calls().await;
    let entry = mesh.vms[0].node().addresses.caller;
    let forged = [
        ("x-dragonflywall-deadline-ms", "9999999"),
        ("x-dragonflywall-call", "100000001-0"),
        ("x-dragonflywall-depth", "7"),
        ("x-dragonflywall-class", "bulk"),
        ("x-dragonflywall-data", "1"),
    ];
    let reply = request(entry, Method::GET, "tablon", "/prices/zinc", &forged, "").await;
    let reply = reply.expect("the node responds");
    assert_eq!(reply.status, 200, "{reply:?}");
    let records = mesh.vms.iter().map(|vm| vm.backend.record());
    let deadlines_ms: Vec<u64> = records.flat_map(|record| record.deadlines_ms).collect();
    assert_eq!(deadlines_ms.len(), 1);
    assert!(deadlines_ms[0] <= 800, "{deadlines_ms:?}");
}
